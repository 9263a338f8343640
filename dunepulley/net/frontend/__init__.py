"""The HTTP front end: client requests, endpoints' callbacks and health checks arrive at one address.

- `server.FrontendServer` owns the listening socket, and writes responses.
- `connection.Connection` is one incoming connection, `connection_table.ConnectionTable` decides which of them
  to close when there are too many or when their requests take too much memory.
- `turn_queue.TurnQueue` spreads what many connections send together over turns of the event loop.
- `framing` finds the end of a request, for which `request_head` checks its head and `chunked_body` decodes
  its body; `limits` holds the size that they accept.
- `http_handler` passes a complete request to the library, and `request_parser` reads its fields.
"""
