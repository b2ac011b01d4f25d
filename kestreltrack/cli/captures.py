"""What the commands on captures share: how files and times are named, and how what is wrong with them is told."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from kestreltrack.capture.against import CannotLoad
from kestreltrack.capture.anonymise import CannotRename
from kestreltrack.capture.names import BadKey
from kestreltrack.capture.reader import NotACapture, files_of
from kestreltrack.capture.rerun import CannotRerun
from kestreltrack.capture.shrink import NotShown
from kestreltrack.capture.walk import BadTime, Tape
from kestreltrack.cli.common import bad_use, failed
from kestreltrack.snapshot.state import SnapshotError

FILES = Annotated[list[Path], typer.Argument(help="Files of a capture, or folders of them.")]
SINCE = Annotated[
    str | None, typer.Option("--from", help="From here: 90s, 2m, 14:03:07 (UTC) or an ISO date.")
]
UNTIL = Annotated[str | None, typer.Option("--until", help="Up to here, in the same forms.")]


@contextmanager
def plain_errors() -> Iterator[None]:
    """Use at fault ends with 2, a capture that does not bear it with 1."""
    try:
        yield
    except (NotACapture, OSError, BadTime, BadKey, CannotLoad, SnapshotError) as bad:
        raise bad_use(str(bad)) from None
    except (CannotRename, CannotRerun, NotShown) as bad:
        raise failed(str(bad)) from None


def tape_of(places: list[Path]) -> Tape:
    """The capture that is named, or the end with exit code 2."""
    found = files_of(places)
    if not found:
        raise bad_use(f"{', '.join(map(str, places))}: no capture there")
    with plain_errors():
        return Tape(found)
