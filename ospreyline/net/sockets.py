"""What lies below a transport: the end of our sending."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress


@contextmanager
def _below(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
    """The socket itself: transports lend only one that cannot be read or shut."""
    lent = transport.get_extra_info("socket")
    sock = socket.socket(lent.family, lent.type, lent.proto, lent.fileno())
    try:
        yield sock
    finally:
        sock.detach()


def shut(transport: asyncio.BaseTransport) -> None:
    """End our sending, at once; nothing may be in the transport's buffer.

    Guards: the loop library does it a pass later, after it has read what came meanwhile.
    """
    with suppress(OSError), _below(transport) as sock:  # it may be gone already, which the loop will read
        sock.shutdown(socket.SHUT_WR)
