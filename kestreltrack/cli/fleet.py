"""`kestreltrack fleet`: what a running sender holds of the others, over its admin socket."""

from __future__ import annotations

from pathlib import Path

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

app = typer.Typer(help="The fleet as a running sender sees it.", no_args_is_help=True)
agreed = typer.Typer(help="What the senders of the fleet agree on.", no_args_is_help=True)
app.add_typer(agreed, name="agreed")


@app.callback()
def about() -> None:
    """The fleet as a running sender sees it."""


@app.command()
def members(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Who is a member, who is suspected, gone or has left, and since when."""
    answer = query_sender("fleet.members", socket, operator_file, overrides)
    if as_json:
        print_json(answer)
        return
    columns = [
        "name",
        "standing",
        "for_s",
        "zone",
        "region",
        "address",
        "version",
        "incarnation",
        "suspected_by",
    ]
    rows = [
        [", ".join(row[c]) if isinstance(row[c], list) else str(row[c]) for c in columns]
        for row in answer["members"]
    ]
    state = "caught up" if answer.get("caught_up") else "not caught up: it rests on nothing of this"
    print_table(columns, rows, f"as {answer.get('me', 'a sender that has not joined yet')} sees it, {state}")


@agreed.command()
def show(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """What is in force here, what is prepared, and whether this sender may act on it."""
    _print_answer(query_sender("fleet.agreed.show", socket, operator_file, overrides), as_json)


@agreed.command()
def propose(
    file: Path,
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Hand a document to the first of the voters, which sees to it that it takes force."""
    _print_answer(
        query_sender("fleet.agreed.propose", socket, operator_file, overrides, str(file.resolve())), as_json
    )


def _print_answer(answer: dict[str, object], as_json: bool) -> None:
    if as_json:
        print_json(answer)
    else:
        print_table(["what", "value"], [[what, str(value)] for what, value in answer.items()])
