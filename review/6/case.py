"""A new version starts while discovery is down: does it act on the list that this sender was told last?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import (
    SETTINGS,
    Call,
    CannotRunError,
    Client,
    Endpoint,
    Platform,
    Record,
    Sender,
    answer,
    free_port,
    run_case,
)

CLASS = {
    "name": "listing-update",
    "idempotency": "deduplicated",
    "group": "all",
    "keyTtlMs": 25000.0,
    "deadlineMs": 24000.0,
    "onTimeMs": 4000.0,
    "importance": 2.0,
    "lateWorth": 0.5,
    "streaming": False,
}
OUTAGE_S = 8.0
# "News from discovery counts as told 2 s after the yes"; then 500 ms for drains, and 50 ms more for every time limit.
TOLD_AFTER_YES_S = 2.0
GRACE_S = 0.5 + 0.05


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Replace endpoints, let discovery go down, and start a new version beside the old one."""
    calls = list[Call]()
    dest_of_message = dict[str, int]()

    async def deliver(call: Call, body: bytes) -> bytes:
        await asyncio.sleep(0.1)
        return answer("200")

    first, second, other = (Endpoint(record, f"address {n}", deliver, calls) for n in "ABC")
    platform = Platform(record)
    for server in (first, second, other, platform):
        await server.listen()
    gone = platform.add("s-1", first.address, 1)
    platform.add("s-2", second.address, 2)
    sender = Sender(record, folder, SETTINGS | {"classes": [CLASS]}, platform.address)
    sender.known = platform.whole()
    sender.write_config()

    async def hand_in(name: str, count: int, seconds: float) -> None:
        """Hand messages in, each on a connection of its own, as through a front that deals out connections."""
        for number in range(count):
            dest = 1 + number % 2
            message_id = f"{name}{number:04x}".rjust(16, "0")
            dest_of_message[message_id] = dest
            client = Client(record, sender.listen)
            await client.submit(message_id, f"c=listing-update,t=acme,d=24000,k={message_id},dest={dest}")
            client.close()
            await asyncio.sleep(seconds / count)

    try:
        old = await sender.start(admin=f"127.0.0.1:{free_port()}")
        await sender.wait_for_pong()
        # The endpoint of destination 1 is replaced by one at another address; later, destination 2 gets a further
        # endpoint, at the address of the one that has gone.
        platform.publish(gone | {"state": "removed"}, platform.add("s-3", other.address, 1))
        await asyncio.sleep(1.0)
        platform.publish(platform.add("s-4", first.address, 2))
        await asyncio.sleep(1.0)
        if platform.told_revision < platform.revision:
            raise CannotRunError("the old process has not been told of the list")
        await hand_in("b", 8, 1.0)
        platform.go_down()
        down_at = yes_at = record.now()
        if trouble:
            admin = f"127.0.0.1:{free_port()}"
            await sender.start(admin=admin)
            await sender.wait_for_yes(admin)
            yes_at = record.now()
            sender.signal(old, signal.SIGTERM)
        await hand_in("c", 60, down_at + OUTAGE_S - record.now())
        platform.come_back()
        if trouble:
            sender.signal(old, signal.SIGKILL)
        await hand_in("d", 8, 1.0)
        await asyncio.sleep(1.0)
    finally:
        await sender.kill_all()
    binding_from = yes_at + TOLD_AFTER_YES_S + GRACE_S
    return [
        f"{call.message_id} of destination 1 was sent to the endpoint of destination 2 at address A, "
        f"{call.arrived_at - yes_at:.2f} s after the yes"
        for call in calls
        if call.server is first and dest_of_message[call.message_id] == 1 and call.arrived_at > binding_from
    ]


run_case(Path(__file__).resolve().parent, play)
