"""The documents that a sender holds, and the document that it acts on.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from kestreltrack.fleet.replicated_config.compatibility import incompatible_keys, intersection
from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    canonical_bytes,
    versioned_digest,
)
from kestreltrack.fleet.replicated_config.protocol import PersistentState
from kestreltrack.fleet.replicated_config.version import INITIAL_VERSION, Version


class ActiveDocuments:
    """The documents of a sender's state, and those received for a state that it is about to adopt.

    Attributes:
        by_version: The documents by version.
        effective: The document to act on; `None` if no document is in force or acknowledged yet.
        is_compatible: Whether the acknowledged document is compatible with the committed one.
    """

    def __init__(self, state: PersistentState, documents: Mapping[Version, ConfigDocument]) -> None:
        self.by_version: dict[Version, ConfigDocument] = dict(documents)
        self.effective: ConfigDocument | None = None
        self.is_compatible = False
        self._encoded: dict[str, bytes] = {}
        self.activate(state)

    def activate(self, state: PersistentState) -> None:
        """Make the documents of a state the active ones, and drop all others."""
        committed = self.by_version[state.committed]
        acknowledged = self.by_version[state.acknowledged]
        self.by_version = {state.committed: committed, state.acknowledged: acknowledged}
        self._encoded = {
            versioned_digest(document): canonical_bytes(document) for document in self.by_version.values()
        }
        # Without a document a sender serves all destinations, so the first document is an incompatible change.
        self.is_compatible = state.committed != INITIAL_VERSION and not incompatible_keys(
            committed, acknowledged
        )
        if state.acknowledged == INITIAL_VERSION:
            self.effective = None
        elif state.committed == INITIAL_VERSION:
            self.effective = acknowledged
        else:
            self.effective = intersection(committed, acknowledged)

    def add(self, document: ConfigDocument) -> None:
        """Add a document that is about to be adopted."""
        self.by_version[document.version] = document

    def retain(self, versions: set[Version]) -> None:
        """Drop the documents of all versions but these."""
        self.by_version = {
            version: document for version, document in self.by_version.items() if version in versions
        }

    def digest(self, version: Version) -> str:
        """Return the versioned digest of the document with this version."""
        return versioned_digest(self.by_version[version])

    def encoded(self, digest: str) -> bytes | None:
        """Return an active document as sent to other senders; `None` if no active document has this digest."""
        return self._encoded.get(digest)
