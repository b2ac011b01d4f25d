"""Fewer faults that still break a rule: each fault and trouble is left out in turn, for as long as that goes on."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kestreltrack.testing.emulator.scenario import Scenario


def shrink(
    scenario: Scenario, still_fails: Callable[[Scenario], bool], report: Callable[[str], None]
) -> Scenario:
    """The scenario with what it takes to make `breaks` hold; each try is one play.

    What is left is least in the sense that none of it alone can be left out: where runs differ from one to the next,
    as on processes, as far as each try showed it.
    """
    went = True
    while went:
        went = False
        for key in ("fault", "trouble"):
            for number in range(len(getattr(scenario, key)) - 1, -1, -1):
                rows = getattr(scenario, key)
                less = msgspec.structs.replace(scenario, **{key: rows[:number] + rows[number + 1 :]})
                if still_fails(less):
                    report(f"breaks without {key} {number + 1}: {_describe(rows[number])}")
                    scenario = less
                    went = True
                else:
                    report(f"needs {key} {number + 1}: {_describe(rows[number])}")
    return scenario


def _describe(row: msgspec.Struct) -> str:
    told = msgspec.to_builtins(row)
    return ", ".join(f"{key} {value}" for key, value in told.items() if value not in ("", False, 0.0, []))


def set_options(scenario: Scenario) -> list[str]:
    """The values of `--set` that make a scenario's faults and troubles those that are left."""
    rows = {key: msgspec.json.encode(getattr(scenario, key)).decode() for key in ("fault", "trouble")}
    return [f"{key}={value}" for key, value in rows.items()]
