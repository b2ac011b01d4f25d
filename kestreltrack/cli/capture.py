"""`kestreltrack capture`: the capture of a running sender, over its admin socket."""

from __future__ import annotations

import typer

from kestreltrack.cli.common import (
    JSON,
    KEY_OVERRIDES,
    OPERATOR_FILE,
    SOCKET,
    print_json,
    print_table,
    query_sender,
)

app = typer.Typer(help="The capture of a running sender; and what to do with captures.", no_args_is_help=True)


def _run_command(
    command: str, socket: SOCKET, operator_file: OPERATOR_FILE, overrides: list[str] | None, as_json: bool
) -> None:
    answer = query_sender(command, socket, operator_file, overrides)
    if as_json:
        print_json(answer)
    else:
        print_table(["what", "how much"], [[name, str(value)] for name, value in answer.items()])


@app.command()
def start(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Begin a capture from the state of this moment."""
    _run_command("capture.start", socket, operator_file, overrides, as_json)


@app.command()
def stop(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """End the capture; its files stay."""
    _run_command("capture.stop", socket, operator_file, overrides, as_json)


@app.command()
def cut(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Have a fresh file begin, so that the older ones can be taken away."""
    _run_command("capture.cut", socket, operator_file, overrides, as_json)


@app.command()
def status(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Whether there is one, how large it is, and what it lost."""
    _run_command("capture.status", socket, operator_file, overrides, as_json)
