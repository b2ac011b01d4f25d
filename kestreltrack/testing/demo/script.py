"""What happens in the demo, and what must be true at its end."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from kestreltrack.testing.demo.environment import DemoEnvironment
from kestreltrack.testing.fakes.destinations import FakeEndpoint

DRAIN_GRACE_MS = 500.0  # after which a drained endpoint must hear of nothing new


@dataclass(slots=True)
class ObservedDrain:
    """One drain: when it was written, and the last call that came after that."""

    endpoint: FakeEndpoint
    written_at: float
    undrained_at: float = float("inf")  # when it was taken back

    def last_call_delay_ms(self) -> float:
        """How long after the drain the last new call came; 0 where none did."""
        late = [
            at - self.written_at for at, _ in self.endpoint.calls if self.written_at < at < self.undrained_at
        ]
        return 1000.0 * max(late, default=0.0)


class DemoScript:
    """Plays the troubles beside the load, and keeps account of the drains."""

    def __init__(self, environment: DemoEnvironment, report: Callable[[str], None]) -> None:
        """`say` hears what happens."""
        self.environment = environment
        self.report = report
        self.drains = list[ObservedDrain]()
        self.failures = list[str]()

    async def run(self, seconds: float) -> None:
        """All of it, at shares of the time."""
        world = self.environment
        part = seconds / 10.0
        failing = world.destinations[2]
        await asyncio.sleep(1.5 * part)
        self.report(f"partner {failing.dest} fails all calls")
        failing.fault.failure_rate = 1.0
        await asyncio.sleep(0.5 * part)
        await self.drain(world.endpoints[0])
        await asyncio.sleep(part)
        at = next((m.number for m in world.etcd_cluster.members if m.watch_stream_count), 0)
        self.report(f"etcd member {at} is cut off and refuses")
        await world.etcd_cluster.apply_fault(at, "refuse")
        await asyncio.sleep(0.5 * part)
        failing.recover()
        self.report(f"partner {failing.dest} is back, cold")
        await self.drain(world.endpoints[4])
        await asyncio.sleep(1.5 * part)
        await world.etcd_cluster.apply_fault(at, "heal")
        self.report(f"etcd member {at} is back")
        await self.undrain(self.drains[0])
        await asyncio.sleep(part)
        hung = world.destinations[5]
        self.report(f"partner {hung.dest} hangs")
        hung.fault.hang = True
        await asyncio.sleep(part)
        await self.drain(world.endpoints[1])
        hung.recover()
        self.report(f"partner {hung.dest} is back, cold")

    async def drain(self, endpoint: FakeEndpoint) -> None:
        """By the command that operators use; the time counts from the write in etcd."""
        answer = await self.run_command("drain", endpoint.uid, "--wait", "--json")
        if answer is not None:
            written = self.environment.etcd_cluster.commit_times[answer["revision"]]
            self.drains.append(ObservedDrain(endpoint, written))
            took = (time.monotonic() - written) * 1000.0
            self.report(f"{endpoint.uid} drains; all senders knew {took:.0f} ms after the write")

    async def undrain(self, drain: ObservedDrain) -> None:
        """Take the endpoint back."""
        drain.undrained_at = time.monotonic()
        if await self.run_command("undrain", drain.endpoint.uid, "--json") is not None:
            self.report(f"{drain.endpoint.uid} is up again")

    async def run_command(self, *arguments: str) -> dict[str, Any] | None:
        """`kestreltrack directory …` as a process; a failure is a fault of the demo."""
        env = self.environment.operator_environment()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kestreltrack",
            "directory",
            *arguments,
            "--operator-file",
            env["KESTRELTRACK_OPERATOR_FILE"],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, trouble = await process.communicate()
        if process.returncode != 0:
            self.failures.append(f"directory {' '.join(arguments)}: {trouble.decode().strip()}")
            self.report(self.failures[-1])
            return None
        row: dict[str, Any] = orjson.loads(out)
        return row

    def summary_rows(self) -> list[tuple[str, str, bool]]:
        """Each line of the closing table: what, how much, and whether that is as it must be."""
        world = self.environment
        assert world.load_generator
        account = world.load_generator.results
        late = [drain.last_call_delay_ms() for drain in self.drains]
        taken = set(account.accepted)
        delivered = world.delivered()
        noticed = {m for m in world.platform.notifications if m in taken}
        twice = {m for m in noticed if len(world.platform.notifications[m]) > 1} | (noticed & delivered)
        overdue = sum(late_ms > DRAIN_GRACE_MS for late_ms in late)
        waits = sorted(account.latencies_ms) or [0.0]
        ok = account.answer_counts["ok"]
        return [
            ("handed in", str(sum(account.answer_counts.values())), True),
            ("taken on", str(ok), ok > 0),
            ("turned away at once", str(account.answer_counts["busy"]), True),
            (
                "answered otherwise",
                str(sum(account.answer_counts.values()) - ok - account.answer_counts["busy"]),
                True,
            ),
            ("delivered", str(len(delivered & taken)), len(delivered & taken) > ok * 0.5),
            ("ended by notice", str(len(noticed)), True),
            ("ended twice", str(len(twice)), not twice),
            ("still owed", str(len(world.pending())), not world.pending()),
            ("doubles", str(len(world.executed_more_than_once())), not world.executed_more_than_once()),
            ("drains", str(len(self.drains)), len(self.drains) == 3 and not self.failures),
            ("calls to drained endpoints later than 500 ms", str(overdue), overdue == 0),
            ("last call after a drain, at most", f"{max(late, default=0.0):.1f} ms", True),
            (
                "answer to submitters, median and 99th",
                f"{_quantile(waits, 0.5):.1f} and {_quantile(waits, 0.99):.1f} ms",
                True,
            ),
        ]


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
