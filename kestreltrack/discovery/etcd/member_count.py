"""Periodically reads the names of the registered senders, which `fleet.membership.member_count` counts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kestreltrack.discovery.etcd.client import EtcdClient
from kestreltrack.discovery.etcd.errors import EtcdError
from kestreltrack.discovery.etcd.layout import senders_prefix
from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.fleet.membership.member_count import MemberCount
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

# Interval between two reads; the lease of a registration lasts several times as long.
READ_INTERVAL_S = 1.0


class MemberCountReader:
    """Reports the number of senders that share a destination's limits whenever it changes."""

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
        """Create the reader; `run` starts the reads.

        Args:
            client: Returns the current client.
            prefix: The prefix of the directory.
            member_count: Computes the number in effect from the results of the reads.
            on_change: Called with each new number.
            clock: A monotonic clock in milliseconds.
            telemetry: Receives the fault `discovery.etcd.member_count_failed`.
            timeout_s: The time limit of a read, in seconds.
        """
        self._client = client
        self._key_prefix = senders_prefix(prefix).encode()
        self._member_count = member_count
        self._on_change = on_change
        self._clock = clock
        self._telemetry = telemetry
        self._timeout_s = timeout_s
        self._member_index = 0

    async def run(self) -> None:
        """Read until cancelled."""
        reported = self._member_count.value
        while True:
            count = await self._read_count()
            if count != reported:
                reported = count
                self._telemetry.log("sender_count", sender_count=count)
                self._on_change(count)
            await asyncio.sleep(READ_INTERVAL_S)

    async def _read_count(self) -> int:
        client = self._client()
        request = pb.RangeRequest(
            key=self._key_prefix, range_end=prefix_end(self._key_prefix), keys_only=True
        )
        try:
            response = await client.range(self._member_index % len(client), request, self._timeout_s)
        except EtcdError as error:
            self._member_index += 1
            self._telemetry.record_fault("discovery.etcd.member_count_failed", error=str(error))
            return self._member_count.record_read_failure()
        names = (kv.key.removeprefix(self._key_prefix).decode(errors="replace") for kv in response.kvs)
        return self._member_count.record_members(self._clock(), names)
