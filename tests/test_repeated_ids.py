"""An id that comes again is not run again, whichever process of the sender it comes to."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import SIGKILL, SIGTERM

import pytest

from kestreltrack.testing.pressure.shared_state import SharedStateSender, running_sender

IDS = [f"m{number:04x}" for number in range(20)]
SLOW_S = 1.0
TIMEOUT_S = 60.0


async def come_again_while_outstanding_at_the_other_process(world: SharedStateSender) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    world.endpoint.service_time_s = SLOW_S
    assert await world.submit_all(old, IDS) == ["+OK"] * len(IDS)
    return await world.submit_all(new, IDS)


async def come_again_while_outstanding_at_the_new_process(world: SharedStateSender) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    world.endpoint.service_time_s = SLOW_S
    assert await world.submit_all(new, IDS) == ["+OK"] * len(IDS)
    return await world.submit_all(old, IDS)


async def come_again_after_their_end_at_the_other_process(world: SharedStateSender) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    await world.submit_all(old, IDS)
    await world.wait_until_delivered(len(IDS))
    return await world.submit_all(new, IDS)


async def come_again_after_a_takeover(world: SharedStateSender) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    await world.submit_all(old, IDS)
    await world.wait_until_delivered(len(IDS))
    await world.end_process(old, SIGTERM)
    while not any(row["event"] == "taken_over" for row in new.log_records):
        await asyncio.sleep(0.01)
    return await world.submit_all(new, IDS)


async def come_again_in_the_instant_of_a_takeover(world: SharedStateSender) -> list[str]:
    old, new = await world.start_process(), await world.start_process()
    world.endpoint.service_time_s = SLOW_S
    await world.submit_all(old, IDS)
    await asyncio.sleep(0.1)
    await world.end_process(old, SIGKILL)
    return await world.submit_all(new, IDS)


async def come_again_after_a_kill(world: SharedStateSender) -> list[str]:
    old = await world.start_process()
    await world.submit_all(old, IDS)
    await world.wait_until_delivered(len(IDS))
    await world.end_process(old, SIGKILL)
    return await world.submit_all(await world.start_process(), IDS)


async def come_again_after_two_restarts(world: SharedStateSender) -> list[str]:
    old = await world.start_process()
    await world.submit_all(old, IDS)
    await world.wait_until_delivered(len(IDS))
    await world.end_process(old, SIGTERM)
    await world.end_process(await world.start_process(), SIGKILL)
    return await world.submit_all(await world.start_process(), IDS)


async def come_again_after_their_end(world: SharedStateSender) -> list[str]:
    process = await world.start_process()
    await world.submit_all(process, IDS)
    await world.wait_until_delivered(len(IDS))
    return await world.submit_all(process, IDS)


Scene = Callable[[SharedStateSender], Awaitable[list[str]]]
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
        async with running_sender(tmp_path) as world, asyncio.timeout(TIMEOUT_S):
            answers = await scene(world)
            await asyncio.sleep(world.endpoint.service_time_s + 0.3)
            assert world.endpoint.call_counts == dict.fromkeys(IDS, 1)
            assert answers == ["+OK"] * len(IDS), "the sender owes them, or has delivered them"

    asyncio.run(play())


def test_id_of_a_client_that_left_during_the_attempt_is_not_run_again(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_sender(tmp_path) as world, asyncio.timeout(TIMEOUT_S):
            process = await world.start_process()
            world.endpoint.service_time_s = SLOW_S
            await asyncio.gather(*(world.submit(process, id_, leave=True) for id_ in IDS))
            await asyncio.sleep(0.3)
            attempted = set(world.endpoint.call_counts)
            world.endpoint.service_time_s = 0.0
            answers = dict(zip(IDS, await world.submit_all(process, IDS), strict=True))
            await asyncio.sleep(0.5)
            assert max(world.endpoint.call_counts.values()) == 1
            for message_id, answer in answers.items():
                assert answer == "+OK" or (message_id in attempted and answer.startswith("-ERR"))
                assert message_id in world.endpoint.call_counts

    asyncio.run(play())
