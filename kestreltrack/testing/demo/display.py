"""The demo's live view and closing table (rich)."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections import deque
from contextlib import suppress
from pathlib import Path

import orjson
from rich import box
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from kestreltrack.testing.demo.environment import DemoEnvironment
from kestreltrack.testing.demo.script import DemoScript

REFRESH_INTERVAL_S = 0.25


def _view(environment: DemoEnvironment, messages: deque[str], started_at: float, seconds: float) -> Group:
    assert environment.load_generator
    account = environment.load_generator.results
    shown = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for head in ("partner", "endpoints", "limit", "trouble", "200", "429", "500/503"):
        shown.add_column(head, justify="left" if head in ("partner", "trouble") else "right")
    for partner in environment.destinations:
        t = partner.fault
        trouble = "hangs" if t.hang else "fails" if t.failure_rate else "refuses" if t.reject else ""
        number = sum(e.destination is partner for e in environment.endpoints)
        shown.add_row(
            str(partner.dest),
            str(number),
            f"{partner.rate_limit:g}/s" if partner.rate_limit else "",
            trouble,
            str(partner.answer_counts["200"]),
            str(partner.answer_counts["429"]),
            str(partner.answer_counts["500"] + partner.answer_counts["503"]),
        )
    summary = Text(
        f"{min(seconds, time.monotonic() - started_at):5.1f} of {seconds:g} s   taken on {account.answer_counts['ok']}"
        f"   delivered {len(environment.delivered())}   owed now {len(environment.pending())}"
        f"   sender {environment.sender.memory_mb():.0f} MB"
    )
    return Group(summary, shown, *(Text(text) for text in messages))


async def _watch(
    environment: DemoEnvironment, messages: deque[str], seconds: float, console: Console
) -> None:
    began = time.monotonic()
    with Live(console=console, refresh_per_second=4, transient=True) as live:
        while True:
            live.update(_view(environment, messages, began, seconds))
            await asyncio.sleep(REFRESH_INTERVAL_S)


async def _play(seconds: float, rate: float, as_json: bool, log: Path | None, capture: Path | None) -> int:
    console = Console(stderr=True)
    said = deque[str](maxlen=10)
    began = time.monotonic()

    def say(text: str) -> None:
        said.append(f"{time.monotonic() - began:5.1f} s  {text}")
        if not as_json and not console.is_terminal:
            print(said[-1], file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory() as folder:
        world = DemoEnvironment(Path(folder), log=log, capture=capture)
        story = DemoScript(world, say)
        view = None
        try:
            await world.start()
            assert world.load_generator
            say(
                f"the sender is ready: {len(world.endpoints)} endpoints of {len(world.destinations)} partners"
            )
            if console.is_terminal and not as_json:
                view = asyncio.create_task(_watch(world, said, seconds, console))
            await asyncio.gather(
                world.load_generator.run(rate, seconds, world.draw_message), story.run(seconds)
            )
            say("the load is over; waiting for what is owed")
            await world.wait_until_settled()
            rows = story.summary_rows()
        finally:
            if view:
                view.cancel()
                with suppress(asyncio.CancelledError):
                    await view
            await world.stop()
    good = all(right for _, _, right in rows)
    if as_json:
        print(orjson.dumps({"good": good, **{what: value for what, value, _ in rows}}).decode())
    else:
        table = Table("what", "how much", "", title="kestreltrack demo", box=box.SIMPLE_HEAD)
        for what, value, right in rows:
            table.add_row(what, value, "" if right else "must not be")
        Console(width=None if sys.stdout.isatty() else 100).print(table)
    return 0 if good else 1


def run_demo(
    seconds: float, rate: float, as_json: bool, log_file: Path | None, capture_folder: Path | None = None
) -> int:
    """Run the demo; returns 0 if all was as it must be, 1 if not, 130 after Ctrl-C."""
    try:
        with asyncio.Runner() as runner:
            loop = runner.get_loop()
            loop.add_signal_handler(signal.SIGTERM, lambda: _cancel(loop))
            return runner.run(_play(seconds, rate, as_json, log_file, capture_folder))
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("kestreltrack: stopped", file=sys.stderr)
        return 130


def _cancel(loop: asyncio.AbstractEventLoop) -> None:
    for task in asyncio.all_tasks(loop):
        task.cancel()
