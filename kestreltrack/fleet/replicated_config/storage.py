"""What a sender keeps in `$GW_STATE` of the agreed versions: on disk, with fsync, before anything is done by it.

A folder has an id of its own, drawn when it is new, and that is what a voter is named by: a process that comes back
with an emptied folder has forgotten what it acknowledged, so it is another one, and no voter before a document says
so.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    Version,
    canonical_bytes,
    content_hash,
    decode_document,
)
from kestreltrack.fleet.replicated_config.errors import ReplicatedConfigError, StateUnreadableError
from kestreltrack.fleet.replicated_config.protocol import PersistentState

STATE_FILE_NAME, DOCUMENT_FILE_PREFIX = "agreed.json", "agreed-"


class StateFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file; hashes are of the whole documents' contents."""

    id: str
    force: tuple[int, int]
    acknowledged: tuple[int, int]
    force_hash: str
    acknowledged_hash: str


def write_durable(path: Path, data: bytes) -> None:
    """Write beside `path` and put it in place; both outlast a power cut once this returns.  Raises `OSError`."""
    fresh = path.with_name(path.name + ".new")
    with fresh.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)  # else the new name itself may be lost
    finally:
        os.close(folder)


class StateFolder:
    """One sender's place for it."""

    def __init__(self, path: Path, write: Callable[[Path, bytes], None] = write_durable) -> None:
        """Nothing is read yet."""
        self.path, self._write = path, write
        self.id = ""

    def load(self) -> tuple[PersistentState, dict[Version, ConfigDocument]] | None:
        """What was kept, `None` in a new folder, which then has an id; raises `KeptUnreadable`, `OSError`."""
        at = self.path / STATE_FILE_NAME
        if not at.exists():
            self.id = os.urandom(16).hex()
            return None
        try:
            row = msgspec.json.decode(at.read_bytes(), type=StateFile)
            kept = PersistentState(Version(*row.force), Version(*row.acknowledged))
            found = {
                kept.committed: self._load_document(row.force_hash),
                kept.acknowledged: self._load_document(row.acknowledged_hash),
            }
        except (msgspec.MsgspecError, OSError, ReplicatedConfigError, UnicodeDecodeError) as bad:
            raise StateUnreadableError(at, str(bad)) from bad
        if any(document.version != version for version, document in found.items()):
            raise StateUnreadableError(at, "a document has another version than its name says")
        self.id = row.id
        return kept, found

    def _load_document(self, digest: str) -> ConfigDocument:
        document = decode_document((self.path / f"{DOCUMENT_FILE_PREFIX}{digest}.json").read_bytes())
        if versioned_digest(document) != digest:
            raise StateUnreadableError(self.path, "a document is not what its name says")
        return document

    def save(self, state: PersistentState, documents: Mapping[Version, ConfigDocument]) -> None:
        """Keep both documents, then the versions; raises `OSError`, upon which nothing may be done by them."""
        names = {}
        for version in (state.committed, state.acknowledged):
            document = documents[version]
            names[version] = versioned_digest(document)
            at = self.path / f"{DOCUMENT_FILE_PREFIX}{names[version]}.json"
            if not at.exists():
                self._write(at, canonical_bytes(document))
        row = StateFile(
            self.id, state.committed, state.acknowledged, names[state.committed], names[state.acknowledged]
        )
        self._write(self.path / STATE_FILE_NAME, msgspec.json.encode(row))
        for old in self.path.glob(f"{DOCUMENT_FILE_PREFIX}*.json"):
            if old.stem.removeprefix(DOCUMENT_FILE_PREFIX) not in names.values():
                old.unlink(missing_ok=True)


def versioned_digest(document: ConfigDocument) -> str:
    """Of the version as well: one that is put back later is a file of its own."""
    return f"{document.epoch}-{document.revision}-{content_hash(document)}"
