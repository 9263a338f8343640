"""The client side towards endpoints: attempts, their cancellation, health checks, and the connections used.

`client.UpstreamClient` owns the client session and one task for each exchange. `request_body` writes an
attempt's body, `responses` classifies responses and connection failures, and `cancellation` asks an endpoint
to cancel an attempt.
"""
