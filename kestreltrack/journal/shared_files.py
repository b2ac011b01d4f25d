"""Small files in `$GW_STATE` that both processes of an upgrade read: written whole, read again when changed."""

from __future__ import annotations

import os
from pathlib import Path

FileVersion = tuple[
    int, int, int
]  # inode, time and size: two writes within one tick of the file system share the time


def _file_version(path: Path) -> FileVersion:
    found = os.stat(path)
    return found.st_ino, found.st_mtime_ns, found.st_size


def write_atomically(path: Path, data: bytes) -> FileVersion:
    """Write beside `path`, then put it in place: a reader never sees half of it.  Returns its stamp; `OSError`."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_bytes(data)
    os.replace(fresh, path)
    return _file_version(path)


def read_if_changed(path: Path, known_versions: dict[Path, FileVersion]) -> bytes | None:
    """What `path` holds, where it changed since its stamp in `stamps`; `None` where not, or absent.  `OSError`."""
    try:
        stamp = _file_version(path)
    except FileNotFoundError:
        return None
    if known_versions.get(path) == stamp:
        return None
    data = path.read_bytes()
    known_versions[path] = stamp
    return data
