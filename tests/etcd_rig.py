"""A follower of a stand-in cluster in one process: what it was told, and waits by order, not by time."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.etcd.client import ClusterSettings, EtcdClient, TlsSettings
from kestreltrack.discovery.etcd.source import EtcdEndpointSource
from kestreltrack.discovery.etcd.watch_types import WatchParameters
from kestreltrack.ports import EndpointListUpdate, make_clock
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster

PREFIX = "/t/"
PATIENCE = 20.0
FAST = WatchParameters(
    member_count=1,
    page_size=50,
    confirm_interval_ms=50.0,
    response_timeout_ms=400.0,
    reconnect_spread_ms=5.0,
    max_backoff_ms=200.0,
    open_burst=50.0,
    open_interval_ms=20.0,
)


def value(number: int, state: str = "up", port: int = 0) -> str:
    return json.dumps(
        {
            "endpoint": f"127.0.0.1:{port or 1000 + number}",
            "az": "a",
            "model": "plain",
            "pod_group": number // 2,
            "state": state,
            "capacity_hint": 5.0,
            "boot_ms": 0,
        }
    )


class Rig:
    """One cluster, one source that follows it, and the list as it was told."""

    def __init__(self, members: int = 3, users: dict[str, str] | None = None, **terms: Any) -> None:
        self.cluster = FakeEtcdCluster(members, users)
        self.telemetry, self.list = Telemetry(), EndpointList()
        self.updates = list[EndpointListUpdate]()
        self.told = list[tuple[str, EndpointLifecycle]]()  # of what was not whole
        self.source: EtcdEndpointSource
        self._news, self._task = asyncio.Event(), None
        self._members, self._terms = members, terms

    async def start(
        self, user: str = "", password: str = "", tls: TlsSettings | None = None, server_tls: Any = None
    ) -> None:
        where = ClusterSettings(tuple(await self.cluster.start(tls=server_tls)), tls, user, password)
        terms = WatchParameters(
            **{**{f: getattr(FAST, f) for f in FAST.__slots__}, "member_count": self._members, **self._terms}
        )
        self.source = EtcdEndpointSource(
            EtcdClient(where), PREFIX, terms, make_clock(), self.telemetry, rng=random.Random(5)
        )

    def follow(self) -> None:
        self._task = asyncio.create_task(self._follow())  # type: ignore[assignment]

    async def _follow(self) -> None:
        async for update in self.source.follow():
            self.updates.append(update)
            if not update.complete:
                self.told += [(m.uid, m.state) for m in update.endpoints]
            self.list.apply(
                EndpointListUpdate(
                    update.revision,
                    update.complete,
                    tuple(self.list.changes(update)) if not update.complete else update.endpoints,
                )
            )
            self._news.set()

    def put(self, number: int, state: str = "up", port: int = 0) -> int:
        return self.cluster.put(f"{PREFIX}endpoints/u{number}", value(number, state, port))

    def delete(self, number: int) -> int:
        return self.cluster.delete(f"{PREFIX}endpoints/u{number}")

    def states(self) -> dict[str, str]:
        return {uid: m.state.value for uid in self.list.uids() if (m := self.list.get(uid))}

    def stored(self) -> dict[str, str]:
        from kestreltrack.etcdapi import rpc_pb2 as pb

        answer = self.cluster.store.range(pb.RangeRequest(key=b"/t/endpoints/", range_end=b"/t/endpoints0"))
        return {kv.key.decode().rpartition("/")[2]: json.loads(kv.value)["state"] for kv in answer.kvs}

    async def until(self, holds: Callable[[], bool], what: str = "") -> None:
        """Wait until something holds; a fault of the follower ends the wait."""
        async with asyncio.timeout(PATIENCE):
            while not holds():
                if self._task and self._task.done():
                    self._task.result()
                    raise AssertionError("the source ended")
                self._news.clear()
                try:
                    await asyncio.wait_for(self._news.wait(), 0.01)
                except TimeoutError:
                    continue

    async def caught_up(self) -> None:
        await self.until(lambda: self.states() == self.stored())

    def watched(self) -> int:
        """The member that is watched now."""
        return self.source.watch_state.members.current

    async def stop(self) -> None:
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.source.close()
        await self.cluster.stop()


def play(story: Callable[[Rig], Awaitable[None]], rig: Callable[[], Rig] = Rig, **start: Any) -> None:
    """Run a story on a rig that is started and stopped around it."""

    async def go() -> None:
        one = rig()
        await one.start(**start)
        try:
            await story(one)
        finally:
            await one.stop()

    asyncio.run(go())


def certificates(folder: Path) -> dict[str, str]:
    """Files of an authority, of members it signed (good, expired, of another name), of a client, of a stranger."""
    import datetime

    import trustme

    ca, stranger = trustme.CA(), trustme.CA()
    old = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    made = {
        "good": ca.issue_cert("127.0.0.1"),
        "expired": ca.issue_cert("127.0.0.1", not_after=old),
        "named": ca.issue_cert("etcd.example"),
        "client": ca.issue_cert("sender@example.org"),
    }
    files = {"ca": str(folder / "ca.pem"), "stranger": str(folder / "stranger.pem")}
    ca.cert_pem.write_to_path(files["ca"])
    stranger.cert_pem.write_to_path(files["stranger"])
    for name, cert in made.items():
        files[name], files[f"{name}_key"] = str(folder / f"{name}.pem"), str(folder / f"{name}.key")
        cert.cert_chain_pems[0].write_to_path(files[name])
        cert.private_key_pem.write_to_path(files[f"{name}_key"])
        Path(files[f"{name}_key"]).chmod(0o600)
    return files
