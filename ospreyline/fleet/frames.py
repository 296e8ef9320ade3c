"""Messages that the balancers of one bank exchange, and their wire format. Pure: messages to bytes and back.

A frame is a header (magic bytes, version, length, checksum) and one message in MessagePack, a map with a tag.
A reader ignores unknown fields, so versions that differ by one are compatible; anything else that cannot be
decoded closes the link that it came on (`FrameError`) and has no other effect.

Membership messages are those of SWIM. `msgspec.field(name=...)` keeps the encoded name of an attribute.
"""

from __future__ import annotations

from struct import Struct
from zlib import crc32

import msgspec

VERSION = 3
MAX_MESSAGE_BYTES = 1 << 20
HEADER = Struct(">2sBxII")  # magic, version, length, checksum
MAGIC = b"os"


class FrameError(ValueError):
    """The bytes received are not a valid frame; the link that they came on is closed."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """The known state of one member."""

    name: str
    address: str  # host:port
    zone: str
    start: int  # Unix time in ms at which the process started; differs after a restart
    incarnation: int = msgspec.field(name="bumps")  # raised by the member each time it refutes a suspicion
    state: int  # ALIVE, SUSPECT, DEAD or LEFT

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two entries of a member the one with the greater precedence is newer and wins."""
        return self.start, self.incarnation, self.state


ALIVE, SUSPECT, DEAD, LEFT = range(4)


class _Message(msgspec.Struct, tag_field="k", omit_defaults=True):
    pass


class Hello(_Message, tag="h", kw_only=True):
    """The first message on a link, from both sides."""

    bank: str
    sender: Entry = msgspec.field(name="me")
    to: str  # the name that was dialled; empty in the answer
    version: int = VERSION


class Ping(_Message, tag="a", kw_only=True):
    """Checks that the receiver is alive; answered by an `Ack` with the same sequence number."""

    sequence: int = msgspec.field(name="number")
    updates: list[Entry] = msgspec.field(default_factory=list, name="news")


class Ack(_Message, tag="y", kw_only=True):
    """Answers a `Ping` or a `PingReq`."""

    sequence: int = msgspec.field(name="number")
    updates: list[Entry] = msgspec.field(default_factory=list, name="news")


class PingReq(_Message, tag="f", kw_only=True):
    """Asks the receiver to ping `target` over its own link; answered by an `Ack` if the target answered."""

    sequence: int = msgspec.field(name="number")
    target: Entry = msgspec.field(name="whom")
    updates: list[Entry] = msgspec.field(default_factory=list, name="news")


class Gossip(_Message, tag="n", kw_only=True):
    """Member updates, sent soon after they become known."""

    updates: list[Entry] = msgspec.field(default_factory=list, name="news")


class StateSync(_Message, tag="w", kw_only=True):
    """The entries of all known members, sent after a hello; `reply_wanted` asks for the same in return."""

    updates: list[Entry] = msgspec.field(default_factory=list, name="news")
    reply_wanted: bool = msgspec.field(default=False, name="wanted")


class Hint(_Message, tag="t", kw_only=True):
    """An opaque hint from the decision module of one balancer to that of another."""

    body: bytes


class RelaySubscribe(_Message, tag="l", kw_only=True):
    """Asks a relay to forward the upstream list; the sender has version `rev`."""

    rev: int


class RelayedList(_Message, tag="p", kw_only=True):
    """The upstream list, or its changes since a version, as the relay received it from the list service."""

    rev: int
    since: int  # version that the changes apply to; -1: the whole list
    targets: list[bytes]  # JSON entries as the list service sends them
    age: float  # ms since the relay last received something from the service


class RelayUnavailable(_Message, tag="d", kw_only=True):
    """The sender forwards nothing at present: use another relay, or the list service."""

    polling: bool = msgspec.field(
        default=False, name="asks"
    )  # a relay that calls the service until it answers


class AcceptorSession(_Message, tag="s", kw_only=True):
    """Opens an acceptor session: the sender stores takeover records of the receiver, whose messages on this
    link name this session."""

    session: int


class Heartbeat(_Message, tag="u", kw_only=True):
    """Heartbeat between an owner of visits and its acceptors; answered by the same with `back` set."""

    back: bool = False


Ballot = tuple[int, str]  # (round, proposer); the owner of a visit has (0, name)
NO_BALLOT: Ballot = (-1, "")
# a backend fetch that may have been sent: ballot, fetch number, zone, cell, ms since it was recorded
Grant = tuple[Ballot, int, str, int, float]


class TakeoverMessage(msgspec.Struct, frozen=True, tag_field="k", tag="g", omit_defaults=True):
    """A takeover message between the proposer of a visit (its owner or a successor) and an acceptor."""

    kind: str = msgspec.field(name="what")  # request: register, permit, claim or answer; reply: yes or no
    visit_id: str = msgspec.field(name="work")  # id of the takeover record
    ballot: Ballot
    session: int = 0  # of the link, as its acceptor announced it
    receiver: str = msgspec.field(default="", name="to")  # an acceptor, or the proposer that is answered
    sender: str = msgspec.field(default="", name="by")
    body: bytes = b""
    grants: tuple[Grant, ...] = msgspec.field(default=(), name="permits")
    promised: Ballot = (0, "")
    about: str = ""  # of a reply: the kind of request that it answers
    # as the owner chose them; empty in a reply: the visit is unknown
    acceptors: tuple[str, ...] = msgspec.field(default=(), name="guards")
    answered: bool = False
    number: int = 0  # of the fetch that the grant is for
    zone: str = ""  # destination of the fetch
    cell: int = 0
    time_left_ms: float = msgspec.field(default=0.0, name="left")  # until the client gives up
    serial: int = 0  # of a registration on its link; one not greater than the last is refused
    # of a reply: the holder of a grant is linked to the acceptor
    grant_holder_linked: bool = msgspec.field(default=False, name="here")
    closed: Ballot = NO_BALLOT  # of a reply: nothing runs any more under this ballot or earlier ones


# version of a scope that a subscriber has: (name, epoch, number, digest of its contents)
ScopeVersion = tuple[str, int, int, int]


class ScopeItem(msgspec.Struct, frozen=True, array_like=True):
    """A route or an upstream of a scope; `draining_for_ms`: since the source announced that it drains."""

    key: str
    version: int = msgspec.field(name="n")  # change count of the source at its last change
    state: int
    body: bytes = b""
    draining_for_ms: float = msgspec.field(default=0.0, name="told")


class Subscribe(_Message, tag="b", kw_only=True):
    """Subscribes to scopes, and says which versions of them the subscriber has."""

    session: int  # of the subscriber with this publisher; grows with each session
    edition: int  # of the set of scopes; the next one adds and removes scopes, or lists all again (`whole`)
    sent_at: float = msgspec.field(name="at")  # ms on the subscriber's clock
    rate: int  # bytes per second that the subscriber accepts
    scopes: list[ScopeVersion] = []
    removed: list[str] = msgspec.field(default_factory=list, name="drop")
    whole: bool = False
    more: bool = False  # the list of scopes continues in the next edition
    all_scopes: bool = msgspec.field(default=False, name="everything")  # also those created later
    seen: int = 0  # greatest epoch that the subscriber knows of


class Unsubscribe(_Message, tag="q", kw_only=True):
    """Ends a subscription."""

    session: int


class ChangeAck(_Message, tag="o", kw_only=True):
    """Acknowledges changes, and is the heartbeat of a subscriber."""

    session: int
    edition: int
    sent_at: float = msgspec.field(name="at")
    holds: int = 0  # digest of the versions of all scopes that the subscriber has
    scopes: list[ScopeVersion] = []  # current versions of the scopes that changes were received for
    # whether a `FreshnessReport` is requested
    reply_wanted: bool = msgspec.field(default=True, name="answer")
    seen: int = 0


class ScopeChange(_Message, tag="c", kw_only=True):
    """The newest version of a scope: its changes since a version, or all of it (`since` is 0, 0)."""

    session: int
    scope: str
    epoch: int
    n: int
    since: tuple[int, int] = (0, 0)
    items: list[ScopeItem] = []
    digest: int = 0  # of the scope at the new version
    removed: bool = msgspec.field(default=False, name="gone")  # the scope was removed
    # sent before other pending changes: these items are draining
    drains_only: bool = msgspec.field(default=False, name="drains")
    part: int = 0
    parts: int = 1
    echo: float = 0.0  # latest `sent_at` received from the subscriber


class FreshnessReport(_Message, tag="r", kw_only=True):
    """Answers `ChangeAck`: the age of the data that the subscriber has."""

    session: int
    edition: int
    echo: float
    # ms; all versions in the `ChangeAck` were current at the source then or later; -1: unknown
    age: float = -1.0
    # likewise for the data of the publisher itself
    publisher_age: float = msgspec.field(default=-1.0, name="own")
    up_to_date: bool = msgspec.field(default=False, name="clean")  # no changes are pending
    epoch: int = 0  # the publisher has all changes up to this version
    n: int = 0
    # the subscriber is to list all its scopes and versions again
    resync: bool = msgspec.field(default=False, name="again")
    # the publisher serves as many subscribers as it can: use another one
    overloaded: bool = msgspec.field(default=False, name="full")


Message = (
    Hello
    | Ping
    | Ack
    | PingReq
    | Gossip
    | StateSync
    | Hint
    | RelaySubscribe
    | RelayedList
    | RelayUnavailable
    | AcceptorSession
    | Heartbeat
    | TakeoverMessage
    | Subscribe
    | Unsubscribe
    | ChangeAck
    | ScopeChange
    | FreshnessReport
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The message as one frame."""
    body = _ENCODER.encode(message)
    return HEADER.pack(MAGIC, VERSION, len(body), crc32(body)) + body


class Reader:
    """Incremental decoder of the byte stream of one link."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def unfinished_bytes(self) -> int:
        """Bytes of a message of which the rest has not come."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Message]:
        """Adds received bytes; returns the messages that are complete now. `FrameError` at invalid bytes."""
        buffer = self._buffer
        buffer += data
        messages: list[Message] = []
        while len(buffer) >= HEADER.size:
            magic, version, length, checksum = HEADER.unpack_from(buffer)
            if magic != MAGIC:
                raise FrameError("not a balancer frame")
            if abs(version - VERSION) > 1:
                raise FrameError(f"unsupported protocol version {version}, ours is {VERSION}")
            if length > MAX_MESSAGE_BYTES:
                raise FrameError(f"message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES}")
            if len(buffer) < HEADER.size + length:
                break
            body = bytes(buffer[HEADER.size : HEADER.size + length])
            del buffer[: HEADER.size + length]
            if crc32(body) != checksum:
                raise FrameError("checksum mismatch")
            try:
                messages.append(_DECODER.decode(body))
            except (msgspec.MsgspecError, RecursionError) as error:
                if version == VERSION:
                    raise FrameError(f"cannot decode message: {error}") from error
                continue  # a message type that only the other version has
        return messages
