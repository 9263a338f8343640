"""dunepulley: a dispatcher that pushes requests to endpoints."""

import signal

VERSION = "0.2.0"
# The signals for operators that do not end a dispatcher: reload its configuration, print its counters.
OPERATOR_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
