"""`kestreltrack emulate`: a scenario in simulated time, with its service and the rules."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import typer

from kestreltrack.cli.common import JSON, print_json, print_table, usage_error

if TYPE_CHECKING:
    from kestreltrack.testing.emulator.result import RunResult

SEED = Annotated[int, typer.Option(min=0, help="The day that is drawn.")]
SETS = Annotated[
    list[str] | None,
    typer.Option("--set", metavar="KEY=VALUE", help="A key of the scenario, as load.level=0.9."),
]


def parse_overrides(overrides: list[str] | None) -> dict[str, Any]:
    """Keys and values; a value is JSON, or else text."""
    found = dict[str, Any]()
    for text in overrides or []:
        key, equals, value = text.partition("=")
        if not equals:
            raise usage_error(f"--set {text}: expected KEY=VALUE")
        try:
            found[key.strip()] = msgspec.json.decode(value)
        except msgspec.DecodeError:
            found[key.strip()] = value
    return found


def print_result(result: RunResult, title: str, as_json: bool) -> None:
    """What came of a run, and the first rules that it broke."""
    if as_json:
        print_json(result.as_dict())
        return
    print_table(["what", "how much"], result.table_rows(), title)
    print_violations(result)


def print_violations(result: RunResult) -> None:
    """The first rules that were broken."""
    for breach in result.violations[:10]:
        print(f"rule broken at {breach.at / 1000.0:.3f} s: {breach.rule}: {breach.text}")


def _emulate_random_scenario(seed: int, length: float | None, capture: Path | None, as_json: bool) -> None:
    from kestreltrack.testing.emulator.random_scenario import draw_scenario
    from kestreltrack.testing.emulator.result import compare

    scenario = draw_scenario(seed, length)
    found = compare(scenario, seed, capture)
    if as_json:
        print_json({"deployment": msgspec.to_builtins(scenario), **found.as_dict()})
    else:
        fleet = scenario.fleet
        load = scenario.load
        rate = load.full * float(load.level)  # type: ignore[arg-type]
        about = f"{fleet.senders} senders, {scenario.partners} partners, {rate:.0f} messages/s"
        print_table(
            ["what", "module", "one try", "capacity alone"], found.table_rows(), f"{scenario.name}: {about}"
        )
        print_violations(found.policy)
    if found.policy.violations:
        raise typer.Exit(1)


def emulate_command(
    scenario: Annotated[str | None, typer.Argument(help="A name of the library, or a TOML file.")] = None,
    seed: SEED = 1,
    overrides: SETS = None,
    capture: Annotated[
        Path | None, typer.Option(help="Capture each sender in a folder of its own here.")
    ] = None,
    deployment: Annotated[
        str | None,
        typer.Option(
            help="drawn: a deployment and a short day from the seed, beside one try for each message."
        ),
    ] = None,
    length: Annotated[
        float | None, typer.Option(min=1.0, help="Seconds of a drawn day, in the place of its own 20 to 40.")
    ] = None,
    as_json: JSON = False,
) -> None:
    """Play a scenario in simulated time with the real sender's core, journal and decisions.

    Without a name, list the scenarios that come along.  Exits with 1 if a rule is broken.
    """
    from kestreltrack.testing.emulator.scenario import InvalidScenarioError, load_scenario, scenario_names

    if deployment is not None:
        if deployment != "drawn" or scenario or overrides:
            raise usage_error("--deployment: expected drawn, without a scenario and --set")
        _emulate_random_scenario(seed, length, capture, as_json)
        return
    try:
        if scenario is None:
            known = {name: load_scenario(name).about for name in scenario_names()}
            if as_json:
                print_json(known)
            else:
                print_table(["scenario", "what happens"], [[name, about] for name, about in known.items()])
            return
        loaded = load_scenario(scenario, parse_overrides(overrides))
    except InvalidScenarioError as bad:
        raise usage_error(str(bad)) from None
    from kestreltrack.testing.emulator.result import run_scenario

    result = run_scenario(loaded, seed, capture)
    print_result(result, f"{loaded.name}, seed {seed}", as_json)
    if result.violations:
        raise typer.Exit(1)
