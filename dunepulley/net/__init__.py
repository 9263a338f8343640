"""The real dispatcher on sockets, one file for each peer, built round the decision module."""

import ssl

# The library reads all certificates of the system twice when it is imported: a quarter of the CPU time of a
# start, for what is never used here, as all that is spoken is plain HTTP. Without them nobody is trusted.
ssl.SSLContext.set_default_verify_paths = lambda context: None
try:
    import aiohttp  # noqa: F401
finally:
    del ssl.SSLContext.set_default_verify_paths  # the one that it inherits is seen again
