"""One real sender under one kind of pressure, with an ordinary client beside it."""

from __future__ import annotations

import asyncio
import random
import statistics
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from signal import SIGKILL, SIGUSR1
from typing import Any

from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.fakes.load_generator import LoadGenerator
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess
from kestreltrack.testing.pressure.clients import PressureKind
from kestreltrack.testing.pressure.endpoints import CostlyEndpoint, ResponseKind

DESTINATIONS = 4
ENDPOINTS_PER_DESTINATION = 2
DISK_MB = 3
# Before the pressure begins, so that the sender has its list and its first connections.
SETTLE_S = 0.5
# After the pressure: for the last answers, and for the counters in the log.
COUNTERS_TIMEOUT_S = 5.0
MESSAGE_CLASSES = ("keyed", "unsafe")


@dataclass(frozen=True, slots=True)
class Pressure:
    """What one sender is measured under.

    Attributes:
        memory_mb: The limit on memory in its configuration.
        sockets: The limit on descriptors in its configuration.
        clients: The kind of pressing clients; none without one.
        client_count: How many clients press.
        responses: The kind of costly responses; none without one.
        response_share: The share of the responses that are costly.
        seconds: How long the pressure lasts.
        rate: Messages a second of the ordinary client.
        seed: The seed of all choices.
    """

    memory_mb: float = 192.0
    sockets: int = 1024
    clients: PressureKind | None = None
    client_count: int = 100
    responses: ResponseKind | None = None
    response_share: float = 0.25
    seconds: float = 5.0
    rate: float = 20.0
    seed: int = 1


@dataclass(slots=True)
class PressureResult:
    """What was seen.

    Attributes:
        start_mb: The resident memory of the ready sender.
        peak_mb: The peak resident memory of the sender.
        peak_descriptors: The most open descriptors, sampled.
        core_share: The CPU time of the sender by the time of the pressure.
        answers: The number of answers to the ordinary client by their first word.
        slowest_answer_ms: The slowest answer to the ordinary client.
        median_answer_ms: The median time of these answers.
        exit_code: The exit code if the sender ended by itself.
        counters: The counters of the sender at the end.
    """

    start_mb: float = 0.0
    peak_mb: float = 0.0
    peak_descriptors: int = 0
    core_share: float = 0.0
    answers: dict[str, int] = field(default_factory=dict)
    slowest_answer_ms: float = 0.0
    median_answer_ms: float = 0.0
    exit_code: int | None = None
    counters: dict[str, int] = field(default_factory=dict)

    @property
    def unanswered(self) -> int:
        """Return how many requests of the ordinary client got no answer in time."""
        return self.answers.get("silent", 0)


async def measure(pressure: Pressure, folder: Path) -> PressureResult:
    """Start a sender with its files in `folder`, press on it, and return what was seen."""
    async with _running_sender(pressure, folder) as sender:
        result = PressureResult(start_mb=sender.memory_mb())
        load = LoadGenerator(sender.listen_address, pressure.seed)
        ordinary = asyncio.create_task(load.run(pressure.rate, SETTLE_S + pressure.seconds, _draw_message))
        await asyncio.sleep(SETTLE_S)
        cpu_before_s = sender.cpu_s()
        async with _pressing(pressure, sender.listen_address):
            samples = asyncio.create_task(_sample(sender, result))
            await asyncio.sleep(pressure.seconds)
            samples.cancel()
        result.core_share = (sender.cpu_s() - cpu_before_s) / pressure.seconds
        await ordinary
        load.close()
        result.peak_mb = sender.peak_memory_mb() or result.peak_mb
        result.answers = dict(load.results.answer_counts)
        result.slowest_answer_ms = max(load.results.latencies_ms, default=0.0)
        result.median_answer_ms = statistics.median(load.results.latencies_ms or [0.0])
        assert sender.process
        result.exit_code = sender.process.returncode
        await _read_counters(sender, result)
        return result


def _draw_message(rng: random.Random) -> tuple[int, str]:
    return rng.randint(1, DESTINATIONS), rng.choice(MESSAGE_CLASSES)


async def _sample(sender: SenderProcess, result: PressureResult) -> None:
    while True:
        result.peak_descriptors = max(result.peak_descriptors, sender.descriptor_count())
        result.peak_mb = max(result.peak_mb, sender.peak_memory_mb())
        await asyncio.sleep(0.05)


async def _read_counters(sender: SenderProcess, result: PressureResult) -> None:
    await sender.signal(SIGUSR1)
    with suppress(TimeoutError):
        async with asyncio.timeout(COUNTERS_TIMEOUT_S):
            while not sender.counters and sender.process and sender.process.returncode is None:
                await asyncio.sleep(0.01)
    result.counters = sender.counters


@asynccontextmanager
async def _running_sender(pressure: Pressure, folder: Path) -> AsyncIterator[SenderProcess]:
    platform = FakePlatform()
    await platform.listen()
    endpoints = [
        CostlyEndpoint(f"e{dest}-{number}", dest, pressure.responses, pressure.response_share, pressure.seed)
        for dest in range(1, DESTINATIONS + 1)
        for number in range(ENDPOINTS_PER_DESTINATION)
    ]
    for endpoint in endpoints:
        await endpoint.listen()
        platform.publish(endpoint.discovery_row())
    sender = SenderProcess(folder, "s1", folder / "log")
    sender.limits = {"memory_mb": pressure.memory_mb, "sockets": pressure.sockets, "disk_mb": DISK_MB}
    try:
        await sender.start(platform.address, _settings(), {})
        yield sender
    finally:
        await sender.signal(SIGKILL)
        if sender.process:
            await sender.process.wait()
        for server in (platform, *endpoints):
            server.close()


def _settings() -> dict[str, Any]:
    return SETTINGS | {"telemetry": {"fields": [], "how": "none"}}


@asynccontextmanager
async def _pressing(pressure: Pressure, address: str) -> AsyncIterator[None]:
    if pressure.clients is None:
        yield
        return
    async with pressing(pressure.clients, address, pressure.client_count, pressure.seconds, pressure.seed):
        yield


@asynccontextmanager
async def pressing(
    kind: PressureKind, address: str, clients: int, seconds: float, seed: int
) -> AsyncIterator[None]:
    """Let pressing clients run in a process of their own, which ends with the block."""
    arguments = (kind, address, clients, seconds, seed)
    module = "kestreltrack.testing.pressure.clients"
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", module, *map(str, arguments))
    try:
        yield
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
