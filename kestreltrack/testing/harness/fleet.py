"""Several real senders that know of each other, over links of the rig's own; the rig ends all that it started."""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import tempfile
from collections.abc import Callable, Iterable
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import orjson

from kestreltrack.admin.command_client import send_command
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.testing.fakes.destinations import FakeDestination, FakeEndpoint
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster
from kestreltrack.testing.fakes.load_generator import LoadGenerator
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.datagram_proxy import DatagramProxy
from kestreltrack.testing.harness.links import Links
from kestreltrack.testing.harness.sender_process import SenderProcess
from kestreltrack.testing.harness.tcp_proxy import TcpProxy

POLL_INTERVAL_S = 0.05
ETCD_PREFIX = "/rig/"
WAIT_TIMEOUT_S = 180.0  # for what has to come about in the end, also beside a busy machine


class Fleet:
    """`count` senders named ``s1`` and so on, in zones in turn."""

    def __init__(
        self,
        folder: Path,
        settings: dict[str, Any],
        count: int,
        zones: Iterable[str] = ("a", "b"),
        seed: int = 1,
        probe_interval_ms: float = 100.0,
        destinations: Iterable[FakeDestination] = (),
        extra_variables: dict[str, str] | None = None,
        fleet_enabled: bool = True,
        captures_enabled: bool = False,
        etcd: bool = False,
    ) -> None:
        """Nothing runs before `async with`; `round_ms` is the members' probe interval, `more` are variables of all.

        Links are named by senders, by partners' endpoints (``p1`` for destination 1), ``list`` and ``front``.  With
        `etcd` the directory is a stand-in of three members, ``e1`` to ``e3``, and members find each other in its
        register; the one list is for all there, so that all reach partners by the same ways, from ``senders``.
        """
        self.folder = folder
        self.settings = settings
        self.probe_interval_ms = probe_interval_ms
        self.names = [f"s{n}" for n in range(1, count + 1)]
        places = list(zones)
        self.zone_of = {name: places[n % len(places)] for n, name in enumerate(self.names)}
        groups = {f"zone:{z}": {name for name, at in self.zone_of.items() if at == z} for z in places}
        self.endpoints = {
            f"p{p.dest}": FakeEndpoint(f"p{p.dest}", p, random.Random(seed + p.dest)) for p in destinations
        }
        self.links = Links(seed, groups | self._groups())
        self.datagram_proxy = DatagramProxy(self.links)
        self.extra_variables = extra_variables or {}
        self.fleet_enabled = fleet_enabled
        self.captures_enabled = captures_enabled
        # Each sender has its own list service, since it reaches each partner through a relay of its own.
        self.platforms = {name: FakePlatform() for name in self.names}
        self.list_proxies = {
            name: self._proxy(name, "list", self._address_of(self.platforms[name])) for name in self.names
        }
        self.etcd_cluster = FakeEtcdCluster(3) if etcd else None
        self.etcd_proxies = {
            (name, n): self._proxy(name, f"e{n + 1}", self._member_address(n))
            for name in self.names
            for n in range(3 * etcd)
        }
        self.endpoint_proxies = {
            (name, uid): self._proxy(name, uid, self._address_of(endpoint))
            for name in (["senders"] if etcd else self.names)
            for uid, endpoint in self.endpoints.items()
        }
        self.load_generators = dict[str, LoadGenerator]()
        self.senders = {
            name: SenderProcess(folder / name, name, folder / f"{name}.log") for name in self.names
        }
        self.frontend_proxies = {
            name: self._proxy("front", name, self._frontend_address(name)) for name in self.names
        }
        self.previous_processes: dict[
            str, SenderProcess
        ] = {}  # of each name, the process that a newer one stands beside
        # A Unix socket's path has some 100 bytes; test folders are longer.
        self._sockets = Path(tempfile.mkdtemp(prefix="rig-"))

    async def __aenter__(self) -> Self:
        """Start all, and wait until each is ready."""
        try:
            for endpoint in self.endpoints.values():
                await endpoint.listen()
            for relay in self._proxies():
                await relay.listen()
            if self.etcd_cluster:
                await self.etcd_cluster.start()
                for uid, endpoint in self.endpoints.items():
                    row = endpoint.discovery_row() | {
                        "endpoint": self.endpoint_proxies["senders", uid].address
                    }
                    self.etcd_cluster.put(f"{ETCD_PREFIX}endpoints/{uid}", orjson.dumps(row).decode())
            for name, platform in self.platforms.items():
                await platform.listen()
                for uid, endpoint in self.endpoints.items() if not self.etcd_cluster else ():
                    platform.publish(
                        endpoint.discovery_row() | {"endpoint": self.endpoint_proxies[name, uid].address}
                    )
            await self.datagram_proxy.open(self.names)
            # Who finds an empty register looks again after 10 s: one stands in it before the others look.
            first = self.names[: bool(self.etcd_cluster)]
            for name in first:
                await self.start(name)
                await self.wait_until(lambda: self._registered_count() > 0, f"{name} in the register")
            await asyncio.gather(*(self.start(name) for name in self.names[len(first) :]))
        except BaseException:
            await self.close()
            raise
        for number, name in enumerate(self.names):
            self.load_generators[name] = LoadGenerator(
                self.frontend_proxies[name].address, number, prefix=f"{name}m"
            )
        return self

    def _registered_count(self) -> int:
        stem = f"{ETCD_PREFIX}senders/".encode()
        ask = pb.RangeRequest(key=stem, range_end=prefix_end(stem))
        return len(self.etcd_cluster.store.range(ask).kvs) if self.etcd_cluster else 0

    def _groups(self) -> dict[str, set[str]]:
        return {
            "partners": set(self.endpoints),
            "senders": {*self.names, "senders"},
            "etcd": {"e1", "e2", "e3"},
        }

    def _proxy(self, source: str, target: str, target_address: Callable[[], str]) -> TcpProxy:
        return TcpProxy(self.links, source, target, target_address)

    def _proxies(self) -> list[TcpProxy]:
        ways = self.list_proxies, self.endpoint_proxies, self.frontend_proxies, self.etcd_proxies
        return [relay for found in ways for relay in found.values()]

    def _member_address(self, number: int) -> Callable[[], str]:
        return lambda: (
            self.etcd_cluster.addresses[number].removeprefix("http://") if self.etcd_cluster else ""
        )

    def _frontend_address(self, name: str) -> Callable[[], str]:
        return lambda: self.senders[name].listen_address

    @staticmethod
    def _address_of(server: FakePlatform | FakeEndpoint) -> Callable[[], str]:
        return lambda: server.address

    async def __aexit__(
        self, kind: type[BaseException] | None, bad: BaseException | None, trace: TracebackType | None
    ) -> None:
        """End all."""
        await self.close()

    async def close(self) -> None:
        """Whatever state they are in."""
        for sender in (*self.senders.values(), *self.previous_processes.values()):
            process = sender.process
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        for load in self.load_generators.values():
            load.close()
        self.datagram_proxy.close()
        for relay in self._proxies():
            relay.close()
        if self.etcd_cluster:
            await self.etcd_cluster.stop()
        stand_ins: list[FakePlatform | FakeEndpoint] = [*self.platforms.values(), *self.endpoints.values()]
        for stand_in in stand_ins:
            stand_in.close()
        shutil.rmtree(self._sockets, ignore_errors=True)

    def admin_socket(self, name: str) -> Path:
        """Where the process of that name that was started last takes commands."""
        return self._sockets / f"{name}-{1 if name in self.previous_processes else 0}"

    def environment(self, name: str) -> dict[str, str]:
        """What the operator sets for one of them."""
        own = {"KESTRELTRACK_ADMIN_SOCKET": str(self.admin_socket(name)), **self.extra_variables}
        if self.captures_enabled:
            place = self.folder / name / "capture"
            place.mkdir(parents=True, exist_ok=True)
            own["KESTRELTRACK_CAPTURE_FOLDER"] = str(place)
        if not self.fleet_enabled:
            return own
        if self.etcd_cluster:
            ways = [self.etcd_proxies[name, n].address for n in range(3)]
            own |= {
                "KESTRELTRACK_DIRECTORY_SOURCE": "etcd",
                "KESTRELTRACK_DIRECTORY_ETCD_PREFIX": ETCD_PREFIX,
                "KESTRELTRACK_DIRECTORY_ETCD_MEMBERS": ",".join(ways),
            }
        host, port = self.datagram_proxy.real_addresses[name]
        seeds = [self.datagram_proxy.advertised_addresses[other] for other in self.names[:3]]
        return {
            "KESTRELTRACK_FLEET_LISTEN": f"{host}:{port}",
            "KESTRELTRACK_FLEET_ADVERTISE": self.datagram_proxy.advertised_addresses[name],
            "KESTRELTRACK_FLEET_SEEDS": "" if self.etcd_cluster else ",".join(seeds),
            "KESTRELTRACK_FLEET_ZONE": self.zone_of[name],
            "KESTRELTRACK_FLEET_ROUND_MS": str(self.probe_interval_ms),
            "KESTRELTRACK_FLEET_ANSWER_MS": str(self.probe_interval_ms * 0.4),
            **own,
        }

    async def start(self, name: str, emptied: bool = False) -> None:
        """Start one, in the folder that it had or an empty one; returns once it is ready."""
        state = self.folder / name / "state"
        if emptied:
            shutil.rmtree(state, ignore_errors=True)
        await self.senders[name].start(self.list_proxies[name].address, self.settings, self.environment(name))

    async def start_successor(self, name: str) -> None:
        """A new version of one beside the old, on the same addresses and folder."""
        old = self.previous_processes[name] = self.senders[name]
        new = self.senders[name] = SenderProcess(old.folder, name, self.folder / f"{name}.log")
        new.listen_address = old.listen_address
        await self.start(name)

    async def signal(self, names: Iterable[str], number: signal.Signals) -> None:
        """Send each that signal."""
        for name in names:
            await self.senders[name].signal(number)

    async def wait_ended(self, sender: SenderProcess) -> None:
        """Wait for a process's end."""
        if sender.process:
            await sender.process.wait()

    async def membership_view(self, name: str) -> dict[str, str]:
        """Standing of each member as one of them sees it; empty where it does not answer."""
        try:
            answer = await asyncio.to_thread(send_command, self.admin_socket(name), "fleet.members")
        except (OSError, ValueError):
            return {}
        return {row["name"]: row["standing"] for row in answer.get("members", [])}

    async def wait_for_views(
        self, sender_names: Iterable[str], holds: Callable[[dict[str, str]], bool], description: str
    ) -> None:
        """Wait until that holds of the view of each of these at one time; raises `AssertionError` with the views."""
        names = list(sender_names)
        loop = asyncio.get_running_loop()
        ends = loop.time() + WAIT_TIMEOUT_S
        while True:
            views = dict(
                zip(names, await asyncio.gather(*(self.membership_view(name) for name in names)), strict=True)
            )
            if all(holds(view) for view in views.values()):
                return
            assert loop.time() < ends, f"{description} does not come about: {views}"
            await asyncio.sleep(POLL_INTERVAL_S)

    def log_records(self, name: str, event: str, **fields: Any) -> list[dict[str, Any]]:
        """What a sender's present process has logged of that event with these fields."""
        rows = [line for line in self.senders[name].log_records if line["event"] == event]
        return [row for row in rows if all(row.get(key) == value for key, value in fields.items())]

    async def wait_until(self, holds: Callable[[], bool], description: str) -> None:
        """Wait until that holds; raises `AssertionError`."""
        loop = asyncio.get_running_loop()
        ends = loop.time() + WAIT_TIMEOUT_S
        while not holds():
            assert loop.time() < ends, f"{description} does not come about"
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_membership(self, expected_names: Iterable[str]) -> None:
        """Wait until each of these holds exactly these to be alive."""
        names = set(expected_names)

        def holds(view: dict[str, str]) -> bool:
            return {name for name, standing in view.items() if standing == "alive"} == names

        await self.wait_for_views(names, holds, f"that {sorted(names)} are the members")
