"""A harness that runs an endpoint source against a fake etcd cluster in one process and records its updates.

Tests wait for conditions, not for fixed times.
"""

from __future__ import annotations

import asyncio
import datetime
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
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
WAIT_TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.01
FAST_PARAMETERS = WatchParameters(
    member_count=1,
    page_size=50,
    confirm_interval_ms=50.0,
    response_timeout_ms=400.0,
    reconnect_spread_ms=5.0,
    max_backoff_ms=200.0,
    open_burst=50.0,
    open_interval_ms=20.0,
)


def entry_value(number: int, state: str = "up", port: int = 0) -> str:
    """Return the value of the key of the endpoint `u{number}`."""
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


class EtcdHarness:
    """A fake cluster, a source that follows it, and the endpoint list with the source's updates applied.

    Attributes:
        updates: All updates, in order.
        changes: The uid and state of each endpoint in the incremental updates, in order.
    """

    def __init__(self, members: int = 3, users: dict[str, str] | None = None, **parameters: Any) -> None:
        self.cluster = FakeEtcdCluster(members, users)
        self.telemetry = Telemetry()
        self.endpoint_list = EndpointList()
        self.updates = list[EndpointListUpdate]()
        self.changes = list[tuple[str, EndpointLifecycle]]()
        self.source: EtcdEndpointSource
        self._parameters = replace(FAST_PARAMETERS, member_count=members, **parameters)
        self._updated = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(
        self, user: str = "", password: str = "", tls: TlsSettings | None = None, server_tls: Any = None
    ) -> None:
        addresses = tuple(await self.cluster.start(tls=server_tls))
        client = EtcdClient(ClusterSettings(addresses, tls, user, password))
        self.source = EtcdEndpointSource(
            client, PREFIX, self._parameters, make_clock(), self.telemetry, rng=random.Random(5)
        )

    def follow(self) -> None:
        self._task = asyncio.create_task(self._follow())

    async def _follow(self) -> None:
        async for update in self.source.follow():
            self.updates.append(update)
            if update.complete:
                self.endpoint_list.apply(update)
            else:
                self.changes += [(endpoint.uid, endpoint.state) for endpoint in update.endpoints]
                self.endpoint_list.apply(replace(update, endpoints=tuple(self.endpoint_list.changes(update))))
            self._updated.set()

    def put(self, number: int, state: str = "up", port: int = 0) -> int:
        return self.cluster.put(f"{PREFIX}endpoints/u{number}", entry_value(number, state, port))

    def delete(self, number: int) -> int:
        return self.cluster.delete(f"{PREFIX}endpoints/u{number}")

    async def apply_fault_everywhere(self, fault: str) -> None:
        for member in self.cluster.members:
            await self.cluster.apply_fault(member.number, fault)

    def states(self) -> dict[str, str]:
        """Return the state of each endpoint in the list."""
        listed = [self.endpoint_list.get(uid) for uid in self.endpoint_list.uids()]
        return {endpoint.uid: endpoint.state.value for endpoint in listed if endpoint is not None}

    def stored_states(self) -> dict[str, str]:
        """Return the state of each endpoint in the store."""
        from kestreltrack.etcdapi import rpc_pb2 as pb

        response = self.cluster.store.range(pb.RangeRequest(key=b"/t/endpoints/", range_end=b"/t/endpoints0"))
        return {kv.key.decode().rpartition("/")[2]: json.loads(kv.value)["state"] for kv in response.kvs}

    def complete_updates(self) -> list[EndpointListUpdate]:
        return [update for update in self.updates if update.complete]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; raise the source's error if it fails meanwhile."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                if self._task and self._task.done():
                    self._task.result()
                    raise AssertionError("the source ended")
                self._updated.clear()
                try:
                    await asyncio.wait_for(self._updated.wait(), CHECK_INTERVAL_S)
                except TimeoutError:
                    continue

    async def wait_until_caught_up(self) -> None:
        await self.wait_until(lambda: self.states() == self.stored_states())

    async def wait_until_changed(self, uid: str, state: EndpointLifecycle) -> None:
        await self.wait_until(lambda: (uid, state) in self.changes)

    def watched_member(self) -> int:
        return self.source.watch_state.members.current

    async def stop(self) -> None:
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.source.close()
        await self.cluster.stop()


def run_scenario(
    scenario: Callable[[EtcdHarness], Awaitable[None]],
    create_harness: Callable[[], EtcdHarness] = EtcdHarness,
    **start: Any,
) -> None:
    """Start a harness, run a scenario on it, and stop the harness."""

    async def run() -> None:
        harness = create_harness()
        await harness.start(**start)
        try:
            await scenario(harness)
        finally:
            await harness.stop()

    asyncio.run(run())


def create_certificates(folder: Path) -> dict[str, str]:
    """Write the certificates of two CAs, and certificates with keys that the first CA signed.

    Returns:
        The paths: `ca` and `untrusted_ca` for the CAs; `valid`, `expired`, `other_name` and `client` for the
        certificates, each with its key as `NAME_key`.
    """
    import trustme

    ca = trustme.CA()
    untrusted_ca = trustme.CA()
    expiry = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    certificates = {
        "valid": ca.issue_cert("127.0.0.1"),
        "expired": ca.issue_cert("127.0.0.1", not_after=expiry),
        "other_name": ca.issue_cert("etcd.example"),
        "client": ca.issue_cert("sender@example.org"),
    }
    files = {"ca": str(folder / "ca.pem"), "untrusted_ca": str(folder / "untrusted_ca.pem")}
    ca.cert_pem.write_to_path(files["ca"])
    untrusted_ca.cert_pem.write_to_path(files["untrusted_ca"])
    for name, certificate in certificates.items():
        files[name] = str(folder / f"{name}.pem")
        files[f"{name}_key"] = str(folder / f"{name}.key")
        certificate.cert_chain_pems[0].write_to_path(files[name])
        certificate.private_key_pem.write_to_path(files[f"{name}_key"])
        Path(files[f"{name}_key"]).chmod(0o600)
    return files
