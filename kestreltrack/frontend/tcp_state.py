"""Whether the other side of a TCP connection has closed it, even if bytes that it sent before are still unread."""

from __future__ import annotations

import socket
from asyncio import BaseTransport

# States of a connection by linux/tcp_states.h in which the other side sends nothing more.
_TCP_CLOSE = 7
_TCP_CLOSE_WAIT = 8
_TCP_LAST_ACK = 9
_TCP_CLOSING = 11
_CLOSED_BY_PEER = frozenset((_TCP_CLOSE, _TCP_CLOSE_WAIT, _TCP_LAST_ACK, _TCP_CLOSING))

# The first byte of `struct tcp_info` is the state.
_STATE_BYTES = 1


def is_closed_by_peer(transport: BaseTransport) -> bool:
    """Return whether the peer has closed or reset the connection; False if the kernel does not tell.

    A transport tells only once all bytes before the end are received, and it receives none while it is paused.
    """
    original = transport.get_extra_info("socket")
    if original is None or original.fileno() < 0:
        return True
    connection = socket.socket(original.family, original.type, original.proto, original.fileno())
    try:
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _STATE_BYTES)
    except OSError:
        return False
    finally:
        connection.detach()  # the descriptor belongs to the transport
    return bool(state) and state[0] in _CLOSED_BY_PEER
