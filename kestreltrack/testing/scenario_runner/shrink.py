"""Shrinks a failing scenario: removes targeted and random faults one at a time while it still fails."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kestreltrack.testing.emulator.scenario import Scenario


def shrink(
    scenario: Scenario, still_fails: Callable[[Scenario], bool], report: Callable[[str], None]
) -> Scenario:
    """Return the scenario with only those faults that `still_fails` needs; each call of it is one run.

    The result is minimal in that no single fault can be removed from it.  Runs with real processes are not
    deterministic, so there this holds only as far as a single run per removal shows.
    """
    removed_any = True
    while removed_any:
        removed_any = False
        for key in ("fault", "trouble"):
            for number in range(len(getattr(scenario, key)) - 1, -1, -1):
                rows = getattr(scenario, key)
                candidate = msgspec.structs.replace(scenario, **{key: rows[:number] + rows[number + 1 :]})
                if still_fails(candidate):
                    report(f"still fails without {key} {number + 1}: {_describe(rows[number])}")
                    scenario = candidate
                    removed_any = True
                else:
                    report(f"needs {key} {number + 1}: {_describe(rows[number])}")
    return scenario


def _describe(row: msgspec.Struct) -> str:
    fields = msgspec.to_builtins(row)
    return ", ".join(f"{key} {value}" for key, value in fields.items() if value not in ("", False, 0.0, []))


def set_options(scenario: Scenario) -> list[str]:
    """Return the values of `--set` that give a scenario the remaining faults."""
    rows = {key: msgspec.json.encode(getattr(scenario, key)).decode() for key in ("fault", "trouble")}
    return [f"{key}={value}" for key, value in rows.items()]
