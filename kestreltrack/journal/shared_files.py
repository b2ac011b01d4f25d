"""Small files in the state folder (`$GW_STATE`) that two processes of a sender share during an upgrade."""

from __future__ import annotations

import os
from pathlib import Path

# Inode, modification time in nanoseconds, and size: the time alone does not distinguish two writes within one tick of
# the file system's clock.
FileVersion = tuple[int, int, int]


def _file_version(path: Path) -> FileVersion:
    status = os.stat(path)
    return status.st_ino, status.st_mtime_ns, status.st_size


def write_atomically(path: Path, data: bytes) -> FileVersion:
    """Write a temporary file beside `path` and rename it, so that a reader never sees a partial file.

    Returns the version of the new file.  Raises `OSError`.
    """
    new_path = path.with_name(path.name + ".new")
    new_path.write_bytes(data)
    os.replace(new_path, path)
    return _file_version(path)


def read_if_changed(path: Path, known_versions: dict[Path, FileVersion]) -> bytes | None:
    """Return the content of `path` if its version differs from the one in `known_versions`, and update that.

    Returns `None` if the file has not changed or does not exist.  Raises `OSError`.
    """
    try:
        version = _file_version(path)
    except FileNotFoundError:
        return None
    if known_versions.get(path) == version:
        return None
    data = path.read_bytes()
    known_versions[path] = version
    return data
