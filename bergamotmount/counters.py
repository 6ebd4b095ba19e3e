"""Port for counting decisions; the default implementation does nothing."""

from collections.abc import Callable

from bergamotmount.reasons import (
    DenialReason,
    DropReason,
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)


class Counters:
    """Receives each decision; the daemon exports them as metrics."""

    def admitted(self, service: str) -> None:
        """Count a request that was sent to the backend server."""

    def refused(self, role: str, reason: RefusalReason) -> None:
        """Count a refusal by ``egress`` or ``ingress``."""

    def denied(self, reason: DenialReason) -> None:
        """Count a request without an accepted key."""

    def unknown(self, role: str, reason: UnknownReason) -> None:
        """Count a request whose outcome isn't known."""

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""

    def not_retried(self, reason: NoRetryReason) -> None:
        """Count a failed call that wasn't retried."""

    def dropped(self, reason: DropReason) -> None:
        """Count a dropped message or connection."""

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Export a value that ``read`` returns at each scrape."""
