"""Whether the program still behaves as it did: the emulator's figures, beside those that are stored.

    python benchmarks/behaviour.py            compare; exit 1 and show the difference where there is one
    python benchmarks/behaviour.py --write    store the figures of the present program

Plays each scenario with each seed through the command line, as a user would, so that it outlives any renaming
inside of the program.  What is compared are the numbers alone, as a sorted list with all their digits: it does not
matter what a figure is called nor where it stands.  The time that a run took is no figure.  The stored file,
`behaviour.json`, holds the numbers themselves beside a digest of them, so that a difference can be shown.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
STORED = Path(__file__).with_suffix(".json")
SCENARIOS = ("calm", "hub", "busy", "registry", "crashes", "terminal")
SEEDS = (1, 2)
LEFT_OUT = "took_s"  # the one figure that depends on the machine
MOST_SHOWN = 20  # numbers of one run that differ
RUN_TIMEOUT_S = 600.0

Number = int | float


@dataclass(frozen=True, slots=True)
class Figures:
    """All numbers of one run, in an order that depends on nothing but themselves."""

    numbers: tuple[Number, ...]

    @classmethod
    def of(cls, tree: Any) -> Figures:
        """Those in a decoded JSON document."""
        return cls(tuple(sorted(numbers_in(tree), key=lambda number: (number, repr(number)))))

    def digest(self) -> str:
        """Equal for equal numbers to the last digit; `1` and `1.0` are told apart."""
        text = f"{len(self.numbers)}\n" + "\n".join(map(repr, self.numbers))
        return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()

    def stored(self) -> dict[str, Any]:
        """As the file keeps it."""
        return {"digest": self.digest(), "count": len(self.numbers), "numbers": self.numbers}


def numbers_in(tree: Any) -> Iterator[Number]:
    """Every number in a decoded JSON document, without the time that the run took."""
    if isinstance(tree, dict):
        for name, value in tree.items():
            if name != LEFT_OUT:
                yield from numbers_in(value)
    elif isinstance(tree, list):
        for value in tree:
            yield from numbers_in(value)
    elif isinstance(tree, int | float) and not isinstance(tree, bool):
        yield tree


def play(scenario: str, seed: int) -> Figures:
    """One run of the emulator; raises `RuntimeError` where it gave no figures."""
    command = [sys.executable, "-m", "kestreltrack", "emulate", scenario, "--seed", str(seed), "--json"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
    try:
        return Figures.of(json.loads(done.stdout))  # a broken rule ends it with 1, and is among the figures
    except json.JSONDecodeError:
        raise RuntimeError(f"{' '.join(command)}: exit code {done.returncode}\n{done.stderr}") from None


def play_all(parallel: int) -> dict[str, Figures]:
    """All runs by their names, so many at once."""
    runs = list(product(SCENARIOS, SEEDS))
    with ThreadPoolExecutor(parallel) as pool:
        found = pool.map(lambda run: play(*run), runs)
        return {f"{scenario}, seed {seed}": each for (scenario, seed), each in zip(runs, found, strict=True)}


def write(found: dict[str, Figures]) -> None:
    """Store the figures, a line for each run."""
    lines = [f"{json.dumps(name)}: {json.dumps(each.stored())}" for name, each in found.items()]
    STORED.write_text("{\n" + ",\n".join(lines) + "\n}\n")


def read() -> dict[str, Figures]:
    """The stored figures; raises `ValueError` where the file is not what was written."""
    found = dict[str, Figures]()
    for name, row in json.loads(STORED.read_text()).items():
        found[name] = Figures(tuple(row["numbers"]))
        if found[name].digest() != row["digest"]:
            raise ValueError(f"{STORED}: {name}: the numbers are not those of the digest")
    return found


def difference(stored: Figures, present: Figures) -> list[str]:
    """Lines that say which numbers went and which came; none where they are equal."""
    if stored.digest() == present.digest():
        return []
    before = Counter(map(repr, stored.numbers))
    after = Counter(map(repr, present.numbers))
    gone = before - after
    come = after - before
    lines = [f"  {len(stored.numbers)} numbers were stored, {len(present.numbers)} came"]
    for title, numbers in (("only stored", gone), ("only now", come)):
        shown = sorted(numbers.elements(), key=float)
        more = f" and {len(shown) - MOST_SHOWN} more" if len(shown) > MOST_SHOWN else ""
        lines.append(f"  {title} ({len(shown)}): {', '.join(shown[:MOST_SHOWN])}{more}")
    return lines


def compare(stored: dict[str, Figures], found: dict[str, Figures]) -> int:
    """Print how each run compares; the number of those that differ."""
    differing = 0
    for name in sorted(stored.keys() | found.keys()):
        if name not in stored or name not in found:
            lines = ["  it was not stored" if name in found else "  it was stored and is not played"]
        else:
            lines = difference(stored[name], found[name])
        differing += bool(lines)
        print("\n".join([f"{name}: {'DIFFERENT' if lines else 'equal'}", *lines]))
    return differing


def main() -> int:
    """Play all, then store or compare."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--write", action="store_true", help="store the figures of the present program")
    parser.add_argument("--parallel", type=int, default=6, help="runs at once (6)")
    given = parser.parse_args()
    began = time.monotonic()
    found = play_all(given.parallel)
    took = f"{len(found)} runs in {time.monotonic() - began:.0f} s"
    if given.write:
        write(found)
        print(f"{took}, stored in {STORED.name}")
        return 0
    differing = compare(read(), found)
    print(f"{took}: {f'{differing} DIFFERENT' if differing else 'all equal'}")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
