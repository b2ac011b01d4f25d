"""`kestreltrack capture`: the capture of a running sender, over its admin socket."""

from __future__ import annotations

import typer

from kestreltrack.cli.common import FLAGS, JSON, OPERATOR_FILE, SOCKET, asked, print_json, table

app = typer.Typer(help="The capture of a running sender; and what to do with captures.", no_args_is_help=True)


def _ask(
    command: str, socket: SOCKET, operator_file: OPERATOR_FILE, sets: list[str] | None, as_json: bool
) -> None:
    answer = asked(command, socket, operator_file, sets)
    if as_json:
        print_json(answer)
    else:
        table(["what", "how much"], [[name, str(value)] for name, value in answer.items()])


@app.command()
def start(
    socket: SOCKET = None, operator_file: OPERATOR_FILE = None, sets: FLAGS = None, as_json: JSON = False
) -> None:
    """Begin a capture from the state of this moment."""
    _ask("capture.start", socket, operator_file, sets, as_json)


@app.command()
def stop(
    socket: SOCKET = None, operator_file: OPERATOR_FILE = None, sets: FLAGS = None, as_json: JSON = False
) -> None:
    """End the capture; its files stay."""
    _ask("capture.stop", socket, operator_file, sets, as_json)


@app.command()
def cut(
    socket: SOCKET = None, operator_file: OPERATOR_FILE = None, sets: FLAGS = None, as_json: JSON = False
) -> None:
    """Have a fresh file begin, so that the older ones can be taken away."""
    _ask("capture.cut", socket, operator_file, sets, as_json)


@app.command()
def status(
    socket: SOCKET = None, operator_file: OPERATOR_FILE = None, sets: FLAGS = None, as_json: JSON = False
) -> None:
    """Whether there is one, how large it is, and what it lost."""
    _ask("capture.status", socket, operator_file, sets, as_json)
