"""Discovery is slow and the list is long, but each answer is whole and in time: does the sender take it?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import SETTINGS, Call, Client, Endpoint, Platform, Record, Sender, answer, run_case

CLASS = {
    "name": "listing-update",
    "idempotency": "deduplicated",
    "group": "all",
    "keyTtlMs": 25000.0,
    "deadlineMs": 12000.0,
    "onTimeMs": 4000.0,
    "importance": 2.0,
    "lateWorth": 0.5,
    "streaming": False,
}
ENDPOINTS = 3200
MEMORY_MB = 192
SOCKETS = 1024
# A list of some 500 KB takes 1.3 to 1.5 s then, less than the 2 s after which a call has waited too long.
SLOW_BYTES_PER_S = 400_000.0
SERVERS = 10
# "a change counts as told at the latest 6 s after discovery had it and could be reached"; then 500 ms for drains, and
# 50 ms more for every time limit.
TOLD_S = 6.0
GRACE_S = 0.5 + 0.05
CLIENTS = 4
LOAD_FOR_S = 24.0


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """List 3,200 endpoints at a slow discovery, replace two, and look where messages go from then on."""
    calls = list[Call]()
    dest_of_message = dict[str, int]()

    async def deliver(call: Call, body: bytes) -> bytes:
        await asyncio.sleep(0.1)
        return answer("200")

    platform = Platform(record)
    servers = [Endpoint(record, f"address {number}", deliver, calls) for number in range(SERVERS)]
    for server in (*servers, platform):
        await server.listen()
    # Two endpoints a destination; all destinations share the addresses of a few servers, but for destinations 0 to 4,
    # which have one server each and are the only ones that get messages.
    for number in range(ENDPOINTS):
        dest = number // 2
        server = servers[dest] if dest < SERVERS // 2 else servers[SERVERS // 2 + number % (SERVERS // 2)]
        platform.add(f"s-{number:08x}", server.address, dest)
    sender = Sender(record, folder, SETTINGS | {"classes": [CLASS]}, platform.address)
    sender.limits |= {"memory_mb": MEMORY_MB, "sockets": SOCKETS}
    sender.known = platform.whole()
    sender.write_config()

    async def hand_in(client_number: int) -> None:
        client = Client(record, sender.listen)
        ends_at = record.now() + LOAD_FOR_S
        number = 0
        while record.now() < ends_at:
            message_id = f"{client_number:02x}{number:06x}".rjust(16, "0")
            dest = dest_of_message[message_id] = number % 2
            await client.submit(message_id, f"c=listing-update,t=acme,d=12000,k={message_id},dest={dest}")
            number += 1
            await asyncio.sleep(0.25)

    if trouble:
        platform.bytes_per_s = SLOW_BYTES_PER_S
    try:
        await sender.start()
        await sender.wait_for_pong()
        clients = [asyncio.create_task(hand_in(number)) for number in range(CLIENTS)]
        await asyncio.sleep(8.0)
        # The endpoints of destination 0 are replaced by two at another address; those at the old address are
        # from now on endpoints of destination 1.
        gone = [platform.rows[uid] | {"state": "removed"} for uid in ("s-00000000", "s-00000001")]
        new = [platform.add(f"t-{number}", servers[4].address, 0) for number in range(2)]
        reused = [platform.add(f"u-{number}", servers[0].address, 1) for number in range(2)]
        platform.publish(*gone, *new, *reused)
        replaced_at = record.now()
        await asyncio.gather(*clients)
        await asyncio.sleep(2.0)
    finally:
        await sender.kill_all()
    record(f"the sender was told of version {platform.told_revision} of {platform.revision}")
    return [
        f"{call.message_id} of destination 0 was sent to an endpoint of destination 1, "
        f"{call.arrived_at - replaced_at:.2f} s after its own endpoints had gone"
        for call in calls
        if call.server is servers[0]
        and dest_of_message[call.message_id] == 0
        and call.arrived_at > replaced_at + TOLD_S + GRACE_S
    ]


run_case(Path(__file__).resolve().parent, play)
