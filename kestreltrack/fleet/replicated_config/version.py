"""Versions of documents."""

from __future__ import annotations

from typing import NamedTuple


class Version(NamedTuple):
    """Versions are ordered by epoch, then by revision; staff raise the epoch when a store has lost revisions."""

    epoch: int
    revision: int

    def __str__(self) -> str:
        """Return the version as operators read it."""
        return f"revision {self.revision} of epoch {self.epoch}"


# The version that is in force before any document was.
INITIAL_VERSION = Version(0, 0)
