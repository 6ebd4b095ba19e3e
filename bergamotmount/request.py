"""Request of a caller, as the egress receives it."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request for an operation.

    ``deadline_ms`` is relative to now, ``None`` for the timeout of the
    operation. ``level`` can only lower the importance that the policy gives to
    the operation. ``parent`` is the key of the request on whose behalf a
    backend server calls, empty for an outside client.
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
