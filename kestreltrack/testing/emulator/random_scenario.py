"""Generates a random scenario from a seed: fleet, destinations, limits, message classes and faults.

The range of each parameter covers at least the values of the two known sites.
"""

from __future__ import annotations

from typing import Any

import numpy as np

from kestreltrack.testing.emulator.random_streams import RandomStreams
from kestreltrack.testing.emulator.scenario import Scenario, scenario_from_table

# Upper bound of the rate at full load, which keeps the simulation of a random scenario to seconds.
MAX_MESSAGES_PER_S = 150.0

ENDPOINT_COUNTS = {"one": (1.0, 1.0), "few": (1.0, 2.99), "many": (2.0, 6.99)}
RETRY_AFTER_PROBABILITY = {"never": 0.0, "partly": [0.2, 0.8], "always": 1.0}


class ParameterSampler:
    """Draws parameters from one stream; a different order of the draws gives a different scenario."""

    def __init__(self, rng: np.random.Generator) -> None:
        """Create a sampler at the current position of a generator."""
        self.rng = rng

    def uniform(self, low: float, high: float) -> float:
        """Return a uniform number from a range, rounded to four decimal places."""
        return round(float(self.rng.uniform(low, high)), 4)

    def log_uniform(self, low: float, high: float) -> float:
        """Return a number from a range with a uniform logarithm."""
        return float(np.exp(self.rng.uniform(np.log(low), np.log(high))))

    def bernoulli(self, probability: float = 0.5) -> bool:
        """Return True with a probability."""
        return bool(self.rng.random() < probability)

    def choice(self, *choices: Any) -> Any:
        """Return one of the choices."""
        return choices[int(self.rng.integers(len(choices)))]


def draw_scenario(seed: int, length_s: float | None = None) -> Scenario:
    """Return the scenario of a seed; equal seeds give equal scenarios.

    Messages arrive for `length_s`, by default for a random time of 20 to 40 s.
    """
    streams = RandomStreams(seed)
    sampler = ParameterSampler(streams.generator("deployment"))
    zones = [f"z{n + 1}" for n in range(sampler.choice(1, 2, 3, 4))]
    destination_count = round(sampler.log_uniform(3, 40))
    full_rate_per_s = min(MAX_MESSAGES_PER_S, destination_count * sampler.uniform(3.0, 6.0))
    kinds = _destination_kinds(ParameterSampler(streams.generator("kinds")))
    kind_names = [kind["name"] for kind in kinds]
    drawn_length_s = sampler.uniform(20.0, 40.0)
    arrival_duration_s = length_s or drawn_length_s
    # The values are drawn in the order of the keys.
    table: dict[str, Any] = {
        "name": f"drawn-{seed}",
        "partners": destination_count,
        "day": {"length_s": arrival_duration_s, "tail_s": 40.0},
        "fleet": _fleet(sampler, zones),
        "net": {"handshake_rtts": sampler.choice([1, 2], [2, 3]), "keepalive_s": sampler.choice(5.0, 10.0)},
        "load": _load(sampler, full_rate_per_s),
        "clients": {"backoff": sampler.choice("fixed", "exp"), "honour": sampler.uniform(0.4, 1.0)},
        "directory": _discovery(sampler),
        "knows": _sender_knowledge(sampler),
        "rules": {"fall_multiple": sampler.uniform(2.0, 2.5), "fall_ms": sampler.choice(2000.0, 3000.0)},
        "worth": _scoring(sampler),
        "firm": _tenants(sampler),
        "class": _message_classes(ParameterSampler(streams.generator("classes")), kind_names),
        "kind": kinds,
        "trouble": _faults(ParameterSampler(streams.generator("troubles")), arrival_duration_s),
    }
    return scenario_from_table(table, table["name"])


def _fleet(sampler: ParameterSampler, zones: list[str]) -> dict[str, Any]:
    return {
        "senders": round(sampler.log_uniform(2, 40)),
        "slots_room": sampler.uniform(1.4, 2.4),
        "least_slots": sampler.choice(2, 3, 4),
        "hold_s": sampler.uniform(4.0, 12.0),
        "least_hold": sampler.choice(10, 16),
        "try_limit": sampler.choice(4, 8, 12),
        "zones": zones,
        "zone_fees": [0.0, *(sampler.uniform(0.0, 0.05) for _ in zones[1:])],
    }


def _load(sampler: ParameterSampler, full_rate_per_s: float) -> dict[str, Any]:
    return {
        "full": full_rate_per_s,
        "level": sampler.uniform(0.4, 1.3),
        "swing": sampler.uniform(0.1, 0.33),
        "zipf": sampler.uniform(0.7, 1.1),
        "shape": sampler.choice("steady", "bursty", "rising"),
        "clumps": sampler.uniform(0.0, 0.25),
    }


def _discovery(sampler: ParameterSampler) -> dict[str, Any]:
    return {
        "pushed": sampler.bernoulli(),
        "notice_s": sampler.choice([1.2, 4.0], [2.3, 4.6]),
        "drains_every_s": sampler.choice(0.0, [4.0, 10.0]),
    }


def _sender_knowledge(sampler: ParameterSampler) -> dict[str, Any]:
    return {
        "weights": sampler.choice("none", "rough", "exact"),
        "reports": sampler.bernoulli(),
        "probes": sampler.bernoulli(),
        "peers": sampler.bernoulli(),
    }


def _scoring(sampler: ParameterSampler) -> dict[str, Any]:
    return {
        "decay": sampler.choice("line", "line", "halves"),
        "worst_firm": 0.0,
        "worst_window": 0.3,
        "whole": 0.5,
    }


def _random_shares(sampler: ParameterSampler, count: int) -> list[float]:
    weights = [sampler.uniform(0.2, 1.0) for _ in range(count)]
    return [weight / sum(weights) for weight in weights]


def _tenants(sampler: ParameterSampler) -> list[dict[str, Any]]:
    """Return two or three tenants, or none."""
    count = sampler.choice(0, 0, 2, 3)
    shares = _random_shares(sampler, count) if count else []
    return [
        {"name": f"t{n}", "share": share, "usage": sampler.uniform(0.6, 1.3)}
        for n, share in enumerate(shares)
    ]


def _message_classes(sampler: ParameterSampler, kinds: list[str]) -> list[dict[str, Any]]:
    tables = list[dict[str, Any]]()
    for n, share in enumerate(_random_shares(sampler, sampler.choice(1, 1, 2, 3))):
        latency_objective_ms = sampler.uniform(1500, 5000)
        deadline_ms = sampler.uniform(10_000, 30_000)
        effect = sampler.choice("safe", "keyed", "keyed", "unsafe")
        deduplication = {
            "key_window_ms": sampler.choice(15_000.0, 25_000.0),
            "scope": sampler.choice("all", "zone"),
        }
        tables.append(
            {
                "name": f"c{n}",
                "share": share,
                "work_ms": sampler.uniform(80, 350),
                "cv": sampler.uniform(0.5, 1.3),
                "aim_ms": latency_objective_ms,
                "deadline_ms": deadline_ms,
                "worth": sampler.choice(1.0, 2.0),
                "late_worth": sampler.uniform(0.2, 0.6),
                "effect": effect,
                **(deduplication if effect == "keyed" else {}),
                "kinds": [kinds[0]] if n and sampler.bernoulli(0.3) else [],
            }
        )
    return tables


def _destination_kinds(sampler: ParameterSampler) -> list[dict[str, Any]]:
    count = sampler.choice(1, 2, 2, 3)
    min_cold_share = sampler.uniform(0.12, 0.3)
    tables = list[dict[str, Any]]()
    for n, share in enumerate(_random_shares(sampler, count)):
        tables.append(
            {
                "name": f"k{n}",
                "share": share,
                "lean": sampler.choice(-0.3, 0.0, 1.0),
                "endpoints": ENDPOINT_COUNTS[sampler.choice("one", "few", "few", "many")],
                "routes": sampler.choice("shared", "apart"),
                "batch": sampler.choice(1, 1, 5, 20),
                "item_cost": sampler.uniform(0.05, 0.25),
                "speed": sampler.uniform(0.8, 1.5),
                "spare": [1.2, 1.5],
                "queue_per_core": sampler.choice([1, 3], [2, 8]),
                "limit": sampler.choice("none", "window", "rate", "rate"),
                "headroom": [1.0, sampler.uniform(1.4, 2.4)],
                "least_rate": [1.5, 4.0],
                "window_ms": sampler.choice(1000.0, 2000.0),
                "depth_s": sampler.uniform(0.3, 1.0),
                "tells_wait": RETRY_AFTER_PROBABILITY[sampler.choice("never", "partly", "always")],
                "refused_count": sampler.choice(0.0, 1.0),
                "conns": sampler.choice(0.0, 0.0, 3.0),
                "error_rate": sampler.uniform(0.0, 0.01),
                "remembers_s": 25.0,
                "cold_s": [7.0, sampler.uniform(8.0, 13.0)],
                "cold_from": [min_cold_share, min_cold_share + 0.08],
            }
        )
    return tables


# Ranges of the parameters of each kind of fault.
FAULT_RANGES: tuple[dict[str, Any], ...] = (
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


def _faults(sampler: ParameterSampler, arrival_duration_s: float) -> list[dict[str, Any]]:
    """Return one to four faults.

    Each begins after 10 to 60 % of the time in which messages arrive, and lasts at most half of that time.
    """
    tables = list[dict[str, Any]]()
    permutation = sampler.rng.permutation(len(FAULT_RANGES))
    count = sampler.choice(1, 2, 3, 4)
    for n in sorted(permutation[:count].tolist()):
        row = {
            key: value if key == "kind" else sampler.uniform(*value) for key, value in FAULT_RANGES[n].items()
        }
        row["for_s"] = min(row["for_s"], 0.5 * arrival_duration_s)
        row |= {
            "at_s": sampler.uniform(0.1 * arrival_duration_s, 0.6 * arrival_duration_s),
            "by": sampler.choice("", "kind", "zone"),
            "whole": 0.8,
        }
        tables.append(row)
    return tables
