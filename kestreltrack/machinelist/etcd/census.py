"""Reads who stands in the senders' register, again and again, for `membership.headcount`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.fleet.membership.headcount import Headcount
from kestreltrack.machinelist.etcd.client import EtcdClient, EtcdFailed
from kestreltrack.machinelist.etcd.layout import senders
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

EVERY_S = 1.0  # between reads; a lease lasts several times as long


class Census:
    """Tells how many senders share a partner's limit, whenever that changes."""

    def __init__(
        self,
        client: Callable[[], EtcdClient],
        prefix: str,
        headcount: Headcount,
        tell: Callable[[int], None],
        clock: Clock,
        telemetry: Telemetry,
        timeout_s: float,
    ) -> None:
        """`client` gives the one in force; `tell` hears each new number."""
        self._client, self._stem, self._headcount, self._tell = (
            client,
            senders(prefix).encode(),
            headcount,
            tell,
        )
        self._clock, self._telemetry, self._timeout_s, self._member = clock, telemetry, timeout_s, 0

    async def run(self) -> None:
        """Count until cancelled."""
        told = self._headcount.value
        while True:
            value = await self._look()
            if value != told:
                told = value
                self._telemetry.log("relays", relays=value)
                self._tell(value)
            await asyncio.sleep(EVERY_S)

    async def _look(self) -> int:
        client = self._client()
        ask = pb.RangeRequest(key=self._stem, range_end=prefix_end(self._stem), keys_only=True)
        try:
            answer = await client.range(self._member % len(client), ask, self._timeout_s)
        except EtcdFailed as bad:
            self._member += 1
            self._telemetry.trouble("machinelist.etcd.uncounted", error=str(bad))
            return self._headcount.unseen()
        names = (kv.key.removeprefix(self._stem).decode(errors="replace") for kv in answer.kvs)
        return self._headcount.seen(self._clock(), names)
