"""Runs the demo, with a live view on a terminal and a table of the result."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import orjson
from rich import box
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from kestreltrack.testing.demo.environment import DemoEnvironment
from kestreltrack.testing.demo.script import DemoScript, SummaryRow
from kestreltrack.testing.fakes.destinations import FakeDestination, InjectedFault

# Four updates per second are enough to follow the run.
REFRESH_INTERVAL_S = 0.25
# Lines of the progress log below the table of destinations.
MAX_LOG_LINES = 10
# The width of the result, in columns, when the output is not a terminal.
REDIRECTED_WIDTH = 100
COLUMNS = ("destination", "endpoints", "limit", "fault", "200", "429", "500/503")
TEXT_COLUMNS = ("destination", "fault")
# 128 + SIGINT, as shells report a process that was ended by Ctrl-C.
INTERRUPTED_EXIT_CODE = 130


class ProgressLog:
    """The newest progress lines for the live view; each line can also be printed to standard error."""

    def __init__(self, print_lines: bool) -> None:
        """Start the clock for the timestamps; `print_lines` also prints each line."""
        self.lines = deque[str](maxlen=MAX_LOG_LINES)
        self._print_lines = print_lines
        self._started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line, prefixed with the seconds since the start."""
        line = f"{time.monotonic() - self._started_at:5.1f} s  {text}"
        self.lines.append(line)
        if self._print_lines:
            print(line, file=sys.stderr, flush=True)


def _fault_name(fault: InjectedFault) -> str:
    if fault.hang:
        return "hangs"
    if fault.failure_rate:
        return "fails"
    return "rejects" if fault.reject else ""


def _destination_cells(environment: DemoEnvironment, destination: FakeDestination) -> list[str]:
    answers = destination.answer_counts
    endpoint_count = sum(endpoint.destination is destination for endpoint in environment.endpoints)
    return [
        str(destination.dest),
        str(endpoint_count),
        f"{destination.rate_limit:g}/s" if destination.rate_limit else "",
        _fault_name(destination.fault),
        str(answers["200"]),
        str(answers["429"]),
        str(answers["500"] + answers["503"]),
    ]


def _render_view(
    environment: DemoEnvironment, progress_log: ProgressLog, started_at: float, seconds: float
) -> Group:
    assert environment.load_generator
    table = Table(box=box.SIMPLE_HEAD, pad_edge=False)
    for header in COLUMNS:
        table.add_column(header, justify="left" if header in TEXT_COLUMNS else "right")
    for destination in environment.destinations:
        table.add_row(*_destination_cells(environment, destination))
    elapsed_s = min(seconds, time.monotonic() - started_at)
    accepted = environment.load_generator.results.answer_counts["ok"]
    summary = Text(
        f"{elapsed_s:5.1f} of {seconds:g} s   accepted {accepted}   delivered {len(environment.delivered())}"
        f"   outstanding {len(environment.pending())}   sender {environment.sender.memory_mb():.0f} MB"
    )
    return Group(summary, table, *(Text(line) for line in progress_log.lines))


async def _refresh_view(
    environment: DemoEnvironment, progress_log: ProgressLog, seconds: float, console: Console
) -> None:
    started_at = time.monotonic()
    with Live(console=console, refresh_per_second=1.0 / REFRESH_INTERVAL_S, transient=True) as live:
        while True:
            live.update(_render_view(environment, progress_log, started_at, seconds))
            await asyncio.sleep(REFRESH_INTERVAL_S)


@asynccontextmanager
async def _live_view(
    environment: DemoEnvironment, progress_log: ProgressLog, seconds: float, console: Console
) -> AsyncIterator[None]:
    """Show the live view within the context."""
    view = asyncio.create_task(_refresh_view(environment, progress_log, seconds, console))
    try:
        yield
    finally:
        view.cancel()
        with suppress(asyncio.CancelledError):
            await view


async def _run_script(
    environment: DemoEnvironment, script: DemoScript, progress_log: ProgressLog, seconds: float, rate: float
) -> list[SummaryRow]:
    """Run the load and the script concurrently, wait for the outstanding messages and return the result."""
    assert environment.load_generator
    await asyncio.gather(
        environment.load_generator.run(rate, seconds, environment.draw_message), script.run(seconds)
    )
    progress_log.add("the load has ended; waiting for the outstanding messages")
    await environment.wait_until_settled()
    return script.summary_rows()


async def _run_in_environment(
    environment: DemoEnvironment, seconds: float, rate: float, as_json: bool
) -> list[SummaryRow]:
    console = Console(stderr=True)
    progress_log = ProgressLog(print_lines=not as_json and not console.is_terminal)
    script = DemoScript(environment, progress_log.add)
    try:
        await environment.start()
        progress_log.add(
            f"the sender is ready: {len(environment.endpoints)} endpoints of "
            f"{len(environment.destinations)} destinations"
        )
        if as_json or not console.is_terminal:
            return await _run_script(environment, script, progress_log, seconds, rate)
        async with _live_view(environment, progress_log, seconds, console):
            return await _run_script(environment, script, progress_log, seconds, rate)
    finally:
        await environment.stop()


def _print_rows(rows: list[SummaryRow], passed: bool, as_json: bool) -> None:
    if as_json:
        print(orjson.dumps({"good": passed, **{row.key: row.value for row in rows}}).decode())
        return
    table = Table("name", "value", "", title="kestreltrack demo", box=box.SIMPLE_HEAD)
    for row in rows:
        table.add_row(row.label, row.value, "" if row.passed else "FAILED")
    Console(width=None if sys.stdout.isatty() else REDIRECTED_WIDTH).print(table)


async def _run(seconds: float, rate: float, as_json: bool, log: Path | None, capture: Path | None) -> int:
    with tempfile.TemporaryDirectory() as folder:
        environment = DemoEnvironment(Path(folder), log=log, capture=capture)
        rows = await _run_in_environment(environment, seconds, rate, as_json)
    passed = all(row.passed for row in rows)
    _print_rows(rows, passed, as_json)
    return 0 if passed else 1


def run_demo(
    seconds: float, rate: float, as_json: bool, log_file: Path | None, capture_folder: Path | None = None
) -> int:
    """Run the demo and return the exit code: 0 if all checks passed, 1 if not, 130 after Ctrl-C or SIGTERM.

    Args:
        seconds: The duration of the load in seconds.
        rate: The number of messages per second.
        as_json: Print the result as JSON, without a live view.
        log_file: The file for the sender's log; None for no log.
        capture_folder: The folder for a capture; None for no capture.
    """
    try:
        with asyncio.Runner() as runner:
            loop = runner.get_loop()
            loop.add_signal_handler(signal.SIGTERM, _cancel_all_tasks, loop)
            return runner.run(_run(seconds, rate, as_json, log_file, capture_folder))
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("kestreltrack: stopped", file=sys.stderr)
        return INTERRUPTED_EXIT_CODE


def _cancel_all_tasks(loop: asyncio.AbstractEventLoop) -> None:
    for task in asyncio.all_tasks(loop):
        task.cancel()
