"""Not a case: a sender that refuses all messages for good after many endpoints were replaced (see REPORT.md).

Lists 3,200 endpoints, of which ten get messages, replaces 200 of the others each second until the sender refuses
all, then changes nothing more and hands in messages for 20 s.  Run it by `.venv/bin/python review/refusal.py`; exits
with 1 if all messages of the last 4 s were refused.  TROUBLE=0 replaces none.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins import (
    TROUBLE,
    Call,
    Client,
    Platform,
    World,
    answer,
    is_pong,
    message_class,
    run_case,
    settings,
)

LISTING = "listing-update"
DEADLINE_MS = 24000
LISTED = 3200
SERVED = 10
PER_STEP = 200
MAX_REPLACED = 8000
MESSAGES_PER_S = 20
AFTER_S = 20.0
# STANDING.md: on `calm` and `roll` at most one sender in ten may reject all that it gets (15 or more) for 4 s on end.
SPAN_S = 4.0
LEAST = 15


async def deliver(call: Call, write: Callable[[bytes], Awaitable[None]]) -> None:
    """Deliver after a fifth of a second."""
    await asyncio.sleep(0.2)
    await write(answer(200))


def publish(platform: Platform, number: int, state: str) -> None:
    """Publish one of the endpoints that get no messages; nothing listens there."""
    place = number % (LISTED - SERVED)
    platform.add(f"s-{number:08x}", f"127.0.0.1:{10000 + place}", SERVED + 1 + place // 2, state)


async def hand_in(client: Client) -> None:
    """Hand in messages at a steady pace, until cancelled."""
    number = 0
    while True:
        dest = 1 + number % SERVED
        await client.submit(f"m{number:015x}", LISTING, dest, DEADLINE_MS, f"k{number:015x}")
        number += 1
        await asyncio.sleep(1.0 / MESSAGES_PER_S)


async def replace(platform: Platform, first: int) -> None:
    """Replace some endpoints within a second."""
    for number in range(first, first + PER_STEP):
        publish(platform, number, "draining")
        publish(platform, number + LISTED - SERVED, "up")
    await asyncio.sleep(0.5)
    for number in range(first, first + PER_STEP):
        publish(platform, number, "removed")
    await asyncio.sleep(0.5)


async def case(world: World) -> list[str]:
    """Play it."""
    platform = await world.platform()
    for dest in range(1, SERVED + 1):
        endpoint = await world.endpoint(f"s{dest}", deliver)
        platform.add(f"s-{dest}", endpoint.address, dest)
    for number in range(LISTED - SERVED):
        publish(platform, number, "up")
    sender = world.sender("n1")
    classes = [message_class(LISTING, "deduplicated", DEADLINE_MS, 4000.0)]
    await sender.start(settings(classes, senders=1), platform.address)
    client = Client(sender.listen, world.record)
    load = asyncio.create_task(hand_in(client))
    await asyncio.sleep(2.0)
    replaced = 0
    while TROUBLE and replaced < MAX_REPLACED:
        await replace(platform, replaced)
        replaced += PER_STEP
        if all(request.answer.startswith("-BUSY") for request in client.requests[-11:-1]):
            break
    print(f"{replaced} of {LISTED} endpoints were replaced")
    await asyncio.sleep(AFTER_S)
    load.cancel()
    print(
        "PING is answered with +PONG" if await is_pong(sender.listen) else "PING is not answered with +PONG"
    )
    last = [request for request in client.requests if request.sent_at > world.record.now() - SPAN_S - 0.5]
    if len(last) >= LEAST and all(request.answer.startswith("-BUSY") for request in last[:-1]):
        return [
            f"the last {len(last) - 1} messages were refused, {AFTER_S:.0f} s after the last change of the list"
        ]
    return []


with tempfile.TemporaryDirectory() as folder:
    run_case(Path(folder), case)
