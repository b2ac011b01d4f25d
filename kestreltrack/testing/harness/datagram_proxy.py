"""Datagrams between real processes through sockets of the rig's own, so that links can be broken.

Each member listens at an address of its own and tells the others another one, at which the rig listens for it.  What
comes there is from a member that is known by where it sends from; it goes on, by the faults of that link, from the
address that its sender is known by.  So each member sees the others where they say they are.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from kestreltrack.testing.harness.links import Links

PORT = 7946


class _ProxySocket(asyncio.DatagramProtocol):
    """Where the rig listens for one member."""

    def __init__(self, proxy: DatagramProxy, name: str) -> None:
        self.proxy = proxy
        self.name = name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self.proxy.forward(f"{addr[0]}:{addr[1]}", self.name, data)


class DatagramProxy:
    """All doors, and what passes between them."""

    def __init__(self, links: Links) -> None:
        """Nothing listens before `open`."""
        self.links = links
        self.real_addresses: dict[str, tuple[str, int]] = {}  # where each member listens
        self.advertised_addresses: dict[str, str] = {}  # the address that the others know it by
        self.forwarded = 0
        self.dropped = 0
        self._sockets: dict[str, _ProxySocket] = {}
        self._names: dict[str, str] = {}

    async def open(self, names: list[str]) -> None:
        """Listen for these, on loopback addresses that nobody else has."""
        loop = asyncio.get_running_loop()
        draw = random.Random()
        while len(self._sockets) < len(names):
            net = f"127.{draw.randrange(20, 250)}.{draw.randrange(256)}"
            self.close()
            self._sockets.clear()
            for number, name in enumerate(names, 1):
                door = _ProxySocket(self, name)
                host = f"{net}.{number}"
                try:
                    await loop.create_datagram_endpoint(lambda d=door: d, local_addr=(host, PORT))  # type: ignore[misc]
                except OSError:
                    break
                self._sockets[name], self.advertised_addresses[name] = door, f"{host}:{PORT}"
                self.real_addresses[name] = (host, PORT + 1)
                self._names[f"{host}:{PORT + 1}"] = name

    def forward(self, source: str, target: str, data: bytes) -> None:
        """One datagram, from where a member sends to a member's door."""
        name = self._names.get(source)
        if name is None:
            self.dropped += 1  # of nobody: a stranger reaches members directly, not through the rig
            return
        ways = self.links.datagram_delays(name, target)
        self.dropped += not ways
        for way in ways:
            if way > 0:
                asyncio.get_running_loop().call_later(way / 1000.0, self._deliver, name, target, data)
            else:
                self._deliver(name, target, data)

    def _deliver(self, name: str, target: str, data: bytes) -> None:
        door = self._sockets[name].transport
        if door is not None and not door.is_closing():
            door.sendto(data, self.real_addresses[target])
            self.forwarded += 1

    def close(self) -> None:
        """End all."""
        for door in self._sockets.values():
            if door.transport:
                door.transport.close()
