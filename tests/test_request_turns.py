"""Fair queueing of requests: those at full speed delay each other, and not a request now and then."""

from __future__ import annotations

import asyncio
import random

import pytest

from kestreltrack.frontend.request_turns import BYTES_PER_COST, COST_PER_ITERATION, FairShare, RequestTurns

TIMEOUT_S = 10.0


def run(coroutine: object) -> None:
    asyncio.run(asyncio.wait_for(coroutine, TIMEOUT_S))  # type: ignore[arg-type]


async def flood(turns: RequestTurns, served: list[int], number: int, size_bytes: int = 0) -> None:
    share = FairShare()
    while True:
        await turns.take(share, size_bytes)
        served.append(number)


@pytest.mark.parametrize("floods", [1, 50, 400])
def test_request_now_and_then_is_served_before_those_at_full_speed(floods: int) -> None:
    async def scenario() -> None:
        turns = RequestTurns()
        served = list[int]()
        tasks = [asyncio.create_task(flood(turns, served, number)) for number in range(floods)]
        for _ in range(30):
            await asyncio.sleep(0)
        for _ in range(10):
            before = len(served)
            await turns.take(FairShare())
            # Those whose start tag is not behind, each at most once, and one iteration.
            assert len(served) - before <= floods + 2 * COST_PER_ITERATION
        for task in tasks:
            task.cancel()

    run(scenario())


def test_connections_at_full_speed_get_equal_shares_by_cost() -> None:
    async def scenario() -> None:
        turns = RequestTurns()
        served = list[int]()
        sizes = [0] * 30 + [3 * BYTES_PER_COST] * 10
        tasks = [asyncio.create_task(flood(turns, served, n, size)) for n, size in enumerate(sizes)]
        while len(served) < 20_000:
            await asyncio.sleep(0)
        counts = [served.count(number) for number in range(len(sizes))]
        assert max(counts[:30]) - min(counts[:30]) <= 2 * COST_PER_ITERATION
        assert counts[30] * 4 == pytest.approx(counts[0], rel=0.1)
        for task in tasks:
            task.cancel()

    run(scenario())


def test_one_iteration_of_the_loop_serves_a_limited_cost_and_nothing_is_forgotten() -> None:
    async def scenario() -> None:
        turns = RequestTurns()
        rng = random.Random(1)
        served = list[int]()

        async def one(number: int) -> None:
            await turns.take(FairShare(), rng.choice([0, 100, 5 * BYTES_PER_COST]))
            served.append(number)

        tasks = [asyncio.create_task(one(number)) for number in range(300)]
        most = 0
        while len(served) < 300:
            before = len(served)
            await asyncio.sleep(0)
            most = max(most, len(served) - before)
        assert most <= 2 * COST_PER_ITERATION + 1
        assert all(task.done() for task in tasks)

    run(scenario())


def test_turn_of_a_connection_that_has_ended_is_passed_on() -> None:
    async def scenario() -> None:
        turns = RequestTurns()
        ended = [asyncio.create_task(turns.take(FairShare())) for _ in range(100)]
        await asyncio.sleep(0)
        for task in ended:
            task.cancel()
        await turns.take(FairShare())
        assert not turns._waiting or all(turn.done() for *_, turn in turns._waiting)

    run(scenario())
