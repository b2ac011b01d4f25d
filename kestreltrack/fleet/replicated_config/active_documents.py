"""The documents that a sender holds, and what follows from the committed and the acknowledged one.  No I/O."""

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
    """The documents that a sender holds by version: those of its state, and those that it is about to adopt.

    Attributes:
        by_version: The documents.
        effective: The document to act on; `None`: no document is in force or acknowledged yet.
        is_compatible: Whether the acknowledged document is compatible with the committed one.
    """

    def __init__(self, state: PersistentState, documents: Mapping[Version, ConfigDocument]) -> None:
        self.by_version: dict[Version, ConfigDocument] = dict(documents)
        self.effective: ConfigDocument | None = None
        self.is_compatible = False
        self._encoded: dict[str, bytes] = {}
        self.activate(state)

    def activate(self, state: PersistentState) -> None:
        """Act on the documents of a state from now on, and drop all others."""
        committed = self.by_version[state.committed]
        acknowledged = self.by_version[state.acknowledged]
        self.by_version = {state.committed: committed, state.acknowledged: acknowledged}
        self._encoded = {
            versioned_digest(document): canonical_bytes(document) for document in self.by_version.values()
        }
        # A sender that has received no document yet serves all destinations, so the first one is incompatible.
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
        """Hold a document that is about to be adopted."""
        self.by_version[document.version] = document

    def retain(self, versions: set[Version]) -> None:
        """Drop the documents of all other versions."""
        self.by_version = {
            version: document for version, document in self.by_version.items() if version in versions
        }

    def digest(self, version: Version) -> str:
        """Return the versioned digest of a document that is held."""
        return versioned_digest(self.by_version[version])

    def encoded(self, digest: str) -> bytes | None:
        """Return the bytes of an active document, for other senders to read."""
        return self._encoded.get(digest)
