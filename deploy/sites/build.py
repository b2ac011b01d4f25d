"""Sites of other deployments for the bench: a given site with an overlay of this project's own values on it.

A sender must fit any deployment whose settings it is told, and one site alone would not show where it does not.
The given site is no part of this repository, so only overlays are kept; what is built from them is not.

An overlay is TOML in the site's own form and names only what differs:

- a value takes the place of the site's value of that key;
- a table goes into the site's table; over a list of named tables, each of its keys is the name of one of them;
- a list of tables takes the place of the whole list.

A key that the site does not have is refused, since a misspelt key would leave the site as it was and nobody would
see it.  In a list of tables the keys of all its entries are known, as not every entry has all of them.
"""

from __future__ import annotations

import argparse
import json
import re
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

Table = dict[str, Any]
BESIDE = ("real.json", "wire.json", "unlock.txt")  # what the bench looks for in the folder of a site


class OverlayError(Exception):
    """An overlay that does not fit the site; says which key."""


def overlaid(site: Table, overlay: Table, where: str = "") -> Table:
    """The site with the overlay's values."""
    done = dict(site)
    for key, value in overlay.items():
        place = f"{where}{key}"
        if key not in site:
            raise OverlayError(f"{place}: the site has no such key")
        done[key] = _over(site[key], value, place)
    return done


def _over(old: Any, new: Any, place: str) -> Any:
    if _is_tables(old):
        return _entries(old, new, place)
    if isinstance(old, dict) != isinstance(new, dict) or _is_tables(new):
        raise OverlayError(f"{place}: a table in one and a value in the other")
    return overlaid(old, new, f"{place}.") if isinstance(old, dict) else new


def _entries(old: list[Table], new: Any, place: str) -> list[Table]:
    """A list of tables, as a whole or by the names of its entries."""
    known: Table = {}
    for entry in old:
        known = entry | known
    if isinstance(new, dict):
        names = [entry.get("name") for entry in old]
        for name, change in new.items():
            if names.count(name) != 1:
                raise OverlayError(f"{place}.{name}: the site has no such entry, or more than one")
            if not isinstance(change, dict):
                raise OverlayError(f"{place}.{name}: a table in one and a value in the other")
        done = []
        for entry in old:
            change = new.get(entry.get("name"), {})
            merged = overlaid(known | entry, change, f"{place}.{entry.get('name')}.")
            done.append({key: merged[key] for key in (*entry, *change)})
        return done
    if not _is_tables(new):
        raise OverlayError(f"{place}: a list of tables in the site and a value in the overlay")
    for entry in new:
        overlaid(known, entry, f"{place}.")
    return [dict(entry) for entry in new]


def _is_tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(entry, dict) for entry in value)


def toml_text(table: Table, path: tuple[str, ...] = ()) -> str:
    """The table as TOML.  The standard library only reads it; sites hold numbers, words, truths and lists of them."""
    lines = [
        f"{_key(k)} = {_value(v)}\n"
        for k, v in table.items()
        if not isinstance(v, dict) and not _is_tables(v)
    ]
    for key, value in table.items():
        name = ".".join(map(_key, (*path, key)))
        if isinstance(value, dict):
            lines.append(f"\n[{name}]\n{toml_text(value, (*path, key))}")
        elif _is_tables(value):
            lines += [f"\n[[{name}]]\n{toml_text(entry, (*path, key))}" for entry in value]
    return "".join(lines)


def _key(key: str) -> str:
    return key if re.fullmatch(r"[A-Za-z0-9_-]+", key) else json.dumps(key)


def _value(value: Any) -> str:
    if isinstance(value, list):
        return f"[{', '.join(map(_value, value))}]"
    if isinstance(value, bool | str):
        return json.dumps(value)
    if isinstance(value, int | float):
        return repr(value)
    raise OverlayError(f"{value!r}: a site holds numbers, words, truths and lists of them")


def build(given: Path, overlays: Path, out: Path) -> list[Path]:
    """The sites of all overlays, with what the bench needs beside them."""
    site = tomllib.loads(given.read_text(encoding="utf-8"))
    built = []
    for file in sorted(overlays.glob("*.toml")):
        try:
            made = overlaid(site, tomllib.loads(file.read_text(encoding="utf-8")))
            text = toml_text(made)
        except (OverlayError, tomllib.TOMLDecodeError) as e:
            raise OverlayError(f"{file.name}: {e}") from e
        if tomllib.loads(text) != made:
            raise OverlayError(f"{file.name}: what was written reads otherwise")
        target = out / file.name
        target.write_text(
            f"# Built from {given.name} and overlays/{file.name}; not kept.\n{text}", encoding="utf-8"
        )
        built.append(target)
    for name in BESIDE:
        shutil.copyfile(given.parent / name, out / name)
    return built


def main() -> int:
    """Exit 2 and one line for an overlay that does not fit."""
    here = Path(__file__).parent
    parser = argparse.ArgumentParser(description="Build a site from each overlay.")
    parser.add_argument("given", type=Path, help="the given site")
    parser.add_argument("--overlays", type=Path, default=here / "overlays")
    parser.add_argument("--out", type=Path, default=here)
    args = parser.parse_args()
    try:
        for file in build(args.given, args.overlays, args.out):
            print(file)
    except (OverlayError, OSError) as e:
        print(e, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
