"""What lies below a transport: the end of our sending, what the machine holds, what lies unread, a reset."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import sys
import termios
from collections.abc import Iterator
from contextlib import contextmanager, suppress

MOST_DRAINED = 1 << 20  # bytes that are read before a close


@contextmanager
def _below(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
    """The socket itself: transports lend only one that cannot be read or shut."""
    lent = transport.get_extra_info("socket")
    sock = socket.socket(lent.family, lent.type, lent.proto, lent.fileno())
    try:
        yield sock
    finally:
        sock.detach()


def failed(transport: asyncio.BaseTransport) -> bool:
    """Whether a connection was reset, though its end may be all that was told of it."""
    lent = transport.get_extra_info("socket")
    look = select.poll()
    look.register(lent.fileno(), 0)
    return any(events & select.POLLERR for _, events in look.poll(0)) or bool(
        lent.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    )


def shut(transport: asyncio.BaseTransport, how: int = socket.SHUT_WR) -> None:
    """End our sending, or both ways, at once; what is in the transport's buffer never leaves it.

    Guards: the loop library does it a pass later, after it has read what came meanwhile.
    """
    with suppress(OSError), _below(transport) as sock:  # it may be gone already, which the loop will read
        sock.shutdown(how)


def unacknowledged(transport: asyncio.BaseTransport) -> int:
    """Bytes, our end among them, that the machine holds since the other side has not acknowledged them."""
    try:
        held = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0  # it cannot be told of every kind of socket
    return int.from_bytes(held, sys.byteorder)


def drain(transport: asyncio.BaseTransport) -> None:
    """Throw away what lies unread.

    Guards: a close over it resets the connection, and what the machine holds goes with it.
    """
    with suppress(OSError), _below(transport) as sock:
        left = MOST_DRAINED
        while left > 0 and (data := sock.recv(65_536, socket.MSG_DONTWAIT)):
            left -= len(data)
