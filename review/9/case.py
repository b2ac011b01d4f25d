"""A new version starts beside the old one: do messages of one key still run one at a time, in order?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common_2 import SETTINGS, Call, Client, Endpoint, Platform, Record, Sender, answer, free_port, run_case

CLASS = {
    "name": "docket-entry",
    "idempotency": "idempotent",
    "inOrder": True,
    "deadlineMs": 24000.0,
    "onTimeMs": 4000.0,
    "importance": 1.0,
    "lateWorth": 0.5,
    "streaming": False,
}
SERVICE_S = 0.25
# The messages of a key come in clumps, each of which the endpoint runs in 2 s, one message after the other.
CLUMP = 8
IN_CLUMP_S = 0.1
BETWEEN_CLUMPS_S = 1.6
# The clumps of one key begin so long after those of the key before it.
STAGGER_S = 0.6
KEYS = tuple(f"00000000000000a{number}" for number in range(6))
MESSAGES_OF_KEY = 32
# "every time limit is 50 ms longer"
SLACK_S = 0.05


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Hand in messages of six keys while a new version starts and the old one ends."""
    calls = list[Call]()
    accepted = dict[str, list[str]]()

    async def deliver(call: Call, body: bytes) -> bytes:
        await asyncio.sleep(SERVICE_S)
        return answer("200")

    endpoint = Endpoint(record, "n1", deliver, calls)
    platform = Platform(record)
    for server in (endpoint, platform):
        await server.listen()
    platform.add("s-1", endpoint.address, 1)
    settings = SETTINGS | {
        "classes": [CLASS],
        "safety": SETTINGS["safety"] | {"settleAfterDoubtMs": 1000.0},
    }
    sender = Sender(record, folder, settings, platform.address)
    sender.known = platform.whole()
    sender.write_config()

    async def hand_in(key: str) -> None:
        """Hand in the messages of a key one after the other, each on a connection that the front deals out."""
        await asyncio.sleep(STAGGER_S * KEYS.index(key))
        for number in range(MESSAGES_OF_KEY):
            message_id = f"{key[-2:]}{number:02x}".rjust(16, "0")
            client = Client(record, sender.listen)
            if await client.submit(message_id, "c=docket-entry,t=acme,d=24000,dest=1", key) == "+OK":
                accepted.setdefault(key, []).append(message_id)
            client.close()
            is_last_of_clump = number % CLUMP == CLUMP - 1
            await asyncio.sleep(BETWEEN_CLUMPS_S if is_last_of_clump else IN_CLUMP_S)

    try:
        old = await sender.start(admin=f"127.0.0.1:{free_port()}")
        await sender.wait_for_pong()
        clients = [asyncio.create_task(hand_in(key)) for key in KEYS]
        await asyncio.sleep(3.0)
        if trouble:
            admin = f"127.0.0.1:{free_port()}"
            await sender.start(admin=admin)
            await sender.wait_for_yes(admin)
            sender.signal(old, signal.SIGTERM)
            await asyncio.sleep(3.7)
            sender.signal(old, signal.SIGKILL)
        await asyncio.gather(*clients)
        await asyncio.sleep(5.0)
    finally:
        await sender.kill_all()
    return [text for messages in accepted.values() for text in out_of_turn(messages, calls, platform)]


def out_of_turn(messages: list[str], calls: list[Call], platform: Platform) -> list[str]:
    """Return the calls of one key that came while an earlier message of it was not over."""
    over_at = dict[str, float]()
    for message_id in messages:
        ends = [call.over_at for call in calls if call.message_id == message_id and call.status == "200"]
        ends += [at for at, _ in platform.notices.get(message_id, [])]
        over_at[message_id] = min(ends, default=float("inf"))
    broken = list[str]()
    for position, message_id in enumerate(messages):
        for call in (call for call in calls if call.message_id == message_id):
            earlier = [other for other in messages[:position] if over_at[other] > call.arrived_at + SLACK_S]
            if earlier:
                broken.append(
                    f"{message_id} was sent while {', '.join(earlier)}, taken earlier, was not over"
                )
    return broken


run_case(Path(__file__).resolve().parent, play)
