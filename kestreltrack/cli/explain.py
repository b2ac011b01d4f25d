"""`kestreltrack explain`: why a message waited, went, was repeated or refused; what a destination went through."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.pseudonyms import Pseudonyms, read_key_file
from kestreltrack.cli.capture_options import SINCE, UNTIL, exit_on_capture_error, open_capture
from kestreltrack.cli.common import JSON, ProgressBar, command_failure, print_json, print_table, usage_error
from kestreltrack.explain import destination_timeline, message_timeline

CAPTURE_FILE = Annotated[
    Path, typer.Argument(metavar="FILE", help="A file of a capture, or the folder of one.")
]


def explain_command(
    place: CAPTURE_FILE,
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
        raise usage_error("explain: expected the ID of a message, or --dest and a number")
    tape = open_capture([place])
    with exit_on_capture_error():
        if message is not None and key_file is not None:
            message = Pseudonyms(read_key_file(key_file)).message_id(message)
        if message is not None:
            _explain_message(tape, message, as_json)
        elif dest is not None:
            _explain_destination(tape, dest, since, until, as_json)


def _explain_message(tape: CaptureFiles, message: str, as_json: bool) -> None:
    found = message_timeline.build_timelines(tape, message)
    if as_json:
        print_json([message_timeline.to_json(tape, each) for each in found])
    else:
        for each in found:
            _print_message_timeline(tape, each)
    if not found:
        raise command_failure(f"{message}: no such message is in this capture")
    if any(each.divergence for each in found):
        raise typer.Exit(1)


def _print_message_timeline(tape: CaptureFiles, found: message_timeline.MessageTimeline) -> None:
    zero = found.arrived
    start = tape.wall_time(found.arrived)
    before = f", {found.attempts_before} attempts before" if found.attempts_before else ""
    print(f"{found.id} for destination {found.dest}, class {found.cls}{before}")
    how = "was held already when the capture begins, at" if found.queued_before else "arrived"
    print(
        f"{how} {start:%Y-%m-%d %H:%M:%S.%f} UTC; aim after {found.latency_objective_at - zero:.0f} ms, end of its time after "
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
    print_table(["at ms", "until", "what", "why and how"], rows)
    if found.waited_ms:
        waited = ", ".join(f"{rule} {ms:.0f} ms" for rule, ms in found.waited_ms.most_common() if ms >= 0.5)
        print(f"waited: {waited or 'not for a millisecond'}")
    if found.divergence:
        print(f"NOT further: {found.divergence}")
    else:
        ended = "" if found.ended is None else f" after {found.ended - zero:.0f} ms"
        print(f"end: {found.end or 'none within the capture'}{ended}, {found.attempts} attempts\n")


def _explain_destination(
    tape: CaptureFiles, dest: int, since: str | None, until: str | None, as_json: bool
) -> None:
    first = tape.parse_time(since) if since else None
    last = tape.parse_time(until) if until else None
    with ProgressBar(tape.clock_span() if first is None else (first, tape.clock_span()[1]), "reading") as bar:
        found = destination_timeline.build_timeline(
            tape, dest, first, last, lambda step: bar.advance_to(step.record.clock)
        )
    if as_json:
        print_json(destination_timeline.to_json(tape, found))
    else:
        rows = [
            [
                f"{tape.wall_time(turn.clock):%H:%M:%S.%f}"[:-3],
                turn.endpoint or "all of it",
                turn.state,
                turn.detail,
            ]
            for turn in found.changes
        ]
        span = (found.span[1] - found.span[0]) / 1000.0
        print_table(["UTC", "endpoint", "state", "figures"], rows, f"destination {dest} over {span:.1f} s")
        told = [("arrived", found.arrived), ("attempts", found.attempts), ("of these trials", found.trials)]
        told += [("most held", found.max_queued), ("most out", found.max_in_flight)]
        told += [(f"outcome: {name}", count) for name, count in found.outcomes.most_common()]
        told += [(f"end: {name}", count) for name, count in found.ends.most_common()]
        shown = [[name, str(count)] for name, count in told]
        waited = found.waited_ms.most_common()
        shown += [[f"waited: {rule}", f"{ms / 1000.0:.1f} message-seconds"] for rule, ms in waited]
        print_table(["what", "how much"], shown)
    if found.divergence:
        raise command_failure(f"the present module parts from the capture {found.divergence}")
    if not (found.arrived or found.changes or found.attempts):
        raise command_failure(f"destination {dest}: nothing in this capture")
