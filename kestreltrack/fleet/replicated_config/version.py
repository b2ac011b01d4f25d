"""The version of a document."""

from __future__ import annotations

from typing import NamedTuple


class Version(NamedTuple):
    """A version; ordered by epoch, then by revision.

    Operators raise the epoch when a store has lost revisions.
    """

    epoch: int
    revision: int

    def __str__(self) -> str:
        """Return the version as it appears in error messages."""
        return f"revision {self.revision} of epoch {self.epoch}"


# The version in force before the first document is committed.
INITIAL_VERSION = Version(0, 0)
