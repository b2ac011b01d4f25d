"""`kestreltrack capture`: control the capture of a running sender, over its admin socket."""

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

app = typer.Typer(
    help="Control the capture of a running sender, and work with capture files.", no_args_is_help=True
)


def _run_command(
    command: str, socket: SOCKET, operator_file: OPERATOR_FILE, overrides: list[str] | None, as_json: bool
) -> None:
    response = query_sender(command, socket, operator_file, overrides)
    if as_json:
        print_json(response)
    else:
        print_table(["name", "value"], [[name, str(value)] for name, value in response.items()])


@app.command()
def start(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Start a capture, which begins with the current state."""
    _run_command("capture.start", socket, operator_file, overrides, as_json)


@app.command()
def stop(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Stop the capture; its files are not deleted."""
    _run_command("capture.stop", socket, operator_file, overrides, as_json)


@app.command()
def cut(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Start a new capture file, so that the older files can be moved or deleted."""
    _run_command("capture.cut", socket, operator_file, overrides, as_json)


@app.command()
def status(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Print whether a capture is running, its size, and how many records were lost."""
    _run_command("capture.status", socket, operator_file, overrides, as_json)
