"""Header lines of a message that is being received.

A line is kept as bytes until all have come: as text it takes far more memory
than on the wire, and most of a message's time passes before its end::

    lines = HeaderLines()
    lines.add(b'Host', b'shop.example')
    lines.decode()  # [('Host', 'shop.example')]
"""

from bergamotmount.memoryaccount import headers_memory

_SEPARATOR = b'\n'


class HeaderLineError(Exception):
    """A header holds a line end, which no parser should pass on."""


class HeaderLines:
    """Names and texts in the order in which they came."""

    __slots__ = ('count', '_packed')

    def __init__(self) -> None:
        """Start without lines."""
        self.count = 0
        self._packed = bytearray()

    @property
    def wire_bytes(self) -> int:
        """Size of the lines on the wire, at least.

        A colon and a line end stand for the two separators of each line.
        """
        return len(self._packed)

    @property
    def decoded_bytes(self) -> int:
        """Memory that the lines take once they are decoded."""
        return headers_memory(self.count, len(self._packed))

    def add(self, name: bytes, text: bytes) -> None:
        """Append a line; raise :class:`HeaderLineError` if it is none."""
        if _SEPARATOR in name or _SEPARATOR in text:
            raise HeaderLineError('line end in a header')
        self.count += 1
        self._packed += name
        self._packed += _SEPARATOR
        self._packed += text
        self._packed += _SEPARATOR

    def decode(self) -> list[tuple[str, str]]:
        """Return the lines as text, one character per byte."""
        parts = self._packed.decode('latin-1').split('\n')
        parts.pop()
        return list(zip(parts[::2], parts[1::2], strict=True))
