"""Small files in `$GW_STATE` that both processes of an upgrade read: written whole, read again when changed."""

from __future__ import annotations

import os
from pathlib import Path

Stamp = tuple[
    int, int, int
]  # inode, time and size: two writes within one tick of the file system share the time


def _stamp(path: Path) -> Stamp:
    found = os.stat(path)
    return found.st_ino, found.st_mtime_ns, found.st_size


def write_whole(path: Path, data: bytes) -> Stamp:
    """Write beside `path`, then put it in place: a reader never sees half of it.  Returns its stamp; `OSError`."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_bytes(data)
    os.replace(fresh, path)
    return _stamp(path)


def read_changed(path: Path, stamps: dict[Path, Stamp]) -> bytes | None:
    """What `path` holds, where it changed since its stamp in `stamps`; `None` where not, or absent.  `OSError`."""
    try:
        stamp = _stamp(path)
    except FileNotFoundError:
        return None
    if stamps.get(path) == stamp:
        return None
    data = path.read_bytes()
    stamps[path] = stamp
    return data
