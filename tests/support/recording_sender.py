"""A fake upstream client for a core that records the calls instead of using sockets."""

from __future__ import annotations

from dunepulley.net.messages import UpstreamAttempt


class RecordingSender:
    """Marks each attempt as fully written at once, and reports no events."""

    def __init__(self) -> None:
        self.sent: list[UpstreamAttempt] = []
        self.cancelled: list[tuple[UpstreamAttempt, bool]] = []
        self.health_checks: list[tuple[str, str]] = []

    def start_attempt(self, attempt: UpstreamAttempt) -> None:
        """Record an attempt."""
        attempt.write_started = attempt.fully_written = True
        self.sent.append(attempt)

    def cancel_attempt(self, attempt: UpstreamAttempt, notify: bool) -> None:
        """Record a cancellation, and whether the endpoint is to be notified."""
        self.cancelled.append((attempt, notify))

    def check_health(self, endpoint_id: str, address: str) -> None:
        """Record a health check."""
        self.health_checks.append((endpoint_id, address))
