"""Shared parts of the commands: options, settings, errors, and output as tables, JSON and progress bars."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any, TypeVar

import orjson
import typer
from rich import box
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from kestreltrack.admin.command_client import send_command
from kestreltrack.config.operator import FILE_VARIABLE, LoadedOperatorConfig, load_operator_config
from kestreltrack.config.sender import ConfigError

T = TypeVar("T")

# Width in columns of a table that is written to a file or a pipe: wide enough that a typical row does not wrap.
REDIRECTED_WIDTH = 160
# Maximum updates of a progress bar over its span: more are not visible, and each one takes time.
MAX_PROGRESS_UPDATES = 200.0

OPERATOR_FILE = Annotated[
    Path | None,
    typer.Option(
        "--operator-file", help=f"The operator's settings file; default: the file in {FILE_VARIABLE}."
    ),
]
KEY_OVERRIDES = Annotated[
    list[str] | None,
    typer.Option("--set", metavar="KEY=VALUE", help="Override a key of the operator's settings file."),
]
SOCKET = Annotated[
    Path | None,
    typer.Option("--socket", help="The sender's admin socket; default: admin.socket of the settings."),
]
JSON = Annotated[bool, typer.Option("--json", help="Print JSON instead of tables.")]


def usage_error(text: str) -> typer.Exit:
    """Print one line on standard error and return the exception that exits with code 2."""
    print(f"kestreltrack: {text}", file=sys.stderr)
    return typer.Exit(2)


def command_failure(text: str) -> typer.Exit:
    """Print one line on standard error and return the exception that exits with code 1."""
    print(f"kestreltrack: {text}", file=sys.stderr)
    return typer.Exit(1)


def environment_and_overrides(
    operator_file: Path | None, overrides: list[str] | None
) -> tuple[dict[str, str], dict[str, str]]:
    """Return the environment, with `operator_file` set in it, and the `--set` options as values by key.

    Raises:
        typer.Exit: With code 2 if an option is not KEY=VALUE.
    """
    environment = dict(os.environ)
    if operator_file is not None:
        environment[FILE_VARIABLE] = str(operator_file)
    values = dict[str, str]()
    for text in overrides or []:
        key, equals, value = text.partition("=")
        if not equals:
            raise usage_error(f"--set {text}: expected KEY=VALUE")
        values[key.strip()] = value.strip()
    return environment, values


def operator_config_or_exit(operator_file: Path | None, overrides: list[str] | None) -> LoadedOperatorConfig:
    """Load the operator's settings.

    Raises:
        typer.Exit: With code 2 if they are invalid.
    """
    environment, values = environment_and_overrides(operator_file, overrides)
    try:
        return load_operator_config(environment, values)
    except ConfigError as error:
        raise usage_error(str(error)) from None


def query_sender(
    command: str,
    socket: Path | None,
    operator_file: Path | None,
    overrides: list[str] | None,
    argument: str = "",
) -> dict[str, Any]:
    """Send a command to a running sender over its admin socket and return the response.

    Raises:
        typer.Exit: With code 2 if no socket is configured, with code 1 if the sender cannot be reached or
            answers with an error.
    """
    if socket is None:
        configured = operator_config_or_exit(operator_file, overrides).config.admin.socket
        if not configured:
            raise usage_error("admin.socket: expected the path of the sender's socket, here or in --socket")
        socket = Path(configured)
    try:
        response = send_command(socket, command, argument)
    except (OSError, ValueError) as error:
        raise command_failure(f"{socket}: {error}") from None
    if "error" in response:
        raise command_failure(str(response["error"]))
    return response


def print_json(document: Any) -> None:
    """Print a JSON document and a newline on standard output."""
    sys.stdout.buffer.write(orjson.dumps(document, default=str) + b"\n")
    sys.stdout.buffer.flush()


def print_table(headers: list[str], rows: list[list[str]], title: str | None = None) -> None:
    """Print a table as wide as the terminal, or `REDIRECTED_WIDTH` columns wide if the output is not a terminal."""
    table = Table(title=title, box=box.SIMPLE_HEAD)
    for header in headers:
        table.add_column(header, overflow="fold")
    for row in rows:
        table.add_row(*row)
    Console(width=None if sys.stdout.isatty() else REDIRECTED_WIDTH).print(table)


class ProgressBar:
    """A progress bar over a span of a capture's clock, on standard error; shown only on a terminal."""

    def __init__(self, span: tuple[float, float], label: str) -> None:
        """Prepare the bar; `span` is the first and the last clock reading, in ms."""
        self._start = span[0]
        self._duration = max(1.0, span[1] - span[0])
        console = Console(stderr=True)
        self._bar = Progress(console=console, transient=True, disable=not console.is_terminal)
        self._task = self._bar.add_task(label, total=self._duration)
        self._next_update = span[0]

    def __enter__(self) -> ProgressBar:
        """Show the bar."""
        self._bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Remove the bar."""
        self._bar.stop()

    def advance_to(self, clock_ms: float) -> None:
        """Advance the bar to a clock reading; cheap enough to be called for each record."""
        if clock_ms >= self._next_update:
            self._next_update = clock_ms + self._duration / MAX_PROGRESS_UPDATES
            self._bar.update(self._task, completed=clock_ms - self._start)


def run_async(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion and return its result.

    Raises:
        typer.Exit: With code 130 after Ctrl-C.
    """
    try:
        return asyncio.run(coroutine)
    except KeyboardInterrupt:
        raise typer.Exit(130) from None
