"""One sender of several processes that share a state folder, as during an upgrade, and its clients and endpoint."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.fakes.load_generator import encode_command
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess
from kestreltrack.testing.pressure.endpoints import CostlyEndpoint

DISK_MB = 3
SETTLE_S = 0.1


class SharedStateSender:
    """One sender of several processes, which deliver to one endpoint.

    Attributes:
        endpoint: Counts the calls with each id.
        processes: All processes that were started.
        settings: The settings of processes that are started from now on.
        known: The endpoint list in the configuration of processes that are started from now on.
    """

    def __init__(self, folder: Path) -> None:
        """Start nothing yet; the processes share `folder`."""
        self.folder = folder
        self.platform = FakePlatform()
        self.endpoint = CostlyEndpoint("e1", 1, None, 0.0, 1)
        self.processes = list[SenderProcess]()
        self.settings = SETTINGS | {"telemetry": {"fields": [], "how": "none"}}
        self.known: dict[str, Any] | None = None

    async def start_process(self) -> SenderProcess:
        """Start a further process, and return it once it is ready."""
        process = SenderProcess(self.folder, "s1", self.folder / f"log{len(self.processes)}")
        process.limits["disk_mb"] = DISK_MB
        process.known = self.known
        self.processes.append(process)
        await process.start(self.platform.address, self.settings, {})
        return process

    async def end_process(self, process: SenderProcess, number: signal.Signals) -> None:
        """Send a signal that ends a process, and wait until it has ended."""
        await process.signal(number)
        assert process.process
        await process.process.wait()

    async def submit_all(self, process: SenderProcess, message_ids: list[str]) -> list[str]:
        """Submit messages at the same time, and return the answers in their order."""
        return list(await asyncio.gather(*(self.submit(process, id_) for id_ in message_ids)))

    async def submit(self, process: SenderProcess, message_id: str, leave: bool = False) -> str:
        """Submit a message of an at_most_once class, and return the answer, or leave without reading it."""
        host, _, port = process.listen_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(encode_command("SUBMIT", "0" * 16, message_id, "c=unsafe,t=acme,d=7000,dest=1", "x"))
        if leave:
            await writer.drain()
            writer.close()
            return ""
        line = (await reader.readline()).decode().strip()
        writer.close()
        return line

    async def wait_until_delivered(self, count: int) -> None:
        """Wait until the endpoint has answered calls with `count` ids."""
        while len(self.endpoint.call_counts) < count:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.endpoint.service_time_s + SETTLE_S)


@asynccontextmanager
async def running_sender(folder: Path) -> AsyncIterator[SharedStateSender]:
    """Yield a sender without a process; end all that was started with the block."""
    world = SharedStateSender(folder)
    await world.platform.listen()
    await world.endpoint.listen()
    world.platform.publish(world.endpoint.discovery_row())
    try:
        yield world
    finally:
        for process in world.processes:
            await process.signal(signal.SIGKILL)
            if process.process:
                await process.process.wait()
        world.platform.close()
        world.endpoint.close()
