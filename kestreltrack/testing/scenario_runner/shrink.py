"""Shrinks a failing scenario: removes targeted and random faults one at a time while it still fails."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kestreltrack.testing.emulator.scenario import Scenario


def shrink(
    scenario: Scenario, still_fails: Callable[[Scenario], bool], report: Callable[[str], None]
) -> Scenario:
    """Return the scenario with only the faults that it needs to fail; each call of `still_fails` is one run.

    The result is minimal in that no single fault can be removed from it.  Runs with real processes are not
    deterministic: with them, one run per removal decides.
    """
    removed_any = True
    while removed_any:
        removed_any = False
        for key in ("fault", "trouble"):
            for index in range(len(getattr(scenario, key)) - 1, -1, -1):
                rows = getattr(scenario, key)
                candidate = msgspec.structs.replace(scenario, **{key: rows[:index] + rows[index + 1 :]})
                if still_fails(candidate):
                    report(f"still fails without {key} {index + 1}: {_describe(rows[index])}")
                    scenario = candidate
                    removed_any = True
                else:
                    report(f"needs {key} {index + 1}: {_describe(rows[index])}")
    return scenario


def _describe(row: msgspec.Struct) -> str:
    fields = msgspec.to_builtins(row)
    return ", ".join(f"{key} {value}" for key, value in fields.items() if value not in ("", False, 0.0, []))


def fault_overrides(scenario: Scenario) -> list[str]:
    """Return the values of `--set` that give a scenario the remaining faults."""
    rows = {key: msgspec.json.encode(getattr(scenario, key)).decode() for key in ("fault", "trouble")}
    return [f"{key}={value}" for key, value in rows.items()]
