"""The client side towards endpoints: attempts, their cancellation, health checks, and the connections used.

`client.UpstreamClient` owns the client session and one task for each exchange. `request_body` writes an
attempt's body, `responses` classifies responses and connection failures, and `cancellation` asks an endpoint
to cancel an attempt. `connection_pool` decides which connections are reused and how many stay open,
`endpoint_connection` how much an endpoint may send.
"""
