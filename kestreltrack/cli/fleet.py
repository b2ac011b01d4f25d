"""`kestreltrack fleet`: how a running sender sees the fleet, over its admin socket."""

from __future__ import annotations

from pathlib import Path
from typing import Any

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
replicated_config_app = typer.Typer(help="The replicated configuration of the fleet.", no_args_is_help=True)
app.add_typer(replicated_config_app, name="agreed")

# The columns of `fleet members`; each is a key of the response.
MEMBER_COLUMNS = [
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
    """List the members with their state (alive, suspected, failed or left) and the time since it last changed."""
    response = query_sender("fleet.members", socket, operator_file, overrides)
    if as_json:
        print_json(response)
        return
    rows = [_member_cells(member) for member in response["members"]]
    print_table(MEMBER_COLUMNS, rows, _members_title(response))


def _member_cells(member: dict[str, Any]) -> list[str]:
    cells = [member[column] for column in MEMBER_COLUMNS]
    return [", ".join(cell) if isinstance(cell, list) else str(cell) for cell in cells]


def _members_title(response: dict[str, Any]) -> str:
    sender = response.get("me", "a sender that has not joined yet")
    if response.get("caught_up"):
        return f"as {sender} sees it, synchronised"
    return f"as {sender} sees it, not synchronised yet: its decisions do not use this view"


@replicated_config_app.command()
def show(
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Print the committed and the prepared configuration, and whether this sender may act on it."""
    _print_response(query_sender("fleet.agreed.show", socket, operator_file, overrides), as_json)


@replicated_config_app.command()
def propose(
    file: Path,
    socket: SOCKET = None,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Propose a document to the first of the voters, which prepares and commits it."""
    document = str(file.resolve())
    response = query_sender("fleet.agreed.propose", socket, operator_file, overrides, document)
    _print_response(response, as_json)


def _print_response(response: dict[str, object], as_json: bool) -> None:
    if as_json:
        print_json(response)
    else:
        print_table(["name", "value"], [[name, str(value)] for name, value in response.items()])
