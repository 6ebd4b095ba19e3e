"""Request of a caller, as the egress takes it."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Request:
    """What a caller asks for.

    ``deadline_ms`` is the time that the caller grants from now on, ``None``
    for the operation's own; ``level`` may only lower the importance that the
    operation has by policy. ``parent`` is the key of the request on whose
    behalf a backend server calls, empty for an outside caller.
    """

    service: str
    operation: str
    method: str = 'POST'
    headers: list[str] = dataclasses.field(default_factory=list)
    body: bytes = b''
    deadline_ms: float | None = None
    level: int = 0
    ticket: str = ''
    parent: str = ''
