"""The directory in etcd, measured on a real sender process among stand-ins.

    python benchmarks/directory.py drains [--drains 200] [--rate 300]   from a drain's write to the last new call
    python benchmarks/directory.py cut [--seconds 60]                   cut off from etcd while drains are written
    python benchmarks/directory.py scale [--sizes 1000,10000,50000]     time, memory and standstill of a whole list
    python benchmarks/directory.py changes [--rates 200,1000,2000]      sustained changes a second, and their cost
    python benchmarks/directory.py resync [--size 10000]                after a compaction

Each prints JSON lines.  `standstill_ms` is the longest time that a PING waited meanwhile.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

import numpy as np

from kestreltrack.discovery.etcd.admin import EtcdDirectory
from kestreltrack.discovery.etcd.client import ClusterSettings, EtcdClient
from kestreltrack.testing.demo.environment import ETCD_PREFIX, SETTINGS, DemoEnvironment, SenderProcess
from kestreltrack.testing.fakes.destinations import FakeEndpoint
from kestreltrack.testing.fakes.platform import FakePlatform


def quantiles(values: list[float]) -> dict[str, float]:
    """In milliseconds."""
    found = np.quantile(values, [0.5, 0.99, 1.0])
    return {name: round(float(v), 2) for name, v in zip(("p50", "p99", "max"), found, strict=True)}


def last_call_delay(endpoint: FakeEndpoint, since: float, until: float) -> float:
    """How long after `since` the last call came there; 0 where none did."""
    return 1000.0 * max((at - since for at, _ in endpoint.calls if since < at < until), default=0.0)


def acknowledged(world: DemoEnvironment) -> int:
    """The revision that the sender says it has taken in."""
    from kestreltrack.etcdapi import rpc_pb2 as pb

    kvs = world.etcd_cluster.store.range(pb.RangeRequest(key=f"{ETCD_PREFIX}senders/demo-1".encode())).kvs
    return int(json.loads(kvs[0].value)["revision"]) if kvs else -1


async def drains(drains: int, rate: float) -> None:
    """Drain one endpoint after another under load."""
    with tempfile.TemporaryDirectory() as folder:
        world = DemoEnvironment(Path(folder), seed=7)
        await world.start()
        assert world.load_generator
        pairs = [e for e in world.endpoints if e.destination.dest % 2]  # their partner keeps another endpoint
        load = asyncio.create_task(world.load_generator.run(rate, drains * 0.27 + 3.0, world.draw_message))
        await asyncio.sleep(2.0)
        cpu = world.sender.cpu_s()
        began = time.monotonic()
        late = list[float]()
        told = list[float]()
        for n in range(drains):
            endpoint = pairs[n % len(pairs)]
            revision = world.publish_endpoint(endpoint, "draining")
            written = world.etcd_cluster.commit_times[revision]
            while acknowledged(world) < revision:
                await asyncio.sleep(0.001)
            told.append((time.monotonic() - written) * 1000.0)
            await asyncio.sleep(max(0.0, 0.2 - (time.monotonic() - written)))
            late.append(last_call_delay(endpoint, written, time.monotonic()))
            world.publish_endpoint(endpoint, "up")
            await asyncio.sleep(0.05)
        busy = (world.sender.cpu_s() - cpu) / (time.monotonic() - began)
        await load
        await world.wait_until_settled()
        result = {
            "measure": "drains",
            "drains": drains,
            "messages_a_second": rate,
            "last_call_after_write_ms": quantiles(late),
            "acknowledged_after_ms": quantiles(told),
            "with_a_call_after": sum(v > 0 for v in late),
            "sender_cpu": round(busy, 3),
            "answers": dict(world.load_generator.results.answer_counts),
            "owed": len(world.pending()),
            "doubles": len(world.executed_more_than_once()),
        }
        await world.stop()
    print(json.dumps(result), flush=True)


async def cut_off_from_etcd(seconds: float, rate: float) -> None:
    """All members refuse for so long; drains, undrains, removals and re-adds are written meanwhile."""
    with tempfile.TemporaryDirectory() as folder:
        world = DemoEnvironment(Path(folder), seed=8)
        await world.start()
        assert world.load_generator
        load = asyncio.create_task(world.load_generator.run(rate, seconds + 8.0, world.draw_message))
        await asyncio.sleep(2.0)
        for member in range(3):
            await world.etcd_cluster.apply_fault(member, "refuse")
        before = acknowledged(world)
        pairs = [e for e in world.endpoints if e.destination.dest % 2]
        states = dict.fromkeys((e.uid for e in pairs), "up")
        end = time.monotonic() + seconds
        n = 0
        while time.monotonic() < end:
            endpoint = pairs[n % len(pairs)]
            state = ("draining", "up", "removed", "draining", "up", "draining")[(n // len(pairs) + n) % 6]
            if state == "removed":
                world.etcd_cluster.delete(f"{ETCD_PREFIX}endpoints/{endpoint.uid}")
            else:
                world.publish_endpoint(endpoint, state)
            states[endpoint.uid] = state
            n += 1
            await asyncio.sleep(seconds / 600.0)
        for member in range(3):
            await world.etcd_cluster.apply_fault(member, "heal")
        healed = time.monotonic()
        revision = world.etcd_cluster.store.revision
        while acknowledged(world) <= before or acknowledged(world) < revision:
            await asyncio.sleep(0.001)
        told = time.monotonic()
        await load
        late = [last_call_delay(e, told, float("inf")) for e in pairs if states[e.uid] != "up"]
        await world.wait_until_settled()
        result = {
            "measure": "cut",
            "seconds": seconds,
            "changes_while_cut": n,
            "told_after_heal_ms": round(1e3 * (told - healed)),
            "endpoints_that_must_be_quiet": len(late),
            "last_call_after_told_ms": quantiles(late),
            "later_than_500_ms": sum(v > 500.0 for v in late),
            "owed": len(world.pending()),
            "doubles": len(world.executed_more_than_once()),
            "answers": dict(world.load_generator.results.answer_counts),
        }
        await world.stop()
    print(json.dumps(result), flush=True)


class LargeDirectory:
    """A sender that follows a stand-in etcd of its own process, with thousands of endpoints that nobody calls."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.platform = FakePlatform()
        self.sender = SenderProcess(folder)
        self.process: asyncio.subprocess.Process | None = None
        self.directory: EtcdDirectory

    async def start(self, size: int) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kestreltrack",
            "standin",
            "etcd",
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self.process.stdout
        address = json.loads(await self.process.stdout.readline())["members"][0]
        self.directory = EtcdDirectory(EtcdClient(ClusterSettings((address,))), ETCD_PREFIX, timeout_s=30.0)
        rows = [self.row(n) for n in range(size)]
        async for _ in self.directory.import_entries(rows, False):
            pass
        await self.platform.listen()
        self.variables = {
            "KESTRELTRACK_DIRECTORY_SOURCE": "etcd",
            "KESTRELTRACK_DIRECTORY_ETCD_MEMBERS": address,
            "KESTRELTRACK_DIRECTORY_ETCD_PREFIX": ETCD_PREFIX,
            "KESTRELTRACK_DIRECTORY_ETCD_ANSWER_MS": "5000",
        }

    @staticmethod
    def row(n: int, state: str = "up") -> dict[str, Any]:
        return {
            "uid": f"s-{n:08x}",
            "endpoint": f"127.{n >> 16}.{n >> 8 & 255}.{n & 255}:9",
            "az": "a",
            "model": "plain",
            "pod_group": n // 2,
            "state": state,
            "capacity_hint": 5.0,
            "boot_ms": 0,
        }

    async def fault(self, fault: str) -> None:
        assert self.process and self.process.stdin and self.process.stdout
        self.process.stdin.write(json.dumps({"fault": fault}).encode() + b"\n")
        await self.process.stdout.readline()

    async def wait_for_log(self, holds: Callable[[dict[str, Any]], bool], since: int) -> dict[str, Any]:
        """The first line of the sender's log from there on that fits."""
        async with asyncio.timeout(120.0):
            while True:
                for line in list(self.sender.log_records)[since:]:
                    if holds(line):
                        return line
                await asyncio.sleep(0.002)

    async def measure_pings(self, out: list[float]) -> None:
        """A PING every 2 ms; how long each took, in milliseconds."""
        host, _, port = self.sender.listen_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        while True:
            began = time.monotonic()
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            await reader.readline()
            out.append((time.monotonic() - began) * 1000.0)
            await asyncio.sleep(0.002)

    async def stop(self) -> None:
        await self.sender.stop()
        self.directory.client.close()
        self.platform.close()
        assert self.process and self.process.stdin
        self.process.stdin.close()
        await self.process.wait()


async def scale(size: int) -> None:
    """A sender starts with nothing and takes in the whole list."""
    with tempfile.TemporaryDirectory() as folder:
        large = LargeDirectory(Path(folder))
        pings = list[float]()
        await large.start(size)
        await large.sender.start(large.platform.address, SETTINGS, large.variables)
        ready = time.monotonic()
        memory = large.sender.memory_mb()
        task = asyncio.create_task(large.measure_pings(pings))
        await large.wait_for_log(lambda line: line["event"] == "endpoint_list", 0)
        told = time.monotonic()
        quiet = 0
        cpu = large.sender.cpu_s()
        while quiet < 5:  # all slices are told once it idles
            await asyncio.sleep(0.1)
            now = large.sender.cpu_s()
            quiet = quiet + 1 if now - cpu <= 0.04 else 0
            cpu = now
        result = {
            "measure": "scale",
            "endpoints": size,
            "read_s": round(told - ready, 3),
            "all_told_s": round(time.monotonic() - ready - 0.5, 2),
            "cpu_s": round(large.sender.cpu_s(), 2),
            "standstill_ms": round(max(pings), 1),
            "ping_p50_ms": round(float(np.median(pings)), 2),
            "memory_before_mb": round(memory, 1),
            "memory_mb": round(large.sender.memory_mb(), 1),
        }
        task.cancel()
        await large.stop()
    print(json.dumps(result), flush=True)


async def changes(size: int, rate: float, seconds: float = 8.0) -> None:
    """Drains and undrains at a steady rate."""
    with tempfile.TemporaryDirectory() as folder:
        large = LargeDirectory(Path(folder))
        pings = list[float]()
        await large.start(size)
        await large.sender.start(large.platform.address, SETTINGS, large.variables)
        await large.wait_for_log(lambda line: line["event"] == "endpoint_list", 0)
        await asyncio.sleep(3.0)
        large.sender.log_records.clear()
        heard = 0

        def count(
            row: dict[str, Any], real: Callable[[dict[str, Any]], None] = large.sender._on_log_record
        ) -> None:
            nonlocal heard
            heard += row["count"] if row["event"] == "endpoint_list" else 0
            real(row)

        large.sender._on_log_record = count  # type: ignore[method-assign]
        task = asyncio.create_task(large.measure_pings(pings))
        cpu = large.sender.cpu_s()
        began = time.monotonic()
        written = 0
        while (passed := time.monotonic() - began) < seconds:
            due = min(100, int(passed * rate) - written)
            if due > 0:
                numbers = range(written, written + due)
                rows = [large.row(n % size, ("draining", "up")[n // size % 2]) for n in numbers]
                await asyncio.gather(*(large.directory.put(row) for row in rows))
                written += due
            await asyncio.sleep(0.005)
        took = time.monotonic() - began
        busy = (large.sender.cpu_s() - cpu) / took
        until = time.monotonic() + 20.0
        while heard < written and time.monotonic() < until:
            await asyncio.sleep(0.01)
        result = {
            "measure": "changes",
            "endpoints": size,
            "asked_a_second": rate,
            "written_a_second": round(written / took),
            "written": written,
            "lost": written - heard,
            "sender_cpu": round(busy, 3),
            "standstill_ms": round(max(pings), 1),
        }
        task.cancel()
        await large.stop()
    print(json.dumps(result), flush=True)


async def resync(size: int) -> None:
    """Cut off, a hundred changes, a compaction; then back."""
    with tempfile.TemporaryDirectory() as folder:
        large = LargeDirectory(Path(folder))
        pings = list[float]()
        await large.start(size)
        await large.sender.start(large.platform.address, SETTINGS, large.variables)
        await large.wait_for_log(lambda line: line["event"] == "endpoint_list", 0)
        await asyncio.sleep(4.0)
        since = len(large.sender.log_records)
        task = asyncio.create_task(large.measure_pings(pings))
        await large.fault("hang")  # the sender hears nothing from here on
        await large.fault("cut")
        await large.wait_for_log(lambda line: line["event"] == "discovery.etcd.member_failed", since)
        writer = EtcdDirectory(EtcdClient(large.directory.client.cluster), ETCD_PREFIX, timeout_s=30.0)
        pending = asyncio.gather(*(writer.put(large.row(n, "draining")) for n in range(100)))
        since = len(large.sender.log_records)
        await large.fault("refuse")
        await asyncio.gather(pending, return_exceptions=True)
        await large.fault("heal")
        await asyncio.gather(
            *(writer.put(large.row(n, "draining")) for n in range(100)), return_exceptions=True
        )
        await large.fault("compact")
        await large.fault("cut")
        healed = time.monotonic()
        line = await large.wait_for_log(lambda line: line["event"] == "endpoint_list", since)
        result = {
            "measure": "resync",
            "endpoints": size,
            "told_after_s": round(time.monotonic() - healed, 3),
            "whole": line["whole"],
            "n": line["n"],
            "standstill_ms": round(max(pings), 1),
        }
        task.cancel()
        writer.client.close()
        await large.stop()
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["drains", "cut", "scale", "changes", "resync"])
    parser.add_argument("--drains", type=int, default=200)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--sizes", default="1000,10000,50000")
    parser.add_argument("--rates", default="200,1000,2000")
    parser.add_argument("--size", type=int, default=10_000)
    asked = parser.parse_args()
    if asked.what == "drains":
        asyncio.run(drains(asked.drains, asked.rate))
    elif asked.what == "cut":
        asyncio.run(cut_off_from_etcd(asked.seconds, asked.rate))
    elif asked.what == "scale":
        for number in asked.sizes.split(","):
            asyncio.run(scale(int(number)))
    elif asked.what == "changes":
        for number in asked.rates.split(","):
            asyncio.run(changes(asked.size, float(number)))
    else:
        asyncio.run(resync(asked.size))
