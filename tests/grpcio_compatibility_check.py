"""Checks the fake cluster with grpcio, another gRPC implementation (C core), and the messages of `etcdapi`.

    python grpcio_compatibility_check.py HOST:PORT

Exits with 0 if errors have etcd's codes and messages, and compaction, and progress and cancellation on one watch
stream, behave as those of etcd.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import grpc

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.etcdapi import COMPACTED, FUTURE_REVISION
from kestreltrack.etcdapi import rpc_pb2 as pb


def unary_call(channel: Any, path: str, response_type: Any) -> Any:
    return channel.unary_unary(
        f"/etcdserverpb.{path}",
        request_serializer=lambda message: message.SerializeToString(),
        response_deserializer=response_type.FromString,
    )


async def main(address: str) -> None:
    async with grpc.aio.insecure_channel(address) as channel:
        put = unary_call(channel, "KV/Put", pb.PutResponse)
        read = unary_call(channel, "KV/Range", pb.RangeResponse)
        compact = unary_call(channel, "KV/Compact", pb.CompactionResponse)
        start = (await put(pb.PutRequest(key=b"/g/1", value=b"1"))).header.revision
        for number in range(5):
            await put(pb.PutRequest(key=b"/g/1", value=b"%d" % number))
        page = await read(pb.RangeRequest(key=b"/g/", range_end=b"/g0", limit=1, revision=start))
        assert page.kvs[0].value == b"1" and page.header.revision == start + 5
        await compact(pb.CompactionRequest(revision=start + 3))
        await assert_rejected(read(pb.RangeRequest(key=b"/g/1", revision=start)), "OUT_OF_RANGE", COMPACTED)
        await assert_rejected(
            read(pb.RangeRequest(key=b"/g/1", revision=start + 99)), "OUT_OF_RANGE", FUTURE_REVISION
        )
        await assert_rejected(compact(pb.CompactionRequest(revision=start + 3)), "OUT_OF_RANGE", COMPACTED)
        await assert_rejected(read(pb.RangeRequest()), "INVALID_ARGUMENT", "etcdserver: key is not provided")
        await assert_rejected(
            put(pb.PutRequest(key=b"x", lease=5)), "NOT_FOUND", "etcdserver: requested lease not found"
        )
        duplicate_key = pb.TxnRequest(success=[pb.RequestOp(request_put=pb.PutRequest(key=b"x"))] * 2)
        transact = unary_call(channel, "KV/Txn", pb.TxnResponse)
        await assert_rejected(
            transact(duplicate_key), "INVALID_ARGUMENT", "etcdserver: duplicate key given in txn request"
        )
        await watches(channel, put, start)
        status = await unary_call(channel, "Maintenance/Status", pb.StatusResponse)(pb.StatusRequest())
        members = await unary_call(channel, "Cluster/MemberList", pb.MemberListResponse)(
            pb.MemberListRequest()
        )
        assert status.leader and status.raftIndex >= start and len(members.members) == 1


async def assert_rejected(call: Any, code: str, text: str) -> None:
    try:
        await call
    except grpc.aio.AioRpcError as error:
        assert (error.code().name, error.details()) == (code, text), error
    else:
        raise AssertionError(f"not rejected with {text}")


async def watches(channel: Any, put: Any, start: int) -> None:
    stream = channel.stream_stream(
        "/etcdserverpb.Watch/Watch",
        request_serializer=lambda message: message.SerializeToString(),
        response_deserializer=pb.WatchResponse.FromString,
    )()

    async def send(**fields: Any) -> None:
        await stream.write(pb.WatchRequest(**fields))

    async def receive() -> Any:
        return await asyncio.wait_for(stream.read(), 10)

    await send(create_request=pb.WatchCreateRequest(key=b"/g/1", start_revision=start, watch_id=5))
    assert (await receive()).created
    compacted = await receive()
    assert compacted.canceled and compacted.watch_id == 5 and compacted.compact_revision == start + 3
    await send(
        create_request=pb.WatchCreateRequest(key=b"/g/1", start_revision=start + 5, watch_id=6, prev_kv=True)
    )
    assert (await receive()).created
    event = (await receive()).events[0]
    assert event.kv.value == b"4" and event.prev_kv.value == b"3"
    await send(progress_request=pb.WatchProgressRequest())
    progress = await receive()
    assert progress.watch_id == -1 and progress.header.revision == start + 5 and not progress.events
    await send(cancel_request=pb.WatchCancelRequest(watch_id=6))
    assert (await receive()).canceled
    stream.cancel()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
