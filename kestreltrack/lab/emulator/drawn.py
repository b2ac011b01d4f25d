"""A whole deployment and a short day, drawn from one seed: fleet, partners, limits, classes, what is told, troubles.

Each figure comes from the span that the two sites known so far give it, or from a wider one.
"""

from __future__ import annotations

from typing import Any

import numpy as np

from kestreltrack.lab.emulator.scenario import Scenario, made_of
from kestreltrack.lab.emulator.streams import Streams

MOST_MESSAGES = 150.0  # a second at full load: a drawn day should take seconds
ENDPOINTS = {"one": (1.0, 1.0), "few": (1.0, 2.99), "many": (2.0, 6.99)}
TELLS = {"never": 0.0, "partly": [0.2, 0.8], "always": 1.0}


class Lots:
    """Draws from one stream."""

    def __init__(self, rng: np.random.Generator) -> None:
        """In order."""
        self.rng = rng

    def between(self, low: float, high: float) -> float:
        """A figure."""
        return round(float(self.rng.uniform(low, high)), 4)

    def ratio(self, low: float, high: float) -> float:
        """A figure whose logarithm is uniform."""
        return float(np.exp(self.rng.uniform(np.log(low), np.log(high))))

    def chance(self, part: float = 0.5) -> bool:
        """Yes or no."""
        return bool(self.rng.random() < part)

    def one(self, *choices: Any) -> Any:
        """One of them."""
        return choices[int(self.rng.integers(len(choices)))]


def draw(seed: int, length_s: float | None = None) -> Scenario:
    """The deployment of a seed; `length_s` in the place of the day's own 20 to 40 s.  Equal seeds give equal days."""
    streams = Streams(seed)
    lots = Lots(streams.rng("deployment"))
    zones = [f"z{n + 1}" for n in range(lots.one(1, 2, 3, 4))]
    partners = round(lots.ratio(3, 40))
    full = min(MOST_MESSAGES, partners * lots.between(3.0, 6.0))
    kinds = _kinds(Lots(streams.rng("kinds")))
    own_s = lots.between(20.0, 40.0)
    day_s = length_s or own_s
    table: dict[str, Any] = {
        "name": f"drawn-{seed}",
        "partners": partners,
        "day": {"length_s": day_s, "tail_s": 40.0},
        "fleet": {
            "senders": round(lots.ratio(2, 40)),
            "slots_room": lots.between(1.4, 2.4),
            "least_slots": lots.one(2, 3, 4),
            "hold_s": lots.between(4.0, 12.0),
            "least_hold": lots.one(10, 16),
            "try_limit": lots.one(4, 8, 12),
            "zones": zones,
            "zone_fees": [0.0, *(lots.between(0.0, 0.05) for _ in zones[1:])],
        },
        "net": {"handshake_rtts": lots.one([1, 2], [2, 3]), "keepalive_s": lots.one(5.0, 10.0)},
        "load": {
            "full": full,
            "level": lots.between(0.4, 1.3),
            "swing": lots.between(0.1, 0.33),
            "zipf": lots.between(0.7, 1.1),
            "shape": lots.one("steady", "bursty", "rising"),
            "clumps": lots.between(0.0, 0.25),
        },
        "clients": {"backoff": lots.one("fixed", "exp"), "honour": lots.between(0.4, 1.0)},
        "directory": {
            "pushed": lots.chance(),
            "notice_s": lots.one([1.2, 4.0], [2.3, 4.6]),
            "drains_every_s": lots.one(0.0, [4.0, 10.0]),
        },
        "knows": {
            "weights": lots.one("none", "rough", "exact"),
            "reports": lots.chance(),
            "probes": lots.chance(),
            "peers": lots.chance(),
        },
        "rules": {"fall_multiple": lots.between(2.0, 2.5), "fall_ms": lots.one(2000.0, 3000.0)},
        "worth": {
            "decay": lots.one("line", "line", "halves"),
            "worst_firm": 0.0,
            "worst_window": 0.3,
            "whole": 0.5,
        },
        "firm": _firms(lots),
        "class": _classes(Lots(streams.rng("classes")), [kind["name"] for kind in kinds]),
        "kind": kinds,
        "trouble": _troubles(Lots(streams.rng("troubles")), day_s),
    }
    return made_of(table, table["name"])


def _parts(lots: Lots, count: int) -> list[float]:
    parts = [lots.between(0.2, 1.0) for _ in range(count)]
    return [part / sum(parts) for part in parts]


def _firms(lots: Lots) -> list[dict[str, Any]]:
    """Tenants or none."""
    count = lots.one(0, 0, 2, 3)
    shares = _parts(lots, count) if count else []
    return [
        {"name": f"t{n}", "share": share, "usage": lots.between(0.6, 1.3)} for n, share in enumerate(shares)
    ]


def _classes(lots: Lots, kinds: list[str]) -> list[dict[str, Any]]:
    found = list[dict[str, Any]]()
    for n, share in enumerate(_parts(lots, lots.one(1, 1, 2, 3))):
        aim, deadline, effect = (
            lots.between(1500, 5000),
            lots.between(10_000, 30_000),
            lots.one("safe", "keyed", "keyed", "unsafe"),
        )
        keyed = {"key_window_ms": lots.one(15_000.0, 25_000.0), "scope": lots.one("all", "zone")}
        found.append(
            {
                "name": f"c{n}",
                "share": share,
                "work_ms": lots.between(80, 350),
                "cv": lots.between(0.5, 1.3),
                "aim_ms": aim,
                "deadline_ms": deadline,
                "worth": lots.one(1.0, 2.0),
                "late_worth": lots.between(0.2, 0.6),
                "effect": effect,
                **(keyed if effect == "keyed" else {}),
                "kinds": [kinds[0]] if n and lots.chance(0.3) else [],
            }
        )
    return found


def _kinds(lots: Lots) -> list[dict[str, Any]]:
    counts, cold = lots.one(1, 2, 2, 3), lots.between(0.12, 0.3)
    found = list[dict[str, Any]]()
    for n, share in enumerate(_parts(lots, counts)):
        found.append(
            {
                "name": f"k{n}",
                "share": share,
                "lean": lots.one(-0.3, 0.0, 1.0),
                "endpoints": ENDPOINTS[lots.one("one", "few", "few", "many")],
                "routes": lots.one("shared", "apart"),
                "batch": lots.one(1, 1, 5, 20),
                "item_cost": lots.between(0.05, 0.25),
                "speed": lots.between(0.8, 1.5),
                "spare": [1.2, 1.5],
                "queue_per_core": lots.one([1, 3], [2, 8]),
                "limit": lots.one("none", "window", "rate", "rate"),
                "headroom": [1.0, lots.between(1.4, 2.4)],
                "least_rate": [1.5, 4.0],
                "window_ms": lots.one(1000.0, 2000.0),
                "depth_s": lots.between(0.3, 1.0),
                "tells_wait": TELLS[lots.one("never", "partly", "always")],
                "refused_count": lots.one(0.0, 1.0),
                "conns": lots.one(0.0, 0.0, 3.0),
                "error_rate": lots.between(0.0, 0.01),
                "remembers_s": 25.0,
                "cold_s": [7.0, lots.between(8.0, 13.0)],
                "cold_from": [cold, cold + 0.08],
            }
        )
    return found


TROUBLES: tuple[dict[str, Any], ...] = (
    {"kind": "crash", "for_s": (1.6, 7.2), "part": (0.2, 0.46)},
    {"kind": "roll", "for_s": (9.5, 24.0), "part": (0.5, 0.93), "size": (0.07, 0.27), "away_s": (0.33, 1.3)},
    {"kind": "fails", "for_s": (6.0, 20.0), "part": (0.1, 0.26), "size": (0.32, 0.95)},
    {"kind": "shuts", "for_s": (6.0, 20.0), "part": (0.1, 0.26)},
    {"kind": "hangs", "for_s": (5.5, 20.0), "part": (0.12, 0.29)},
    {"kind": "slow", "for_s": (5.4, 19.0), "part": (0.15, 0.28), "size": (8.0, 23.0)},
    {"kind": "refuses", "for_s": (6.1, 15.0), "part": (0.15, 0.3)},
    {"kind": "vanishes", "for_s": (8.9, 18.0), "part": (0.13, 0.31)},
    {
        "kind": "pauses",
        "for_s": (12.0, 30.0),
        "part": (0.12, 0.39),
        "size": (200.0, 500.0),
        "every_s": (1.0, 3.0),
    },
    {"kind": "registry", "for_s": (5.0, 15.0)},
)


def _troubles(lots: Lots, day_s: float) -> list[dict[str, Any]]:
    """One to four, in the first two thirds of the day, each shorter than half of it."""
    found = list[dict[str, Any]]()
    for n in sorted(lots.rng.permutation(len(TROUBLES))[: lots.one(1, 2, 3, 4)].tolist()):
        row = {key: lots.between(*value) if key != "kind" else value for key, value in TROUBLES[n].items()}
        row["for_s"] = min(row["for_s"], 0.5 * day_s)
        row |= {
            "at_s": lots.between(0.1 * day_s, 0.6 * day_s),
            "by": lots.one("", "kind", "zone"),
            "whole": 0.8,
        }
        found.append(row)
    return found
