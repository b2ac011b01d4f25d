"""Runs the soak test for one or many seeds and reports the results."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from kestreltrack.testing.soak.observations import Observations
from kestreltrack.testing.soak.plan import DRAIN_GRACE_MS, SoakPlan
from kestreltrack.testing.soak.rule_checks import Limits, Violation, find_violations
from kestreltrack.testing.soak.runner import SoakRunner

MAX_VIOLATIONS_SHOWN = 5


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of one seed."""

    seed: int
    seconds: float
    accepted: int
    delivered: int
    restarts: int
    faults: tuple[str, ...]
    violations: tuple[Violation, ...]
    took_s: float = 0.0


def run_seed(plan: SoakPlan, folder: Path) -> SoakResult:
    """Run a plan and check its rules; logs and states of the senders stay in the folder."""
    observations = asyncio.run(SoakRunner(plan, folder).run())
    return _make_result(plan, observations)


def _make_result(plan: SoakPlan, observations: Observations) -> SoakResult:
    accepted = {row.message_id for row in observations.submissions.values() if row.accepted}
    delivered = {call.message_id for call in observations.calls if call.status == "200"}
    return SoakResult(
        plan.seed,
        plan.seconds,
        len(accepted),
        len(accepted & delivered),
        len(observations.processes) - plan.senders,
        tuple(f"{number} {fault.kind}" for number, fault in enumerate(plan.faults)),
        tuple(find_violations(observations, _limits(plan))),
    )


def _limits(plan: SoakPlan) -> Limits:
    return Limits(DRAIN_GRACE_MS / 1000.0, plan.memory_mb, plan.descriptors)


def replay_command(seed: int, seconds: float, senders: int | None, without: Iterable[int] = ()) -> str:
    """Return the command line that repeats the run of a seed."""
    arguments = [f"kestreltrack scenario soak --seed {seed} --seconds {seconds:g}"]
    arguments += [f"--senders {senders}"] if senders else []
    arguments += [f"--without {number}" for number in without]
    return " ".join(arguments)


async def run_seeds(
    seeds: list[int], seconds: float, at_once: int, log: Path | None, planted_fault: str = ""
) -> int:
    """Run each seed in its own process, `at_once` in parallel; return 1 if one failed, else 0."""
    console = Console(stderr=True)
    slots = asyncio.Semaphore(at_once)
    results = dict[int, SoakResult]()
    with Progress(console=console) as progress:
        bar = progress.add_task("soak", total=len(seeds))

        async def run(seed: int) -> None:
            async with slots:
                results[seed] = await _run_in_process(seed, seconds, log, planted_fault)
            progress.advance(bar)
            descriptions = [f"{v.rule}: {v.detail}" for v in results[seed].violations[:MAX_VIOLATIONS_SHOWN]]
            progress.console.print(
                f"seed {seed}: {'; '.join(descriptions) or 'no violations'}", soft_wrap=True
            )

        await asyncio.gather(*map(run, seeds))
    failed = [seed for seed in seeds if results[seed].violations]
    table = Table("seed", "accepted", "delivered", "restarts", "violations", "seconds")
    for seed in seeds:
        row = results[seed]
        counts = (row.accepted, row.delivered, row.restarts, len(row.violations), round(row.took_s, 1))
        table.add_row(str(seed), *map(str, counts))
    Console().print(table)
    for seed in failed:
        print(replay_command(seed, seconds, None))
    print(f"{len(seeds) - len(failed)} of {len(seeds)} seeds without violations")
    return 1 if failed else 0


async def _run_in_process(seed: int, seconds: float, log: Path | None, planted_fault: str) -> SoakResult:
    arguments = ["scenario", "soak", "--seed", str(seed), "--seconds", f"{seconds:g}", "--json"]
    arguments += ["--log", str(log / str(seed))] if log else []
    arguments += ["--plant", planted_fault] if planted_fault else []
    started_at = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "kestreltrack",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    try:
        result = msgspec.json.decode(output, type=SoakResult)
    except msgspec.MsgspecError:
        text = errors.decode(errors="replace").strip().splitlines()[-1:]
        violation = Violation("soak process", f"exit {process.returncode}: {text}")
        result = SoakResult(seed, seconds, 0, 0, 0, (), (violation,))
    return replace(result, took_s=time.monotonic() - started_at)
