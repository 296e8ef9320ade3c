"""Parses the HTTP/1.1 traffic that a relay forwards: each complete request and response, once.

No I/O: bytes and times in, values out. A parse error ends the observation, never the forwarding.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import httptools


@dataclass(slots=True)
class ObservedRequest:
    """A request that was seen on the wire."""

    first_byte_at: float  # ms
    last_byte_at: float = 0.0  # ms
    id: str = ""
    prefix: str = ""
    method: str = ""


@dataclass(slots=True, frozen=True)
class ObservedResponse:
    """A complete final response; interim ones (1xx) are not reported."""

    at: float  # ms
    status: int
    never_ran: bool  # it has X-Never-Ran: 1


class HttpObserver:
    """Observes one connection in both directions."""

    __slots__ = (
        "_complete_requests",
        "_complete_responses",
        "_current",
        "_never_ran",
        "_now",
        "_path",
        "_request_parser",
        "_response_parser",
        "failed",
    )

    def __init__(self) -> None:
        self._request_parser: Any = httptools.HttpRequestParser(_RequestCallbacks(self))
        self._response_parser: Any = httptools.HttpResponseParser(_ResponseCallbacks(self))
        self._current: ObservedRequest | None = None
        self._complete_requests: list[ObservedRequest] = []
        self._complete_responses: list[ObservedResponse] = []
        self._never_ran = False
        self._path = b""
        self._now = 0.0
        self.failed = False  # the traffic could not be parsed

    def on_request_bytes(self, now: float, data: bytes) -> list[ObservedRequest]:
        """Bytes sent to the server; returns the requests that they complete."""
        return self._feed(self._request_parser, now, data, self._complete_requests)

    def on_response_bytes(self, now: float, data: bytes) -> list[ObservedResponse]:
        """Bytes sent to the client; returns the responses that they complete."""
        return self._feed(self._response_parser, now, data, self._complete_responses)

    def _feed(self, parser: Any, now: float, data: bytes, complete: list[Any]) -> list[Any]:
        if self.failed:
            return []
        self._now = now
        try:
            parser.feed_data(data)
        except httptools.HttpParserError:
            self.failed = True
        result = list(complete)
        complete.clear()
        return result

    @property
    def unfinished(self) -> ObservedRequest | None:
        """The request that has been sent in part."""
        return self._current


class _RequestCallbacks:
    __slots__ = ("_observer",)

    def __init__(self, observer: HttpObserver) -> None:
        self._observer = observer

    def on_message_begin(self) -> None:
        self._observer._current = ObservedRequest(self._observer._now)
        self._observer._path = b""

    def on_url(self, url: bytes) -> None:
        self._observer._path += url  # the parser may report it in parts

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._observer._current is not None and name.lower() == b"x-trace-id":
            self._observer._current.id = value.decode("latin-1").strip()

    def on_message_complete(self) -> None:
        request, self._observer._current = self._observer._current, None
        if request is not None:
            request.last_byte_at = self._observer._now
            request.prefix = self._observer._path.split(b"?")[0].lstrip(b"/").split(b"/")[0].decode("latin-1")
            request.method = self._observer._request_parser.get_method().decode("latin-1")
            self._observer._complete_requests.append(request)


class _ResponseCallbacks:
    __slots__ = ("_observer",)

    def __init__(self, observer: HttpObserver) -> None:
        self._observer = observer

    def on_message_begin(self) -> None:
        self._observer._never_ran = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-never-ran" and value.strip() == b"1":
            self._observer._never_ran = True

    def on_message_complete(self) -> None:
        status = self._observer._response_parser.get_status_code()
        if status >= 200:
            self._observer._complete_responses.append(
                ObservedResponse(self._observer._now, status, self._observer._never_ran)
            )
