"""One real sender with a long endpoint list that changes, delivered at a limited rate and in small pieces.

Endpoints of several destinations share a few servers.  One destination moves to another server, and its former server
is then one of another destination: a sender that acts on an old list sends messages to the wrong one.
"""

from __future__ import annotations

import asyncio
import math
import random
import re
import time
from dataclasses import dataclass, field
from pathlib import Path
from signal import SIGKILL, SIGUSR1
from typing import Any

import orjson

from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.load_generator import LoadGenerator
from kestreltrack.testing.fakes.loopback_server import LoopbackServer
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess

DISK_MB = 3
SERVERS = 6
SERVICE_TIME_S = 0.02
# "a change counts as told at the latest 6 s after discovery had it and could be reached" (STANDING), 500 ms for
# drains and 50 ms for every time limit.
TOLD_AND_DRAINED_S = 6.0 + 0.5 + 0.05
BEFORE_CHANGE_S = 1.0
# Under load after the change counts as told.
AFTER_TOLD_S = 2.0
RATE_PER_S = 20.0
DEADLINE_MS = 4000
MOVED_DEST, OTHER_DEST = 0, 1


@dataclass(frozen=True, slots=True)
class LongListCase:
    """What one sender is measured with.

    Attributes:
        memory_mb: The limit on memory in its configuration.
        endpoints: The number of listed endpoints.
        endpoints_per_destination: How many of them belong to one destination.
        sockets: The limit on descriptors in its configuration.
        is_known: Whether the configuration has the list as it is at the start.
        bytes_per_s: The rate at which discovery writes responses.
        piece_bytes: How much of a response it writes at a time.
        is_chunked: Whether each piece is a chunk of the transfer coding.
        is_indented: Whether lists are indented.
    """

    memory_mb: float
    endpoints: int
    endpoints_per_destination: int = 2
    sockets: int = 256
    is_known: bool = False
    bytes_per_s: float = math.inf
    piece_bytes: int = 16 * 1024
    is_chunked: bool = False
    is_indented: bool = False


@dataclass(slots=True)
class LongListResult:
    """What was seen.

    Attributes:
        answers: The number of answers to clients by their first word.
        delivered: The number of accepted messages that a server got.
        misdirected: The messages that were sent to a server of another destination after the change counted as told.
        peak_mb: The peak resident memory of the sender.
        told_s: The time from the change until the sender had applied it; infinite if it never did.
        counters: The counters of the sender at the end.
        exit_code: The exit code if the sender ended by itself.
    """

    answers: dict[str, int] = field(default_factory=dict)
    delivered: int = 0
    misdirected: list[str] = field(default_factory=list)
    peak_mb: float = 0.0
    told_s: float = math.inf
    counters: dict[str, int] = field(default_factory=dict)
    exit_code: int | None = None


class SlowPlatform(FakePlatform):
    """Writes its responses at a limited rate, in pieces."""

    def __init__(self, case: LongListCase) -> None:
        super().__init__()
        self.case = case

    async def _write(self, response: bytes, writer: asyncio.StreamWriter) -> None:
        head, separator, body = response.partition(b"\r\n\r\n")
        if self.case.is_indented and body:
            body = orjson.dumps(orjson.loads(body), option=orjson.OPT_INDENT_2)
            head = re.sub(rb"Content-Length: \d+", b"Content-Length: %d" % len(body), head)
        if self.case.is_chunked and body:
            head = head.partition(b"\r\nContent-Length")[0] + b"\r\nTransfer-Encoding: chunked"
        writer.write(head + separator)
        for start in range(0, len(body), self.case.piece_bytes):
            piece = body[start : start + self.case.piece_bytes]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if self.case.is_chunked else piece)
            await writer.drain()
            if math.isfinite(self.case.bytes_per_s):
                await asyncio.sleep(len(piece) / self.case.bytes_per_s)
        if self.case.is_chunked and body:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


class ListedServer(LoopbackServer):
    """Answers each call with 200 after a short time, and records it.

    Attributes:
        calls: The time, on the monotonic clock, and the message id of each call.
    """

    def __init__(self) -> None:
        super().__init__()
        self.calls = list[tuple[float, str]]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection sequentially."""
        while True:
            request = await read_http(reader)
            self.calls.append((time.monotonic(), request.headers.get("x-call-id", "")))
            await asyncio.sleep(SERVICE_TIME_S)
            writer.write(http_answer("200"))
            await writer.drain()


class _World:
    """The servers, the platform and the sender of one case."""

    def __init__(self, case: LongListCase, folder: Path) -> None:
        self.case = case
        self.platform = SlowPlatform(case)
        self.servers = [ListedServer() for _ in range(SERVERS)]
        self.sender = SenderProcess(folder, "s1", folder / "log")
        self.sender.limits = {"memory_mb": case.memory_mb, "sockets": case.sockets, "disk_mb": DISK_MB}
        self.destinations = max(2, case.endpoints // case.endpoints_per_destination)

    async def start(self) -> None:
        for server in (self.platform, *self.servers):
            await server.listen()
        numbers = range(self.case.endpoints)
        self.platform.publish(
            *(self.row(f"s-{number:08x}", number % self.destinations) for number in numbers)
        )
        if self.case.is_known:
            self.sender.known = self.platform.complete_list()
        await self.sender.start(
            self.platform.address, SETTINGS | {"telemetry": {"fields": [], "how": "none"}}, {}
        )

    def row(self, uid: str, dest: int, server: int | None = None, state: str = "up") -> dict[str, Any]:
        """Return an entry; the two destinations of the change each have a server of their own."""
        if server is None:
            server = dest if dest in (MOVED_DEST, OTHER_DEST) else 2 + dest % (SERVERS - 3)
        return {
            "uid": uid,
            "endpoint": self.servers[server].address,
            "az": "a",
            "model": "plain",
            "pod_group": dest,
            "state": state,
            "capacity_hint": 1000.0,
            "boot_ms": 0,
        }

    def move_destination(self) -> None:
        """Replace the endpoints of one destination by one at another server, and give its server to another one."""
        gone = [
            row | {"state": "removed"}
            for row in self.platform.entries.values()
            if row["pod_group"] == MOVED_DEST
        ]
        new = self.row("t-1", MOVED_DEST, SERVERS - 1)
        reused = self.row("u-1", OTHER_DEST, MOVED_DEST)
        self.platform.publish(*gone, new, reused)

    async def end(self) -> None:
        await self.sender.signal(SIGKILL)
        if self.sender.process:
            await self.sender.process.wait()
        for server in (self.platform, *self.servers):
            server.close()


async def play(case: LongListCase, folder: Path) -> LongListResult:
    """Start a sender with its files in `folder`, change its list under load, and return what was seen."""
    world = _World(case, folder)
    result = LongListResult()
    try:
        await world.start()
        await _play(world, result)
    finally:
        await world.end()
    return result


async def _play(world: _World, result: LongListResult) -> None:
    sender = world.sender
    load = LoadGenerator(sender.listen_address, 1, DEADLINE_MS)
    seconds = BEFORE_CHANGE_S + TOLD_AND_DRAINED_S + AFTER_TOLD_S
    clients = asyncio.create_task(load.run(RATE_PER_S, seconds, _draw_message))
    await asyncio.sleep(BEFORE_CHANGE_S)
    world.move_destination()
    changed_at, changed_at_unix_s = time.monotonic(), time.time()
    await clients
    await asyncio.sleep(DEADLINE_MS / 1000.0)
    load.close()
    result.peak_mb = sender.peak_memory_mb()
    assert sender.process
    result.exit_code = sender.process.returncode
    await _read_counters(sender, result)
    accepted = load.results.accepted
    result.answers = dict(load.results.answer_counts)
    result.delivered = len(accepted.keys() & {id_ for server in world.servers for _, id_ in server.calls})
    result.misdirected = [
        id_
        for at, id_ in world.servers[MOVED_DEST].calls
        if at > changed_at + TOLD_AND_DRAINED_S and id_ in accepted and accepted[id_].dest == MOVED_DEST
    ]
    told_at = [
        row["at"]
        for row in sender.log_records
        if row["event"] == "endpoint_list" and row["revision"] >= world.platform.revision
    ]
    result.told_s = min(told_at, default=math.inf) - changed_at_unix_s


def _draw_message(rng: random.Random) -> tuple[int, str]:
    return rng.choice((MOVED_DEST, OTHER_DEST)), "keyed"


async def _read_counters(sender: SenderProcess, result: LongListResult) -> None:
    await sender.signal(SIGUSR1)
    for _ in range(500):
        if sender.counters or (sender.process and sender.process.returncode is not None):
            break
        await asyncio.sleep(0.01)
    result.counters = sender.counters
