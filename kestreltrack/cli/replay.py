"""`kestreltrack replay`: run the present decision code, or another version of it, on a captured input."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.records import decision_code_digest
from kestreltrack.capture.replay import Divergence, ReplayResult, replay
from kestreltrack.capture.what_if import DecisionDifference, VersionComparison, compare_files
from kestreltrack.cli.capture_options import FILES, SINCE, UNTIL, exit_on_capture_error, open_capture
from kestreltrack.cli.common import JSON, ProgressBar, print_json, print_table

# Only the first differences of a comparison are printed; `--json` writes all.
MAX_DIFFERENCES_SHOWN = 5
# Of each difference, only the last events before it are printed.
MAX_EVENTS_SHOWN = 3


def replay_command(
    files: FILES,
    since: SINCE = None,
    until: UNTIL = None,
    speed: Annotated[
        float, typer.Option(min=0, help="Speed as a multiple of real time; 0: as fast as possible.")
    ] = 0.0,
    against: Annotated[
        str | None,
        typer.Option(metavar="REV|FOLDER", help="Compare with another version of the decision code instead."),
    ] = None,
    as_json: JSON = False,
) -> None:
    """Replay a capture with the present decision code and compare each of its answers with the captured one.

    Stops at the first difference, with exit code 1.
    """
    capture = open_capture(files)
    with exit_on_capture_error():
        if against is None:
            _replay_capture(capture, since, until, speed, as_json)
        else:
            _compare_versions(capture, since, until, against, as_json)


def _replay_capture(
    capture: CaptureFiles, since: str | None, until: str | None, speed: float, as_json: bool
) -> None:
    """Replay and print the result.

    Raises:
        typer.Exit: With code 1 if an answer differs, or none could be compared.
    """
    with ProgressBar(capture.clock_span(), "replaying") as bar:
        result = replay(capture.files, since, until, speed, lambda step: bar.advance_to(step.record.clock))
    if as_json:
        print_json(_replay_document(result))
    else:
        _print_replay(result)
    if not result.identical() or not result.compared:
        raise typer.Exit(1)


def _replay_document(result: ReplayResult) -> object:
    return msgspec.to_builtins(
        {
            "files": result.files,
            "records": result.records,
            "compared": result.compared,
            "events": result.events,
            "digests": result.digests,
            "faults": result.faults,
            "span_ms": result.span_ms,
            "took_s": result.took_s,
            "identical": result.identical(),
            "divergence": None if result.divergence is None else _divergence_document(result.divergence),
        }
    )


def _divergence_document(divergence: Divergence) -> dict[str, object]:
    return {
        "file": str(divergence.file),
        "record": divergence.record,
        "clock": divergence.clock,
        "what": divergence.operation,
        "expected": repr(divergence.expected),
        "got": repr(divergence.actual),
        "destinations": {str(number): repr(state) for number, state in divergence.destinations.items()},
    }


def _print_replay(result: ReplayResult) -> None:
    span_s = result.span_ms / 1000.0
    speed = span_s / result.took_s if result.took_s else 0.0
    same_code = result.digests == {decision_code_digest()}
    rows = [
        ["files", str(result.files)],
        ["records", str(result.records)],
        ["answers compared", str(result.compared)],
        ["span", f"{span_s:.1f} s, replayed in {result.took_s:.2f} s ({speed:.0f} times real time)"],
        ["decision code", "the captured version" if same_code else "another version than captured"],
    ]
    rows += [[f"events: {name}", str(count)] for name, count in sorted(result.events.items())]
    rows += [["corrupt", fault] for fault in result.faults]
    print_table(["name", "value"], rows, "identical" if result.identical() else "NOT identical")
    if result.divergence is not None:
        _print_divergence(result.divergence)


def _print_divergence(divergence: Divergence) -> None:
    print(
        f"first divergence: {divergence.file}, record {divergence.record}, clock {divergence.clock:.3f}, "
        f"at {divergence.operation}"
    )
    print(f"  expected  {divergence.expected}")
    print(f"  actual    {divergence.actual}")
    for number, state in divergence.destinations.items():
        print(f"  destination {number}: {state}")


def _compare_versions(
    capture: CaptureFiles, since: str | None, until: str | None, other: str, as_json: bool
) -> None:
    """Compare the present decision code with another version, and print how their decisions differ.

    Raises:
        typer.Exit: With code 1 if a decision differs, or none could be compared.
    """
    with ProgressBar(capture.clock_span(), "comparing") as bar:
        comparison = compare_files(
            capture.files, other, since, until, lambda step: bar.advance_to(step.record.clock)
        )
    if as_json:
        print_json(_comparison_document(comparison))
    else:
        _print_comparison(comparison)
    if not comparison.identical() or not comparison.comparable:
        raise typer.Exit(1)


def _comparison_document(comparison: VersionComparison) -> object:
    return msgspec.to_builtins(
        {
            "where": comparison.source,
            "comparable": comparison.comparable,
            "same": comparison.same,
            "incomparable": comparison.incomparable,
            "stretches": comparison.segments,
            "kinds": comparison.difference_kinds,
            "after": comparison.incomparable_actions,
            "base_parted": comparison.capture_divergence,
            "faults": comparison.faults,
            "alike": comparison.identical(),
            "partings": [_difference_document(difference) for difference in comparison.differences],
        }
    )


def _difference_document(difference: DecisionDifference) -> dict[str, object]:
    return {
        "clock": difference.clock,
        "record": difference.record,
        "told": difference.events_since_decision,
        "was": [repr(action) for action in difference.present_actions],
        "would": [repr(action) for action in difference.other_actions],
    }


def _print_comparison(comparison: VersionComparison) -> None:
    share = f" ({comparison.same / comparison.comparable:.2%})" if comparison.comparable else ""
    rows = [
        ["segments between checkpoints", str(comparison.segments)],
        ["comparable answers", str(comparison.comparable)],
        ["the same", f"{comparison.same}{share}"],
        ["after a difference, not comparable", str(comparison.incomparable)],
    ]
    rows += [[f"different: {kind}", str(count)] for kind, count in comparison.difference_kinds.most_common()]
    rows += [
        [f"not comparable, {kind}", str(count)]
        for kind, count in sorted(comparison.incomparable_actions.items())
    ]
    rows += [["corrupt", fault] for fault in comparison.faults]
    verdict = "identical" if comparison.identical() else "different"
    print_table(["name", "value"], rows, f"compared with {comparison.source}: {verdict}")
    for difference in comparison.differences[:MAX_DIFFERENCES_SHOWN]:
        _print_difference(difference)
    if comparison.capture_divergence:
        print(
            f"ended early: the present decision code diverges from the capture: {comparison.capture_divergence}"
        )


def _print_difference(difference: DecisionDifference) -> None:
    print(f"record {difference.record}, clock {difference.clock:.3f}")
    for line in difference.events_since_decision[-MAX_EVENTS_SHOWN:]:
        print(f"  event     {line}")
    print(f"  present   {difference.present_actions}")
    print(f"  other     {difference.other_actions}")
