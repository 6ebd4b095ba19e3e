"""One organisation, as the operators' policy record describes it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Token bucket over all nodes: requests per second, and a burst."""

    rate_per_s: float
    burst: float

    def allowed_in(self, window_ms: float) -> float:
        """Return the largest number of requests in a window."""
        return self.rate_per_s * window_ms / 1000 + self.burst


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its keys.

    ``name`` is what backend servers are told. Requests of an organisation
    with a lower ``level`` are more important, whatever their route.
    ``quota`` is ``None`` without a limit.
    """

    name: str
    keys: tuple[str, ...] = dataclasses.field(default=(), repr=False)
    level: int = 0
    quota: Quota | None = None
