"""Operations on the socket below an asyncio transport: shutdown, unacknowledged and unread bytes, resets."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import sys
import termios
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from enum import Enum

MAX_DISCARDED_BYTES = 1 << 20  # read at most before a close


class PeerState(Enum):
    """What is known of whoever is at the other end of a connection."""

    OPEN = "it is there, and all that it sent has been read"
    UNREAD = "it has sent more than has been read, and its end may stand behind that"
    LEFT = "it has ended the connection"


def peer_state(transport: asyncio.BaseTransport) -> PeerState:
    """State of the peer, even if the event loop has not read it yet."""
    if transport.is_closing():
        return PeerState.LEFT
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    events = next((found for _, found in poller.poll(0)), 0)
    if events & ~select.POLLIN:
        return PeerState.LEFT
    return PeerState.UNREAD if events else PeerState.OPEN


@contextmanager
def _raw_socket(transport: asyncio.BaseTransport) -> Iterator[socket.socket]:
    """The plain socket; the one that a transport returns cannot be read or shut down."""
    wrapped = transport.get_extra_info("socket")
    sock = socket.socket(wrapped.family, wrapped.type, wrapped.proto, wrapped.fileno())
    try:
        yield sock
    finally:
        sock.detach()


def failed(transport: asyncio.BaseTransport) -> bool:
    """Whether a connection was reset, even if only a regular end was reported."""
    wrapped = transport.get_extra_info("socket")
    poller = select.poll()
    poller.register(wrapped.fileno(), 0)
    return any(events & select.POLLERR for _, events in poller.poll(0)) or bool(
        wrapped.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    )


def shutdown_now(transport: asyncio.BaseTransport, how: int = socket.SHUT_WR) -> None:
    """Shut down sending (or both directions) at once; data in the transport's buffer is never sent.

    The event loop would do it one iteration later, after reading what arrived meanwhile.
    """
    # the socket may already be closed, which the event loop will notice
    with suppress(OSError), _raw_socket(transport) as sock:
        sock.shutdown(how)


def unacknowledged(transport: asyncio.BaseTransport) -> int:
    """Bytes in the kernel's send queue, including our FIN, that the other side has not acknowledged yet."""
    try:
        unsent = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0  # not every kind of socket reports it
    return int.from_bytes(unsent, sys.byteorder)


def discard_unread(transport: asyncio.BaseTransport) -> None:
    """Read and discard unread data.

    Closing with unread data would reset the connection and discard the kernel's send buffer.
    """
    with suppress(OSError), _raw_socket(transport) as sock:
        left = MAX_DISCARDED_BYTES
        while left > 0 and (data := sock.recv(65_536, socket.MSG_DONTWAIT)):
            left -= len(data)
