"""Open connections to the platform fall silent while notices are due; new connections work."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from stand_ins import TROUBLE, Call, Client, World, answer, check_taken_on, message_class, run_case, settings

LISTING = "listing-update"
DEADLINE_MS = 4000
MESSAGES_PER_S = 40
SECONDS = 14.0
SILENT_AT_S = 9.0
RESTING = 1  # the destination whose only endpoint is draining
SERVED = 2
SERVICE_S = 0.25
# STANDING.md: up to half a second after its time a request only earns nothing, later it is lost; 50 ms on sockets.
SLACK_S = 0.55


async def deliver(call: Call, write: Callable[[bytes], Awaitable[None]]) -> None:
    """Deliver after the usual time."""
    await asyncio.sleep(SERVICE_S)
    await write(answer(200))


async def case(world: World) -> list[str]:
    """Play the case."""
    platform = await world.platform()
    endpoints = [await world.endpoint(f"s{dest}", deliver) for dest in (RESTING, SERVED)]
    platform.add("s-1", endpoints[0].address, RESTING, state="draining")
    platform.add("s-2", endpoints[1].address, SERVED)
    sender = world.sender("n1")
    classes = [message_class(LISTING, "deduplicated", DEADLINE_MS, 2000.0)]
    await sender.start(settings(classes, senders=1), platform.address)
    client = Client(sender.listen, world.record)
    tasks = []
    started_at = world.record.now()
    silent = False
    for number in range(int(SECONDS * MESSAGES_PER_S)):
        if TROUBLE and not silent and world.record.now() - started_at >= SILENT_AT_S:
            silent = True
            world.record.write("platform", f"{platform.fall_silent()} open connections fall silent")
        dest = SERVED if number % 8 < 3 else RESTING
        submission = client.submit(f"m{number:015x}", LISTING, dest, DEADLINE_MS, f"k{number:015x}")
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
