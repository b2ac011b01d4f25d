"""`kestreltrack report` and what `kestreltrack capture` does with files: query, merge, anonymise, shrink."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer

from kestreltrack.capture.anonymise import anonymise
from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.pseudonyms import Pseudonyms, read_key_file
from kestreltrack.capture.resimulate import CapturedInput, extract_input
from kestreltrack.capture.shrink import (
    Property,
    Shrinker,
    differs_from_version,
    message_ends_as,
    violates_invariant,
)
from kestreltrack.capture.what_if import OtherVersion, compare_capture
from kestreltrack.cli.capture_options import FILES, SINCE, UNTIL, exit_on_capture_error, open_capture
from kestreltrack.cli.common import JSON, ProgressBar, command_failure, print_json, print_table, usage_error

KEY_FILE = Annotated[Path, typer.Option("--key-file", help="16 to 64 bytes that the hashes are made with.")]
END_RESULTS = ("delivered", "refused", "failed", "none")


def report_command(
    files: FILES,
    out: Annotated[Path, typer.Option("--out", help="Folder for the page and its pictures.")] = Path(
        "report"
    ),
    since: SINCE = None,
    until: UNTIL = None,
    as_json: JSON = False,
) -> None:
    """Draw a capture: a page that needs nothing else, its pictures as PNGs, and a table here.

    Exits with 1 where the present module did otherwise than captured.
    """
    from kestreltrack.explain import report, report_page

    tape = open_capture(files)
    with exit_on_capture_error():
        with ProgressBar(tape.clock_span(), "reading") as bar:
            picture = report.collect(tape, since, until, lambda step: bar.advance_to(step.record.clock))
        written = report_page.write_report(picture, out)
    rows = report_page.summary_rows(picture)
    if as_json:
        print_json(
            {
                "destinations": [dict(zip(report_page.COLUMN_TITLES, row, strict=True)) for row in rows],
                "written": [str(file) for file in written],
                "faults": picture.corruptions,
                "parted": picture.divergence or None,
            }
        )
    else:
        print_table(
            report_page.COLUMN_TITLES, rows[:40], f"{picture.sender}: destinations, most trouble first"
        )
        print(f"written: {written[0]} and {len(written) - 1} pictures")
        for fault in picture.corruptions:
            print(f"not sound: {fault}")
    if picture.divergence:
        raise command_failure(f"the present module parts from the capture at {picture.divergence}")


def query_command(
    files: Annotated[
        list[Path], typer.Argument(help="Captures, one a sender, or a folder that merge wrote.")
    ],
    sql: Annotated[str, typer.Option("--sql", help="Over the tables `events` and `messages`.")] = (
        'SELECT sender, "end", count(*) AS messages, avg(held_ms) AS mean_ms, max(held_ms) AS most_ms '
        'FROM messages GROUP BY sender, "end" ORDER BY messages DESC'
    ),
    out: Annotated[Path | None, typer.Option("--out", help="Write the result as parquet.")] = None,
    as_json: JSON = False,
) -> None:
    """Ask a capture by SQL; without --sql, how the messages ended."""
    from kestreltrack.explain import columns

    try:
        with exit_on_capture_error():
            found = columns.query(columns.load_tables(files), sql)
    except columns.QueryError as bad:
        raise usage_error(str(bad)) from None
    if out:
        found.write_parquet(out)
    if as_json:
        print_json(found.to_dicts())
    else:
        shown = [["" if cell is None else str(cell) for cell in row] for row in found.head(200).iter_rows()]
        print_table(found.columns, shown, f"{found.height} rows" if found.height > 200 else None)


def merge_command(
    files: Annotated[list[Path], typer.Argument(help="Captures, one a sender: files or folders.")],
    out: Annotated[Path, typer.Option("--out", help="Folder for events.parquet and messages.parquet.")],
    as_json: JSON = False,
) -> None:
    """Put the captures of several senders on one time line, as columns for `capture query`."""
    from kestreltrack.explain import columns

    try:
        with exit_on_capture_error():
            tables = columns.load_tables(files)
            written = columns.store_tables(tables, out)
    except columns.QueryError as bad:
        raise usage_error(str(bad)) from None
    counts = {name: frame.height for name, frame in tables.items()}
    senders = sorted(tables["events"]["sender"].unique().to_list())
    if as_json:
        print_json({"senders": senders, "rows": counts, "written": [str(file) for file in written]})
    else:
        rows = [["senders", ", ".join(senders)], *([f"rows of {name}", str(n)] for name, n in counts.items())]
        print_table(["what", "how much"], [*rows, ["written", ", ".join(map(str, written))]])


def anonymise_command(
    files: FILES,
    out: Annotated[Path, typer.Option("--out", help="Folder for the files under their names.")],
    key_file: KEY_FILE,
    endpoints: Annotated[bool, typer.Option("--endpoints", help="Rename endpoints too.")] = False,
    as_json: JSON = False,
) -> None:
    """Replace ids, tenants and keys by keyed hashes; the result replays as before.

    `explain --key-file` finds a message in it by the id that it had.
    """
    tape = open_capture(files)
    if out.resolve() in {file.parent.resolve() for file in tape.files}:
        raise usage_error(f"--out {out}: expected another folder than that of the capture")
    with exit_on_capture_error(), ProgressBar(tape.clock_span(), "renaming") as bar:
        written, faults = anonymise(
            tape,
            Pseudonyms(read_key_file(key_file), endpoints),
            out,
            lambda step: bar.advance_to(step.record.clock),
        )
    if as_json:
        print_json({"written": [str(file) for file in written], "faults": faults})
    else:
        print_table(["written", "bytes"], [[str(file), str(file.stat().st_size)] for file in written])
        for fault in faults:
            print(f"not sound: {fault}")


def _parse_property(text: str, work: Path) -> Property:
    kind, _, about = text.partition(":")
    if kind == "end" and "=" in about:
        id_, _, word = about.rpartition("=")
        if word in END_RESULTS and id_:
            return message_ends_as(id_, word)
    elif kind == "diverges" and about:
        other = OtherVersion(about)
        return differs_from_version(
            work / "tried.ktc", lambda file: not compare_capture(CaptureFiles([file]), other).identical()
        )
    elif kind == "rule" and about:
        return violates_invariant(about)
    raise usage_error(
        f"--shows {text}: expected end:ID=WORD with {', '.join(END_RESULTS)}, diverges:REV-or-folder, or rule:WORDS"
    )


def shrink_command(
    files: FILES,
    shows: Annotated[str, typer.Option("--shows", help="end:ID=failed, diverges:REV-or-folder, rule:WORDS.")],
    out: Annotated[Path, typer.Option("--out", help="The file to write.")],
    since: SINCE = None,
    until: UNTIL = None,
    most_runs: Annotated[int, typer.Option(min=1, help="Days to try at most.")] = 2000,
    seconds: Annotated[float, typer.Option(min=1, help="Ends with what it has after so long.")] = 120.0,
    as_json: JSON = False,
) -> None:
    """Reduce a capture to a small one that still shows a property.

    The day is played anew without some destinations, messages, list changes or its end, over and over; what stays is
    needed.  Exits with 1 if the whole does not show it.
    """
    found = open_capture(files).files
    with exit_on_capture_error(), tempfile.TemporaryDirectory() as work:
        wanted = _parse_property(shows, Path(work))
        whole = extract_input(found, since, until)
        most = float(max(1, len(whole.external_events) + len(whole.initial_state.dests)))
        with ProgressBar((0.0, most), "shrinking") as bar:

            def told(runs: int, tried: CapturedInput) -> None:
                bar.advance_to(most - len(tried.external_events) - len(tried.initial_state.dests))

            result = Shrinker(wanted, most_runs, seconds, told).shrink(whole)
        result.resimulation.write_capture(out)
    names = ("destinations", "messages", "steps")
    if as_json:
        print_json(
            {
                "before": dict(zip(names, result.size_before, strict=True)),
                "after": dict(zip(names, result.size_after, strict=True)),
                "runs": result.runs,
                "took_s": round(result.duration_s, 3),
                "whole": result.complete,
                "written": str(out),
            }
        )
    else:
        rows = [
            [n, str(b), str(a)] for n, b, a in zip(names, result.size_before, result.size_after, strict=True)
        ]
        print_table(
            ["what", "before", "after"], rows, f"{result.runs} days tried in {result.duration_s:.1f} s"
        )
        print(f"written: {out}" + ("" if result.complete else "; its limit came before the smallest"))
