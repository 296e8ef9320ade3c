"""What balancers of one bank say to one another, and its form on the wire. Pure: messages to bytes and back.

A frame is a head (mark, version, length, checksum) and one message in MessagePack, a map with a tag. A reader
passes over fields that it does not know, so versions that differ by one understand each other; anything else
that cannot be read ends the link that it came on (`FrameError`) and nothing more.
"""

from __future__ import annotations

from struct import Struct
from zlib import crc32

import msgspec

VERSION = 3
MOST = 1 << 20  # bytes of a message
HEAD = Struct(">2sBxII")  # mark, version, length, checksum
MARK = b"os"


class FrameError(ValueError):
    """What came is no frame of ours; the link that it came on ends."""


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a member. `start` tells its process, `bumps` how often that one has refuted."""

    name: str
    address: str  # host:port
    zone: str
    start: int  # Unix time in ms at which the process began
    bumps: int
    state: int  # ALIVE, SUSPECT, DEAD or LEFT

    @property
    def order(self) -> tuple[int, int, int]:
        """News with a greater one wins."""
        return self.start, self.bumps, self.state


ALIVE, SUSPECT, DEAD, LEFT = range(4)


class _Message(msgspec.Struct, tag_field="k", omit_defaults=True):
    pass


class Hello(_Message, tag="h", kw_only=True):
    """The first on a link, from both sides."""

    bank: str
    me: Entry
    to: str  # the name that was dialled; empty on the answer
    version: int = VERSION


class Ask(_Message, tag="a", kw_only=True):
    """Are you there? Answered by `Here` with the same number."""

    number: int
    news: list[Entry] = []


class Here(_Message, tag="y", kw_only=True):
    number: int
    news: list[Entry] = []


class AskFor(_Message, tag="f", kw_only=True):
    """Ask another for me, over a link of your own; answered by `Here` if it was there."""

    number: int
    whom: Entry
    news: list[Entry] = []


class Tell(_Message, tag="n", kw_only=True):
    """News of members, as soon as it is known."""

    news: list[Entry] = []


class Whole(_Message, tag="w", kw_only=True):
    """All that is known of all members, after a hello; `wanted` asks for the same back."""

    news: list[Entry] = []
    wanted: bool = False


class Hint(_Message, tag="t", kw_only=True):
    """A hint of the decision module, for its like."""

    body: bytes


class Listen(_Message, tag="l", kw_only=True):
    """Pass the list on to me; I have this version."""

    rev: int


class Passed(_Message, tag="p", kw_only=True):
    """The list, or what changed since a version, as the list service said it to the one who passes it on."""

    rev: int
    since: int  # -1: the whole list
    targets: list[bytes]  # entries in discovery's form
    age: float  # ms since the service last said something to it


class Deaf(_Message, tag="d", kw_only=True):
    """I pass nothing on now: ask another, or the service."""

    asks: bool = False  # I am among those that pass on, and ask the service until it speaks


class Sit(_Message, tag="s", kw_only=True):
    """I guard what you have in hand: words on this link name this session. Said when it begins."""

    session: int


class Pulse(_Message, tag="u", kw_only=True):
    """Are you there? Between those that guard for one another; answered by the same with `back`."""

    back: bool = False


Ballot = tuple[int, str]  # round, and who; an owner's is (0, name)
NOBODY: Ballot = (-1, "")
# a backend fetch that may have been written: whose, its number, zone, cell, ms since it was recorded
Permit = tuple[Ballot, int, str, int, float]


class Say(msgspec.Struct, frozen=True, tag_field="k", tag="g", omit_defaults=True):
    """One word between who has a visit in hand and a guardian of it."""

    what: str  # register, permit, claim, answer; and back: yes, no
    work: str
    ballot: Ballot
    session: int = 0  # of the link, as its guardian gave it out
    to: str = ""  # the guardian, or who is answered
    by: str = ""
    body: bytes = b""
    permits: tuple[Permit, ...] = ()
    promised: Ballot = (0, "")
    about: str = ""  # of yes and no: what they answer
    guards: tuple[str, ...] = ()  # as the owner named them; empty in an answer: the visit is not known
    answered: bool = False
    number: int = 0  # of the fetch that is to be permitted
    zone: str = ""  # where it goes
    cell: int = 0
    left: float = 0.0  # ms that the client still waits
    serial: int = 0  # of a registration among those of its link: one that came before is never taken again
    here: bool = False  # of an answer: who has a permit is linked to the guardian
    closed: Ballot = NOBODY  # of an answer: nothing of this ballot and those before it runs any more


# a scope as a subscriber holds it: its name, epoch and number of its version, digest of what is in it
Named = tuple[str, int, int, int]


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A route or an upstream of a scope, as of number `n`; `told`: ms since the source said it leaves."""

    key: str
    n: int
    state: int
    body: bytes = b""
    told: float = 0.0


class Subscribe(_Message, tag="b", kw_only=True):
    """Tell me of these scopes from now on; this is what I have of them."""

    session: int  # of the subscriber with this publisher; a later one is greater
    edition: int  # of what is wanted: the next one adds and drops, or names all anew (`whole`)
    at: float  # ms on the subscriber's clock
    rate: int  # bytes a second that it takes
    scopes: list[Named] = []
    drop: list[str] = []
    whole: bool = False
    more: bool = False  # the next edition goes on with the names
    everything: bool = False  # all scopes, the ones to come as well
    seen: int = 0  # the greatest epoch of which it has heard


class Unsubscribe(_Message, tag="q", kw_only=True):
    session: int


class Got(_Message, tag="o", kw_only=True):
    """What came, and that I am here."""

    session: int
    edition: int
    at: float
    holds: int = 0  # digest of all versions that are held
    scopes: list[Named] = []  # as they are now, of those that something came for
    answer: bool = True  # by `Told`
    seen: int = 0


class Change(_Message, tag="c", kw_only=True):
    """A scope's newest state: what changed since a version, or all of it (`since` is 0, 0)."""

    session: int
    scope: str
    epoch: int
    n: int
    since: tuple[int, int] = (0, 0)
    items: list[Item] = []
    digest: int = 0  # of the scope as it is then
    gone: bool = False  # the scope is no more
    drains: bool = False  # ahead of the rest: these leave, whatever else is still to be told
    part: int = 0
    parts: int = 1
    echo: float = 0.0  # the latest `at` that came from the subscriber


class Told(_Message, tag="r", kw_only=True):
    """Answers `Got`: how old what the subscriber holds is."""

    session: int
    edition: int
    echo: float
    age: float = -1.0  # ms; all that it said to hold was the source's state then or later; -1: not known
    own: float = -1.0  # the same of what the publisher holds itself
    clean: bool = False  # nothing is to be told now
    epoch: int = 0  # the publisher knows all up to this version
    n: int = 0
    again: bool = False  # name all that you want and hold
    full: bool = False  # ask another


Message = (
    Hello
    | Ask
    | Here
    | AskFor
    | Tell
    | Whole
    | Hint
    | Listen
    | Passed
    | Deaf
    | Sit
    | Pulse
    | Say
    | Subscribe
    | Unsubscribe
    | Got
    | Change
    | Told
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """One frame."""
    body = _ENCODER.encode(message)
    return HEAD.pack(MARK, VERSION, len(body), crc32(body)) + body


class Reader:
    """Takes bytes of one link as they come; `feed` gives the whole messages among them."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now; `FrameError` at what is none of ours."""
        rest = self._rest
        rest += data
        out: list[Message] = []
        while len(rest) >= HEAD.size:
            mark, version, length, checksum = HEAD.unpack_from(rest)
            if mark != MARK:
                raise FrameError("no frame of a balancer")
            if abs(version - VERSION) > 1:
                raise FrameError(f"version {version}, ours is {VERSION}")
            if length > MOST:
                raise FrameError(f"a message of {length} bytes, {MOST} is the most")
            if len(rest) < HEAD.size + length:
                break
            body = bytes(rest[HEAD.size : HEAD.size + length])
            del rest[: HEAD.size + length]
            if crc32(body) != checksum:
                raise FrameError("a wrong checksum")
            try:
                out.append(_DECODER.decode(body))
            except (msgspec.MsgspecError, RecursionError) as error:
                if version == VERSION:
                    raise FrameError(f"unreadable: {error}") from error
                continue  # a kind of message that only the other version knows
        return out
