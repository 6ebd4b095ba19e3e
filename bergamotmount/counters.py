"""Counting of decisions, as a port that does nothing by default."""

from bergamotmount.reasons import (
    DropReason,
    NoRetryReason,
    RefusalReason,
    RetryReason,
    UnknownReason,
)


class Counters:
    """Receives each decision; the daemon turns them into metrics."""

    def admitted(self, service: str) -> None:
        """Count a request that went to the backend server."""

    def refused(self, role: str, reason: RefusalReason) -> None:
        """Count a refusal by ``egress`` or ``ingress``."""

    def unknown(self, role: str, reason: UnknownReason) -> None:
        """Count a request whose outcome isn't known."""

    def retried(self, reason: RetryReason) -> None:
        """Count a retry."""

    def not_retried(self, reason: NoRetryReason) -> None:
        """Count a failed call that wasn't tried again."""

    def dropped(self, reason: DropReason) -> None:
        """Count a dropped message or connection."""
