"""The registration of a sender: a key at `PREFIXsenders/NAME` that is bound to a lease.

Its value holds the newest revision that the sender has applied.  Operators list the senders that follow the directory
from these entries, and `drain --wait` waits for all registered senders.  Losing the lease or the connection to etcd
never stops a sender: it registers again as soon as it can.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import orjson

from kestreltrack.discovery.etcd.client import EtcdClient, to_etcd_error
from kestreltrack.discovery.etcd.errors import EtcdError, FailureReason
from kestreltrack.discovery.etcd.layout import senders_prefix
from kestreltrack.etcdapi import rpc_grpc as rpc
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.telemetry import Telemetry

# Interval between two checks of the applied revision; bounds the delay between applying a drain and acknowledging it.
POLL_INTERVAL_S = 0.02
# More than one, so that the lease outlives a lost keepalive.
KEEPALIVES_PER_TTL = 3
# The backoff between attempts to register; it doubles with each consecutive failure, with jitter.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0
# Keeps the exponent small; `MAX_BACKOFF_S` limits the backoff before that.
MAX_DOUBLINGS = 8
# The revocation of the lease gets a fraction of the time limit, because it delays the end of the process.
REVOKE_TIMEOUT_DIVISOR = 4


class SenderRegistration:
    """Registers one sender and keeps its entry up to date."""

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
        """Create the registration; `run` starts it.

        Args:
            client: Returns the current client.
            prefix: The prefix of the directory.
            name: The sender's name, which is part of the key of its entry.
            version: The version of the sender's software.
            applied_revision: Returns the newest revision that the sender has applied.
            lease_ttl_s: The TTL of the lease, in seconds.
            telemetry: Receives the fault `discovery.etcd.registration_lost`.
            timeout_s: The time limit of each call, in seconds.
            gossip_address: `host:port` at which other senders of the fleet reach this one; empty without gossip.
        """
        self._client = client
        self._key = (senders_prefix(prefix) + name).encode()
        self._identity = {"name": name, "version": version}
        if gossip_address:
            self._identity["fleet"] = gossip_address
        self._applied_revision = applied_revision
        self._lease_ttl_s = lease_ttl_s
        self._telemetry = telemetry
        self._timeout_s = timeout_s
        self._random = random.Random()

    async def run(self) -> None:
        """Register, and register again whenever the registration is lost, until cancelled."""
        failures = 0
        while True:
            client = self._client()
            member_index = self._random.randrange(len(client))
            try:
                await self._register_once(client, member_index)
                failures = 0
            except EtcdError as error:
                # An expired lease is no failure of the member and does not lengthen the backoff.
                failures = 1 if error.reason is FailureReason.CANCELLED else failures + 1
                self._telemetry.record_fault(
                    "discovery.etcd.registration_lost", why=error.reason.value, error=str(error)
                )
            max_delay_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0 ** min(failures, MAX_DOUBLINGS))
            await asyncio.sleep(max_delay_s * (0.5 + 0.5 * self._random.random()))

    async def _register_once(self, client: EtcdClient, member_index: int) -> None:
        """Acquire a lease, then keep it and the entry up to date until the client is replaced.

        Raises:
            EtcdError: The lease could not be acquired, it was lost, or a call failed.
        """
        request = pb.LeaseGrantRequest(TTL=self._lease_ttl_s)
        lease = await client.call(member_index, rpc.LeaseStub, "LeaseGrant", request, self._timeout_s)
        try:
            async with client.stream(
                member_index, rpc.LeaseStub, "LeaseKeepAlive", self._timeout_s
            ) as stream:
                await self._maintain(client, member_index, lease.ID, stream)
        except asyncio.CancelledError:
            await self._revoke_lease(client, member_index, lease.ID)
            raise

    async def _maintain(self, client: EtcdClient, member_index: int, lease_id: int, stream: Any) -> None:
        loop = asyncio.get_running_loop()
        published_revision = -1
        last_keepalive_at = 0.0
        while client is self._client():
            revision = self._applied_revision()
            if revision != published_revision:
                await self._publish(client, member_index, lease_id, revision)
                published_revision = revision
            if loop.time() - last_keepalive_at >= self._lease_ttl_s / KEEPALIVES_PER_TTL:
                last_keepalive_at = loop.time()
                await self._keep_alive(lease_id, stream)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _publish(self, client: EtcdClient, member_index: int, lease_id: int, revision: int) -> None:
        value = orjson.dumps({**self._identity, "revision": revision})
        request = pb.PutRequest(key=self._key, value=value, lease=lease_id)
        await client.call(member_index, rpc.KVStub, "Put", request, self._timeout_s)

    async def _keep_alive(self, lease_id: int, stream: Any) -> None:
        try:
            async with asyncio.timeout(self._timeout_s):
                await stream.send_message(pb.LeaseKeepAliveRequest(ID=lease_id))
                response = await stream.recv_message()
        except Exception as error:
            raise to_etcd_error(error) from error
        if response is None or response.TTL <= 0:
            raise EtcdError(FailureReason.CANCELLED, "the lease has expired or was revoked")

    async def _revoke_lease(self, client: EtcdClient, member_index: int, lease_id: int) -> None:
        """Revoke the lease, which deletes the entry, so that no drain waits for a sender that has stopped."""
        request = pb.LeaseRevokeRequest(ID=lease_id)
        timeout_s = self._timeout_s / REVOKE_TIMEOUT_DIVISOR
        try:
            await client.call(member_index, rpc.LeaseStub, "LeaseRevoke", request, timeout_s)
        except EtcdError:
            return  # the lease expires after its TTL
