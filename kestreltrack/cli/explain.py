"""`kestreltrack explain`: why a message waited and how it ended, or what happened to a destination."""

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
    Path, typer.Argument(metavar="FILE", help="A capture file, or the folder of a capture.")
]
# Shorter waits are omitted: rounded to milliseconds they would be shown as 0.
MIN_WAIT_SHOWN_MS = 0.5


def explain_command(
    capture_path: CAPTURE_FILE,
    message: Annotated[
        str | None, typer.Argument(metavar="ID", help="The id of the message; or use --dest.")
    ] = None,
    dest: Annotated[
        int | None, typer.Option("--dest", help="The number of a destination, instead of a message.")
    ] = None,
    since: SINCE = None,
    until: UNTIL = None,
    key_file: Annotated[
        Path | None,
        typer.Option(
            help="File with the key that the capture was anonymised with: finds a message by its original id."
        ),
    ] = None,
    as_json: JSON = False,
) -> None:
    """Explain what happened to a message, and why, or what happened to a destination.

    Exits with 1 if the capture contains nothing about it, or if the present decision code differs from the capture.
    """
    if (message is None) == (dest is None):
        raise usage_error("explain: expected the ID of a message, or --dest and a number")
    capture = open_capture([capture_path])
    with exit_on_capture_error():
        if message is not None and key_file is not None:
            message = Pseudonyms(read_key_file(key_file)).message_id(message)
        if message is not None:
            _explain_message(capture, message, as_json)
        elif dest is not None:
            _explain_destination(capture, dest, since, until, as_json)


def _explain_message(capture: CaptureFiles, message_id: str, as_json: bool) -> None:
    timelines = message_timeline.build_timelines(capture, message_id)
    if as_json:
        print_json([message_timeline.to_json(capture, timeline) for timeline in timelines])
    else:
        for timeline in timelines:
            _print_message_timeline(capture, timeline)
    if not timelines:
        raise command_failure(f"{message_id}: no such message is in this capture")
    if any(timeline.divergence for timeline in timelines):
        raise typer.Exit(1)


def _print_message_timeline(capture: CaptureFiles, timeline: message_timeline.MessageTimeline) -> None:
    _print_message_heading(capture, timeline)
    arrived = timeline.arrived
    rows = [
        [
            f"{row.clock - arrived:.0f}",
            "" if row.until is None else f"{row.until - arrived:.0f}",
            row.what,
            row.text,
        ]
        for row in timeline.rows
    ]
    print_table(["at ms", "until", "what", "reason and details"], rows)
    if timeline.waited_ms:
        waits = [
            f"{rule} {ms:.0f} ms" for rule, ms in timeline.waited_ms.most_common() if ms >= MIN_WAIT_SHOWN_MS
        ]
        print(f"waited: {', '.join(waits) or 'less than a millisecond'}")
    if timeline.divergence:
        print(f"diverges here: {timeline.divergence}")
    else:
        after = "" if timeline.ended is None else f" after {timeline.ended - arrived:.0f} ms"
        print(f"end: {timeline.end or 'none within the capture'}{after}, {timeline.attempts} attempts\n")


def _print_message_heading(capture: CaptureFiles, timeline: message_timeline.MessageTimeline) -> None:
    previous_attempts = f", {timeline.attempts_before} attempts before" if timeline.attempts_before else ""
    print(f"{timeline.id} for destination {timeline.dest}, class {timeline.cls}{previous_attempts}")
    arrival = "was already queued when the capture began, at" if timeline.queued_before else "arrived"
    objective_ms = timeline.latency_objective_at - timeline.arrived
    deadline_ms = timeline.expires - timeline.arrived
    print(
        f"{arrival} {capture.wall_time(timeline.arrived):%Y-%m-%d %H:%M:%S.%f} UTC; "
        f"latency objective after {objective_ms:.0f} ms, deadline after {deadline_ms:.0f} ms"
    )


def _explain_destination(
    capture: CaptureFiles, dest: int, since: str | None, until: str | None, as_json: bool
) -> None:
    first = capture.parse_time(since) if since else None
    last = capture.parse_time(until) if until else None
    start, end = capture.clock_span()
    with ProgressBar((start if first is None else first, end), "reading") as bar:
        timeline = destination_timeline.build_timeline(
            capture, dest, first, last, lambda step: bar.advance_to(step.record.clock)
        )
    if as_json:
        print_json(destination_timeline.to_json(capture, timeline))
    else:
        _print_state_changes(capture, timeline)
        _print_destination_figures(timeline)
    if timeline.divergence:
        raise command_failure(f"the present decision code diverges from the capture {timeline.divergence}")
    if not (timeline.arrived or timeline.changes or timeline.attempts):
        raise command_failure(f"destination {dest}: nothing in this capture")


def _print_state_changes(capture: CaptureFiles, timeline: destination_timeline.DestinationTimeline) -> None:
    rows = [
        [
            # Truncated from microseconds to milliseconds.
            f"{capture.wall_time(change.clock):%H:%M:%S.%f}"[:-3],
            change.endpoint or "all",
            change.state,
            change.detail,
        ]
        for change in timeline.changes
    ]
    span_s = (timeline.span[1] - timeline.span[0]) / 1000.0
    title = f"destination {timeline.dest} over {span_s:.1f} s"
    print_table(["UTC", "endpoint", "state", "details"], rows, title)


def _print_destination_figures(timeline: destination_timeline.DestinationTimeline) -> None:
    counts = [
        ("arrived", timeline.arrived),
        ("attempts", timeline.attempts),
        ("of these trial calls", timeline.trials),
        ("most queued", timeline.max_queued),
        ("most in flight", timeline.max_in_flight),
    ]
    counts += [(f"outcome: {name}", count) for name, count in timeline.outcomes.most_common()]
    counts += [(f"end: {name}", count) for name, count in timeline.ends.most_common()]
    rows = [[name, str(count)] for name, count in counts]
    for rule, waited_ms in timeline.waited_ms.most_common():
        rows.append([f"waited: {rule}", f"{waited_ms / 1000.0:.1f} message-seconds"])
    print_table(["name", "value"], rows)
