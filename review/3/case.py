"""Spoilt answers that never end: one in five answers is a 500 whose body stops and whose connection stays open."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from stand_ins import TROUBLE, Call, Client, World, answer, check_taken_on, message_class, run_case, settings

LISTING = "listing-update"
DEADLINE_MS = 4000
# Every fourth message is one that is handed in again with little of its time left.
SHORT_MS = (650, 750)
DESTINATIONS = 10
SPOILT_SHARE = 0.2
MESSAGES_PER_S = 30
SECONDS = 40.0
SERVICE_S, SPREAD = 0.2, 0.6  # median and sigma of a lognormal service time
# STANDING.md: up to half a second after its time a request only earns nothing, later it is lost; 50 ms on sockets.
SLACK_S = 0.55
SEED = 1


async def case(world: World) -> list[str]:
    """Play the case."""
    rng = random.Random(SEED)
    platform = await world.platform()

    async def play(call: Call, write: Callable[[bytes], Awaitable[None]]) -> None:
        spoilt = rng.random() < SPOILT_SHARE
        await asyncio.sleep(min(1.0, SERVICE_S * rng.lognormvariate(0.0, SPREAD)))
        if spoilt and TROUBLE:
            await write(answer(500, b"x" * 300)[:-200])
            await asyncio.sleep(60.0)  # until the sender closes the connection, or the run ends
        else:
            await write(answer(200))

    endpoints = []
    for dest in range(1, DESTINATIONS + 1):
        for letter in "ab":
            endpoint = await world.endpoint(f"s{dest}{letter}", play)
            platform.add(f"s-{dest}{letter}", endpoint.address, dest)
            endpoints.append(endpoint)
    sender = world.sender("n1")
    classes = [message_class(LISTING, "deduplicated", DEADLINE_MS, 2000.0)]
    await sender.start(settings(classes, senders=1), platform.address)
    client = Client(sender.listen, world.record)
    tasks = []
    for number in range(int(SECONDS * MESSAGES_PER_S)):
        dest = rng.randint(1, DESTINATIONS)
        d_ms = rng.randint(*SHORT_MS) if number % 4 == 0 else DEADLINE_MS
        submission = client.submit(f"m{number:015x}", LISTING, dest, d_ms, f"k{number:015x}")
        tasks.append(asyncio.create_task(submission))
        await asyncio.sleep(1.0 / MESSAGES_PER_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(DEADLINE_MS / 1000.0 + 2.0)
    check_taken_on(client)
    delivered = {c.message_id: c.answered_at for e in endpoints for c in e.calls if c.status == 200}
    broken = []
    for request in client.requests:
        notices = platform.notices.get(request.id, [])
        ended = min([delivered.get(request.id, float("inf")), *(at for at, _ in notices)])
        late_s = ended - request.time_is_up_at
        if request.taken_on and late_s > SLACK_S:
            broken.append(
                f"{request.id} to {request.dest}: final answer {late_s:.3f} s after its time was up"
            )
    return broken


run_case(Path(__file__).parent, case)
