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

from kestreltrack.admin.client import ask
from kestreltrack.config.node import ConfigError
from kestreltrack.config.operator import FILE_VARIABLE, Loaded, load_operator

T = TypeVar("T")

OPERATOR_FILE = Annotated[
    Path | None, typer.Option("--operator-file", help=f"The operator's file; else {FILE_VARIABLE}.")
]
FLAGS = Annotated[
    list[str] | None,
    typer.Option("--set", metavar="KEY=VALUE", help="A key of the operator's file; goes before all else."),
]
SOCKET = Annotated[Path | None, typer.Option("--socket", help="The admin socket; else by the settings.")]
JSON = Annotated[bool, typer.Option("--json", help="Print JSON for programs.")]


def bad_use(text: str) -> typer.Exit:
    """One line on standard error, and exit code 2."""
    print(f"kestreltrack: {text}", file=sys.stderr)
    return typer.Exit(2)


def failed(text: str) -> typer.Exit:
    """One line on standard error, and exit code 1."""
    print(f"kestreltrack: {text}", file=sys.stderr)
    return typer.Exit(1)


def settings(operator_file: Path | None, sets: list[str] | None) -> tuple[dict[str, str], dict[str, str]]:
    """The environment with the named file in it, and the flags by key."""
    env = dict(os.environ)
    if operator_file is not None:
        env[FILE_VARIABLE] = str(operator_file)
    flags = dict[str, str]()
    for text in sets or []:
        key, equals, value = text.partition("=")
        if not equals:
            raise bad_use(f"--set {text}: expected KEY=VALUE")
        flags[key.strip()] = value.strip()
    return env, flags


def loaded(operator_file: Path | None, sets: list[str] | None) -> Loaded:
    """The operator's settings, or the end with exit code 2."""
    try:
        return load_operator(*settings(operator_file, sets))
    except ConfigError as bad:
        raise bad_use(str(bad)) from None


def asked(
    command: str, socket: Path | None, operator_file: Path | None, sets: list[str] | None, argument: str = ""
) -> dict[str, Any]:
    """A running sender's answer over its admin socket, or the end with exit code 1 or 2."""
    if socket is None:
        named = loaded(operator_file, sets).operator.admin.socket
        if not named:
            raise bad_use("admin.socket: expected the sender's socket, here or by --socket")
        socket = Path(named)
    try:
        answer = ask(socket, command, argument)
    except (OSError, ValueError) as bad:
        raise failed(f"{socket}: {bad}") from None
    if "error" in answer:
        raise failed(str(answer["error"]))
    return answer


def print_json(what: Any) -> None:
    """One JSON document on standard output."""
    sys.stdout.buffer.write(orjson.dumps(what, default=str) + b"\n")
    sys.stdout.buffer.flush()


def table(heads: list[str], rows: list[list[str]], title: str | None = None) -> None:
    """A table for people; as wide as it needs where nobody watches."""
    shown = Table(title=title, box=box.SIMPLE_HEAD)
    for head in heads:
        shown.add_column(head, overflow="fold")
    for row in rows:
        shown.add_row(*row)
    Console(width=None if sys.stdout.isatty() else 160).print(shown)


class Following:
    """A progress bar over a span of the clock, on standard error, where somebody watches."""

    def __init__(self, span: tuple[float, float], what: str) -> None:
        """From the first clock to the last, in ms."""
        self._first, self._length = span[0], max(1.0, span[1] - span[0])
        console = Console(stderr=True)
        self._bar = Progress(console=console, transient=True, disable=not console.is_terminal)
        self._task = self._bar.add_task(what, total=self._length)
        self._next = span[0]

    def __enter__(self) -> Following:
        """Begin to show."""
        self._bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Take it away."""
        self._bar.stop()

    def at(self, clock: float) -> None:
        """So far it went; cheap enough to be told of each record."""
        if clock >= self._next:
            self._next = clock + self._length / 200.0
            self._bar.update(self._task, completed=clock - self._first)


def run_async(work: Coroutine[Any, Any, T]) -> T:
    """Run to the end; Ctrl-C ends it cleanly, with exit code 130."""
    try:
        return asyncio.run(work)
    except KeyboardInterrupt:
        raise typer.Exit(130) from None
