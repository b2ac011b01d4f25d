"""`kestreltrack replay`: the present module on a captured input."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from kestreltrack.capture.records import decision_code_digest
from kestreltrack.capture.replay import ReplayResult, replay
from kestreltrack.capture.what_if import VersionComparison, compare_files
from kestreltrack.cli.capture_options import FILES, SINCE, UNTIL, exit_on_capture_error, open_capture
from kestreltrack.cli.common import JSON, ProgressBar, print_json, print_table


def replay_command(
    files: FILES,
    since: SINCE = None,
    until: UNTIL = None,
    speed: Annotated[float, typer.Option(min=0, help="So many times real time; 0 as fast as it goes.")] = 0.0,
    against: Annotated[
        str | None,
        typer.Option(metavar="REV|FOLDER", help="Compare with another version of the module instead."),
    ] = None,
    as_json: JSON = False,
) -> None:
    """Drive the present module with a capture and compare every answer; exit 1 at the first that differs."""
    tape = open_capture(files)
    with exit_on_capture_error():
        if against is not None:
            with ProgressBar(tape.clock_span(), "comparing") as bar:
                different = compare_files(
                    tape.files, against, since, until, lambda step: bar.advance_to(step.record.clock)
                )
            _print_what_if(different, as_json)
            return
        with ProgressBar(tape.clock_span(), "replaying") as bar:
            done = replay(tape.files, since, until, speed, lambda step: bar.advance_to(step.record.clock))
    if as_json:
        shown = {name: getattr(done, name) for name in ReplayResult.__slots__ if name != "divergence"}
        print_json(
            msgspec.to_builtins(
                shown | {"identical": done.identical(), "divergence": _divergence_document(done)}
            )
        )
    else:
        _print_replay(done)
    if not done.identical() or not done.compared:
        raise typer.Exit(1)


def _print_what_if(found: VersionComparison, as_json: bool) -> None:
    """How another version would have decided; exits with 1 where it would not have decided the same."""
    if as_json:
        shown = {name: getattr(found, name) for name in VersionComparison.__slots__ if name != "partings"}
        partings = [
            {
                "clock": p.clock,
                "record": p.record,
                "told": p.events_since_decision,
                "was": [repr(a) for a in p.present_actions],
                "would": [repr(a) for a in p.other_actions],
            }
            for p in found.partings
        ]
        print_json(msgspec.to_builtins(shown | {"alike": found.identical()}) | {"partings": partings})
    else:
        share = f" ({found.same / found.comparable:.2%})" if found.comparable else ""
        rows = [
            ["stretches between checkpoints", str(found.stretches)],
            ["comparable answers", str(found.comparable)],
            ["the same", f"{found.same}{share}"],
            ["behind a parting, not comparable", str(found.incomparable)],
            *([f"parted: {kind}", str(count)] for kind, count in found.kinds.most_common()),
            *([f"not comparable, {kind}", str(count)] for kind, count in sorted(found.after.items())),
            *(["not sound", fault] for fault in found.faults),
        ]
        print_table(
            ["what", "how much"],
            rows,
            f"against {found.where}: {'alike' if found.identical() else 'different'}",
        )
        for parting in found.partings[:5]:
            print(f"record {parting.record}, clock {parting.clock:.3f}")
            for line in parting.events_since_decision[-3:]:
                print(f"  told      {line}")
            print(f"  was       {parting.present_actions}")
            print(f"  would be  {parting.other_actions}")
        if found.base_parted:
            print(f"ended early, the present module itself parts from the capture: {found.base_parted}")
    if not found.identical() or not found.comparable:
        raise typer.Exit(1)


def _divergence_document(done: ReplayResult) -> dict[str, object] | None:
    at = done.divergence
    if at is None:
        return None
    return {
        "file": str(at.file),
        "record": at.record,
        "clock": at.clock,
        "what": at.operation,
        "expected": repr(at.expected),
        "got": repr(at.actual),
        "destinations": {str(n): repr(state) for n, state in at.destinations.items()},
    }


def _print_replay(done: ReplayResult) -> None:
    same = done.digests == {decision_code_digest()}
    times = done.span_ms / 1000.0 / done.took_s if done.took_s else 0.0
    rows = [
        ["files", str(done.files)],
        ["records", str(done.records)],
        ["answers compared", str(done.compared)],
        [
            "span",
            f"{done.span_ms / 1000.0:.1f} s, replayed in {done.took_s:.2f} s ({times:.0f} times as fast)",
        ],
        ["decision code", "the same" if same else "another one than captured"],
        *([f"events: {name}", str(count)] for name, count in sorted(done.events.items())),
        *(["not sound", fault] for fault in done.faults),
    ]
    print_table(["what", "how much"], rows, "identical" if done.identical() else "NOT identical")
    if at := done.divergence:
        print(f"first divergence: {at.file}, record {at.record}, clock {at.clock:.3f}, at {at.operation}")
        print(f"  expected  {at.expected}")
        print(f"  got       {at.actual}")
        for number, state in at.destinations.items():
            print(f"  destination {number}: {state}")
