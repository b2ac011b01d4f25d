"""An hour of full load on a driven clock, captured through the sender's own desk, and replayed ten times.

    python benchmarks/capture_hour.py [--minutes 60] [--rate 60] [--replays 10] [--keep FOLDER]

Partners fail, hang, slow down, refuse with told waits and drain; the sender is told of reloads and of the number of
senders, and crashes and recovers every twelve minutes.  Prints JSON lines.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import random
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.recorder import Recorder
from kestreltrack.capture.replay import ReplayResult, replay
from kestreltrack.capture.writer import BlockingWriter
from kestreltrack.decision import (
    AttemptEnded,
    ClassSettings,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    Idempotency,
    KindSettings,
    MessageArrived,
    Outcome,
    Policy,
    RateAccuracy,
    RejectMessage,
    SafetyLimits,
    SenderCountChanged,
    Settings,
    StartAttempt,
)
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.emulator.simulated_sender import disable_dispatcher
from kestreltrack.testing.emulator.virtual_time import run_in_virtual_time

CLASSES = {
    "query": ClassSettings(latency_objective_ms=1500, deadline_ms=6000, idempotency=Idempotency.IDEMPOTENT),
    "update": ClassSettings(
        latency_objective_ms=3000,
        deadline_ms=20000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=15000,
    ),
    "booking": ClassSettings(
        latency_objective_ms=2000, deadline_ms=10000, idempotency=Idempotency.NOT_IDEMPOTENT
    ),
    "listing": ClassSettings(
        latency_objective_ms=4000,
        deadline_ms=30000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=20000,
        in_order=True,
    ),
}
SAFETY = SafetyLimits(
    answer_slack_ms=200,
    drain_grace_ms=500,
    cold_start_share=0.25,
    warm_up_ms=10000,
    overload_factor=2,
    overload_window_ms=2000,
    poll_interval_ms=10000,
    settle_ms=500,
)
SETTINGS = Settings(
    classes=CLASSES,
    kinds={"plain": KindSettings(), "batch": KindSettings(max_batch_size=4)},
    safety=SAFETY,
    concurrency_limit=64,
    queue_capacity=2000,
    max_attempts=8,
    sender_count=2,
    rate_accuracy=RateAccuracy.APPROXIMATE,
    may_cancel=True,
    advises_retry_after=True,
    max_retry_after_ms=2000,
)
FAULT_KINDS = ("unreachable", "hangs", "fails", "slow")


class ModeledDestination:
    """A destination in a world without sockets."""

    def __init__(self, number: int, rng: random.Random) -> None:
        """Its speed and limit are drawn."""
        self.number = number
        self.rng = rng
        self.trouble = ""
        self.median_ms = rng.choice([20.0, 60.0, 150.0, 400.0])
        self.limit = rng.choice([0.0, 0.0, 8.0, 20.0])
        self.kind = "batch" if number % 7 == 0 else "plain"
        self._window: list[float] = []

    def entries(self) -> list[EndpointEntry]:
        """Its one or two endpoints."""
        return [
            EndpointEntry(f"p{self.number}-{n}", self.number, self.kind, rate=self.limit or 50.0)
            for n in range(1 + self.number % 2)
        ]

    def call(self, now: float, timeout_ms: float) -> tuple[Outcome, float, float]:
        """How a call goes: outcome, time it takes, wait that is told, in ms."""
        took = self.median_ms * math.exp(self.rng.gauss(0.0, 0.5))
        if self.trouble == "unreachable":
            return Outcome.UNREACHABLE, 1.0, 0.0
        if self.trouble == "hangs":
            return Outcome.TIMED_OUT, timeout_ms, 0.0
        if self.trouble == "fails":
            return self.rng.choice([Outcome.ERROR, Outcome.CONNECTION_BROKEN]), 5.0, 0.0
        if self.limit:
            self._window = [at for at in self._window if at > now - 1000.0]
            self._window.append(now)
            if len(self._window) > self.limit:
                return Outcome.REJECTED, 3.0, self.rng.choice([0.0, 500.0, 1500.0])
        took *= 12.0 if self.trouble == "slow" else 1.0
        outcome = Outcome.ERROR if self.rng.random() < 0.003 else Outcome.OK
        return (Outcome.TIMED_OUT, timeout_ms, 0.0) if took >= timeout_ms else (outcome, took, 0.0)


class OutstandingMessage:
    """A message that the world will hand to the next process after a crash."""

    def __init__(self, event: MessageArrived) -> None:
        """As it arrived."""
        self.event = event
        self.attempts = 0
        self.ambiguous_since = None


class CaptureHour:
    """The world and one sender after another."""

    def __init__(self, folder: Path, minutes: float, rate: float, seed: int) -> None:
        """Nothing runs yet."""
        self.folder = folder
        self.end_s = minutes * 60.0
        self.rate = rate
        self.rng = random.Random(seed)
        self.destinations = {n: ModeledDestination(n, random.Random(seed * 100 + n)) for n in range(1, 61)}
        self.weights = [1.0 / n for n in self.destinations]
        self.outstanding: dict[str, OutstandingMessage] = {}
        self.count = 0
        self.outcome_counts = {"delivered": 0, "refused": 0, "failed": 0}
        self.crashes = 0
        self.records = 0

    def now(self) -> float:
        """The clock of the module, in ms."""
        return asyncio.get_running_loop().time() * 1000.0

    async def play(self) -> None:
        """All of it: crashes every twelve minutes end one sender and begin the next."""
        loop = asyncio.get_running_loop()
        while loop.time() < self.end_s:
            until = min(self.end_s, loop.time() + 720.0)
            await self._process(until, last=until >= self.end_s)
            self.crashes += until < self.end_s

    async def _process(self, until_s: float, last: bool) -> None:
        loop = asyncio.get_running_loop()
        telemetry = Telemetry()
        policy = Policy(SETTINGS, self.crashes)
        writer = BlockingWriter(self.folder, 10**10, 1e9, print)
        witness = Recorder(policy, writer, telemetry, "hour", False, 16_000_000)
        desk = Dispatcher(witness, self.now, telemetry)
        entries = [entry for p in self.destinations.values() for entry in p.entries()]
        desk.notify(EndpointsUpdated(entries, complete=True))
        lives = {asyncio.create_task(self._deliver_message(desk, held)) for held in self.outstanding.values()}
        for life in lives:
            life.add_done_callback(lives.discard)
        helpers = [asyncio.create_task(self._inject_events(desk, witness, entries))]
        while loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            held = self._message()
            task = asyncio.create_task(self._deliver_message(desk, held))
            lives.add(task)
            task.add_done_callback(lives.discard)
        if last:
            while lives:
                await asyncio.sleep(0.5)
        disable_dispatcher(desk)
        for task in (*lives, *helpers):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        witness._flush_block(self.now())
        self.records = witness.record_count()
        writer.close()  # a crash: what was handed over is written, nothing more is said

    def _message(self) -> OutstandingMessage:
        self.count += 1
        dest = self.rng.choices(list(self.destinations), self.weights)[0]
        cls = self.rng.choices(list(CLASSES), [3, 4, 2, 2])[0]
        key = dest * 100 + self.rng.randrange(5) if CLASSES[cls].in_order else None
        expires = self.now() + CLASSES[cls].deadline_ms
        held = OutstandingMessage(MessageArrived(f"m{self.count:07d}", dest, cls, expires, key))
        self.outstanding[held.event.id] = held
        return held

    async def _deliver_message(self, desk: Dispatcher, held: OutstandingMessage) -> None:
        event = held.event
        seat = PendingMessage(desk, event.id)
        row = (
            event.id,
            event.dest,
            event.cls,
            event.expires,
            event.key,
            None,
            held.attempts,
            held.ambiguous_since,
        )
        desk.notify(MessageArrived(*row))
        while isinstance(order := await seat.next_decision(), StartAttempt):
            attempt = held.attempts
            began = self.now()
            seat.attempt_number = attempt
            outcome, took, wait = self.destinations[event.dest].call(began, order.timeout_ms)
            held.attempts += 1
            if outcome.may_have_executed() and held.ambiguous_since is None:
                held.ambiguous_since = began
            seat.attempt_task = asyncio.create_task(asyncio.sleep(took / 1000.0))
            await asyncio.wait({seat.attempt_task})
            if seat.attempt_task.cancelled():
                outcome = Outcome.CANCELLED
                wait = 0.0
            seat.attempt_task = None
            over = outcome is Outcome.OK
            if over:
                del self.outstanding[event.id]
                self.outcome_counts["delivered"] += 1
            desk.notify(
                AttemptEnded(event.id, attempt, order.endpoint, outcome, self.now() - began, over, wait)
            )
            if over:
                seat.remove()
                return
        seat.remove()
        del self.outstanding[event.id]
        self.outcome_counts["refused" if isinstance(order, RejectMessage) else "failed"] += 1

    async def _inject_events(self, desk: Dispatcher, witness: Recorder, entries: list[EndpointEntry]) -> None:
        """Troubles, drains, reloads, senders that come and go."""
        pick = self.rng
        n = 0
        while True:
            await asyncio.sleep(5.0)
            n += 1
            for partner in self.destinations.values():
                if partner.trouble and pick.random() < 0.2:
                    partner.trouble = ""
            if n % 4 == 0:
                pick.choice(list(self.destinations.values())).trouble = pick.choice(FAULT_KINDS)
            if n % 6 == 0:
                entry = pick.choice(entries)
                for lifecycle in (
                    EndpointLifecycle.DRAINING,
                    EndpointLifecycle.REMOVED,
                    EndpointLifecycle.UP,
                ):
                    row = EndpointEntry(entry.endpoint, entry.dest, entry.kind, "", lifecycle, entry.rate)
                    desk.notify(EndpointsUpdated([row], complete=False))
                    await asyncio.sleep(0.7)
            if n % 60 == 0:
                witness.mark(self.now(), "reload")
                desk.notify(EndpointsUpdated(entries, complete=True))
                desk.notify(SenderCountChanged(pick.choice([2, 3, 4])))


def once(files: list[Path]) -> ReplayResult:
    """One replay, in a process of its own."""
    return replay(files)


def main() -> None:
    """Play, replay, explain."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--minutes", type=float, default=60.0)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--replays", type=int, default=10)
    parser.add_argument("--keep", type=Path)
    asked = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        folder = asked.keep or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        hour = CaptureHour(folder, asked.minutes, asked.rate, 11)
        began = time.perf_counter()
        run_in_virtual_time(hour.play())
        took = time.perf_counter() - began
        files = capture_files([folder])
        size = sum(file.stat().st_size for file in files)
        print(
            json.dumps(
                {
                    "minutes": asked.minutes,
                    "messages": hour.count,
                    "ends": hour.outcome_counts,
                    "owed": len(hour.outstanding),
                    "crashes": hour.crashes,
                    "took_s": round(took, 1),
                    "files": len(files),
                    "records": hour.records,
                    "checkpoints": len(CaptureFiles(files).checkpoints()),
                    "bytes_a_message": round(size / hour.count, 1),
                }
            ),
            flush=True,
        )
        with ProcessPoolExecutor(5) as pool:
            runs = list(pool.map(once, [files] * asked.replays))
        for done in runs[:1]:
            if done.divergence:
                print(done.divergence)
        fastest = min(done.took_s for done in runs)
        print(
            json.dumps(
                {
                    "replays": len(runs),
                    "identical": sum(done.identical() and not done.faults for done in runs),
                    "compared": runs[0].compared,
                    "records_a_second": round(runs[0].records / fastest),
                    "times_real_time": round(asked.minutes * 60.0 / fastest),
                    "slowest_s": max(r.took_s for r in runs),
                }
            ),
            flush=True,
        )
        spans = []
        for share in (0.02, 0.25, 0.5, 0.75, 0.98):
            id_ = f"m{int(hour.count * share):07d}"
            began = time.perf_counter()
            command = [sys.executable, "-m", "kestreltrack", "explain", str(folder), id_, "--json"]
            done_ = subprocess.run(command, capture_output=True, cwd=ROOT, check=False)
            spans.append(round(time.perf_counter() - began, 2))
            assert done_.returncode == 0, done_.stderr
        print(json.dumps({"explain_s": spans, "capture_mb": round(size / 1e6, 1)}), flush=True)


if __name__ == "__main__":
    main()
