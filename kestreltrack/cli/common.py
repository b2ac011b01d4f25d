"""What the sub-commands share: options, settings, tables, JSON, errors."""

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

OPERATOR_FILE = Annotated[
    Path | None, typer.Option("--operator-file", help=f"The operator's file; else {FILE_VARIABLE}.")
]
KEY_OVERRIDES = Annotated[
    list[str] | None,
    typer.Option("--set", metavar="KEY=VALUE", help="A key of the operator's file; goes before all else."),
]
SOCKET = Annotated[Path | None, typer.Option("--socket", help="The admin socket; else by the settings.")]
JSON = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]


def usage_error(text: str) -> typer.Exit:
    """One line on standard error, and exit code 2."""
    print(f"kestreltrack: {text}", file=sys.stderr)
    return typer.Exit(2)


def command_failure(text: str) -> typer.Exit:
    """One line on standard error, and exit code 1."""
    print(f"kestreltrack: {text}", file=sys.stderr)
    return typer.Exit(1)


def environment_and_overrides(
    operator_file: Path | None, overrides: list[str] | None
) -> tuple[dict[str, str], dict[str, str]]:
    """The environment with the named file in it, and the flags by key."""
    env = dict(os.environ)
    if operator_file is not None:
        env[FILE_VARIABLE] = str(operator_file)
    flags = dict[str, str]()
    for text in overrides or []:
        key, equals, value = text.partition("=")
        if not equals:
            raise usage_error(f"--set {text}: expected KEY=VALUE")
        flags[key.strip()] = value.strip()
    return env, flags


def operator_config_or_exit(operator_file: Path | None, overrides: list[str] | None) -> LoadedOperatorConfig:
    """The operator's settings, or the end with exit code 2."""
    try:
        return load_operator_config(*environment_and_overrides(operator_file, overrides))
    except ConfigError as bad:
        raise usage_error(str(bad)) from None


def query_sender(
    command: str,
    socket: Path | None,
    operator_file: Path | None,
    overrides: list[str] | None,
    argument: str = "",
) -> dict[str, Any]:
    """A running sender's answer over its admin socket, or the end with exit code 1 or 2."""
    if socket is None:
        named = operator_config_or_exit(operator_file, overrides).config.admin.socket
        if not named:
            raise usage_error("admin.socket: expected the sender's socket, here or by --socket")
        socket = Path(named)
    try:
        answer = send_command(socket, command, argument)
    except (OSError, ValueError) as bad:
        raise command_failure(f"{socket}: {bad}") from None
    if "error" in answer:
        raise command_failure(str(answer["error"]))
    return answer


def print_json(document: Any) -> None:
    """One JSON document on standard output."""
    sys.stdout.buffer.write(orjson.dumps(document, default=str) + b"\n")
    sys.stdout.buffer.flush()


def print_table(headers: list[str], rows: list[list[str]], title: str | None = None) -> None:
    """A table for people; as wide as it needs where nobody watches."""
    shown = Table(title=title, box=box.SIMPLE_HEAD)
    for head in headers:
        shown.add_column(head, overflow="fold")
    for row in rows:
        shown.add_row(*row)
    Console(width=None if sys.stdout.isatty() else 160).print(shown)


class ProgressBar:
    """A progress bar over a span of the clock, on standard error, where somebody watches."""

    def __init__(self, span: tuple[float, float], label: str) -> None:
        """From the first clock to the last, in ms."""
        self._start = span[0]
        self._duration = max(1.0, span[1] - span[0])
        console = Console(stderr=True)
        self._bar = Progress(console=console, transient=True, disable=not console.is_terminal)
        self._task = self._bar.add_task(label, total=self._duration)
        self._next_update = span[0]

    def __enter__(self) -> ProgressBar:
        """Begin to show."""
        self._bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Take it away."""
        self._bar.stop()

    def advance_to(self, clock_ms: float) -> None:
        """So far it went; cheap enough to be told of each record."""
        if clock_ms >= self._next_update:
            self._next_update = clock_ms + self._duration / 200.0
            self._bar.update(self._task, completed=clock_ms - self._start)


def run_async(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run to the end; Ctrl-C ends it cleanly, with exit code 130."""
    try:
        return asyncio.run(coroutine)
    except KeyboardInterrupt:
        raise typer.Exit(130) from None
