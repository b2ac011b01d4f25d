"""The state folder (`$GW_STATE`) with the versions of a sender, written with fsync before anything is done by them.

A folder has an id of its own, drawn when it is new, and voters are named by that id: a process that starts with an
emptied folder has forgotten what it acknowledged, so it is another one, and no voter until a document says so.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    canonical_bytes,
    decode_document,
    versioned_digest,
)
from kestreltrack.fleet.replicated_config.errors import ReplicatedConfigError, StateUnreadableError
from kestreltrack.fleet.replicated_config.protocol import PersistentState
from kestreltrack.fleet.replicated_config.version import Version

# The file with the versions.
STATE_FILE_NAME = "agreed.json"
# A file with one document; its versioned digest follows the prefix.
DOCUMENT_FILE_PREFIX = "agreed-"


class StateFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the file with the versions; the hashes are versioned digests, which name the documents."""

    id: str
    force: tuple[int, int]
    acknowledged: tuple[int, int]
    force_hash: str
    acknowledged_hash: str


class StoredState(NamedTuple):
    """The versions that were stored, and the document of each."""

    state: PersistentState
    documents: dict[Version, ConfigDocument]


def write_durable(path: Path, data: bytes) -> None:
    """Write a file beside `path` and rename it to `path`; both outlast a power failure once this returns.

    Raises:
        OSError: The file is as it was before.
    """
    temporary_path = path.with_name(path.name + ".new")
    with temporary_path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    # Without this the new name itself may be lost.
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class StateFolder:
    """The state folder of one sender.

    Attributes:
        path: The folder.
        id: The id of the folder; empty before `load`.
    """

    def __init__(self, path: Path, write: Callable[[Path, bytes], None] = write_durable) -> None:
        self.path = path
        self.id = ""
        self._write = write

    def load(self) -> StoredState | None:
        """Return what was stored; `None` in a new folder, which gets an id.

        Raises:
            StateUnreadableError: A file cannot be read, or does not hold what its name says.
        """
        state_path = self.path / STATE_FILE_NAME
        if not state_path.exists():
            self.id = os.urandom(16).hex()
            return None
        try:
            row = msgspec.json.decode(state_path.read_bytes(), type=StateFile)
            state = PersistentState(Version(*row.force), Version(*row.acknowledged))
            documents = {
                state.committed: self._load_document(row.force_hash),
                state.acknowledged: self._load_document(row.acknowledged_hash),
            }
        except (msgspec.MsgspecError, OSError, ReplicatedConfigError, UnicodeDecodeError) as error:
            raise StateUnreadableError(state_path, str(error)) from error
        if any(document.version != version for version, document in documents.items()):
            raise StateUnreadableError(state_path, "a document has another version than its name says")
        self.id = row.id
        return StoredState(state, documents)

    def _load_document(self, digest: str) -> ConfigDocument:
        document = decode_document(self._document_path(digest).read_bytes())
        if versioned_digest(document) != digest:
            raise StateUnreadableError(self.path, "a document is not what its name says")
        return document

    def _document_path(self, digest: str) -> Path:
        return self.path / f"{DOCUMENT_FILE_PREFIX}{digest}.json"

    def save(self, state: PersistentState, documents: Mapping[Version, ConfigDocument]) -> None:
        """Store both documents, then the versions, and remove documents that are no longer needed.

        Raises:
            OSError: Nothing may be done by these versions.
        """
        committed_digest = self._save_document(documents[state.committed])
        acknowledged_digest = self._save_document(documents[state.acknowledged])
        row = StateFile(self.id, state.committed, state.acknowledged, committed_digest, acknowledged_digest)
        self._write(self.path / STATE_FILE_NAME, msgspec.json.encode(row))
        needed = {self._document_path(committed_digest), self._document_path(acknowledged_digest)}
        for document_path in self.path.glob(f"{DOCUMENT_FILE_PREFIX}*.json"):
            if document_path not in needed:
                document_path.unlink(missing_ok=True)

    def _save_document(self, document: ConfigDocument) -> str:
        """Store a document, unless it is there, and return its digest."""
        digest = versioned_digest(document)
        document_path = self._document_path(digest)
        if not document_path.exists():
            self._write(document_path, canonical_bytes(document))
        return digest
