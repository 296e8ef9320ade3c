"""The stand-in list service: the list protocol over HTTP, a queue of calls, and its faults.

`UpstreamList` holds the list and its changes by version; `lab/turns.py` decides when a call is served or
refused; neither does I/O. Each balancer gets upstream addresses of its own: those of its links.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import httptools
import msgspec

from ospreyline.lab.turns import Turns
from ospreyline.rig.worker import Worker

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends RST
ARRIVING_BYTES = (0, 1, 4, 0, 40)  # bytes of a lost write that arrive before the reset, in rotation
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
LOSS_PREFIX = "registry-lost-"  # of fault kinds; the rest of the kind is `Loss.end`
REFUSAL_DELAY_MS = 2_000.0  # how long a call waits for its 503 if the loss is `silent`
KEEPALIVE_INTERVAL_MS = 2_000.0  # between empty lines on watches


class Loss(msgspec.Struct, frozen=True):
    """What happens to a lost write, and to the calls after it."""

    end: str  # how the connection ends: last-chunk, fin, reset or silence
    arriving_bytes: int  # of the write, before the end
    refuse_ms: float  # calls are refused with 503 for so long after it
    refusal_delay_ms: float  # until such a call gets its 503


class UpstreamList:
    """The upstream list: its entries, and in which version each changed."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.version = 1
        self._first_entries = [dict(entry) for entry in entries]
        self.entries = {entry["uid"]: entry for entry in entries}
        self._changed_in: dict[str, int] = {}  # version of the last change, by uid
        self._left: dict[str, dict[str, Any]] = {}

    def change(self, uid: str, **values: Any) -> None:
        """Change or add an entry, which makes a new version."""
        entry = {**(self.entries.get(uid) or self._left.get(uid) or {"uid": uid}), **values}
        self.version += 1
        self._changed_in[uid] = self.version
        if entry.get("state") == "left":
            self.entries.pop(uid, None)
            self._left[uid] = entry
        else:
            self._left.pop(uid, None)
            self.entries[uid] = entry

    def all_entries(self) -> list[dict[str, Any]]:
        return list(self.entries.values())

    def first_entries(self) -> list[dict[str, Any]]:
        """The list as it was at the start."""
        return self._first_entries

    def changes_since(self, version: int) -> list[dict[str, Any]] | None:
        """The entries that changed after a version, oldest change first; None for an unknown version."""
        if not 0 < version <= self.version:
            return None
        return [
            self.entries.get(uid) or self._left[uid]
            for uid, at in sorted(self._changed_in.items(), key=lambda item: item[1])
            if at > version
        ]


class Call(asyncio.Protocol):
    """One connection to the service, with one list call: a poll or a watch."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.transport: Any = None
        self.balancer = ""
        self.watching = False
        self.version = 0
        self.last_sent_at = service.worker.clock.now  # ms; when it was accepted, until then
        self._path = b""
        self._parser: Any = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.balancer = self.service.balancer_names.get(transport.get_extra_info("peername")[0], "")
        self.service.open_calls[self] = None

    def data_received(self, data: bytes) -> None:
        self.service.worker.clock.tick()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.service.open_calls.pop(self, None)
        self.watching = False

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_message_complete(self) -> None:
        path, _, query = self._path.decode("latin-1").partition("?")
        self._path = b""
        parameters = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path != "/registry/instances":
            self.respond(404, b"")
            return
        after = parameters.get("after", "0")
        self.service.on_call(self, parameters.get("watch") == "1", int(after) if after.isdigit() else 0)

    def respond(self, status: int, body: bytes, headers: bytes = b"") -> None:
        reason = {200: b"OK", 404: b"Not Found", 503: b"Service Unavailable"}[status]
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %d %b\r\n%bConnection: close\r\nContent-Length: %d\r\n\r\n%b"
                % (status, reason, headers, len(body), body)
            )
            self.transport.close()

    def reset(self) -> None:
        """Close the connection by a reset."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def send_chunk(self, data: bytes) -> None:
        self.send(as_chunk(data))

    def send(self, data: bytes) -> None:
        if data and self.transport is not None and not self.transport.is_closing():
            self.last_sent_at = self.service.worker.clock.now
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection in order, after what has been sent."""
        if self.transport is not None:
            self.transport.close()


def as_chunk(data: bytes) -> bytes:
    """As one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Service:
    """The list service process."""

    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self.open_calls: dict[Call, None] = {}
        self.balancer_names: dict[str, str] = setup["named"]  # by the source address of their calls
        self.upstream_list = UpstreamList(setup["entries"])
        # upstream addresses by balancer and machine
        self.endpoints: dict[str, dict[str, str]] = setup["endpoints"]
        self._at: tuple[str, int] = (setup["listen"], 0)
        per_s = setup["calls_per_s"]
        self.turns = Turns(1e3 / per_s if per_s else 0.0, setup["queue"])
        self._retry_after: float = setup["retry_after_s"]
        self._period: float = setup["period_ms"]
        self._server: asyncio.Server | None = None
        self.faults: dict[str, int] = {}  # active faults by kind
        self._swapped_machines: dict[str, str] = {}  # by uid: the machine whose address is listed instead
        self._notify_scheduled = False
        self._lost_writes = 0  # writes lost to `registry-lost` so far
        self._active_losses: list[Loss] = []  # the last one applies
        self._refuse_until = self._refusal_delay_ms = 0.0  # refusal of calls after a loss

    async def begin(self) -> None:
        await self._listen()
        self.worker.clock.after(KEEPALIVE_INTERVAL_MS, self._send_keepalives)
        self.worker.notify("listening", at=self._at)

    async def _listen(self) -> None:
        self._server = await self.worker.loop.create_server(
            lambda: Call(self), *self._at, backlog=1024, reuse_address=True
        )
        self._at = self._server.sockets[0].getsockname()

    def _is_active(self, kind: str) -> bool:
        return self.faults.get(kind, 0) > 0

    # calls

    def on_call(self, call: Call, watch: bool, after: int) -> None:
        now = self.worker.clock.now
        refusing = now < self._refuse_until
        delay = None if refusing or self._is_active("registry-full") else self.turns.call(now)
        self.worker.row(
            "call",
            b=call.balancer,
            watch=watch,
            after=after,
            refused=delay is None,
            queue=self.turns.waiting(now),
        )
        if delay is None:
            retry_after = b"Retry-After: %g\r\n" % self._retry_after if self._retry_after else b""
            if refusing and self._refusal_delay_ms:
                self.worker.clock.after(self._refusal_delay_ms, call.respond, 503, b"", retry_after)
            else:
                call.respond(503, b"", retry_after)
        else:
            self.worker.clock.after(delay, self._answer_call, call, watch, after)

    def _answer_call(self, call: Call, watch: bool, after: int) -> None:
        if call.transport is None or call.transport.is_closing():
            return
        if not watch:
            line = self._list_line(call, whole=True, entries=self.upstream_list.all_entries())
            if self._active_losses:
                self._lose_write(call, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
            else:
                call.respond(200, line)
            return
        # the head is part of a response that is lost
        sends_line = not self._is_active("registry-hang") and not self._is_active("registry-half")
        head = HEAD if self._active_losses and sends_line else b""
        if not head:
            call.send(HEAD)
        if self._is_active("registry-hang"):
            return
        changes = self.upstream_list.changes_since(after)
        if self._is_active("registry-back"):
            whole, entries = True, self.upstream_list.first_entries()
        else:
            whole, entries = changes is None, self.upstream_list.all_entries() if changes is None else changes
        line = self._list_line(call, whole, entries)
        if self._is_active("registry-half"):
            call.send_chunk(line[: len(line) // 2])
            self.worker.clock.after(5.0, call.transport.abort)
            return
        call.watching = True
        call.version = self.upstream_list.version
        self._write_line(call, line, head)

    def _write_line(self, call: Call, line: bytes, head: bytes = b"") -> None:
        """Write a line of a watch; a loss fault may drop it, which the service does not notice."""
        if self._active_losses:
            self._lose_write(call, head + as_chunk(line), head, line)
            return
        if not self._is_active("registry-lost"):
            call.send_chunk(line)
            return
        call.watching = False
        arriving_bytes = ARRIVING_BYTES[self._lost_writes % len(ARRIVING_BYTES)]
        self._lost_writes += 1
        if arriving_bytes and call.transport is not None and not call.transport.is_closing():
            call.transport.write((b"%x\r\n%b\r\n" % (len(line), line))[:arriving_bytes])
        # the bytes that arrive are on their way before the reset is
        self.worker.clock.after(1.0 if arriving_bytes else 0.0, call.reset)

    def _lose_write(self, call: Call, data: bytes, head: bytes = b"", line: bytes = b"") -> None:
        """Send only the first bytes of a write and end the call; `line`: of a watch, behind `head`."""
        loss = self._active_losses[-1]
        call.watching = False
        if loss.refuse_ms:
            now = self.worker.clock.now
            self._refuse_until, self._refusal_delay_ms = (
                max(self._refuse_until, now + loss.refuse_ms),
                loss.refusal_delay_ms,
            )
        if loss.end == "last-chunk" and line:
            # as a proxy that re-chunks does: a well-formed end even after part of a line
            call.send(
                head + (as_chunk(line[: loss.arriving_bytes]) if loss.arriving_bytes else b"") + LAST_CHUNK
            )
            call.close()
            return
        call.send(data[: loss.arriving_bytes])
        if loss.end == "reset":
            # the bytes that arrive are on their way before the reset is
            self.worker.clock.after(1.0 if loss.arriving_bytes else 0.0, call.reset)
        elif loss.end != "silence":
            call.close()

    def _list_line(self, call: Call, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        version = 1 if self._is_active("registry-back") else self.upstream_list.version
        addresses = self.endpoints.get(call.balancer, {})
        targets = []
        for entry in entries:
            machine = self._swapped_machines.get(entry["uid"], str(entry.get("machine", "")))
            targets.append({**entry, "endpoint": addresses.get(machine, "")})
        loss = self._active_losses[-1].end if self._active_losses else ""
        silence_fields = {"heard": round(call.last_sent_at, 3)} if loss == "silence" else {}
        self.worker.row(
            "told",
            b=call.balancer,
            rev=version,
            whole=whole,
            lost=loss,
            **silence_fields,
            states=[(e["uid"], e["state"]) for e in targets],
        )
        return msgspec.json.encode({"rev": version, "all": whole, "targets": targets}) + b"\n"

    def _send_keepalives(self) -> None:
        self.worker.clock.after(KEEPALIVE_INTERVAL_MS, self._send_keepalives)
        for call in self.open_calls:
            if call.watching:
                call.send_chunk(b"\n")

    # changes and faults

    def _notify_watches(self) -> None:
        self._notify_scheduled = False
        for call in list(self.open_calls):
            if call.watching and call.version < self.upstream_list.version:
                entries = self.upstream_list.changes_since(call.version) or []
                call.version = self.upstream_list.version
                self._write_line(call, self._list_line(call, False, entries))

    async def execute(self, order: dict[str, Any]) -> None:
        if order["do"] == "change":
            for change in order["entries"]:
                self.upstream_list.change(**change)
            if not self._notify_scheduled:
                self._notify_scheduled = True
                self.worker.clock.after(self._period, self._notify_watches)
        elif order["do"] == "fault":
            kind, active = order["kind"], order["on"]
            self.faults[kind] = self.faults.get(kind, 0) + active
            if kind.startswith(LOSS_PREFIX):
                loss = Loss(
                    kind.removeprefix(LOSS_PREFIX),
                    int(order["size"]),
                    1e3 * order["extra"],
                    REFUSAL_DELAY_MS if order["silent"] else 0.0,
                )
                if active > 0:
                    self._active_losses.append(loss)
                else:
                    self._active_losses.remove(loss)
            if kind == "registry-down":
                await self._set_down(active > 0)
            elif kind == "registry-swap":
                uids, machines = order["uids"], [str(m) for m in order["machines"]]
                self._swapped_machines = (
                    dict(zip(uids, machines[1:] + machines[:1], strict=True)) if active > 0 else {}
                )
                self._touch_entries(uids)
            elif kind in ("registry-full", "registry-hang", "registry-half", "registry-back") and active > 0:
                self._abort_calls()
        self.worker.notify("done", order=order["order"])

    def _touch_entries(self, uids: list[str]) -> None:
        for uid in uids:
            if uid in self.upstream_list.entries:
                self.upstream_list.change(uid)
        self._notify_watches()

    def _abort_calls(self) -> None:
        for call in list(self.open_calls):
            if call.transport is not None:
                call.transport.abort()

    async def _set_down(self, down: bool) -> None:
        if self._is_active("registry-down") and self._server is not None:
            self._server.close()
            self._server = None
            self._abort_calls()
        elif not self._is_active("registry-down") and self._server is None:
            await self._listen()

    async def end(self) -> None:
        self.worker.row(
            "turns", longest=self.turns.longest, calls=self.turns.calls, refused=self.turns.refused
        )
        self._abort_calls()


def make(worker: Worker, setup: dict[str, Any]) -> Service:
    return Service(worker, setup)
