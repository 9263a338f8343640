"""The HTTP front end: client requests, endpoints' callbacks and health checks arrive at one address.

`server.FrontendServer` owns the listening socket and writes responses. `connection.Connection` is one
incoming connection, `connection_table.ConnectionTable` decides which connections to close when there are too
many, `framing` finds the end of a request, and `request_parser` parses it.
"""
