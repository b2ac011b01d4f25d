"""The senders' register: each stands at `PREFIXsenders/NAME` under a lease, with the revision it has taken in.

Operators see there who follows, and `drain --wait` waits for all that stand there.  Losing the lease, or etcd as a
whole, never stops a sender: it registers again when it can.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import orjson

from kestreltrack.discovery.etcd.client import EtcdClient, EtcdError, to_etcd_error
from kestreltrack.discovery.etcd.layout import senders_prefix
from kestreltrack.discovery.etcd.watch_state import FailureReason
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.telemetry import Telemetry

POLL_INTERVAL_S = 0.02  # between looks at the revision: a drain is acknowledged so soon after it was taken in
KEEPALIVES_PER_TTL = 3  # the lease is kept so many times within its time
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.5, 15.0  # after a failure, doubling, with jitter


class SenderRegistration:
    """Keeps one sender's entry up to date."""

    def __init__(
        self,
        client: Callable[[], EtcdClient],
        prefix: str,
        name: str,
        version: str,
        applied_revision: Callable[[], int],
        lease_ttl_s: int,
        telemetry: Telemetry,
        timeout_s: float = 1.0,
        gossip_address: str = "",
    ) -> None:
        """`client` gives the one in force, `seen` the newest revision that the sender has taken in.

        `fleet` is where others of the fleet reach it, if anywhere.
        """
        self._client, self._applied_revision, self._telemetry = client, applied_revision, telemetry
        self._key = (senders_prefix(prefix) + name).encode()
        self._identity = {"name": name, "version": version} | (
            {"fleet": gossip_address} if gossip_address else {}
        )
        self._lease_ttl_s, self._timeout_s, self._random = lease_ttl_s, timeout_s, random.Random()

    async def run(self) -> None:
        """Register, and again whenever it was lost, until cancelled."""
        fails = 0
        while True:
            client = self._client()
            member = self._random.randrange(len(client))
            try:
                await self._register_once(client, member)
                fails = 0
            except EtcdError as bad:
                fails = fails + 1 if bad.reason is not FailureReason.CANCELLED else 1
                self._telemetry.record_fault(
                    "discovery.etcd.registration_lost", why=bad.reason.value, error=str(bad)
                )
            wait = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(fails, 8))
            await asyncio.sleep(wait * (0.5 + 0.5 * self._random.random()))

    async def _register_once(self, client: EtcdClient, member_index: int) -> None:
        """Grant a lease and keep it and the entry; raises `EtcdFailed` when the lease is lost."""
        ask = pb.LeaseGrantRequest(TTL=self._lease_ttl_s)
        lease = (await client.call(member_index, rpc.LeaseStub, "LeaseGrant", ask, self._timeout_s)).ID
        try:
            async with client.stream(
                member_index, rpc.LeaseStub, "LeaseKeepAlive", self._timeout_s
            ) as stream:
                await self._keep_alive(client, member_index, lease, stream)
        except asyncio.CancelledError:
            await self._revoke_lease(client, member_index, lease)
            raise

    async def _keep_alive(self, client: EtcdClient, member_index: int, lease_id: int, stream: Any) -> None:
        loop, told, kept = asyncio.get_running_loop(), -1, 0.0
        while client is self._client():
            if (seen := self._applied_revision()) != told:
                value = orjson.dumps({**self._identity, "revision": seen})
                ask = pb.PutRequest(key=self._key, value=value, lease=lease_id)
                await client.call(member_index, rpc.KVStub, "Put", ask, self._timeout_s)
                told = seen
            if loop.time() - kept >= self._lease_ttl_s / KEEPALIVES_PER_TTL:
                kept = loop.time()
                try:
                    async with asyncio.timeout(self._timeout_s):
                        await stream.send_message(pb.LeaseKeepAliveRequest(ID=lease_id))
                        answer = await stream.recv_message()
                except Exception as bad:
                    raise to_etcd_error(bad) from bad
                if answer is None or answer.TTL <= 0:
                    raise EtcdError(FailureReason.CANCELLED, "the lease has ended")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _revoke_lease(self, client: EtcdClient, member_index: int, lease_id: int) -> None:
        """At a stop the entry goes at once: nobody should wait for this sender."""
        try:
            ask = pb.LeaseRevokeRequest(ID=lease_id)
            await client.call(member_index, rpc.LeaseStub, "LeaseRevoke", ask, self._timeout_s / 4)
        except EtcdError:
            return  # it runs out by itself
