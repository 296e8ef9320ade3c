"""Stand-ins for the cases 6 to 10: clients, upstreams, the list service, a link that can be cut, balancers.

Standard library only, loopback addresses only. All stand-ins of a case run in the process of the case; each
balancer is a process of its own, started with the `run` line of `deploy/balancer.toml`.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from zlib import crc32

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; nothing was shown."""


class Record:
    """`record.txt` of a case: what was sent, answered and run, in seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()
        self.line("start", trouble=TROUBLE)

    def now(self) -> float:
        return time.monotonic() - self._start

    def line(self, what: str, **values: object) -> None:
        text = " ".join(f"{key}={value}" for key, value in values.items())
        self._file.write(f"{self.now():9.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


# HTTP


@dataclass
class Message:
    """One request or answer: its first line, fields by lower-case name, and body."""

    start: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        return int(self.start.split()[1])

    @property
    def path(self) -> str:
        return self.start.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with a Content-Length, or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(start, fields, body)


def answer(status: int, body: bytes = b"", fields: str = "") -> bytes:
    reason = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    return f"HTTP/1.1 {status} {reason}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


# upstreams


@dataclass
class Arrival:
    """A request that has come whole at an upstream."""

    at: float
    upstream: str
    trace: str
    body: str
    key: str


@dataclass
class Upstream:
    """An upstream. `serve` answers one request, or returns b"" to reset the connection."""

    uid: str
    az: str
    record: Record
    serve: Callable[[Arrival], Awaitable[bytes]]
    pod_group: int = 1
    boot_ms: int = 0
    state: str = "active"
    port: int = 0
    arrivals: list[Arrival] = field(default_factory=list)

    async def start(self) -> None:
        server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.az,
            "model": "m1",
            "pod_group": self.pod_group,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await read_message(reader)
                if request.path in ("/health/live", "/stats"):
                    writer.write(answer(200, b"TEXT util=0.2"))
                    continue
                arrival = Arrival(
                    self.record.now(),
                    self.uid,
                    request.fields.get("x-trace-id", ""),
                    request.body.decode(),
                    request.fields.get("idempotency-key", ""),
                )
                self.arrivals.append(arrival)
                self.record.line(
                    "upstream got", uid=self.uid, id=arrival.trace, key=arrival.key, body=arrival.body
                )
                data = await self.serve(arrival)
                if not data:
                    self.record.line("upstream resets", uid=self.uid, id=arrival.trace)
                    writer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        writer.close()


# the list service


class Registry:
    """The list service: the whole list, and watches that bring each change at once."""

    def __init__(self, record: Record, upstreams: list[Upstream]) -> None:
        self.record = record
        self.rev = 1
        self.port = 0
        self._entries = {u.uid: (1, u.entry()) for u in upstreams}
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        targets = [entry for _, entry in self._entries.values() if entry["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": targets}

    def change(self, upstream: Upstream, state: str) -> None:
        """Lists an upstream anew, and writes that to all watches."""
        upstream.state = state
        self.rev += 1
        self._entries[upstream.uid] = (self.rev, upstream.entry())
        self.record.line("list changes", rev=self.rev, uid=upstream.uid, state=state)
        self._write({"rev": self.rev, "all": False, "targets": [upstream.entry()]})

    def _write(self, update: dict[str, Any] | None) -> None:
        line = b"" if update is None else json.dumps(update).encode()
        for watch in list(self._watches):
            watch.write(_chunk(line + b"\n"))

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                if "watch=1" not in request.path:
                    writer.write(answer(200, json.dumps(self.whole()).encode()))
                    continue
                after = int(request.path.rpartition("after=")[2])
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if 0 < after < self.rev:
                    news = [entry for rev, entry in self._entries.values() if rev > after]
                    first: dict[str, Any] = {"rev": self.rev, "all": False, "targets": news}
                else:
                    first = self.whole()
                writer.write(_chunk(json.dumps(first).encode() + b"\n"))
                self._watches.add(writer)
                while not writer.is_closing():
                    with suppress(TimeoutError):
                        async with asyncio.timeout(2.0):
                            if not await reader.read(4096):
                                return
                    writer.write(_chunk(b"\n"))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class CutLink:
    """A proxy to the list service whose machine can be cut off: open connections stay open and silent, new
    ones never come up."""

    def __init__(self, to: int) -> None:
        self._to = to
        self.cut = False
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen(1)
        self._socket.setblocking(False)
        self.port = int(self._socket.getsockname()[1])
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self._socket)
            task = asyncio.create_task(self._pass_on(conn))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass_on(self, conn: socket.socket) -> None:
        near = await asyncio.open_connection(sock=conn)
        far = await asyncio.open_connection("127.0.0.1", self._to)
        await asyncio.gather(self._copy(near[0], far[1]), self._copy(far[0], near[1]))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.cut:
                    continue
                writer.write(data)
        if not self.cut:
            writer.close()

    def cut_off(self) -> None:
        """From now on nothing passes; the listener's queue is filled, so new connections never come up."""
        self.cut = True
        self._accepting.cancel()
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self._fillers.append(filler)


async def resetting_proxy(to: int, after_s: float) -> int:
    """The port of a proxy for one connection to a balancer, which it resets on both sides after `after_s`."""

    async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(65_536):
                writer.write(data)

    async def connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far = await asyncio.open_connection("127.0.0.1", to)
        copies = [asyncio.create_task(copy(reader, far[1])), asyncio.create_task(copy(far[0], writer))]
        await asyncio.sleep(after_s)
        for each in (writer, far[1]):
            each.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            each.transport.abort()
        await asyncio.gather(*copies)
        server.close()

    server = await asyncio.start_server(connection, "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1])


# clients


async def ask(
    record: Record,
    port: int,
    path: str,
    trace: str,
    wait_s: float,
    body: str = "",
    key: str = "",
    fields: str = "",
) -> Message | None:
    """One request of a client on a connection of its own; None if that ended with no whole answer."""
    method = "POST" if body else "GET"
    prefix = path.split("/")[1]
    lines = f"{method} {path} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {trace}\r\nX-Qos: {prefix}\r\n"
    lines += f"X-Expires-In: {wait_s:.3f}\r\n{fields}"
    if key:
        lines += f"Idempotency-Key: {key}\r\n"
    if body:
        lines += f"Content-Length: {len(body)}\r\n"
    record.line("client sends", id=trace, to=port, path=path, body=body, key=key)
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{lines}\r\n{body}".encode())
        async with asyncio.timeout(wait_s + 0.6):
            reply = await read_message(reader)
    except TimeoutError:
        record.line("client got nothing", id=trace)
        return None
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        record.line("client's connection ended", id=trace, why=type(error).__name__)
        return None
    finally:
        if writer is not None:
            writer.close()
    record.line("client got", id=trace, status=reply.status, body=reply.body.decode(errors="replace").strip())
    return reply


async def accepts(port: int) -> bool:
    """Whether a connection to a balancer comes up."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


# balancers


class Balancer:
    """One balancer, started as the operators do."""

    def __init__(
        self, record: Record, folder: Path, name: str, config: dict[str, Any], operator: str = ""
    ) -> None:
        self.record, self.folder, self.name, self.operator = record, folder, name, operator
        self.port = free_port()
        self.config = {**config, "name": name, "listen": f"127.0.0.1:{self.port}"}
        self.file = folder / f"{name}.json"
        self.log = (folder / f"{name}.log").open("ab")
        self._seed = 1
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        self._seed += 1
        self.write_config({**self.config, "seed": f"{crc32(self.name.encode()):x}{self._seed:04x}"})
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {**os.environ, "PROXY_CONFIG": str(self.file), "TMPDIR": str(self.folder)}
        for name in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "OSPREYLINE_OPERATOR", "PYTHONPATH"):
            env.pop(name, None)
        if self.operator:
            (self.folder / f"{self.name}.toml").write_text(self.operator)
            env["OSPREYLINE_OPERATOR"] = str(self.folder / f"{self.name}.toml")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=self.log, stderr=subprocess.STDOUT
        )
        self.record.line("balancer starts", name=self.name, pid=self.process.pid, port=self.port)

    def write_config(self, config: dict[str, Any]) -> None:
        """Replaces the file of the configuration as a whole."""
        text = json.dumps(config)
        (self.folder / f"{self.name}.new").write_text(text)
        (self.folder / f"{self.name}.new").replace(self.file)

    async def ready(self, within_s: float = 30.0) -> None:
        end = time.monotonic() + within_s
        while time.monotonic() < end:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended at its start")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
                    reply = await read_message(reader)
                    writer.close()
                    if reply.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} was not ready in {within_s:.0f} s")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record.line("signal", name=self.name, signal=number.name)
        self.process.send_signal(number)
        if number is signal.SIGKILL:
            self.process.wait()

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


def play(case: Callable[[Record, Path, list[Balancer]], Awaitable[int]], folder: Path) -> None:
    """Plays a case and exits with its status; ends all balancers that it started."""
    record = Record(folder)
    balancers: list[Balancer] = []

    async def within_its_time(temporary: str) -> int:
        try:
            async with asyncio.timeout(110.0):
                return await case(record, Path(temporary), balancers)
        except CannotRun as error:
            record.line("cannot run", why=error)
        except (TimeoutError, OSError) as error:
            record.line("cannot run", why=repr(error))
        return CANNOT_RUN

    async def whole() -> None:
        with tempfile.TemporaryDirectory() as temporary:
            status = CANNOT_RUN
            try:
                status = await within_its_time(temporary)
            finally:
                for balancer in balancers:
                    balancer.end()
                if keep := os.environ.get("KEEP_LOGS"):
                    for log in Path(temporary).glob("*.log"):
                        (Path(keep) / log.name).write_bytes(log.read_bytes())
        record.line("verdict", status=status)
        print(
            {HOLDS: "the rule held", BROKEN: "the rule was broken"}.get(status, "could not run"), flush=True
        )
        os._exit(status)  # the stand-ins need not be taken down one by one

    asyncio.run(whole())
    sys.exit(CANNOT_RUN)
