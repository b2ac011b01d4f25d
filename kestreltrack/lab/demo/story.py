"""What happens in the demo, and what must be true at its end."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from kestreltrack.lab.demo.world import World
from kestreltrack.lab.standins.partners import Endpoint

DRAIN_MS = 500.0  # after which a drained endpoint must hear of nothing new


@dataclass(slots=True)
class Drain:
    """One drain: when it was written, and the last call that came after that."""

    endpoint: Endpoint
    written: float
    until: float = float("inf")  # when it was taken back

    def late_ms(self) -> float:
        """How long after the drain the last new call came; 0 where none did."""
        late = [at - self.written for at, _ in self.endpoint.calls if self.written < at < self.until]
        return 1000.0 * max(late, default=0.0)


class Story:
    """Plays the troubles beside the load, and keeps account of the drains."""

    def __init__(self, world: World, say: Callable[[str], None]) -> None:
        """`say` hears what happens."""
        self.world, self.say, self.drains = world, say, list[Drain]()
        self.faults = list[str]()

    async def play(self, seconds: float) -> None:
        """All of it, at shares of the time."""
        world, part = self.world, seconds / 10.0
        failing = world.partners[2]
        await asyncio.sleep(1.5 * part)
        self.say(f"partner {failing.dest} fails all calls")
        failing.trouble.fail = 1.0
        await asyncio.sleep(0.5 * part)
        await self.drain(world.endpoints[0])
        await asyncio.sleep(part)
        at = next((m.number for m in world.cluster.members if m.watches), 0)
        self.say(f"etcd member {at} is cut off and refuses")
        await world.cluster.script(at, "refuse")
        await asyncio.sleep(0.5 * part)
        failing.recover()
        self.say(f"partner {failing.dest} is back, cold")
        await self.drain(world.endpoints[4])
        await asyncio.sleep(1.5 * part)
        await world.cluster.script(at, "heal")
        self.say(f"etcd member {at} is back")
        await self.undrain(self.drains[0])
        await asyncio.sleep(part)
        hung = world.partners[5]
        self.say(f"partner {hung.dest} hangs")
        hung.trouble.hang = True
        await asyncio.sleep(part)
        await self.drain(world.endpoints[1])
        hung.recover()
        self.say(f"partner {hung.dest} is back, cold")

    async def drain(self, endpoint: Endpoint) -> None:
        """By the command that operators use; the time counts from the write in etcd."""
        answer = await self.command("drain", endpoint.uid, "--wait", "--json")
        if answer is not None:
            written = self.world.cluster.committed[answer["revision"]]
            self.drains.append(Drain(endpoint, written))
            took = (time.monotonic() - written) * 1000.0
            self.say(f"{endpoint.uid} drains; all senders knew {took:.0f} ms after the write")

    async def undrain(self, drain: Drain) -> None:
        """Take the endpoint back."""
        drain.until = time.monotonic()
        if await self.command("undrain", drain.endpoint.uid, "--json") is not None:
            self.say(f"{drain.endpoint.uid} is up again")

    async def command(self, *words: str) -> dict[str, Any] | None:
        """`kestreltrack directory …` as a process; a failure is a fault of the demo."""
        env = self.world.variables()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kestreltrack",
            "directory",
            *words,
            "--operator-file",
            env["KESTRELTRACK_OPERATOR_FILE"],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, trouble = await process.communicate()
        if process.returncode != 0:
            self.faults.append(f"directory {' '.join(words)}: {trouble.decode().strip()}")
            self.say(self.faults[-1])
            return None
        row: dict[str, Any] = orjson.loads(out)
        return row

    def verdict(self) -> list[tuple[str, str, bool]]:
        """Each line of the closing table: what, how much, and whether that is as it must be."""
        world = self.world
        assert world.load
        account, late = world.load.account, [drain.late_ms() for drain in self.drains]
        taken, delivered = set(account.taken), world.delivered()
        noticed = {m for m in world.platform.ends if m in taken}
        twice = {m for m in noticed if len(world.platform.ends[m]) > 1} | (noticed & delivered)
        overdue = sum(late_ms > DRAIN_MS for late_ms in late)
        waits = sorted(account.waits_ms) or [0.0]
        ok = account.answers["ok"]
        return [
            ("handed in", str(sum(account.answers.values())), True),
            ("taken on", str(ok), ok > 0),
            ("turned away at once", str(account.answers["busy"]), True),
            ("answered otherwise", str(sum(account.answers.values()) - ok - account.answers["busy"]), True),
            ("delivered", str(len(delivered & taken)), len(delivered & taken) > ok * 0.5),
            ("ended by notice", str(len(noticed)), True),
            ("ended twice", str(len(twice)), not twice),
            ("still owed", str(len(world.owed())), not world.owed()),
            ("doubles", str(len(world.doubled())), not world.doubled()),
            ("drains", str(len(self.drains)), len(self.drains) == 3 and not self.faults),
            ("calls to drained endpoints later than 500 ms", str(overdue), overdue == 0),
            ("last call after a drain, at most", f"{max(late, default=0.0):.1f} ms", True),
            (
                "answer to submitters, median and 99th",
                f"{_at(waits, 0.5):.1f} and {_at(waits, 0.99):.1f} ms",
                True,
            ),
        ]


def _at(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
