"""`kestreltrack explain`: why a message waited, went, was repeated or refused; what a destination went through."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from kestreltrack.capture.names import Names, key_of
from kestreltrack.capture.walk import Tape
from kestreltrack.cli.captures import SINCE, UNTIL, plain_errors, tape_of
from kestreltrack.cli.common import JSON, Following, bad_use, failed, print_json, table
from kestreltrack.explain import life, turns

PLACE = Annotated[Path, typer.Argument(metavar="FILE", help="A file of a capture, or the folder of one.")]


def explain_command(
    place: PLACE,
    message: Annotated[str | None, typer.Argument(metavar="ID", help="The message; or --dest.")] = None,
    dest: Annotated[
        int | None, typer.Option("--dest", help="A destination's number instead of a message.")
    ] = None,
    since: SINCE = None,
    until: UNTIL = None,
    key_file: Annotated[Path | None, typer.Option(help="Of hashed ids: finds the ID as it was.")] = None,
    as_json: JSON = False,
) -> None:
    """Say why: the life of a message, or what a destination went through.

    Exits with 1 where the capture knows nothing of it, or where the present module did otherwise.
    """
    if (message is None) == (dest is None):
        raise bad_use("explain: expected the ID of a message, or --dest and a number")
    tape = tape_of([place])
    with plain_errors():
        if message is not None and key_file is not None:
            message = Names(key_of(key_file)).id(message)
        if message is not None:
            _lives(tape, message, as_json)
        elif dest is not None:
            _turns(tape, dest, since, until, as_json)


def _lives(tape: Tape, message: str, as_json: bool) -> None:
    found = life.lives(tape, message)
    if as_json:
        print_json([life.plain(tape, each) for each in found])
    else:
        for each in found:
            _sheet(tape, each)
    if not found:
        raise failed(f"{message}: no such message is in this capture")
    if any(each.parted for each in found):
        raise typer.Exit(1)


def _sheet(tape: Tape, found: life.Life) -> None:
    zero, start = found.arrived, tape.wall(found.arrived)
    before = f", {found.tries_before} attempts before" if found.tries_before else ""
    print(f"{found.id} for destination {found.dest}, class {found.cls}{before}")
    how = "was held already when the capture begins, at" if found.held_before else "arrived"
    print(
        f"{how} {start:%Y-%m-%d %H:%M:%S.%f} UTC; aim after {found.due - zero:.0f} ms, end of its time after "
        f"{found.expires - zero:.0f} ms"
    )
    rows = [
        [
            f"{row.clock - zero:.0f}",
            "" if row.until is None else f"{row.until - zero:.0f}",
            row.what,
            row.text,
        ]
        for row in found.rows
    ]
    table(["at ms", "until", "what", "why and how"], rows)
    if found.waited:
        waited = ", ".join(f"{rule} {ms:.0f} ms" for rule, ms in found.waited.most_common() if ms >= 0.5)
        print(f"waited: {waited or 'not for a millisecond'}")
    if found.parted:
        print(f"NOT further: {found.parted}")
    else:
        ended = "" if found.ended is None else f" after {found.ended - zero:.0f} ms"
        print(f"end: {found.end or 'none within the capture'}{ended}, {found.attempts} attempts\n")


def _turns(tape: Tape, dest: int, since: str | None, until: str | None, as_json: bool) -> None:
    first, last = tape.clock(since) if since else None, tape.clock(until) if until else None
    with Following(tape.span() if first is None else (first, tape.span()[1]), "reading") as bar:
        found = turns.turns(tape, dest, first, last, lambda step: bar.at(step.record.clock))
    if as_json:
        print_json(turns.plain(tape, found))
    else:
        rows = [
            [f"{tape.wall(turn.clock):%H:%M:%S.%f}"[:-3], turn.where or "all of it", turn.state, turn.detail]
            for turn in found.turns
        ]
        span = (found.span[1] - found.span[0]) / 1000.0
        table(["UTC", "endpoint", "state", "figures"], rows, f"destination {dest} over {span:.1f} s")
        told = [("arrived", found.arrived), ("attempts", found.attempts), ("of these trials", found.trials)]
        told += [("most held", found.most_held), ("most out", found.most_out)]
        told += [(f"outcome: {name}", count) for name, count in found.outcomes.most_common()]
        told += [(f"end: {name}", count) for name, count in found.ends.most_common()]
        shown = [[name, str(count)] for name, count in told]
        waited = found.waited.most_common()
        shown += [[f"waited: {rule}", f"{ms / 1000.0:.1f} message-seconds"] for rule, ms in waited]
        table(["what", "how much"], shown)
    if found.parted:
        raise failed(f"the present module parts from the capture {found.parted}")
    if not (found.arrived or found.turns or found.attempts):
        raise failed(f"destination {dest}: nothing in this capture")
