"""The bench's frames: batches become calls on the decisions, what these ask for becomes replies.

Ids are mapped here: an upstream's address becomes a small index, one table an instance, so that
instances share nothing; a visit's wire id is the tag its handle carries back.
"""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from struct import error as StructError
from typing import Any, BinaryIO

from ospreyline import facts
from ospreyline.decide import Balancer
from ospreyline.host import End, Listed, Readiness
from ospreyline.state import Visit

_BATCH = Struct("<IIIQ")
_REPLY = Struct("<III")
_CODE = Struct("<H")
_U32 = Struct("<I")
_FLOATS = [Struct(f"<{n}f") for n in range(256)]

# fields of the events, behind the code
_LAUNCH = Struct("<QI")
_SYNC = Struct("<BHI")
_REQ = Struct("<IBHQIIB")
_HEAD = Struct("<IH6sI")
_ANSWER = Struct("<IH6sHIBB")
_PROBED = Struct("<6sHIB")
_INBOX = Struct("<IH")
_PAGE = Struct("<HI")
_ENTRY = Struct("<fBHBHQ6s")

# whole actions
_TRY = Struct("<HI6sI")
_BOUNCE = Struct("<HII")
_LOSE = Struct("<HI")
_UNDO = Struct("<HIH")
_WAKE = Struct("<HQI")
_PROBE = Struct("<H6s")  # and the drop of connections
_TEXT = Struct("<HH")
_TELL = Struct("<HHH")
_ALL = 0xFFFF
_FOLLOW = Struct("<HB")
_FROM = Struct("<HI")

_ENDS = {int(end): end for end in End}
_READINESS = {int(r): r for r in Readiness}
_CHANGES, _FAILED = 0, 3  # kinds of a sync
_U32_MAX = 2**32 - 1
_REPEAT = 2  # bit of Marks


Line = tuple[float, int, int, int, int, int, bytes]
Lines = list[Line]
Report = tuple[float, ...]


class FrameError(Exception):
    """The input is not what the wire's page describes."""


class Instance:
    """One balancer on the wire: the host of its decisions and the tables of its ids."""

    def __init__(self, seed: int, settings: bytes, now: float) -> None:
        self.out = bytearray()
        self.count = 0
        self.visits: dict[int, Visit] = {}
        self._addresses: list[bytes] = []
        self._indices: dict[bytes, int] = {}
        self._wakes: dict[int, Callable[[float], None]] = {}
        self._token = 0
        self.balancer = Balancer(self, facts.read(settings), seed, now)

    def _index(self, address: bytes) -> int:
        found = self._indices.get(address)
        if found is None:
            found = self._indices[address] = len(self._addresses)
            self._addresses.append(address)
        return found

    # what the wire tells

    def request(
        self, now: float, tid: int, prefix: int, _tenant: int, _key: int, ttl: int, _effort: int, marks: int
    ) -> None:
        visit = self.balancer.take(now, tid, prefix, ttl / 1e3, bool(marks & _REPEAT))
        if not visit.settled:
            self.visits[tid] = visit

    def answer(
        self, now: float, tid: int, fetch: int, _at: bytes, how: int, us: int, final: int, report: Report
    ) -> None:
        if (visit := self.visits.get(tid)) is not None:
            visit.ended(now, fetch, _ENDS.get(how, End.ERRORED), us / 1e3, bool(final), report)
            if visit.settled:
                del self.visits[tid]

    def left(self, now: float, tid: int) -> None:
        if (visit := self.visits.get(tid)) is not None:
            visit.left(now)
            if visit.settled:
                del self.visits[tid]

    def ring(self, now: float, token: int) -> None:
        call = self._wakes.pop(token, None)
        if call is not None:
            call(now)

    def probed(self, now: float, address: bytes, how: int, us: int, report: Report) -> None:
        end = _ENDS.get(how, End.ERRORED)
        self.balancer.probed(now, self._index(address), end, us / 1e3, report)

    def heard(self, now: float, message: bytes) -> None:
        self.balancer.heard(now, message)

    def sync(self, now: float, kind: int, lines: Lines) -> None:
        if kind == _FAILED:
            self.balancer.told_nothing(now)
            return
        listed = [
            Listed(
                upstream=self._index(address),
                mark=int.from_bytes(address, "big"),
                zone=zone,
                cell=cell,
                readiness=_READINESS.get(state, Readiness.DRAINING),
                came_up=came_up / 1e3,
            )
            for _, state, _, zone, cell, came_up, address in lines
        ]
        if kind == _CHANGES:
            self.balancer.told_changes(now, listed)
        else:
            self.balancer.told_all(now, listed)

    # what the decisions ask for

    def send(self, tag: int, upstream: int, time_out: float) -> None:
        us = max(1, min(int(time_out * 1e3), _U32_MAX))
        self._add(_TRY.pack(1, tag, self._addresses[upstream], us))

    def cancel(self, tag: int, fetch: int) -> None:
        self._add(_UNDO.pack(4, tag, fetch))

    def bounce(self, tag: int, retry_after: float) -> None:
        self._add(_BOUNCE.pack(2, tag, min(int(retry_after * 1e3), _U32_MAX)))

    def fail(self, tag: int) -> None:
        self._add(_LOSE.pack(3, tag))

    def wake(self, at: float, call: Callable[[float], None]) -> None:
        self._token = self._token + 1 & _U32_MAX
        self._wakes[self._token] = call
        self._add(_WAKE.pack(5, int(at * 1e3), self._token))

    def probe(self, upstream: int) -> None:
        self._add(_PROBE.pack(6, self._addresses[upstream]))

    def drop(self, upstream: int) -> None:
        self._add(_PROBE.pack(7, self._addresses[upstream]))

    def tell(self, message: bytes) -> None:
        self._add(_TELL.pack(8, _ALL, len(message)) + message)

    def watch(self, on: bool) -> None:
        self._add(_FOLLOW.pack(11, on))

    def refresh(self) -> None:
        self._add(_CODE.pack(12))

    def log(self, text: str) -> None:
        self._add(_text(9, text))

    def crash(self, error: Exception) -> None:
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        where = f"{trace.tb_frame.f_code.co_name}, line {trace.tb_lineno}" if trace else "?"
        self.out.clear()
        self.count = 0
        self._add(_text(10, f"{type(error).__name__} in {where}: {error}"))

    def _add(self, record: bytes) -> None:
        self.out += record
        self.count += 1


def _text(code: int, text: str) -> bytes:
    data = text.encode()[:65535]
    return _TEXT.pack(code, len(data)) + data


class Drill:
    """All instances of this process, and the numbered lists that the wire shares among them."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._pages: dict[int, Lines] = {}

    def answer_next(self, source: BinaryIO) -> bytes | None:
        """Read one batch and return the reply to it; None at the end of the input."""
        head = source.read(_BATCH.size)
        if not head:
            return None
        if len(head) < _BATCH.size:
            raise FrameError("the input ends inside the header of a batch")
        number, records, length, clock = _BATCH.unpack(head)
        body = source.read(length)
        if len(body) < length:
            raise FrameError(f"batch {number}: the input ends inside it")
        try:
            touched = self._play(body, records, clock / 1e3)
        except StructError as error:
            raise FrameError(f"batch {number}: malformed record ({error})") from error
        return self._reply(number, touched)

    def _reply(self, number: int, touched: dict[int, Instance]) -> bytes:
        parts: list[bytes] = []
        count = 0
        for who, instance in touched.items():
            if instance.count:
                parts += (_FROM.pack(13, who), bytes(instance.out))
                count += 1 + instance.count
                instance.out.clear()
                instance.count = 0
        actions = b"".join(parts)
        return _REPLY.pack(number, count, len(actions)) + actions

    def _play(self, body: bytes, records: int, now: float) -> dict[int, Instance]:
        touched: dict[int, Instance] = {}
        at, who = 0, -1
        for _ in range(records):
            (code,) = _CODE.unpack_from(body, at)
            at += 2
            if code == 12:
                (who,) = _U32.unpack_from(body, at)
                at += 4
            elif code == 11:
                at = self._define(body, at)
            elif code == 10:
                self._instances.pop(who, None)
                touched.pop(who, None)
            elif code == 1:
                at = self._launch(body, at, who, now)
                touched[who] = self._instances[who]
            else:
                instance = self._instances.get(who)
                if instance is not None:
                    touched[who] = instance
                at += self._event(body, at, code, instance, now)
        if at != len(body):
            raise FrameError(f"{len(body) - at} bytes are left behind the last record")
        return touched

    def _define(self, body: bytes, at: int) -> int:
        page, entries = _PAGE.unpack_from(body, at)
        start = at + _PAGE.size
        end: int = start + entries * _ENTRY.size
        if end > len(body):
            raise FrameError("a list runs past the end of its batch")
        self._pages[page] = list(_ENTRY.iter_unpack(body[start:end]))
        return end

    def _launch(self, body: bytes, at: int, who: int, now: float) -> int:
        size: int
        seed, size = _LAUNCH.unpack_from(body, at)
        start = at + _LAUNCH.size
        if start + size > len(body):
            raise FrameError("the settings run past the end of their batch")
        try:
            self._instances[who] = Instance(seed, body[start : start + size], now)
        except facts.FactError as error:
            raise FrameError(f"instance {who}: unusable settings: {error}") from error
        return start + size

    def _event(self, body: bytes, at: int, code: int, instance: Instance | None, now: float) -> int:
        """Tell an instance of one event; the size of the event's fields comes back."""
        size: int
        call: Callable[..., None]
        fields: tuple[Any, ...]
        if code == 3:
            size, call, fields = _REQ.size, Instance.request, _REQ.unpack_from(body, at)
        elif code == 5:
            fields = _ANSWER.unpack_from(body, at)
            floats = _FLOATS[fields[-1]]
            size, call = _ANSWER.size + floats.size, Instance.answer
            fields = (*fields[:-1], floats.unpack_from(body, at + _ANSWER.size))
        elif code == 7:
            size, call, fields = 4, Instance.ring, _U32.unpack_from(body, at)
        elif code == 8:
            fields = _PROBED.unpack_from(body, at)
            floats = _FLOATS[fields[-1]]
            size, call = _PROBED.size + floats.size, Instance.probed
            fields = (*fields[:-1], floats.unpack_from(body, at + _PROBED.size))
        elif code == 2:
            kind, page, _ = _SYNC.unpack_from(body, at)
            if kind != _FAILED and page not in self._pages:
                raise FrameError(f"a sync points at list {page}, which was never defined")
            size, call, fields = _SYNC.size, Instance.sync, (kind, self._pages.get(page, []))
        elif code == 6:
            size, call, fields = 4, Instance.left, _U32.unpack_from(body, at)
        elif code == 4:
            return _HEAD.size  # no path prefix streams: its answer's end is told, too
        elif code == 9:
            size = _INBOX.size + _INBOX.unpack_from(body, at)[1]
            call, fields = Instance.heard, (body[at + _INBOX.size : at + size],)
        else:
            raise FrameError(f"unknown code {code} of an event")
        if instance is not None:
            try:
                call(instance, now, *fields)
            except Exception as error:  # the decision code has failed: the wire has a word for that
                instance.crash(error)
        return size
