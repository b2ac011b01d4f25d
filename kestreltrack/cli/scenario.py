"""`kestreltrack scenario`: run scenarios with real sender processes, and shrink those that violate a rule."""

from __future__ import annotations

import asyncio
import shlex
import shutil
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer

from kestreltrack.cli.common import JSON, print_json, usage_error
from kestreltrack.cli.emulate import SCENARIO_OVERRIDES, SEED, parse_overrides, print_result

if TYPE_CHECKING:
    from kestreltrack.testing.emulator.result import RunResult
    from kestreltrack.testing.emulator.scenario import Scenario

SCENARIO = Annotated[
    str, typer.Argument(help="The name of a scenario of the emulator's library, or a TOML file.")
]
SENDERS = Annotated[int, typer.Option(min=1, max=64, help="Number of senders.")]
# Prefix of the names of temporary folders.
TEMPORARY_FOLDER_PREFIX = "kestreltrack-lab-"
app = typer.Typer(help="Run scenarios with real senders.", no_args_is_help=True)


# `play` is the former name of `run`.
@app.command("play", hidden=True)
@app.command("run")
def run_command(
    scenario: SCENARIO,
    senders: SENDERS = 3,
    seed: SEED = 1,
    overrides: SCENARIO_OVERRIDES = None,
    keep: Annotated[Path | None, typer.Option(help="Keep files, logs and captures in this folder.")] = None,
    as_json: JSON = False,
) -> None:
    """Run a scenario in real time, with real senders on loopback and the emulator's destinations and clients.

    Prints the same result as `emulate`.  A run that violates a rule exits with 1 and keeps its folder, which contains
    the command to rerun it.
    """
    from kestreltrack.testing.emulator.result import run_scenario
    from kestreltrack.testing.emulator.scenario import InvalidScenarioError
    from kestreltrack.testing.scenario_runner.process_run import process_runner

    folder = keep or Path(tempfile.mkdtemp(prefix=TEMPORARY_FOLDER_PREFIX))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        loaded = _load_with_senders(scenario, senders, overrides)
        result = run_scenario(loaded, seed, runner=process_runner(folder))
    except InvalidScenarioError as error:
        raise usage_error(str(error)) from None
    print_result(result, f"{loaded.name}, seed {seed}, {senders} processes", as_json)
    if result.violations:
        _write_failure(folder, loaded, result, _rerun_command(scenario, senders, seed, overrides or []))
        typer.echo(f"files kept in {folder}", err=True)
        raise typer.Exit(1)
    if keep is None:
        shutil.rmtree(folder, ignore_errors=True)


def _load_with_senders(scenario: str, senders: int, overrides: list[str] | None) -> Scenario:
    """Load a scenario with the given number of senders.

    Raises:
        InvalidScenarioError: If it does not exist, or an override does not fit.
    """
    from kestreltrack.testing.emulator.scenario import load_scenario

    return load_scenario(scenario, {"fleet.senders": senders} | parse_overrides(overrides))


def _write_failure(folder: Path, scenario: Scenario, result: RunResult, rerun_command: str) -> None:
    """Write the command, the scenario and the violations into the folder of a run."""
    (folder / "again").write_text(f"{rerun_command}\n")
    (folder / "scenario.json").write_bytes(msgspec.json.encode(scenario))
    lines = [f"{violation.at:.0f} {violation.rule}: {violation.text}\n" for violation in result.violations]
    (folder / "breaches").write_text("".join(lines))


def _rerun_command(scenario: str, senders: int, seed: int, overrides: list[str]) -> str:
    arguments = ["kestreltrack", "scenario", "run", scenario, "--senders", str(senders), "--seed", str(seed)]
    for override in overrides:
        arguments += ["--set", override]
    return shlex.join(arguments)


@app.command("shrink")
def shrink_command(
    scenario: SCENARIO,
    senders: SENDERS = 3,
    seed: SEED = 1,
    overrides: SCENARIO_OVERRIDES = None,
    rule: Annotated[str, typer.Option(help="Only violations of this rule count; default: any.")] = "",
    emulated: Annotated[
        bool, typer.Option("--emulate", help="Run in simulated time instead of with processes.")
    ] = False,
) -> None:
    """Remove faults from a scenario one by one while a rule is still violated; prints the command that reruns it.

    Exits with 1 if the complete scenario violates no rule.
    """
    from kestreltrack.testing.emulator.scenario import InvalidScenarioError
    from kestreltrack.testing.scenario_runner.shrink import fault_overrides, shrink

    def violates(candidate: Scenario) -> bool:
        return _violates_rule(candidate, seed, rule, emulated)

    try:
        loaded = _load_with_senders(scenario, senders, overrides)
        if not violates(loaded):
            typer.echo("no rule is violated", err=True)
            raise typer.Exit(1)
        smallest = shrink(loaded, violates, lambda text: typer.echo(text, err=True))
    except InvalidScenarioError as error:
        raise usage_error(str(error)) from None
    other_overrides = [text for text in overrides or [] if not text.startswith(("fault=", "trouble="))]
    print(_rerun_command(scenario, senders, seed, [*other_overrides, *fault_overrides(smallest)]))


def _violates_rule(scenario: Scenario, seed: int, rule: str, emulated: bool) -> bool:
    """Run a scenario and return whether it violates the rule, or any rule if the name is empty."""
    from kestreltrack.testing.emulator.result import run_scenario
    from kestreltrack.testing.emulator.simulation import emulate
    from kestreltrack.testing.scenario_runner.process_run import process_runner

    with tempfile.TemporaryDirectory(prefix=TEMPORARY_FOLDER_PREFIX) as folder:
        result = run_scenario(scenario, seed, runner=emulate if emulated else process_runner(Path(folder)))
    return any(not rule or violation.rule == rule for violation in result.violations)


@app.command("soak")
def soak_command(
    seed: Annotated[int | None, typer.Option(help="Run this seed.")] = None,
    seeds: Annotated[int, typer.Option(min=1, help="Without --seed: run the seeds from 1 to this one.")] = 50,
    seconds: Annotated[float, typer.Option(min=4.0, max=600.0, help="Duration of the load.")] = 20.0,
    senders: Annotated[
        int | None, typer.Option(min=1, max=5, help="Number of senders; default: random, 1 to 5.")
    ] = None,
    at_once: Annotated[int, typer.Option(min=1, max=16, help="Number of seeds run in parallel.")] = 3,
    without: Annotated[list[int] | None, typer.Option(help="Omit the fault with this number.")] = None,
    log: Annotated[
        Path | None, typer.Option(help="Keep the senders' logs and state files in this folder.")
    ] = None,
    plant: Annotated[
        str, typer.Option(help="Plant this fault in the senders, to see that it is found.")
    ] = "",
    as_json: JSON = False,
) -> None:
    """Inject random faults into real senders and check their network traffic; exits with 1 if a rule is violated."""
    from kestreltrack.testing.soak.plan import draw_plan
    from kestreltrack.testing.soak.planted_faults import PLANTED_FAULTS
    from kestreltrack.testing.soak.report import replay_command, run_seed, run_seeds

    if plant and plant not in PLANTED_FAULTS:
        raise usage_error(f"--plant {plant}: expected one of {', '.join(PLANTED_FAULTS)}")
    if seed is None:
        raise typer.Exit(asyncio.run(run_seeds(list(range(1, seeds + 1)), seconds, at_once, log, plant)))
    plan = replace(draw_plan(seed, seconds, senders, frozenset(without or [])), planted_fault=plant)
    with tempfile.TemporaryDirectory(prefix=TEMPORARY_FOLDER_PREFIX) as folder:
        result = run_seed(plan, log or Path(folder))
    if as_json:
        print_json(msgspec.to_builtins(result))
    else:
        typer.echo(f"{result.accepted} accepted, {result.delivered} delivered, {result.restarts} restarts")
        typer.echo(f"faults: {', '.join(result.faults)}")
        for violation in result.violations:
            typer.echo(f"{violation.rule}: {violation.detail}")
        if result.violations:
            typer.echo(replay_command(seed, seconds, senders, without or []))
    if result.violations:
        raise typer.Exit(1)
