"""`kestreltrack report`, and the `kestreltrack capture` commands on files: query, merge, anonymise, shrink."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from kestreltrack.capture.anonymise import anonymise
from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.pseudonyms import Pseudonyms, read_key_file
from kestreltrack.capture.resimulate import CapturedInput, extract_input
from kestreltrack.capture.shrink import (
    Property,
    Shrinker,
    ShrinkResult,
    differs_from_version,
    message_ends_as,
    violates_invariant,
)
from kestreltrack.capture.what_if import OtherVersion, compare_capture
from kestreltrack.cli.capture_options import FILES, SINCE, UNTIL, exit_on_capture_error, open_capture
from kestreltrack.cli.common import JSON, ProgressBar, command_failure, print_json, print_table, usage_error

if TYPE_CHECKING:
    from kestreltrack.explain.report import ReportData

KEY_FILE = Annotated[
    Path, typer.Option("--key-file", help="File with the key of the hashes, 16 to 64 bytes.")
]
# The results that `--shows end:ID=...` accepts; `none` means that the message has not ended within the capture.
END_RESULTS = ("delivered", "refused", "failed", "none")
# Printed tables are cut off at these numbers of rows; `--json` and `--out` write all rows.
MAX_DESTINATIONS_SHOWN = 40
MAX_QUERY_ROWS_SHOWN = 200
# Names of the elements of `ShrinkResult.size_before` and `size_after`.
SIZE_NAMES = ("destinations", "messages", "steps")


def report_command(
    files: FILES,
    out: Annotated[Path, typer.Option("--out", help="Folder for the report page and its images.")] = Path(
        "report"
    ),
    since: SINCE = None,
    until: UNTIL = None,
    as_json: JSON = False,
) -> None:
    """Write a report of a capture: a self-contained page and its images as PNGs; print a table of destinations.

    Exits with 1 if the present decision code differs from the capture.
    """
    from kestreltrack.explain import report, report_page

    capture = open_capture(files)
    with exit_on_capture_error():
        with ProgressBar(capture.clock_span(), "reading") as bar:
            data = report.collect(capture, since, until, lambda step: bar.advance_to(step.record.clock))
        written = report_page.write_report(data, out)
    rows = report_page.summary_rows(data)
    if as_json:
        destinations = [dict(zip(report_page.COLUMN_TITLES, row, strict=True)) for row in rows]
        print_json(_report_document(data, destinations, written))
    else:
        title = f"{data.sender}: destinations, most severe first"
        print_table(report_page.COLUMN_TITLES, rows[:MAX_DESTINATIONS_SHOWN], title)
        print(f"written: {written[0]} and {len(written) - 1} images")
        _print_corruptions(data.corruptions)
    if data.divergence:
        raise command_failure(f"the present decision code diverges from the capture at {data.divergence}")


def _report_document(
    data: ReportData, destinations: list[dict[str, str]], written: list[Path]
) -> dict[str, object]:
    return {
        "destinations": destinations,
        "written": [str(file) for file in written],
        "faults": data.corruptions,
        "parted": data.divergence or None,
    }


def _print_corruptions(corruptions: list[str]) -> None:
    for corruption in corruptions:
        print(f"corrupt: {corruption}")


def query_command(
    files: Annotated[
        list[Path], typer.Argument(help="One capture for each sender, or a folder written by merge.")
    ],
    sql: Annotated[str, typer.Option("--sql", help="SQL query over the tables `events` and `messages`.")] = (
        'SELECT sender, "end", count(*) AS messages, avg(held_ms) AS mean_ms, max(held_ms) AS most_ms '
        'FROM messages GROUP BY sender, "end" ORDER BY messages DESC'
    ),
    out: Annotated[Path | None, typer.Option("--out", help="Write the result to this parquet file.")] = None,
    as_json: JSON = False,
) -> None:
    """Query captures by SQL; without --sql, print how the messages ended."""
    from kestreltrack.explain import columns

    try:
        with exit_on_capture_error():
            result = columns.query(columns.load_tables(files), sql)
    except columns.QueryError as error:
        raise usage_error(str(error)) from None
    if out:
        result.write_parquet(out)
    if as_json:
        print_json(result.to_dicts())
        return
    title = f"{result.height} rows" if result.height > MAX_QUERY_ROWS_SHOWN else None
    shown = result.head(MAX_QUERY_ROWS_SHOWN)
    rows = [["" if cell is None else str(cell) for cell in row] for row in shown.iter_rows()]
    print_table(result.columns, rows, title)


def merge_command(
    files: Annotated[list[Path], typer.Argument(help="One capture for each sender: files or folders.")],
    out: Annotated[Path, typer.Option("--out", help="Folder for events.parquet and messages.parquet.")],
    as_json: JSON = False,
) -> None:
    """Merge the captures of several senders into one timeline, as tables for `capture query`."""
    from kestreltrack.explain import columns

    try:
        with exit_on_capture_error():
            tables = columns.load_tables(files)
            written = [str(file) for file in columns.store_tables(tables, out)]
    except columns.QueryError as error:
        raise usage_error(str(error)) from None
    row_counts = {name: frame.height for name, frame in tables.items()}
    senders = sorted(tables["events"]["sender"].unique().to_list())
    if as_json:
        print_json({"senders": senders, "rows": row_counts, "written": written})
        return
    rows = [["senders", ", ".join(senders)]]
    rows += [[f"rows of {name}", str(count)] for name, count in row_counts.items()]
    rows.append(["written", ", ".join(written)])
    print_table(["name", "value"], rows)


def anonymise_command(
    files: FILES,
    out: Annotated[
        Path, typer.Option("--out", help="Folder for the anonymised files, under the same names.")
    ],
    key_file: KEY_FILE,
    endpoints: Annotated[
        bool, typer.Option("--endpoints", help="Also replace the names of endpoints.")
    ] = False,
    as_json: JSON = False,
) -> None:
    """Replace message ids, tenants and keys by keyed hashes; the result replays as the original does.

    In the result, `explain --key-file` finds a message by its original id.
    """
    capture = open_capture(files)
    if out.resolve() in {file.parent.resolve() for file in capture.files}:
        raise usage_error(f"--out {out}: expected another folder than that of the capture")
    with exit_on_capture_error(), ProgressBar(capture.clock_span(), "anonymising") as bar:
        pseudonyms = Pseudonyms(read_key_file(key_file), endpoints)
        written, corruptions = anonymise(
            capture, pseudonyms, out, lambda step: bar.advance_to(step.record.clock)
        )
    if as_json:
        print_json({"written": [str(file) for file in written], "faults": corruptions})
    else:
        print_table(["written", "bytes"], [[str(file), str(file.stat().st_size)] for file in written])
        _print_corruptions(corruptions)


def _parse_property(text: str, work_folder: Path) -> Property:
    """Return the property that `--shows` names.

    Raises:
        typer.Exit: With code 2 if the text is not a valid property.
    """
    kind, _, argument = text.partition(":")
    if kind == "end" and "=" in argument:
        message_id, _, end = argument.rpartition("=")
        if end in END_RESULTS and message_id:
            return message_ends_as(message_id, end)
    elif kind == "diverges" and argument:
        other = OtherVersion(argument)
        return differs_from_version(
            work_folder / "tried.ktc",
            lambda file: not compare_capture(CaptureFiles([file]), other).identical(),
        )
    elif kind == "rule" and argument:
        return violates_invariant(argument)
    raise usage_error(
        f"--shows {text}: expected end:ID=WORD with {', '.join(END_RESULTS)}, diverges:REV-or-folder, or rule:WORDS"
    )


def shrink_command(
    files: FILES,
    shows: Annotated[str, typer.Option("--shows", help="end:ID=failed, diverges:REV-or-folder, rule:WORDS.")],
    out: Annotated[Path, typer.Option("--out", help="The capture file to write.")],
    since: SINCE = None,
    until: UNTIL = None,
    max_runs: Annotated[
        int, typer.Option("--most-runs", min=1, help="Maximum number of simulations.")
    ] = 2000,
    seconds: Annotated[
        float, typer.Option(min=1, help="Time limit; the smallest capture found by then is written.")
    ] = 120.0,
    as_json: JSON = False,
) -> None:
    """Reduce a capture to a small one that still shows a property.

    The input is simulated repeatedly without some of the destinations, messages or endpoint list changes, or without
    its end; what the property does not need is removed.  Exits with 1 if the complete input does not show it.
    """
    capture_paths = open_capture(files).files
    with exit_on_capture_error(), tempfile.TemporaryDirectory() as work_folder:
        wanted = _parse_property(shows, Path(work_folder))
        complete_input = extract_input(capture_paths, since, until)
        result = _shrink_with_progress(complete_input, wanted, max_runs, seconds)
        result.resimulation.write_capture(out)
    if as_json:
        print_json(_shrink_document(result, out))
    else:
        _print_shrink_result(result, out)


def _shrink_with_progress(
    complete_input: CapturedInput, wanted: Property, max_runs: int, seconds: float
) -> ShrinkResult:
    initial_size = float(
        max(1, len(complete_input.external_events) + len(complete_input.initial_state.dests))
    )
    with ProgressBar((0.0, initial_size), "shrinking") as bar:

        def on_progress(_runs: int, reduced: CapturedInput) -> None:
            bar.advance_to(initial_size - len(reduced.external_events) - len(reduced.initial_state.dests))

        return Shrinker(wanted, max_runs, seconds, on_progress).shrink(complete_input)


def _shrink_document(result: ShrinkResult, out: Path) -> dict[str, object]:
    return {
        "before": dict(zip(SIZE_NAMES, result.size_before, strict=True)),
        "after": dict(zip(SIZE_NAMES, result.size_after, strict=True)),
        "runs": result.runs,
        "took_s": round(result.duration_s, 3),
        "whole": result.complete,
        "written": str(out),
    }


def _print_shrink_result(result: ShrinkResult, out: Path) -> None:
    sizes = zip(SIZE_NAMES, result.size_before, result.size_after, strict=True)
    rows = [[name, str(before), str(after)] for name, before, after in sizes]
    title = f"{result.runs} simulations in {result.duration_s:.1f} s"
    print_table(["name", "before", "after"], rows, title)
    remark = "" if result.complete else "; a limit was reached before the smallest capture was found"
    print(f"written: {out}{remark}")
