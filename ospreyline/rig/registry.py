"""The stand-in list service: discovery's protocol, calls worked through in turn, and the ways it fails.

`Listing` holds what the list says and what it said before, `lab/turns.py` when a call is served and which
are refused; both are without I/O. Each balancer is told addresses of its own, those of its links.
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

RESETS = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
LOST_BUT_FOR = (0, 1, 4, 0, 40)  # bytes of a writing that arrive before the reset that takes the rest away
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
LOSES = "registry-lost-"  # of a kind of fault, behind which the end stands that takes the writing's place
AWAY_WAIT = 2_000.0  # ms until a call is turned away that is let wait first
EMPTY_LINE = 2_000.0  # ms between two lines of a watch that has nothing to tell


class Loss(msgspec.Struct, frozen=True):
    """What becomes of a writing that is lost, and of the calls after it."""

    end: str  # last-chunk, fin, reset or silence
    arrives: int  # bytes of it
    away: float  # ms for which the service turns calls away after it
    wait: float  # ms that such a call waits for its answer


class Listing:
    """What the list says of each upstream, by version."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.rev = 1
        self._first = [dict(entry) for entry in entries]
        self.entries = {entry["uid"]: entry for entry in entries}
        self._changed: dict[str, int] = {}  # the version in which each was changed last
        self._left: dict[str, dict[str, Any]] = {}

    def change(self, uid: str, **values: Any) -> None:
        """One entry changes: a new version."""
        entry = {**(self.entries.get(uid) or self._left.get(uid) or {"uid": uid}), **values}
        self.rev += 1
        self._changed[uid] = self.rev
        if entry.get("state") == "left":
            self.entries.pop(uid, None)
            self._left[uid] = entry
        else:
            self._left.pop(uid, None)
            self.entries[uid] = entry

    def whole(self) -> list[dict[str, Any]]:
        return list(self.entries.values())

    def oldest(self) -> list[dict[str, Any]]:
        """The list as it was at the start."""
        return self._first

    def since(self, rev: int) -> list[dict[str, Any]] | None:
        """What changed after a version; None if the version is none of ours."""
        if not 0 < rev <= self.rev:
            return None
        return [
            self.entries.get(uid) or self._left[uid]
            for uid, at in sorted(self._changed.items(), key=lambda item: item[1])
            if at > rev
        ]


class Call(asyncio.Protocol):
    """One connection to the service; it carries one call."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.transport: Any = None
        self.balancer = ""
        self.watching = False
        self.rev = 0
        self.heard = service.worker.clock.now  # when the last byte was sent, or it came up
        self._path = b""
        self._parser: Any = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.balancer = self.service.named.get(transport.get_extra_info("peername")[0], "")
        self.service.open[self] = None

    def data_received(self, data: bytes) -> None:
        self.service.worker.clock.tick()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.service.open.pop(self, None)
        self.watching = False

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_message_complete(self) -> None:
        path, _, query = self._path.decode("latin-1").partition("?")
        self._path = b""
        words = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path != "/registry/instances":
            self.plain(404, b"")
            return
        after = words.get("after", "0")
        self.service.called(self, words.get("watch") == "1", int(after) if after.isdigit() else 0)

    def plain(self, status: int, body: bytes, fields: bytes = b"") -> None:
        word = {200: b"OK", 404: b"Not Found", 503: b"Service Unavailable"}[status]
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(
                b"HTTP/1.1 %d %b\r\n%bConnection: close\r\nContent-Length: %d\r\n\r\n%b"
                % (status, word, fields, len(body), body)
            )
            self.transport.close()

    def reset(self) -> None:
        """End the connection by a reset, not in order."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
            self.transport.abort()

    def chunk(self, data: bytes) -> None:
        self.send(chunked(data))

    def send(self, data: bytes) -> None:
        if data and self.transport is not None and not self.transport.is_closing():
            self.heard = self.service.worker.clock.now
            self.transport.write(data)

    def close(self) -> None:
        """End the connection in order, behind what has been sent."""
        if self.transport is not None:
            self.transport.close()


def chunked(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Service:
    """The list service."""

    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self.open: dict[Call, None] = {}
        self.named: dict[str, str] = setup["named"]  # balancers by the address that their calls come from
        self.listing = Listing(setup["entries"])
        # where each balancer reaches each machine
        self.endpoints: dict[str, dict[str, str]] = setup["endpoints"]
        self._at: tuple[str, int] = (setup["listen"], 0)
        per_s = setup["calls_per_s"]
        self.turns = Turns(1e3 / per_s if per_s else 0.0, setup["queue"])
        self._retry_after: float = setup["retry_after_s"]
        self._period: float = setup["period_ms"]
        self._server: asyncio.Server | None = None
        self.faults: dict[str, int] = {}  # how many faults of a kind are on
        self._swapped: dict[str, str] = {}  # by id: the machine that is named in place of its own
        self._due = False
        self._lost = 0  # writings so far
        self._losses: list[Loss] = []  # that are on; the last of them counts
        self._away_until = self._away_wait = 0.0  # calls are turned away after a loss

    async def begin(self) -> None:
        await self._listen()
        self.worker.clock.after(EMPTY_LINE, self._empty_lines)
        self.worker.say("listening", at=self._at)

    async def _listen(self) -> None:
        self._server = await self.worker.loop.create_server(
            lambda: Call(self), *self._at, backlog=1024, reuse_address=True
        )
        self._at = self._server.sockets[0].getsockname()

    def _on(self, kind: str) -> bool:
        return self.faults.get(kind, 0) > 0

    # calls

    def called(self, call: Call, watch: bool, after: int) -> None:
        now = self.worker.clock.now
        away = now < self._away_until
        waits = None if away or self._on("registry-full") else self.turns.call(now)
        self.worker.row(
            "call",
            b=call.balancer,
            watch=watch,
            after=after,
            refused=waits is None,
            queue=self.turns.waiting(now),
        )
        if waits is None:
            said = b"Retry-After: %g\r\n" % self._retry_after if self._retry_after else b""
            if away and self._away_wait:
                self.worker.clock.after(self._away_wait, call.plain, 503, b"", said)
            else:
                call.plain(503, b"", said)
        else:
            self.worker.clock.after(waits, self._served, call, watch, after)

    def _served(self, call: Call, watch: bool, after: int) -> None:
        if call.transport is None or call.transport.is_closing():
            return
        if not watch:
            line = self._line(call, whole=True, entries=self.listing.whole())
            if self._losses:
                self._lose(call, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
            else:
                call.plain(200, line)
            return
        # of an answer that is lost the head is a part
        answers = not self._on("registry-hang") and not self._on("registry-half")
        head = HEAD if self._losses and answers else b""
        if not head:
            call.send(HEAD)
        if self._on("registry-hang"):
            return
        changes = self.listing.since(after)
        if self._on("registry-back"):
            whole, entries = True, self.listing.oldest()
        else:
            whole, entries = changes is None, self.listing.whole() if changes is None else changes
        line = self._line(call, whole, entries)
        if self._on("registry-half"):
            call.chunk(line[: len(line) // 2])
            self.worker.clock.after(5.0, call.transport.abort)
            return
        call.watching = True
        call.rev = self.listing.rev
        self._write(call, line, head)

    def _write(self, call: Call, line: bytes, head: bytes = b"") -> None:
        """A line goes out, or is lost on its way; either way it has been written."""
        if self._losses:
            self._lose(call, head + chunked(line), head, line)
            return
        if not self._on("registry-lost"):
            call.chunk(line)
            return
        call.watching = False
        arrives = LOST_BUT_FOR[self._lost % len(LOST_BUT_FOR)]
        self._lost += 1
        if arrives and call.transport is not None and not call.transport.is_closing():
            call.transport.write((b"%x\r\n%b\r\n" % (len(line), line))[:arrives])
        # the bytes that arrive are on their way before the reset is
        self.worker.clock.after(1.0 if arrives else 0.0, call.reset)

    def _lose(self, call: Call, writing: bytes, head: bytes = b"", line: bytes = b"") -> None:
        """A writing is lost but for its first bytes; `line`: it is one of a watch, behind the `head`."""
        loss = self._losses[-1]
        call.watching = False
        if loss.away:
            now = self.worker.clock.now
            self._away_until, self._away_wait = max(self._away_until, now + loss.away), loss.wait
        if loss.end == "last-chunk" and line:
            # chunked anew by what passes it on, so that its end is in form behind a part of a line, too
            call.send(head + (chunked(line[: loss.arrives]) if loss.arrives else b"") + LAST_CHUNK)
            call.close()
            return
        call.send(writing[: loss.arrives])
        if loss.end == "reset":
            # the bytes that arrive are on their way before the reset is
            self.worker.clock.after(1.0 if loss.arrives else 0.0, call.reset)
        elif loss.end != "silence":
            call.close()

    def _line(self, call: Call, whole: bool, entries: list[dict[str, Any]]) -> bytes:
        rev = 1 if self._on("registry-back") else self.listing.rev
        own = self.endpoints.get(call.balancer, {})
        told = []
        for entry in entries:
            machine = self._swapped.get(entry["uid"], str(entry.get("machine", "")))
            told.append({**entry, "endpoint": own.get(machine, "")})
        loss = self._losses[-1].end if self._losses else ""
        silent = {"heard": round(call.heard, 3)} if loss == "silence" else {}
        self.worker.row(
            "told",
            b=call.balancer,
            rev=rev,
            whole=whole,
            lost=loss,
            **silent,
            states=[(e["uid"], e["state"]) for e in told],
        )
        return msgspec.json.encode({"rev": rev, "all": whole, "targets": told}) + b"\n"

    def _empty_lines(self) -> None:
        self.worker.clock.after(EMPTY_LINE, self._empty_lines)
        for call in self.open:
            if call.watching:
                call.chunk(b"\n")

    # what happens

    def _tell(self) -> None:
        self._due = False
        for call in list(self.open):
            if call.watching and call.rev < self.listing.rev:
                entries = self.listing.since(call.rev) or []
                call.rev = self.listing.rev
                self._write(call, self._line(call, False, entries))

    async def told(self, order: dict[str, Any]) -> None:
        if order["do"] == "change":
            for change in order["entries"]:
                self.listing.change(**change)
            if not self._due:
                self._due = True
                self.worker.clock.after(self._period, self._tell)
        elif order["do"] == "fault":
            kind, on = order["kind"], order["on"]
            self.faults[kind] = self.faults.get(kind, 0) + on
            if kind.startswith(LOSES):
                loss = Loss(
                    kind.removeprefix(LOSES),
                    int(order["size"]),
                    1e3 * order["extra"],
                    AWAY_WAIT if order["silent"] else 0.0,
                )
                if on > 0:
                    self._losses.append(loss)
                else:
                    self._losses.remove(loss)
            if kind == "registry-down":
                await self._down(on > 0)
            elif kind == "registry-swap":
                uids, machines = order["uids"], [str(m) for m in order["machines"]]
                self._swapped = dict(zip(uids, machines[1:] + machines[:1], strict=True)) if on > 0 else {}
                self._retell(uids)
            elif kind in ("registry-full", "registry-hang", "registry-half", "registry-back") and on > 0:
                self._end_watches()
        self.worker.say("done", order=order["order"])

    def _retell(self, uids: list[str]) -> None:
        for uid in uids:
            if uid in self.listing.entries:
                self.listing.change(uid)
        self._tell()

    def _end_watches(self) -> None:
        for call in list(self.open):
            if call.transport is not None:
                call.transport.abort()

    async def _down(self, down: bool) -> None:
        if self._on("registry-down") and self._server is not None:
            self._server.close()
            self._server = None
            self._end_watches()
        elif not self._on("registry-down") and self._server is None:
            await self._listen()

    async def end(self) -> None:
        self.worker.row(
            "turns", longest=self.turns.longest, calls=self.turns.calls, refused=self.turns.refused
        )
        self._end_watches()


def make(worker: Worker, setup: dict[str, Any]) -> Service:
    return Service(worker, setup)
