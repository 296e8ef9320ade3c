"""What passes on one connection, read along: whole requests and whole answers, each once.

Pure: bytes and the time in, values out. What cannot be read ends the reading, never the passing on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import httptools


@dataclass(slots=True)
class Asked:
    """A request, from its first byte on the wire."""

    first: float  # ms
    last: float = 0.0  # ms; of its last byte
    id: str = ""
    prefix: str = ""
    method: str = ""


@dataclass(slots=True, frozen=True)
class Answered:
    """A whole final answer."""

    at: float
    status: int
    never_ran: bool


class Reading:
    """One connection, both ways."""

    __slots__ = ("_answers", "_asked", "_done", "_never", "_now", "_path", "_requests", "_said", "broken")

    def __init__(self) -> None:
        self._requests: Any = httptools.HttpRequestParser(_Requests(self))
        self._answers: Any = httptools.HttpResponseParser(_Answers(self))
        self._asked: Asked | None = None
        self._done: list[Asked] = []
        self._said: list[Answered] = []
        self._never = False
        self._path = b""
        self._now = 0.0
        self.broken = False  # what passes cannot be read

    def sent(self, now: float, data: bytes) -> list[Asked]:
        """Bytes towards the server: the requests whose last byte is among them."""
        return self._feed(self._requests, now, data, self._done)

    def came(self, now: float, data: bytes) -> list[Answered]:
        """Bytes back: the answers whose last byte is among them."""
        return self._feed(self._answers, now, data, self._said)

    def _feed(self, parser: Any, now: float, data: bytes, found: list[Any]) -> list[Any]:
        if self.broken:
            return []
        self._now = now
        try:
            parser.feed_data(data)
        except httptools.HttpParserError:
            self.broken = True
        out = list(found)
        found.clear()
        return out

    @property
    def unfinished(self) -> Asked | None:
        """A request of which some bytes have passed, not the last."""
        return self._asked


class _Requests:
    __slots__ = ("_of",)

    def __init__(self, of: Reading) -> None:
        self._of = of

    def on_message_begin(self) -> None:
        self._of._asked = Asked(self._of._now)
        self._of._path = b""

    def on_url(self, url: bytes) -> None:
        self._of._path += url  # it may come in pieces

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._of._asked is not None and name.lower() == b"x-trace-id":
            self._of._asked.id = value.decode("latin-1").strip()

    def on_message_complete(self) -> None:
        asked, self._of._asked = self._of._asked, None
        if asked is not None:
            asked.last = self._of._now
            asked.prefix = self._of._path.split(b"?")[0].lstrip(b"/").split(b"/")[0].decode("latin-1")
            asked.method = self._of._requests.get_method().decode("latin-1")
            self._of._done.append(asked)


class _Answers:
    __slots__ = ("_of",)

    def __init__(self, of: Reading) -> None:
        self._of = of

    def on_message_begin(self) -> None:
        self._of._never = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-never-ran" and value.strip() == b"1":
            self._of._never = True

    def on_message_complete(self) -> None:
        status = self._of._answers.get_status_code()
        if status >= 200:
            self._of._said.append(Answered(self._of._now, status, self._of._never))
