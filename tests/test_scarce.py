"""Descriptors, the hold or the folder run short in a real process: who must gets served, and who cannot is told."""

from __future__ import annotations

import asyncio
import resource
from pathlib import Path

from scenario import SETTINGS, World
from test_scenarios import play

FEW = 64
FIRST = (
    f"import resource; resource.setrlimit(resource.RLIMIT_NOFILE, ({FEW}, {FEW}));"
    "from kestreltrack.frontend import session; session.IDLE_TIMEOUT_S = 60.0"  # places are left for want of one alone
)
HEAD = "*5\\r\\n$6\\r\\nSUBMIT\\r\\n$1\\r\\n0\\r\\n$3\\r\\nm{n}\\r\\n$21\\r\\nc=keyed,d=9000,dest=1\\r\\n$2500\\r\\n"
SERVED = [
    line.format(n=n)
    for n in range(10, 30)
    for line in (f"s1 send raw {HEAD}{'x' * 2500}\\r\\n", "s1 expect +OK", "n1 expect m{n}", "n1 send 200")
]
NEWLINE = "\n"
SHORT = f"""
    crowd send 60
    crowd expect 60
    d close
    sender expect discovery.failed
    {NEWLINE.join(SERVED)}
    s1 send SUBMIT m3 c=keyed,d=2000,dest=3
    s1 expect +OK
    sender expect notifications.no_response
    d listen
    d expect m3 handed_back
    d send draining n1
    sender expect list
    sender send TERM
    sender expect exit 0
"""


def test_idle_clients_on_all_places_keep_nothing_from_those_who_need_it(tmp_path: Path) -> None:
    world = World(tmp_path, SETTINGS, disk_mb=0.1)
    world.limits["sockets"] = 1024  # the machine allows less than the settings do
    world.first = FIRST
    asyncio.run(world.play(SHORT))
    (counters,) = (line for line in world.seen if line["event"] == "counters")
    assert counters["clients.evicted"] > 0
    assert counters["journal.compactions"] > 1, "beside the one at the start"
    assert not [line for line in world.seen if line["event"] in ("journal.full", "clients.disconnected")]


class Narrowed(World):
    """Lets the test set the limit of the running process: ``sender limit 16``."""

    async def sender(self, verb: str, words: list[str]) -> None:
        if verb != "limit":
            await super().sender(verb, words)
        elif self.process:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (int(words[0]), FEW))


def test_a_listener_with_no_descriptor_left_sheds_clients_and_serves_again(tmp_path: Path) -> None:
    # Each connection is ended unread, in place of a loop that spins or a listener that is gone.
    world = Narrowed(tmp_path, SETTINGS)
    world.first = FIRST
    text = f"""
        s1 send PING
        s1 expect +PONG
        sender limit 17
        crowd send 10
        crowd expect 30
        s1 send PING
        s1 expect +PONG
        sender limit {FEW}
        s2 send PING
        s2 expect +PONG
        sender send TERM
        sender expect exit 0
    """
    asyncio.run(world.play(text))
    assert not [line for line in world.seen if line["event"] == "clients.evicted"]


def test_a_hold_that_is_nearly_full_turns_away(tmp_path: Path) -> None:
    # A sick destination may hold twice the free room: seven of ten, and the eighth is told when to come again.
    names = "c=keyed,d=20000,dest=3"
    taken = "".join(
        f"""
        s1 send SUBMIT m{n} {names}
        s1 expect +OK"""
        for n in range(2, 8)
    )
    text = f"""
        s1 send SUBMIT m1 {names}
        s1 expect +OK
        sender expect claim id=m1 outcome=unreachable{taken}
        s1 send SUBMIT m8 {names}
        s1 expect -BUSY 3000"""
    play(tmp_path, text, allowed__mostHeld=10)


def test_no_room_in_the_folder_turns_away(tmp_path: Path) -> None:
    body = "x" * 60_000
    head = r"s1 send raw *5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nm1\r\n$22\r\nc=keyed,d=20000,dest=1"
    play(
        tmp_path,
        rf"""
        {head}\r\n$60000\r\n{body}\r\n
        s1 expect -BUSY
        s1 send SUBMIT m2 c=keyed,d=20000,dest=2
        s1 expect +OK
        n3 expect m2
        n3 send 200""",
        disk_mb=0.2,
    )
