"""Peak memory of one sender under pressing clients and costly responses, and what an ordinary client gets meanwhile.

    python benchmarks/memory_pressure.py [--memory 48 96 192] [--sockets 256 1024] [--clients 100 300 600]
                                         [--kinds "short parts" "tiny chunks"] [--seconds 5] [--seeds 1] [--rate 20]

One line for each run: the kind, the limits, the peak of the resident set, the share of a core, the answers to the
ordinary client and their times.  Exits with 1 if a peak is over its limit, a request got no answer or a sender ended.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Iterator
from itertools import product
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.testing.pressure.clients import PressureKind
from kestreltrack.testing.pressure.endpoints import ResponseKind
from kestreltrack.testing.pressure.measurement import Pressure, PressureResult, measure

COSTLY_RATE_PER_S = 100.0


def runs(options: argparse.Namespace) -> Iterator[Pressure]:
    cases = product(range(1, options.seeds + 1), options.memory, options.sockets)
    for seed, memory_mb, sockets in cases:
        limits = {"memory_mb": memory_mb, "sockets": sockets, "seed": seed, "seconds": options.seconds}
        for kind in options.kinds:
            if kind in set(ResponseKind):
                yield Pressure(**limits, responses=ResponseKind(kind), rate=COSTLY_RATE_PER_S)
                continue
            for count in options.clients:
                press = PressureKind(kind)
                yield Pressure(**limits, clients=press, client_count=count, rate=options.rate)


def is_bad(pressure: Pressure, result: PressureResult) -> bool:
    over = result.peak_mb > pressure.memory_mb or result.peak_descriptors > pressure.sockets
    return over or bool(result.unanswered) or result.exit_code is not None


def line(pressure: Pressure, result: PressureResult) -> str:
    kind = f"{pressure.client_count} x {pressure.clients}" if pressure.clients else str(pressure.responses)
    return (
        f"{kind:<26} {pressure.memory_mb:5.0f} MB {pressure.sockets:5} fds seed {pressure.seed}: "
        f"start {result.start_mb:5.1f} peak {result.peak_mb:6.1f} MB, {result.peak_descriptors:4} fds, "
        f"core {result.core_share:4.2f}, {result.answers}, median {result.median_answer_ms:.0f} "
        f"slowest {result.slowest_answer_ms:.0f} ms" + ("  <-- over" if is_bad(pressure, result) else "")
    )


def main() -> int:
    kinds = [*map(str, PressureKind), *map(str, ResponseKind)]
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--memory", nargs="+", type=float, default=[48.0, 96.0, 192.0])
    parser.add_argument("--sockets", nargs="+", type=int, default=[256, 1024])
    parser.add_argument("--clients", nargs="+", type=int, default=[100, 600])
    parser.add_argument("--kinds", nargs="+", choices=kinds, default=kinds)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--rate", type=float, default=20.0)
    bad = 0
    for pressure in runs(parser.parse_args()):
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(measure(pressure, Path(folder)))
        print(line(pressure, result), flush=True)
        bad += is_bad(pressure, result)
    print(f"{bad} runs over a limit")
    return int(bad > 0)


if __name__ == "__main__":
    sys.exit(main())
