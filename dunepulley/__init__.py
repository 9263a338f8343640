"""dunepulley: a dispatcher that pushes work items to workers."""

import signal

VERSION = "0.2.0"
# Signals to a dispatcher that ask for something else than its end.
NO_END = (signal.SIGHUP, signal.SIGUSR1)
