"""grpclib against grpcio.aio as the watch's client: memory, processor time an event, cancellation, uvloop.

    python benchmarks/grpc_libraries.py

Each client runs as a process of its own against the stand-in for etcd (which runs on grpclib): it follows a prefix
while 20,000 keys are written, 100 a transaction.  Prints JSON lines.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
EVENTS = 20_000


def memory_mb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def with_grpclib(address: str, create: Any) -> Any:
    from grpclib.client import Channel

    from kestreltrack.etcdapi import rpc_grpc as rpc

    host, _, port = address.rpartition(":")
    channel = Channel(host, int(port))
    stream = await rpc.WatchStub(channel).Watch.open().__aenter__()
    await stream.send_message(create)
    return stream.recv_message, stream.cancel


async def with_grpcio(address: str, create: Any) -> Any:
    import grpc

    from kestreltrack.etcdapi import rpc_pb2 as pb

    channel = grpc.aio.insecure_channel(address)
    stream = channel.stream_stream(
        "/etcdserverpb.Watch/Watch",
        request_serializer=lambda m: m.SerializeToString(),
        response_deserializer=pb.WatchResponse.FromString,
    )()
    await stream.write(create)

    async def cancel() -> None:
        stream.cancel()

    return stream.read, cancel


async def follow(library: str, address: str) -> None:
    base = memory_mb()
    from kestreltrack.etcdapi import rpc_pb2 as pb

    messages = memory_mb()
    create = pb.WatchRequest(
        create_request=pb.WatchCreateRequest(key=b"/b/", range_end=b"/b0", fragment=True)
    )
    opened = await {"grpclib": with_grpclib, "grpcio": with_grpcio}[library](address, create)
    heard, cancel = opened
    assert (await heard()).created
    print(json.dumps({"watching": True}), flush=True)
    seen = 0
    cpu = time.process_time()
    while seen < EVENTS:
        seen += len((await heard()).events)
    cpu = time.process_time() - cpu
    began = time.perf_counter()
    await cancel()
    ended = (time.perf_counter() - began) * 1000.0
    row = {
        "library": library,
        "uvloop": "uvloop" in type(asyncio.get_running_loop()).__module__,
        "messages_mb": round(messages - base, 1),
        "library_mb": round(memory_mb() - messages, 1),
        "cpu_us_an_event": round(cpu / EVENTS * 1e6, 2),
        "cancel_ms": round(ended, 2),
        "threads": len(os.listdir("/proc/self/task")),
    }
    print(json.dumps(row), flush=True)


async def write(address: str) -> None:
    from kestreltrack.discovery.etcd.client import ClusterSettings, EtcdClient
    from kestreltrack.etcdapi import rpc_grpc as rpc
    from kestreltrack.etcdapi import rpc_pb2 as pb

    client = EtcdClient(ClusterSettings((address,)))
    for first in range(0, EVENTS, 100):
        txn = pb.TxnRequest()
        for n in range(first, first + 100):
            txn.success.add(request_put=pb.PutRequest(key=b"/b/%06d" % n, value=b"v" * 150))
        await client.call(0, rpc.KVStub, "Txn", txn, 10.0)
    client.close()


def main() -> None:
    for loop in ("asyncio", "uvloop"):
        for library in ("grpclib", "grpcio"):
            server = subprocess.Popen(
                [sys.executable, "-m", "kestreltrack", "standin", "etcd"],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            assert server.stdout and server.stdin
            address = json.loads(server.stdout.readline())["members"][0]
            command = [sys.executable, "-O", __file__, library, loop, address]
            client = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
            assert client.stdout
            first = client.stdout.readline()
            if first:
                asyncio.run(write(address))
            print(
                client.stdout.readline().strip()
                or json.dumps({"library": library, "loop": loop, "failed": True})
            )
            client.wait(60)
            server.stdin.close()
            server.wait(20)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        import uvloop

        runner = uvloop.run if sys.argv[2] == "uvloop" else asyncio.run
        runner(follow(sys.argv[1], sys.argv[3]))
    else:
        main()
