"""Checks the fake cluster with the client library aetcd.

    python aetcd_compatibility_check.py HOST:PORT

Exits with 0 if puts, ranges, transactions, leases and watches behave as those of etcd.  A separate program, because
the protobuf messages of aetcd have the same names as those of `kestreltrack.etcdapi`.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import aetcd


async def main(address: str) -> None:
    host, _, port = address.rpartition(":")
    async with aetcd.Client(host=host, port=int(port), timeout=10) as client:
        await puts_and_ranges(client)
        await transactions(client)
        await leases(client)
        await watches(client)
        members = (
            [member async for member in client.members()] if hasattr(client.members, "__aiter__") else None
        )
        assert members is None or members


async def puts_and_ranges(client: Any) -> None:
    first = await client.put(b"/a/1", b"one")
    await client.put(b"/a/2", b"two")
    await client.put(b"/b/1", b"other")
    overwritten = await client.put(b"/a/1", b"uno", prev_kv=True)
    assert overwritten.prev_kv.value == b"one" and overwritten.header.revision == first.header.revision + 3
    stored = await client.get(b"/a/1")
    assert stored.value == b"uno" and stored.version == 2 and stored.create_revision == first.header.revision
    ascending = list(await client.get_prefix(b"/a/"))
    assert [(kv.key, kv.value) for kv in ascending] == [(b"/a/1", b"uno"), (b"/a/2", b"two")]
    descending = list(await client.get_prefix(b"/a/", sort_order="descend", sort_target="key"))
    assert [kv.key for kv in descending] == [b"/a/2", b"/a/1"]
    assert await client.get(b"/none") is None
    assert await client.delete(b"/a/2") is not None
    assert await client.get(b"/a/2") is None
    await client.delete_prefix(b"/b/")
    assert not list(await client.get_prefix(b"/b/"))


async def transactions(client: Any) -> None:
    operations = client.transactions
    succeeded, _ = await client.transaction(
        compare=[operations.value(b"/a/1") == b"uno", operations.version(b"/a/1") > 1],
        success=[operations.put(b"/t/1", b"s"), operations.delete(b"/a/1")],
        failure=[operations.put(b"/t/1", b"f")],
    )
    assert succeeded and (await client.get(b"/t/1")).value == b"s" and await client.get(b"/a/1") is None
    succeeded, _ = await client.transaction(
        compare=[operations.version(b"/t/1") == 7],
        success=[operations.put(b"/t/1", b"s2")],
        failure=[operations.put(b"/t/1", b"f2")],
    )
    assert not succeeded and (await client.get(b"/t/1")).value == b"f2"


async def leases(client: Any) -> None:
    lease = await client.lease(60)
    await client.put(b"/l/1", b"x", lease=lease)
    assert (await client.get(b"/l/1")).lease == lease.id
    assert await lease.remaining_ttl() > 50
    await lease.refresh()
    await lease.revoke()
    assert await client.get(b"/l/1") is None
    short_lease = await client.lease(1)
    await client.put(b"/l/2", b"y", lease=short_lease)
    async with asyncio.timeout(10):
        while await client.get(b"/l/2") is not None:
            await asyncio.sleep(0.05)


async def watches(client: Any) -> None:
    start = (await client.put(b"/w/0", b"0")).header.revision
    watch = await client.watch_prefix(b"/w/", start_revision=start)
    single_key_watch = await client.watch(b"/w/1")
    await client.put(b"/w/1", b"1")
    await client.delete(b"/w/1")
    events = list[tuple[str, bytes, bytes]]()
    async with asyncio.timeout(10):
        async for event in watch:
            events.append((str(event.kind), event.kv.key, event.kv.value))
            if len(events) == 3:
                await watch.cancel()
                break
    assert events == [("PUT", b"/w/0", b"0"), ("PUT", b"/w/1", b"1"), ("DELETE", b"/w/1", b"")], events
    async with asyncio.timeout(10):
        async for event in single_key_watch:
            assert event.kv.key == b"/w/1" and str(event.kind) == "PUT"
            await single_key_watch.cancel()
            break


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
