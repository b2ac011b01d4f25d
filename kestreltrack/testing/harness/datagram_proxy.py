"""Forwards datagrams between real processes, so that faults can be injected on each link.

Each member listens at its real address and advertises another one, at which the proxy listens.  The proxy identifies
the source of a datagram by its real address, applies the faults of the link, and forwards the datagram from the
source's advertised address.  Each member thus sees the others at their advertised addresses.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kestreltrack.testing.harness.links import Links

PORT = 7946


class _ProxySocket(asyncio.DatagramProtocol):
    """The advertised address of one member, at which the proxy listens."""

    def __init__(self, proxy: DatagramProxy, name: str) -> None:
        self.proxy = proxy
        self.name = name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self.proxy.forward(f"{addr[0]}:{addr[1]}", self.name, data)


class DatagramProxy:
    """Forwards the datagrams of all members."""

    def __init__(self, links: Links) -> None:
        """Apply the faults of `links`; nothing listens before `open`."""
        self.links = links
        self.real_addresses: dict[str, tuple[str, int]] = {}  # where each member really listens
        self.advertised_addresses: dict[str, str] = {}  # the address that the other members use
        self.forwarded = 0
        self.dropped = 0
        self._sockets: dict[str, _ProxySocket] = {}
        self._names: dict[str, str] = {}

    async def open(self, names: list[str]) -> None:
        """Listen for these members, on unused loopback addresses."""
        loop = asyncio.get_running_loop()
        rng = random.Random()
        while len(self._sockets) < len(names):
            network = f"127.{rng.randrange(20, 250)}.{rng.randrange(256)}"
            self.close()
            self._sockets.clear()
            for number, name in enumerate(names, 1):
                proxy_socket = _ProxySocket(self, name)
                host = f"{network}.{number}"
                try:
                    await loop.create_datagram_endpoint(lambda s=proxy_socket: s, local_addr=(host, PORT))  # type: ignore[misc]
                except OSError:
                    break
                self._sockets[name] = proxy_socket
                self.advertised_addresses[name] = f"{host}:{PORT}"
                self.real_addresses[name] = (host, PORT + 1)
                self._names[f"{host}:{PORT + 1}"] = name

    def forward(self, source: str, target: str, data: bytes) -> None:
        """Forward one datagram from the real address of a member to another member."""
        name = self._names.get(source)
        if name is None:
            self.dropped += 1  # from no member: other processes reach members directly, not through the proxy
            return
        delays_ms = self.links.datagram_delays(name, target)
        self.dropped += not delays_ms
        for delay_ms in delays_ms:
            if delay_ms > 0:
                asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._deliver, name, target, data)
            else:
                self._deliver(name, target, data)

    def _deliver(self, name: str, target: str, data: bytes) -> None:
        proxy_socket = self._sockets[name].transport
        if proxy_socket is not None and not proxy_socket.is_closing():
            proxy_socket.sendto(data, self.real_addresses[target])
            self.forwarded += 1

    def close(self) -> None:
        """Close all sockets."""
        for proxy_socket in self._sockets.values():
            if proxy_socket.transport:
                proxy_socket.transport.close()
