"""The counters of a dispatcher, by name; printed on SIGUSR1 and at exit.

The runbooks of on-call engineers refer to these names, so they stay, even where the code uses other terms.
"""

from __future__ import annotations

from collections import Counter

FAULTS = "faults"
CLIENTS_DISCONNECTED = "withdrawn"
CALLBACKS_STRAY = "callbacks stray"
CALLBACKS_MALFORMED = "callbacks malformed"
ATTEMPTS_SENT = "ho sent"
ATTEMPTS_CANCELLED = "ho taken back"
HEALTH_CHECKS = "probes"
# Attempts whose last byte was written.
ATTEMPTS_WRITTEN = "sends"
# Connections to endpoints that were closed because bytes came that answered no request.
UNSOLICITED_DATA = "unsolicited answers"
# Connections to endpoints that were closed because more than one response may be came.
EXCESSIVE_RESPONSES = "excessive answers"


class Counters(Counter):
    """Counts by name."""

    def text(self) -> str:
        """Return all counters on one line."""
        return " ".join([f"{name}={number}" for name, number in sorted(self.items())])


def attempts_with(result: str) -> str:
    """Return the name of the counter of attempts that ended with an `AttemptResult`."""
    return f"ho {result}"


def callbacks_with(state: str) -> str:
    """Return the name of the counter of callbacks with a `CallbackState`."""
    return f"callbacks {state}"
