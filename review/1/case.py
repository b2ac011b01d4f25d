"""An upgrade that fails: the new process takes messages on and is killed, while the old one goes on serving."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import SIGKILL

sys.path.insert(0, str(Path(__file__).parent.parent))

from stand_ins import (
    TROUBLE,
    Call,
    CannotRunError,
    Client,
    Endpoint,
    World,
    answer,
    check_taken_on,
    free_address,
    is_pong,
    message_class,
    operator_call,
    run_case,
    settings,
)

LISTING = "listing-update"
BOOKING = "slot-booking"
DEADLINE_MS = {LISTING: 24000, BOOKING: 28000}
DESTINATIONS = 8
SERVICE_S = 0.37  # an endpoint of usual pace takes 210 to 370 ms
MESSAGES_PER_S = 60
AGAIN_BEFORE_S, UPGRADE_S, AFTER_S = 2.0, 1.0, 2.0
# A message is lost if it is neither delivered nor ended by a notice 300 ms after its time is up; 50 ms on sockets.
SLACK_S = 0.35
# No notice is overdue until this long after the sender is ready again.
READY_AGAIN_S = 1.5
OK = 200


async def deliver(call: Call, write: Callable[[bytes], Awaitable[None]]) -> None:
    """Deliver after the usual time."""
    await asyncio.sleep(SERVICE_S)
    await write(answer(200))


async def hand_in(client: Client, seconds: float, first: int) -> int:
    """Hand in messages at a steady pace; return the number of the next one."""
    tasks = []
    number = first
    for _ in range(int(seconds * MESSAGES_PER_S)):
        cls = BOOKING if number % 5 < 2 else LISTING
        key = f"k{number:015x}" if cls == LISTING else ""
        dest = 1 + number % DESTINATIONS
        tasks.append(asyncio.create_task(client.submit(f"m{number:015x}", cls, dest, DEADLINE_MS[cls], key)))
        number += 1
        await asyncio.sleep(1.0 / MESSAGES_PER_S)
    await asyncio.gather(*tasks)
    return number


def lost_messages(
    client: Client, endpoints: list[Endpoint], ends: dict[str, float], ready: float
) -> list[str]:
    """Return the messages that were taken on and had no end in time."""
    delivered = {
        call.message_id: call.answered_at
        for endpoint in endpoints
        for call in endpoint.calls
        if call.status == 200
    }
    lost = []
    for request in client.requests:
        if not request.taken_on:
            continue
        due = max(request.time_is_up_at + SLACK_S, ready + READY_AGAIN_S)
        ended = min(delivered.get(request.id, float("inf")), ends.get(request.id, float("inf")))
        if ended > due:
            lost.append(
                f"{request.id} ({request.cls}) was taken on at {request.answered_at:.2f}, due at {due:.2f}: "
                + ("no end at all" if ended == float("inf") else f"ended at {ended:.2f}")
            )
    return lost


async def case(world: World) -> list[str]:
    """Play the case."""
    platform = await world.platform()
    endpoints = []
    for dest in range(1, DESTINATIONS + 1):
        for letter in "ab":
            endpoint = await world.endpoint(f"s{dest}{letter}", deliver)
            platform.add(f"s-{dest}{letter}", endpoint.address, dest)
            endpoints.append(endpoint)
    config = settings(
        [
            message_class(LISTING, "deduplicated", DEADLINE_MS[LISTING], 4000.0),
            message_class(BOOKING, "at_most_once", DEADLINE_MS[BOOKING], 3000.0),
        ],
        senders=1,
    )
    old = world.sender("n1")
    await old.start(config, platform.address, free_address())
    client = Client(old.listen, world.record)
    number = await hand_in(client, AGAIN_BEFORE_S, 0)
    # The upgrade: the same command, folder and variables, with a second address for operators.
    new = world.sender("n1", same_machine_as=old)
    await new.start(config, platform.address, free_address())
    number = await hand_in(client, UPGRADE_S, number)
    if TROUBLE:
        new.signal(SIGKILL)
        assert new.process
        await new.process.wait()
    # The old process was told nothing: it goes on as the sender, and never stopped to be ready.
    if await operator_call(old.admin, "GET", "/api/ready") != OK or not await is_pong(old.listen):
        raise CannotRunError("the old process is not ready")
    ready_at = world.record.write(old.name, "the old process is ready")
    await hand_in(client, AFTER_S, number)
    await asyncio.sleep(max(DEADLINE_MS.values()) / 1000.0 + SLACK_S + 1.0)
    if await operator_call(old.admin, "GET", "/api/ready") != OK:
        raise CannotRunError("the old process is not ready")
    check_taken_on(client)
    ends = {message_id: notices[0][0] for message_id, notices in platform.notices.items()}
    return lost_messages(client, endpoints, ends, ready_at)


run_case(Path(__file__).parent, case)
