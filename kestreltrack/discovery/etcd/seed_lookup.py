"""Reads from the senders' register where others of the fleet can be reached: any of them serves as a seed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import orjson

from kestreltrack.discovery.etcd.client import EtcdClient, EtcdError
from kestreltrack.discovery.etcd.layout import senders_prefix
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.telemetry import Telemetry

READ_INTERVAL_S = 10.0  # between reads; members learn of each other by themselves once one is known
MAX_ENTRIES = 16  # entries read: a few seeds are enough, in a fleet of any size


class SeedLookup:
    """Tells addresses of the fleet, whenever they were read."""

    def __init__(
        self,
        client: Callable[[], EtcdClient],
        prefix: str,
        on_addresses: Callable[[list[str]], None],
        telemetry: Telemetry,
        timeout_s: float,
    ) -> None:
        """`client` gives the one in force."""
        self._client, self._key_prefix, self._on_addresses = (
            client,
            senders_prefix(prefix).encode(),
            on_addresses,
        )
        self._telemetry, self._timeout_s, self._member_index = telemetry, timeout_s, 0

    async def run(self) -> None:
        """Read until cancelled; where etcd is away, what was read last goes on being used."""
        while True:
            client = self._client()
            ask = pb.RangeRequest(
                key=self._key_prefix,
                range_end=prefix_end(self._key_prefix),
                limit=MAX_ENTRIES,
                sort_target=pb.RangeRequest.MOD,
                sort_order=pb.RangeRequest.DESCEND,
            )
            try:
                answer = await client.range(self._member_index % len(client), ask, self._timeout_s)
            except EtcdError as bad:
                self._member_index += 1
                self._telemetry.record_fault("discovery.etcd.seed_lookup_failed", error=str(bad))
            else:
                self._on_addresses([address for kv in answer.kvs if (address := _gossip_address(kv.value))])
            await asyncio.sleep(READ_INTERVAL_S)


def _gossip_address(value: bytes) -> str:
    """Empty where an entry gives none, as those of senders that do not talk."""
    try:
        row = orjson.loads(value)
    except ValueError:
        return ""
    found = row.get("fleet", "") if isinstance(row, dict) else ""
    return found if isinstance(found, str) and len(found) <= 64 else ""
