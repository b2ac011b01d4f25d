"""Small files in `$GW_STATE` that both processes of an upgrade read: written whole, read again when changed."""

from __future__ import annotations

import os
from pathlib import Path


def write_whole(path: Path, data: bytes) -> int:
    """Write beside `path`, then put it in place: a reader never sees half of it.  Returns its stamp; `OSError`."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_bytes(data)
    os.replace(fresh, path)
    return os.stat(path).st_mtime_ns


def read_changed(path: Path, stamps: dict[Path, int]) -> bytes | None:
    """What `path` holds, where it changed since its stamp in `stamps`; `None` where not, or absent.  `OSError`."""
    try:
        stamp = os.stat(path).st_mtime_ns
    except FileNotFoundError:
        return None
    if stamps.get(path) == stamp:
        return None
    stamps[path] = stamp
    return path.read_bytes()
