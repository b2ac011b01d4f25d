"""The state folder (`$GW_STATE`) with the versions of a sender, written with fsync before the sender acts on them.

A folder has an id, generated when the folder is new, which identifies a voter.  A process that starts with an emptied
folder has lost its acknowledgements, so it gets a new id and does not vote until `fleet.agreed.voters` lists that id.
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

# The file with the folder id and the versions.
STATE_FILE_NAME = "agreed.json"
# The name of a document file is this prefix, the versioned digest of the document, and ".json".
DOCUMENT_FILE_PREFIX = "agreed-"


class StateFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the state file; the hashes are versioned digests, which the names of document files contain."""

    id: str
    force: tuple[int, int]
    acknowledged: tuple[int, int]
    force_hash: str
    acknowledged_hash: str


class StoredState(NamedTuple):
    """The stored versions and their documents."""

    state: PersistentState
    documents: dict[Version, ConfigDocument]


def write_durable(path: Path, data: bytes) -> None:
    """Replace the file at `path` atomically; its content and name survive a power failure once this returns.

    Raises:
        OSError: The write failed.
    """
    temporary_path = path.with_name(path.name + ".new")
    with temporary_path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
    # Without this, a power failure can undo the rename.
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class StateFolder:
    """The state folder of one sender.

    Attributes:
        path: The folder.
        id: The id of the folder; empty until `load` returns.
    """

    def __init__(self, path: Path, write: Callable[[Path, bytes], None] = write_durable) -> None:
        self.path = path
        self.id = ""
        self._write = write

    def load(self) -> StoredState | None:
        """Return the stored state; `None` if the folder is new, in which case a folder id is generated.

        Raises:
            StateUnreadableError: A file cannot be read, or a document does not match its digest or version.
        """
        state_path = self.path / STATE_FILE_NAME
        if not state_path.exists():
            self.id = os.urandom(16).hex()
            return None
        try:
            state_file = msgspec.json.decode(state_path.read_bytes(), type=StateFile)
            state = PersistentState(Version(*state_file.force), Version(*state_file.acknowledged))
            documents = {
                state.committed: self._load_document(state_file.force_hash),
                state.acknowledged: self._load_document(state_file.acknowledged_hash),
            }
        except (msgspec.MsgspecError, OSError, ReplicatedConfigError, UnicodeDecodeError) as error:
            raise StateUnreadableError(state_path, str(error)) from error
        if any(document.version != version for version, document in documents.items()):
            raise StateUnreadableError(
                state_path, "a document has a different version from the one listed in the file"
            )
        self.id = state_file.id
        return StoredState(state, documents)

    def _load_document(self, digest: str) -> ConfigDocument:
        document = decode_document(self._document_path(digest).read_bytes())
        if versioned_digest(document) != digest:
            raise StateUnreadableError(
                self.path, "the content of a document does not match the digest in its file name"
            )
        return document

    def _document_path(self, digest: str) -> Path:
        return self.path / f"{DOCUMENT_FILE_PREFIX}{digest}.json"

    def save(self, state: PersistentState, documents: Mapping[Version, ConfigDocument]) -> None:
        """Store both documents, then the versions, and remove other documents.

        Raises:
            OSError: The versions may not be on disk, and the sender must not act on them.
        """
        committed_digest = self._save_document(documents[state.committed])
        acknowledged_digest = self._save_document(documents[state.acknowledged])
        state_file = StateFile(
            self.id, state.committed, state.acknowledged, committed_digest, acknowledged_digest
        )
        self._write(self.path / STATE_FILE_NAME, msgspec.json.encode(state_file))
        needed = {self._document_path(committed_digest), self._document_path(acknowledged_digest)}
        for document_path in self.path.glob(f"{DOCUMENT_FILE_PREFIX}*.json"):
            if document_path not in needed:
                document_path.unlink(missing_ok=True)

    def _save_document(self, document: ConfigDocument) -> str:
        """Store a document if it is not stored yet, and return its digest."""
        digest = versioned_digest(document)
        document_path = self._document_path(digest)
        if not document_path.exists():
            self._write(document_path, canonical_bytes(document))
        return digest
