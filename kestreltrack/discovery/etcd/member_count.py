"""Reads who stands in the senders' register, again and again, for `membership.headcount`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kestreltrack.discovery.etcd.client import EtcdClient, EtcdError
from kestreltrack.discovery.etcd.layout import senders_prefix
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.fleet.membership.member_count import MemberCount
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

READ_INTERVAL_S = 1.0  # between reads; a lease lasts several times as long


class MemberCountReader:
    """Tells how many senders share a partner's limit, whenever that changes."""

    def __init__(
        self,
        client: Callable[[], EtcdClient],
        prefix: str,
        member_count: MemberCount,
        on_change: Callable[[int], None],
        clock: Clock,
        telemetry: Telemetry,
        timeout_s: float,
    ) -> None:
        """`client` gives the one in force; `tell` hears each new number."""
        self._client, self._key_prefix, self._member_count, self._on_change = (
            client,
            senders_prefix(prefix).encode(),
            member_count,
            on_change,
        )
        self._clock, self._telemetry, self._timeout_s, self._member_index = clock, telemetry, timeout_s, 0

    async def run(self) -> None:
        """Count until cancelled."""
        told = self._member_count.value
        while True:
            value = await self._read_count()
            if value != told:
                told = value
                self._telemetry.log("relays", relays=value)
                self._on_change(value)
            await asyncio.sleep(READ_INTERVAL_S)

    async def _read_count(self) -> int:
        client = self._client()
        ask = pb.RangeRequest(key=self._key_prefix, range_end=prefix_end(self._key_prefix), keys_only=True)
        try:
            answer = await client.range(self._member_index % len(client), ask, self._timeout_s)
        except EtcdError as bad:
            self._member_index += 1
            self._telemetry.record_fault("discovery.etcd.member_count_failed", error=str(bad))
            return self._member_count.record_read_failure()
        names = (kv.key.removeprefix(self._key_prefix).decode(errors="replace") for kv in answer.kvs)
        return self._member_count.record_members(self._clock(), names)
