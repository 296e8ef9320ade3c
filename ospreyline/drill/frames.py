"""The bench protocol: batches of events become calls on the decisions, their actions become replies.

Ids are mapped here: the address of an upstream becomes a small index, with one table per instance, so that
instances share nothing; the id of a visit in the protocol is its tag.
"""

from __future__ import annotations

from collections.abc import Callable
from struct import Struct
from struct import error as StructError
from typing import Any, BinaryIO

from ospreyline import config
from ospreyline.decide import Balancer
from ospreyline.host import End, ListedUpstream, Readiness
from ospreyline.state import Visit

_BATCH_HEADER = Struct("<IIIQ")
_REPLY_HEADER = Struct("<III")
_CODE = Struct("<H")
_U32 = Struct("<I")
_FLOATS = [Struct(f"<{n}f") for n in range(256)]

# fields of the events, after their code
_START = Struct("<QI")
_LIST_UPDATE = Struct("<BHI")
_REQUEST = Struct("<IBHQIIB")
_ANSWER_HEAD = Struct("<IH6sI")
_ANSWER_END = Struct("<IH6sHIBB")
_PROBE_RESULT = Struct("<6sHIB")
_MESSAGE_IN = Struct("<IH")
_LIST_HEADER = Struct("<HI")
_LIST_ENTRY = Struct("<fBHBHQ6s")

# whole actions, with their code
_SEND = Struct("<HI6sI")
_BOUNCE = Struct("<HII")
_FAIL = Struct("<HI")
_CANCEL = Struct("<HIH")
_TIMER = Struct("<HQI")
_UPSTREAM_ACTION = Struct("<H6s")  # a probe, or closing idle connections
_TEXT = Struct("<HH")
_MESSAGE_OUT = Struct("<HHH")
_ALL_BALANCERS = 0xFFFF
_WATCH = Struct("<HB")
_SENDER = Struct("<HI")

_ENDS = {int(end): end for end in End}
_READINESS = {int(r): r for r in Readiness}
_LIST_CHANGES, _LIST_CALL_FAILED = 0, 3  # kinds of a list update
_U32_MAX = 2**32 - 1
_REPEAT_MARK = 2  # a bit of a request's marks


ListEntry = tuple[float, int, int, int, int, int, bytes]
ListEntries = list[ListEntry]
Report = tuple[float, ...]


class FrameError(Exception):
    """The input does not follow the bench protocol."""


class Instance:
    """One balancer in the bench: the host of its decisions, and the tables of its ids."""

    def __init__(self, seed: int, settings: bytes, now: float) -> None:
        self.actions = bytearray()
        self.action_count = 0
        self.visits: dict[int, Visit] = {}
        self._addresses: list[bytes] = []
        self._indices: dict[bytes, int] = {}
        self._timers: dict[int, Callable[[float], None]] = {}
        self._last_timer = 0
        self.balancer = Balancer(self, config.parse_settings(settings), seed, now)

    def _index_of(self, address: bytes) -> int:
        """The index of an upstream's address; a new one if it is unknown."""
        found = self._indices.get(address)
        if found is None:
            found = self._indices[address] = len(self._addresses)
            self._addresses.append(address)
        return found

    # events

    def visit_arrived(
        self,
        now: float,
        visit_id: int,
        prefix: int,
        _tenant: int,
        _key: int,
        ttl: int,
        _effort: int,
        marks: int,
    ) -> None:
        """A client's request."""
        visit = self.balancer.accept_visit(now, visit_id, prefix, ttl / 1e3, bool(marks & _REPEAT_MARK))
        if not visit.settled:
            self.visits[visit_id] = visit

    def fetch_ended(
        self,
        now: float,
        visit_id: int,
        fetch: int,
        _at: bytes,
        end_code: int,
        spent_us: int,
        final: int,
        report: Report,
    ) -> None:
        """A backend fetch has ended, with the `End` of this code."""
        if (visit := self.visits.get(visit_id)) is not None:
            visit.fetch_ended(
                now, fetch, _ENDS.get(end_code, End.ERRORED), spent_us / 1e3, bool(final), report
            )
            if visit.settled:
                del self.visits[visit_id]

    def client_left(self, now: float, visit_id: int) -> None:
        """The client of a visit has disconnected."""
        if (visit := self.visits.get(visit_id)) is not None:
            visit.client_left(now)
            if visit.settled:
                del self.visits[visit_id]

    def timer_fired(self, now: float, timer: int) -> None:
        """A timer has fired; unknown ones are ignored."""
        call = self._timers.pop(timer, None)
        if call is not None:
            call(now)

    def probe_ended(self, now: float, address: bytes, end_code: int, spent_us: int, report: Report) -> None:
        """A probe has ended."""
        end = _ENDS.get(end_code, End.ERRORED)
        self.balancer.probe_ended(now, self._index_of(address), end, spent_us / 1e3, report)

    def message_received(self, now: float, message: bytes) -> None:
        """A message of another balancer."""
        self.balancer.receive_hint(now, message)

    def list_updated(self, now: float, kind: int, entries: ListEntries) -> None:
        """The whole list, changes of it, or a failed call or watch."""
        if kind == _LIST_CALL_FAILED:
            self.balancer.list_call_failed(now)
            return
        listed = [
            ListedUpstream(
                upstream=self._index_of(address),
                hash_key=int.from_bytes(address, "big"),
                zone=zone,
                cell=cell,
                readiness=_READINESS.get(state, Readiness.DRAINING),
                started_at=started_at / 1e3,
            )
            for _, state, _, zone, cell, started_at, address in entries
        ]
        if kind == _LIST_CHANGES:
            self.balancer.apply_list_changes(now, listed)
        else:
            self.balancer.apply_list(now, listed)

    # actions of the decisions: methods of `host.Host`

    def start_fetch(self, tag: int, upstream: int, timeout_ms: float) -> None:
        time_out_us = max(1, min(int(timeout_ms * 1e3), _U32_MAX))
        self._append(_SEND.pack(1, tag, self._addresses[upstream], time_out_us))

    def cancel_fetch(self, tag: int, fetch: int) -> None:
        self._append(_CANCEL.pack(4, tag, fetch))

    def bounce(self, tag: int, retry_after: float) -> None:
        self._append(_BOUNCE.pack(2, tag, min(int(retry_after * 1e3), _U32_MAX)))

    def answer_error(self, tag: int) -> None:
        self._append(_FAIL.pack(3, tag))

    def call_at(self, at: float, call: Callable[[float], None]) -> None:
        self._last_timer = self._last_timer + 1 & _U32_MAX
        self._timers[self._last_timer] = call
        self._append(_TIMER.pack(5, int(at * 1e3), self._last_timer))

    def send_probe(self, upstream: int) -> None:
        self._append(_UPSTREAM_ACTION.pack(6, self._addresses[upstream]))

    def close_idle_connections(self, upstream: int) -> None:
        self._append(_UPSTREAM_ACTION.pack(7, self._addresses[upstream]))

    def broadcast(self, message: bytes) -> None:
        self._append(_MESSAGE_OUT.pack(8, _ALL_BALANCERS, len(message)) + message)

    def watch_list(self, on: bool) -> None:
        self._append(_WATCH.pack(11, on))

    def poll_list(self) -> None:
        self._append(_CODE.pack(12))

    def log(self, text: str) -> None:
        self._append(_text_action(9, text))

    def report_crash(self, error: Exception) -> None:
        """Replace the actions of this batch by one that reports an exception in the decisions."""
        trace = error.__traceback__
        while trace is not None and trace.tb_next is not None:
            trace = trace.tb_next
        where = f"{trace.tb_frame.f_code.co_name}, line {trace.tb_lineno}" if trace else "?"
        self.actions.clear()
        self.action_count = 0
        self._append(_text_action(10, f"{type(error).__name__} in {where}: {error}"))

    def _append(self, record: bytes) -> None:
        self.actions += record
        self.action_count += 1


def _text_action(code: int, text: str) -> bytes:
    """An action whose only field is a text, cut to 65535 bytes."""
    data = text.encode()[:65535]
    return _TEXT.pack(code, len(data)) + data


class BenchAdapter:
    """All instances of this process, and the numbered upstream lists that the protocol shares among them."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, ListEntries] = {}

    def answer_next_batch(self, source: BinaryIO) -> bytes | None:
        """Read one batch and return the reply to it; None at the end of the input. Errors: `FrameError`."""
        head = source.read(_BATCH_HEADER.size)
        if not head:
            return None
        if len(head) < _BATCH_HEADER.size:
            raise FrameError("the input ends inside a batch header")
        number, records, length, clock = _BATCH_HEADER.unpack(head)
        body = source.read(length)
        if len(body) < length:
            raise FrameError(f"the input ends inside batch {number}")
        try:
            active = self._process(body, records, clock / 1e3)
        except StructError as error:
            raise FrameError(f"batch {number}: malformed record ({error})") from error
        return self._reply(number, active)

    def _reply(self, number: int, active: dict[int, Instance]) -> bytes:
        """The reply to a batch: the actions of each instance, after its id."""
        parts: list[bytes] = []
        count = 0
        for instance_id, instance in active.items():
            if instance.action_count:
                parts += (_SENDER.pack(13, instance_id), bytes(instance.actions))
                count += 1 + instance.action_count
                instance.actions.clear()
                instance.action_count = 0
        actions = b"".join(parts)
        return _REPLY_HEADER.pack(number, count, len(actions)) + actions

    def _process(self, body: bytes, records: int, now: float) -> dict[int, Instance]:
        """Deliver all records of a batch; returns the instances that had an event."""
        active: dict[int, Instance] = {}
        offset, instance_id = 0, -1
        for _ in range(records):
            (code,) = _CODE.unpack_from(body, offset)
            offset += 2
            if code == 12:
                (instance_id,) = _U32.unpack_from(body, offset)
                offset += 4
            elif code == 11:
                offset = self._define_list(body, offset)
            elif code == 10:
                self._instances.pop(instance_id, None)
                active.pop(instance_id, None)
            elif code == 1:
                offset = self._start_instance(body, offset, instance_id, now)
                active[instance_id] = self._instances[instance_id]
            else:
                instance = self._instances.get(instance_id)
                if instance is not None:
                    active[instance_id] = instance
                offset += self._deliver_event(body, offset, code, instance, now)
        if offset != len(body):
            raise FrameError(f"{len(body) - offset} bytes follow the last record of a batch")
        return active

    def _define_list(self, body: bytes, offset: int) -> int:
        """Store a numbered list; returns the offset after it."""
        list_id, entries = _LIST_HEADER.unpack_from(body, offset)
        start = offset + _LIST_HEADER.size
        end: int = start + entries * _LIST_ENTRY.size
        if end > len(body):
            raise FrameError("an upstream list is longer than its batch")
        self._lists[list_id] = list(_LIST_ENTRY.iter_unpack(body[start:end]))
        return end

    def _start_instance(self, body: bytes, offset: int, instance_id: int, now: float) -> int:
        """Start an instance with its settings; returns the offset after them."""
        size: int
        seed, size = _START.unpack_from(body, offset)
        start = offset + _START.size
        if start + size > len(body):
            raise FrameError("the settings are longer than their batch")
        try:
            self._instances[instance_id] = Instance(seed, body[start : start + size], now)
        except config.ConfigError as error:
            raise FrameError(f"instance {instance_id}: unusable settings: {error}") from error
        return start + size

    def _deliver_event(
        self, body: bytes, offset: int, code: int, instance: Instance | None, now: float
    ) -> int:
        """Deliver one event to an instance; returns the size of the event's fields."""
        size: int
        call: Callable[..., None]
        fields: tuple[Any, ...]
        if code == 3:
            size, call, fields = _REQUEST.size, Instance.visit_arrived, _REQUEST.unpack_from(body, offset)
        elif code == 5:
            fields = _ANSWER_END.unpack_from(body, offset)
            floats = _FLOATS[fields[-1]]
            size, call = _ANSWER_END.size + floats.size, Instance.fetch_ended
            fields = (*fields[:-1], floats.unpack_from(body, offset + _ANSWER_END.size))
        elif code == 7:
            size, call, fields = 4, Instance.timer_fired, _U32.unpack_from(body, offset)
        elif code == 8:
            fields = _PROBE_RESULT.unpack_from(body, offset)
            floats = _FLOATS[fields[-1]]
            size, call = _PROBE_RESULT.size + floats.size, Instance.probe_ended
            fields = (*fields[:-1], floats.unpack_from(body, offset + _PROBE_RESULT.size))
        elif code == 2:
            kind, list_id, _ = _LIST_UPDATE.unpack_from(body, offset)
            if kind != _LIST_CALL_FAILED and list_id not in self._lists:
                raise FrameError(f"a list update names list {list_id}, which is not defined")
            size, call, fields = (
                _LIST_UPDATE.size,
                Instance.list_updated,
                (kind, self._lists.get(list_id, [])),
            )
        elif code == 6:
            size, call, fields = 4, Instance.client_left, _U32.unpack_from(body, offset)
        elif code == 4:
            return _ANSWER_HEAD.size  # no path prefix streams answers, and their end is an event of its own
        elif code == 9:
            size = _MESSAGE_IN.size + _MESSAGE_IN.unpack_from(body, offset)[1]
            call, fields = Instance.message_received, (body[offset + _MESSAGE_IN.size : offset + size],)
        else:
            raise FrameError(f"unknown event code {code}")
        if instance is not None:
            try:
                call(instance, now, *fields)
            except Exception as error:  # reported by an action of its own, for this instance alone
                instance.report_crash(error)
        return size
