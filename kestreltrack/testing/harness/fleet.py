"""Runs several real senders with links that faults can be injected on, and stops everything that it started."""

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
WAIT_TIMEOUT_S = 180.0  # generous, for a busy machine


class Fleet:
    """Runs `count` senders, named ``s1`` and so on, assigned to the zones in turn."""

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
        """Prepare the fleet; nothing runs before `async with`.

        The parties of links are the senders, the endpoints (``p1`` for destination 1), ``list`` for discovery and
        ``front`` for the clients.  With `etcd` the directory is a fake cluster of three members, ``e1`` to ``e3``;
        senders find each other by their registration there.  All senders then read the same endpoint list, and so
        reach the endpoints through the same proxies, whose source is ``senders``.
        """
        self.folder = folder
        self.settings = settings
        self.probe_interval_ms = probe_interval_ms
        self.names = [f"s{n}" for n in range(1, count + 1)]
        zone_names = list(zones)
        self.zone_of = {name: zone_names[n % len(zone_names)] for n, name in enumerate(self.names)}
        groups = {f"zone:{z}": {name for name, zone in self.zone_of.items() if zone == z} for z in zone_names}
        self.endpoints = {
            f"p{p.dest}": FakeEndpoint(f"p{p.dest}", p, random.Random(seed + p.dest)) for p in destinations
        }
        self.links = Links(seed, groups | self._groups())
        self.datagram_proxy = DatagramProxy(self.links)
        self.extra_variables = extra_variables or {}
        self.fleet_enabled = fleet_enabled
        self.captures_enabled = captures_enabled
        # Each sender has a platform of its own, since its endpoint list names its own proxies.
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
        # By name, the older process of a sender that has a newer one beside it.
        self.previous_processes: dict[str, SenderProcess] = {}
        # The path of a Unix socket is limited to about 100 bytes, and test folders have longer paths.
        self._sockets = Path(tempfile.mkdtemp(prefix="rig-"))

    async def __aenter__(self) -> Self:
        """Start everything and wait until each sender is ready."""
        try:
            for endpoint in self.endpoints.values():
                await endpoint.listen()
            for proxy in self._proxies():
                await proxy.listen()
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
            # A sender that finds nobody registered retries only after 10 s: one registers before the others start.
            started_first = self.names[: bool(self.etcd_cluster)]
            for name in started_first:
                await self.start(name)
                await self.wait_until(lambda: self._registered_count() > 0, f"the registration of {name}")
            await asyncio.gather(*(self.start(name) for name in self.names[len(started_first) :]))
        except BaseException:
            await self.close()
            raise
        for number, name in enumerate(self.names):
            self.load_generators[name] = LoadGenerator(
                self.frontend_proxies[name].address, number, prefix=f"{name}m"
            )
        return self

    def _registered_count(self) -> int:
        prefix = f"{ETCD_PREFIX}senders/".encode()
        request = pb.RangeRequest(key=prefix, range_end=prefix_end(prefix))
        return len(self.etcd_cluster.store.range(request).kvs) if self.etcd_cluster else 0

    def _groups(self) -> dict[str, set[str]]:
        return {
            "partners": set(self.endpoints),
            "senders": {*self.names, "senders"},
            "etcd": {"e1", "e2", "e3"},
        }

    def _proxy(self, source: str, target: str, target_address: Callable[[], str]) -> TcpProxy:
        return TcpProxy(self.links, source, target, target_address)

    def _proxies(self) -> list[TcpProxy]:
        tables = self.list_proxies, self.endpoint_proxies, self.frontend_proxies, self.etcd_proxies
        return [proxy for table in tables for proxy in table.values()]

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
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop everything."""
        await self.close()

    async def close(self) -> None:
        """Kill all processes and close all servers, in whatever state they are."""
        for sender in (*self.senders.values(), *self.previous_processes.values()):
            process = sender.process
            if process and process.returncode is None:
                process.kill()
                await process.wait()
        for load in self.load_generators.values():
            load.close()
        self.datagram_proxy.close()
        for proxy in self._proxies():
            proxy.close()
        if self.etcd_cluster:
            await self.etcd_cluster.stop()
        fakes: list[FakePlatform | FakeEndpoint] = [*self.platforms.values(), *self.endpoints.values()]
        for fake in fakes:
            fake.close()
        shutil.rmtree(self._sockets, ignore_errors=True)

    def admin_socket(self, name: str) -> Path:
        """Return the admin socket of the latest process of a sender."""
        return self._sockets / f"{name}-{1 if name in self.previous_processes else 0}"

    def environment(self, name: str) -> dict[str, str]:
        """Return the environment variables that an operator sets for a sender."""
        variables = {"KESTRELTRACK_ADMIN_SOCKET": str(self.admin_socket(name)), **self.extra_variables}
        if self.captures_enabled:
            capture_folder = self.folder / name / "capture"
            capture_folder.mkdir(parents=True, exist_ok=True)
            variables["KESTRELTRACK_CAPTURE_FOLDER"] = str(capture_folder)
        if not self.fleet_enabled:
            return variables
        if self.etcd_cluster:
            etcd_addresses = [self.etcd_proxies[name, n].address for n in range(3)]
            variables |= {
                "KESTRELTRACK_DIRECTORY_SOURCE": "etcd",
                "KESTRELTRACK_DIRECTORY_ETCD_PREFIX": ETCD_PREFIX,
                "KESTRELTRACK_DIRECTORY_ETCD_MEMBERS": ",".join(etcd_addresses),
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
            **variables,
        }

    async def start(self, name: str, emptied: bool = False) -> None:
        """Start a sender with its existing state, or without any if `emptied`; return once it is ready."""
        state = self.folder / name / "state"
        if emptied:
            shutil.rmtree(state, ignore_errors=True)
        await self.senders[name].start(self.list_proxies[name].address, self.settings, self.environment(name))

    async def start_successor(self, name: str) -> None:
        """Start a successor beside the running process of a sender, with the same addresses and folder."""
        old = self.previous_processes[name] = self.senders[name]
        new = self.senders[name] = SenderProcess(old.folder, name, self.folder / f"{name}.log")
        new.listen_address = old.listen_address
        await self.start(name)

    async def signal(self, names: Iterable[str], number: signal.Signals) -> None:
        """Send a signal to each of these senders."""
        for name in names:
            await self.senders[name].signal(number)

    async def wait_ended(self, sender: SenderProcess) -> None:
        """Wait for the exit of a process."""
        if sender.process:
            await sender.process.wait()

    async def membership_view(self, name: str) -> dict[str, str]:
        """Return the standing of each member as one sender sees it; empty if the sender does not answer."""
        try:
            answer = await asyncio.to_thread(send_command, self.admin_socket(name), "fleet.members")
        except (OSError, ValueError):
            return {}
        return {row["name"]: row["standing"] for row in answer.get("members", [])}

    async def wait_for_views(
        self, sender_names: Iterable[str], holds: Callable[[dict[str, str]], bool], description: str
    ) -> None:
        """Wait until `holds` is true of the views of all senders named; raises `AssertionError` on timeout."""
        names = list(sender_names)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_TIMEOUT_S
        while True:
            views = dict(
                zip(names, await asyncio.gather(*(self.membership_view(name) for name in names)), strict=True)
            )
            if all(holds(view) for view in views.values()):
                return
            assert loop.time() < deadline, f"timed out waiting: {description}: {views}"
            await asyncio.sleep(POLL_INTERVAL_S)

    def log_records(self, name: str, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the log records of a sender's current process that have this event and these field values."""
        rows = [line for line in self.senders[name].log_records if line["event"] == event]
        return [row for row in rows if all(row.get(key) == value for key, value in fields.items())]

    async def wait_until(self, holds: Callable[[], bool], description: str) -> None:
        """Wait until `holds` returns true; raises `AssertionError` on timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_TIMEOUT_S
        while not holds():
            assert loop.time() < deadline, f"timed out waiting: {description}"
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_membership(self, expected_names: Iterable[str]) -> None:
        """Wait until each of these senders sees exactly these as alive."""
        names = set(expected_names)

        def holds(view: dict[str, str]) -> bool:
            return {name for name, standing in view.items() if standing == "alive"} == names

        await self.wait_for_views(names, holds, f"the members {sorted(names)}")
