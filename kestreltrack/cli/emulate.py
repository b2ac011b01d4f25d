"""`kestreltrack emulate`: run a scenario in simulated time, and print its service score and violated rules."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import typer

from kestreltrack.cli.common import JSON, print_json, print_table, usage_error

if TYPE_CHECKING:
    from kestreltrack.testing.emulator.result import RunResult
    from kestreltrack.testing.emulator.scenario import Scenario

SEED = Annotated[int, typer.Option(min=0, help="Seed of the random numbers.")]
SCENARIO_OVERRIDES = Annotated[
    list[str] | None,
    typer.Option(
        "--set", metavar="KEY=VALUE", help="Override a key of the scenario, such as load.level=0.9."
    ),
]
# Only the first violations of a run are printed; `--json` writes all.
MAX_VIOLATIONS_SHOWN = 10


def parse_overrides(overrides: list[str] | None) -> dict[str, Any]:
    """Return the values of the `--set` options by key; a value that is not JSON is text.

    Raises:
        typer.Exit: With code 2 if an option is not KEY=VALUE.
    """
    values = dict[str, Any]()
    for text in overrides or []:
        key, equals, value = text.partition("=")
        if not equals:
            raise usage_error(f"--set {text}: expected KEY=VALUE")
        try:
            values[key.strip()] = msgspec.json.decode(value)
        except msgspec.DecodeError:
            values[key.strip()] = value
    return values


def print_result(result: RunResult, title: str, as_json: bool) -> None:
    """Print the result of a run, and its first rule violations."""
    if as_json:
        print_json(result.as_dict())
        return
    print_table(["name", "value"], result.table_rows(), title)
    print_violations(result)


def print_violations(result: RunResult) -> None:
    """Print the first rule violations of a run."""
    for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
        print(f"rule violated at {violation.at / 1000.0:.3f} s: {violation.rule}: {violation.text}")


def _emulate_random_scenario(
    seed: int, length_s: float | None, capture_folder: Path | None, as_json: bool
) -> None:
    """Draw a scenario from the seed, and compare the decision module with a baseline that tries only once.

    Raises:
        typer.Exit: With code 1 if the module violates a rule.
    """
    from kestreltrack.testing.emulator.random_scenario import draw_scenario
    from kestreltrack.testing.emulator.result import compare

    scenario = draw_scenario(seed, length_s)
    comparison = compare(scenario, seed, capture_folder)
    if as_json:
        print_json({"deployment": msgspec.to_builtins(scenario), **comparison.as_dict()})
    else:
        headers = ["name", "module", "one attempt", "capacity alone"]
        print_table(headers, comparison.table_rows(), f"{scenario.name}: {_load_summary(scenario)}")
        print_violations(comparison.policy)
    if comparison.policy.violations:
        raise typer.Exit(1)


def _load_summary(scenario: Scenario) -> str:
    # A drawn scenario has a single load level for the whole run, never a list of levels.
    rate = scenario.load.full * float(scenario.load.level)  # type: ignore[arg-type]
    return f"{scenario.fleet.senders} senders, {scenario.partners} destinations, {rate:.0f} messages/s"


def emulate_command(
    scenario: Annotated[
        str | None, typer.Argument(help="The name of a scenario of the library, or a TOML file.")
    ] = None,
    seed: SEED = 1,
    overrides: SCENARIO_OVERRIDES = None,
    capture: Annotated[
        Path | None, typer.Option(help="Capture each sender in a subfolder of this folder.")
    ] = None,
    deployment: Annotated[
        str | None,
        typer.Option(
            help="drawn: draw a deployment and a short scenario from the seed; compares with one attempt per message."
        ),
    ] = None,
    length: Annotated[
        float | None,
        typer.Option(min=1.0, help="Length of a drawn scenario in seconds; default: random, 20 to 40."),
    ] = None,
    as_json: JSON = False,
) -> None:
    """Run a scenario in simulated time with the sender's own delivery, journal and decision code.

    Without a name, list the scenarios of the library.  Exits with 1 if a rule is violated.
    """
    if deployment is not None:
        if deployment != "drawn" or scenario or overrides:
            raise usage_error("--deployment: expected drawn, without a scenario and --set")
        _emulate_random_scenario(seed, length, capture, as_json)
    elif scenario is None:
        _list_scenarios(as_json)
    else:
        _emulate_scenario(scenario, seed, overrides, capture, as_json)


def _list_scenarios(as_json: bool) -> None:
    from kestreltrack.testing.emulator.scenario import InvalidScenarioError, load_scenario, scenario_names

    try:
        descriptions = {name: load_scenario(name).about for name in scenario_names()}
    except InvalidScenarioError as error:
        raise usage_error(str(error)) from None
    if as_json:
        print_json(descriptions)
    else:
        print_table(["scenario", "description"], [[name, text] for name, text in descriptions.items()])


def _emulate_scenario(
    scenario: str, seed: int, overrides: list[str] | None, capture_folder: Path | None, as_json: bool
) -> None:
    from kestreltrack.testing.emulator.result import run_scenario
    from kestreltrack.testing.emulator.scenario import InvalidScenarioError, load_scenario

    try:
        loaded = load_scenario(scenario, parse_overrides(overrides))
    except InvalidScenarioError as error:
        raise usage_error(str(error)) from None
    result = run_scenario(loaded, seed, capture_folder)
    print_result(result, f"{loaded.name}, seed {seed}", as_json)
    if result.violations:
        raise typer.Exit(1)
