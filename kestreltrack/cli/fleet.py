"""`kestreltrack fleet`: what a running sender holds of the others, over its admin socket."""

from __future__ import annotations

import typer

from kestreltrack.cli.common import FLAGS, JSON, OPERATOR_FILE, SOCKET, asked, print_json, table

app = typer.Typer(help="The fleet as a running sender sees it.", no_args_is_help=True)


@app.callback()
def about() -> None:
    """The fleet as a running sender sees it."""


@app.command()
def members(
    socket: SOCKET = None, operator_file: OPERATOR_FILE = None, sets: FLAGS = None, as_json: JSON = False
) -> None:
    """Who is a member, who is suspected, gone or has left, and since when."""
    answer = asked("fleet.members", socket, operator_file, sets)
    if as_json:
        print_json(answer)
        return
    columns = ["name", "standing", "for_s", "zone", "region", "address", "version", "incarnation", "suspected_by"]
    rows = [
        [", ".join(row[c]) if isinstance(row[c], list) else str(row[c]) for c in columns] for row in answer["members"]
    ]
    state = "caught up" if answer.get("caught_up") else "not caught up: it rests on nothing of this"
    table(columns, rows, f"as {answer.get('me', 'a sender that has not joined yet')} sees it, {state}")
