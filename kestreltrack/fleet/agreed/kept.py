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

from kestreltrack.fleet.agreed.document import Document, Version, canonical, content_hash, read
from kestreltrack.fleet.agreed.errors import AgreedError, KeptUnreadable
from kestreltrack.fleet.agreed.reader import Kept

FILE, STEM = "agreed.json", "agreed-"


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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


class Folder:
    """One sender's place for it."""

    def __init__(self, path: Path, write: Callable[[Path, bytes], None] = write_durable) -> None:
        """Nothing is read yet."""
        self.path, self._write = path, write
        self.id = ""

    def load(self) -> tuple[Kept, dict[Version, Document]] | None:
        """What was kept, `None` in a new folder, which then has an id; raises `KeptUnreadable`, `OSError`."""
        at = self.path / FILE
        if not at.exists():
            self.id = os.urandom(16).hex()
            return None
        try:
            row = msgspec.json.decode(at.read_bytes(), type=Row)
            kept = Kept(Version(*row.force), Version(*row.acknowledged))
            found = {
                kept.force: self._document(row.force_hash),
                kept.acknowledged: self._document(row.acknowledged_hash),
            }
        except (msgspec.MsgspecError, OSError, AgreedError, UnicodeDecodeError) as bad:
            raise KeptUnreadable(at, str(bad)) from bad
        if any(document.version != version for version, document in found.items()):
            raise KeptUnreadable(at, "a document has another version than its name says")
        self.id = row.id
        return kept, found

    def _document(self, digest: str) -> Document:
        document = read((self.path / f"{STEM}{digest}.json").read_bytes())
        if digest_of(document) != digest:
            raise KeptUnreadable(self.path, "a document is not what its name says")
        return document

    def keep(self, kept: Kept, documents: Mapping[Version, Document]) -> None:
        """Keep both documents, then the versions; raises `OSError`, upon which nothing may be done by them."""
        names = {}
        for version in (kept.force, kept.acknowledged):
            document = documents[version]
            names[version] = digest_of(document)
            at = self.path / f"{STEM}{names[version]}.json"
            if not at.exists():
                self._write(at, canonical(document))
        row = Row(self.id, kept.force, kept.acknowledged, names[kept.force], names[kept.acknowledged])
        self._write(self.path / FILE, msgspec.json.encode(row))
        for old in self.path.glob(f"{STEM}*.json"):
            if old.stem.removeprefix(STEM) not in names.values():
                old.unlink(missing_ok=True)


def digest_of(document: Document) -> str:
    """Of the version as well: one that is put back later is a file of its own."""
    return f"{document.epoch}-{document.revision}-{content_hash(document)}"
