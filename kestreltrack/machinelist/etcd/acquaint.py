"""Reads from the senders' register where others of the fleet can be reached: any of them serves as a seed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import orjson

from kestreltrack.etcdapi import prefix_end
from kestreltrack.etcdapi import rpc_pb2 as pb
from kestreltrack.machinelist.etcd.client import EtcdClient, EtcdFailed
from kestreltrack.machinelist.etcd.layout import senders
from kestreltrack.telemetry import Telemetry

EVERY_S = 10.0  # between reads; members learn of each other by themselves once one is known
MOST = 16  # entries read: a few seeds are enough, in a fleet of any size


class Acquaint:
    """Tells addresses of the fleet, whenever they were read."""

    def __init__(
        self,
        client: Callable[[], EtcdClient],
        prefix: str,
        tell: Callable[[list[str]], None],
        telemetry: Telemetry,
        timeout_s: float,
    ) -> None:
        """`client` gives the one in force."""
        self._client, self._stem, self._tell = client, senders(prefix).encode(), tell
        self._telemetry, self._timeout_s, self._member = telemetry, timeout_s, 0

    async def run(self) -> None:
        """Read until cancelled; where etcd is away, what was read last goes on being used."""
        while True:
            client = self._client()
            ask = pb.RangeRequest(
                key=self._stem,
                range_end=prefix_end(self._stem),
                limit=MOST,
                sort_target=pb.RangeRequest.MOD,
                sort_order=pb.RangeRequest.DESCEND,
            )
            try:
                answer = await client.range(self._member % len(client), ask, self._timeout_s)
            except EtcdFailed as bad:
                self._member += 1
                self._telemetry.trouble("machinelist.etcd.unacquainted", error=str(bad))
            else:
                self._tell([address for kv in answer.kvs if (address := _address(kv.value))])
            await asyncio.sleep(EVERY_S)


def _address(value: bytes) -> str:
    """Empty where an entry gives none, as those of senders that do not talk."""
    try:
        row = orjson.loads(value)
    except ValueError:
        return ""
    found = row.get("fleet", "") if isinstance(row, dict) else ""
    return found if isinstance(found, str) and len(found) <= 64 else ""
