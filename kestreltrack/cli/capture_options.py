"""What the commands on captures share: how files and times are named, and how what is wrong with them is told."""

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

FILES = Annotated[list[Path], typer.Argument(help="Files of a capture, or folders of them.")]
SINCE = Annotated[
    str | None, typer.Option("--from", help="From here: 90s, 2m, 14:03:07 (UTC) or an ISO date.")
]
UNTIL = Annotated[str | None, typer.Option("--until", help="Up to here, in the same forms.")]


@contextmanager
def exit_on_capture_error() -> Iterator[None]:
    """Use at fault ends with 2, a capture that does not bear it with 1."""
    try:
        yield
    except (
        NotACaptureError,
        OSError,
        InvalidTimeError,
        InvalidKeyError,
        VersionLoadError,
        SnapshotError,
    ) as bad:
        raise usage_error(str(bad)) from None
    except (AnonymiseError, ResimulationError, PropertyNotShownError) as bad:
        raise command_failure(str(bad)) from None


def open_capture(paths: list[Path]) -> CaptureFiles:
    """The capture that is named, or the end with exit code 2."""
    found = capture_files(paths)
    if not found:
        raise usage_error(f"{', '.join(map(str, paths))}: no capture there")
    with exit_on_capture_error():
        return CaptureFiles(found)
