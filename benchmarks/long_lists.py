"""What a sender makes of long endpoint lists at each limit on memory: peak memory, messages delivered, changes told.

    python benchmarks/long_lists.py [--memory 32 48 96 192] [--sockets 256 1024] [--endpoints 20 100 400 2000 3200]
                                    [--rates 0 400000] [--at-once 4]

One line for each run; a rate of 0 is none.  Exits with 1 if a peak is over its limit, a message went to a server of
another destination, or an accepted one to none.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.testing.pressure.long_lists import LongListCase, LongListResult, play


def is_bad(case: LongListCase, result: LongListResult) -> bool:
    accepted = result.answers.get("ok", 0)
    over = result.peak_mb > case.memory_mb
    return over or bool(result.misdirected) or result.delivered < accepted or result.exit_code is not None


def line(case: LongListCase, result: LongListResult) -> str:
    rate = f"{case.bytes_per_s / 1000:.0f} KB/s" if math.isfinite(case.bytes_per_s) else "at once"
    return (
        f"{case.memory_mb:5.0f} MB {case.sockets:5} fds {case.endpoints:6} endpoints, {rate:>8}: "
        f"peak {result.peak_mb:5.1f} MB, {result.answers}, delivered {result.delivered}, "
        f"told after {result.told_s:.1f} s, "
        f"misdirected {len(result.misdirected)}, refused {result.counters.get('discovery.list_refused', 0)}, "
        f"partial {result.counters.get('discovery.list_partial', 0)}"
        + ("  <-- bad" if is_bad(case, result) else "")
    )


def run(case: LongListCase) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(play(case, Path(folder)))
    print(line(case, result), flush=True)
    return is_bad(case, result)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--memory", nargs="+", type=float, default=[32.0, 48.0, 96.0, 192.0])
    parser.add_argument("--sockets", nargs="+", type=int, default=[256, 1024])
    parser.add_argument("--endpoints", nargs="+", type=int, default=[20, 100, 400, 2000, 3200])
    parser.add_argument("--rates", nargs="+", type=float, default=[0.0])
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--known", action="store_true")
    options = parser.parse_args()
    cases = [
        LongListCase(
            memory_mb, endpoints, sockets=sockets, bytes_per_s=rate or math.inf, is_known=options.known
        )
        for memory_mb, sockets, endpoints, rate in product(
            options.memory, options.sockets, options.endpoints, options.rates
        )
    ]
    with ThreadPoolExecutor(options.at_once) as executor:
        return int(any(list(executor.map(run, cases))))


if __name__ == "__main__":
    sys.exit(main())
