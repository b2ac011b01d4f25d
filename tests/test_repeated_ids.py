"""An id that comes again is not run again, whichever process of the sender it comes to."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from signal import SIGKILL, SIGTERM

import pytest

from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.fakes.load_generator import encode_command
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess
from kestreltrack.testing.pressure.endpoints import CostlyEndpoint

IDS = [f"m{number:04x}" for number in range(20)]
SLOW_S = 1.0
TIMEOUT_S = 60.0


class World:
    """One sender of up to three processes, which deliver to one endpoint."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.platform = FakePlatform()
        self.endpoint = CostlyEndpoint("e1", 1, None, 0.0, 1)
        self.processes = list[SenderProcess]()

    async def start_process(self) -> SenderProcess:
        process = SenderProcess(self.folder, "s1", self.folder / f"log{len(self.processes)}")
        process.limits["disk_mb"] = 3
        settings = SETTINGS | {"telemetry": {"fields": [], "how": "none"}}
        self.processes.append(process)
        await process.start(self.platform.address, settings, {})
        return process

    async def end_process(self, process: SenderProcess, number: int) -> None:
        await process.signal(number)  # type: ignore[arg-type]
        assert process.process
        await process.process.wait()

    async def submit_all(self, process: SenderProcess) -> list[str]:
        return list(await asyncio.gather(*(self.submit(process, id_) for id_ in IDS)))

    async def submit(self, process: SenderProcess, message_id: str, leave: bool = False) -> str:
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

    async def wait_until_delivered(self) -> None:
        while len(self.endpoint.call_counts) < len(IDS):
            await asyncio.sleep(0.01)
        await asyncio.sleep(self.endpoint.service_time_s + 0.1)


@asynccontextmanager
async def running(folder: Path) -> AsyncIterator[World]:
    world = World(folder)
    await world.platform.listen()
    await world.endpoint.listen()
    world.platform.publish(world.endpoint.discovery_row())
    try:
        yield world
    finally:
        for process in world.processes:
            await process.signal(SIGKILL)
            if process.process:
                await process.process.wait()
        world.platform.close()
        world.endpoint.close()


async def come_again_while_outstanding_at_the_other_process(world: World) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    world.endpoint.service_time_s = SLOW_S
    assert await world.submit_all(old) == ["+OK"] * len(IDS)
    return await world.submit_all(new)


async def come_again_while_outstanding_at_the_new_process(world: World) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    world.endpoint.service_time_s = SLOW_S
    assert await world.submit_all(new) == ["+OK"] * len(IDS)
    return await world.submit_all(old)


async def come_again_after_their_end_at_the_other_process(world: World) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    await world.submit_all(old)
    await world.wait_until_delivered()
    return await world.submit_all(new)


async def come_again_after_a_takeover(world: World) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    await world.submit_all(old)
    await world.wait_until_delivered()
    await world.end_process(old, SIGTERM)
    while not any(row["event"] == "taken_over" for row in new.log_records):
        await asyncio.sleep(0.01)
    return await world.submit_all(new)


async def come_again_in_the_instant_of_a_takeover(world: World) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    world.endpoint.service_time_s = SLOW_S
    await world.submit_all(old)
    await asyncio.sleep(0.1)
    await world.end_process(old, SIGKILL)
    return await world.submit_all(new)


async def come_again_after_a_kill(world: World) -> list[str]:
    old = await world.start_process()
    await world.submit_all(old)
    await world.wait_until_delivered()
    await world.end_process(old, SIGKILL)
    return await world.submit_all(await world.start_process())


async def come_again_after_two_restarts(world: World) -> list[str]:
    old = await world.start_process()
    await world.submit_all(old)
    await world.wait_until_delivered()
    await world.end_process(old, SIGTERM)
    await world.end_process(await world.start_process(), SIGKILL)
    return await world.submit_all(await world.start_process())


async def come_again_after_their_end(world: World) -> list[str]:
    process = await world.start_process()
    await world.submit_all(process)
    await world.wait_until_delivered()
    return await world.submit_all(process)


Scene = Callable[[World], Awaitable[list[str]]]
SCENES: list[Scene] = [
    come_again_while_outstanding_at_the_other_process,
    come_again_while_outstanding_at_the_new_process,
    come_again_after_their_end_at_the_other_process,
    come_again_after_a_takeover,
    come_again_in_the_instant_of_a_takeover,
    come_again_after_a_kill,
    come_again_after_two_restarts,
    come_again_after_their_end,
]


@pytest.mark.parametrize("scene", SCENES, ids=lambda scene: scene.__name__)
def test_ids_that_come_again_are_not_run_again(scene: Scene, tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as world, asyncio.timeout(TIMEOUT_S):
            answers = await scene(world)
            await asyncio.sleep(world.endpoint.service_time_s + 0.3)
            assert world.endpoint.call_counts == dict.fromkeys(IDS, 1)
            assert answers == ["+OK"] * len(IDS), "the sender owes them, or has delivered them"

    asyncio.run(play())


def test_id_of_a_client_that_left_during_the_attempt_is_not_run_again(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as world, asyncio.timeout(TIMEOUT_S):
            process = await world.start_process()
            world.endpoint.service_time_s = SLOW_S
            await asyncio.gather(*(world.submit(process, id_, leave=True) for id_ in IDS))
            await asyncio.sleep(0.3)
            attempted = set(world.endpoint.call_counts)
            world.endpoint.service_time_s = 0.0
            answers = dict(zip(IDS, await world.submit_all(process), strict=True))
            await asyncio.sleep(0.5)
            assert max(world.endpoint.call_counts.values()) == 1
            for message_id, answer in answers.items():
                assert answer == "+OK" or (message_id in attempted and answer.startswith("-ERR"))
                assert message_id in world.endpoint.call_counts

    asyncio.run(play())
