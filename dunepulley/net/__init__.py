"""The dispatcher process: sockets, timers and the event loop around the router (`dunepulley.routing`)."""

import ssl

# When aiohttp is imported, it loads all certificates of the system twice. That takes a quarter of the CPU
# time of a start, although only plain HTTP is used. Without the loading, no certificate is trusted.
ssl.SSLContext.set_default_verify_paths = lambda context: None
try:
    import aiohttp  # noqa: F401
finally:
    del ssl.SSLContext.set_default_verify_paths  # restores the inherited method
