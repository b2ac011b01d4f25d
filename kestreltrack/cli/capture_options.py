"""Arguments and error handling that the commands on capture files share."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from kestreltrack.capture.anonymise import AnonymiseError
from kestreltrack.capture.cursor import CaptureFiles, InvalidTimeError
from kestreltrack.capture.pseudonyms import InvalidKeyError
from kestreltrack.capture.reader import NotACaptureError, capture_files
from kestreltrack.capture.resimulate import ResimulationError
from kestreltrack.capture.shrink import PropertyNotShownError
from kestreltrack.capture.what_if import VersionLoadError
from kestreltrack.cli.common import command_failure, usage_error
from kestreltrack.snapshot.state import SnapshotError

FILES = Annotated[list[Path], typer.Argument(help="Capture files, or folders of them.")]
SINCE = Annotated[
    str | None,
    typer.Option(
        "--from", help="Start time: 90s, 2m (from the start of the capture), 14:03:07 (UTC) or an ISO date."
    ),
]
UNTIL = Annotated[str | None, typer.Option("--until", help="End time, in the same formats as --from.")]


@contextmanager
def exit_on_capture_error() -> Iterator[None]:
    """Exit with 2 on a usage error, and with 1 if the capture does not support the requested operation.

    Raises:
        typer.Exit: In place of the errors of `kestreltrack.capture`.
    """
    try:
        yield
    except (
        NotACaptureError,
        OSError,
        InvalidTimeError,
        InvalidKeyError,
        VersionLoadError,
        SnapshotError,
    ) as error:
        raise usage_error(str(error)) from None
    except (AnonymiseError, ResimulationError, PropertyNotShownError) as error:
        raise command_failure(str(error)) from None


def open_capture(paths: list[Path]) -> CaptureFiles:
    """Open the capture in these files and folders.

    Raises:
        typer.Exit: With code 2 if there is none, or it cannot be read.
    """
    files = capture_files(paths)
    if not files:
        raise usage_error(f"{', '.join(map(str, paths))}: no capture there")
    with exit_on_capture_error():
        return CaptureFiles(files)
