"""Reads the gossip addresses in the senders' registrations, which serve as seeds for joining the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import orjson

from kestreltrack.discovery.etcd.client import EtcdClient
from kestreltrack.discovery.etcd.errors import EtcdError
from kestreltrack.discovery.etcd.layout import senders_prefix
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.telemetry import Telemetry

# Interval between two reads; once one member is known, the others are learned by gossip.
READ_INTERVAL_S = 10.0
# Only the most recently written entries are read: a few seeds are enough in a fleet of any size.
MAX_ENTRIES = 16
# Longer than any `host:port` that a sender registers.
MAX_ADDRESS_LENGTH = 64


class SeedLookup:
    """Reports the gossip addresses of registered senders after each read."""

    def __init__(
        self,
        client: Callable[[], EtcdClient],
        prefix: str,
        on_addresses: Callable[[list[str]], None],
        telemetry: Telemetry,
        timeout_s: float,
    ) -> None:
        """Create the lookup; `run` starts the reads.

        Args:
            client: Returns the current client.
            prefix: The prefix of the directory.
            on_addresses: Called after each read with the addresses, as `host:port`.
            telemetry: Receives the fault `discovery.etcd.seed_lookup_failed`.
            timeout_s: The time limit of a read, in seconds.
        """
        self._client = client
        self._key_prefix = senders_prefix(prefix).encode()
        self._on_addresses = on_addresses
        self._telemetry = telemetry
        self._timeout_s = timeout_s
        self._member_index = 0

    async def run(self) -> None:
        """Read until cancelled; a failed read leaves the addresses of the last one in use."""
        while True:
            await self._read_addresses()
            await asyncio.sleep(READ_INTERVAL_S)

    async def _read_addresses(self) -> None:
        client = self._client()
        request = pb.RangeRequest(
            key=self._key_prefix,
            range_end=prefix_end(self._key_prefix),
            limit=MAX_ENTRIES,
            sort_target=pb.RangeRequest.MOD,
            sort_order=pb.RangeRequest.DESCEND,
        )
        try:
            response = await client.range(self._member_index % len(client), request, self._timeout_s)
        except EtcdError as error:
            self._member_index += 1
            self._telemetry.record_fault("discovery.etcd.seed_lookup_failed", error=str(error))
            return
        addresses = [_gossip_address(kv.value) for kv in response.kvs]
        self._on_addresses([address for address in addresses if address])


def _gossip_address(value: bytes) -> str:
    """Return the gossip address in a registration; empty if it has none or a malformed one."""
    try:
        row = orjson.loads(value)
    except orjson.JSONDecodeError:
        return ""
    address = row.get("fleet", "") if isinstance(row, dict) else ""
    if not isinstance(address, str) or len(address) > MAX_ADDRESS_LENGTH:
        return ""
    return address
