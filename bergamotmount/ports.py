"""Ports: protocols for the external dependencies of a node.

The daemon implements them with TCP, HTTP and the host's clock; tests use fakes
under virtual time. Implementations translate their errors into the classes
defined here.
"""

import dataclasses
from typing import Protocol

from bergamotmount.member import Member
from bergamotmount.messages import Answer, Call, Message
from bergamotmount.outcomes import Answered


class ChannelError(Exception):
    """A channel couldn't be opened, or it was closed."""


class UnsendableError(ChannelError):
    """The message can't be encoded; the channel is as it was."""


class LogError(Exception):
    """The log service gave no valid answer; an append may have succeeded."""


class Channel(Protocol):
    """Ordered connection to one peer that carries whole messages."""

    def send(self, message: Message) -> None:
        """Queue a message for sending, without waiting.

        Raise :class:`ChannelError` when the connection is known to be closed,
        and :class:`UnsendableError` for a message that can't be encoded.
        """

    async def receive(self) -> Message:
        """Return the next message; raise :class:`ChannelError` at the end."""

    def close(self) -> None:
        """Close the connection, without waiting."""


class Dialer(Protocol):
    """Opens channels to peers."""

    async def open(self, address: str) -> Channel:
        """Return a channel to ``ip:port`` or raise :class:`ChannelError`."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The call was never sent, so it was not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The call was sent but not answered; it may have run."""

    by_deadline: bool = False


Reply = Answer | NotSent | Lost


class PeerTransport(Protocol):
    """Sends calls and messages to peers."""

    async def call(self, server: Member, call: Call) -> Reply:
        """Send a call and wait for its answer, at most ``remaining_ms``."""

    def send(self, address: str, message: Message) -> None:
        """Send a message without waiting; drop it if that isn't possible."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUnreached:
    """The backend server was not reached; the request was not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerShed:
    """The backend server refused the request; it was not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLost:
    """The backend server was reached but gave no complete answer."""

    too_large: bool = False


ServerReply = Answered | ServerUnreached | ServerShed | ServerLost


class BackendServer(Protocol):
    """The backend server on this host."""

    async def run(
        self,
        call: Call,
        parent: str,
        remaining_ms: float,
    ) -> ServerReply:
        """Run a request; ``parent`` is the key for its nested calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Records of a stream; ``first_kept`` is the oldest retained offset."""

    first_kept: int
    next_offset: int
    records: list[LogRecord]


class LogService(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset.

        After a :class:`LogError` the record may or may not be in the stream.
        """

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: float,
    ) -> LogPage:
        """Return records from an offset on; wait for one if there is none.

        If ``from_offset`` is no longer retained, the page starts at
        ``first_kept``. Raise :class:`LogError` if the service is unavailable.
        """
