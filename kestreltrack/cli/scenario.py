"""`kestreltrack scenario`: scenarios on real processes, with faults between them."""

from __future__ import annotations

import shlex
import shutil
import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from kestreltrack.cli.common import JSON, usage_error
from kestreltrack.cli.emulate import SEED, SETS, parse_overrides, print_result

SCENARIO = Annotated[str, typer.Argument(help="A name of the emulator's library, or a TOML file.")]
SENDERS = Annotated[int, typer.Option(min=1, max=64, help="How many senders.")]
app = typer.Typer(help="Run scenarios with real senders.", no_args_is_help=True)


@app.command("play", hidden=True)  # its former name
@app.command("run")
def run_command(
    scenario: SCENARIO,
    senders: SENDERS = 3,
    seed: SEED = 1,
    overrides: SETS = None,
    keep: Annotated[Path | None, typer.Option(help="Keep files, logs and captures here.")] = None,
    as_json: JSON = False,
) -> None:
    """Run a scenario with real senders on loopback, in real time, with destinations and clients of the emulator.

    Prints what `emulate` prints.  A run that breaks a rule leaves its folder, with the command that plays it again,
    and exits with 1.
    """
    from kestreltrack.testing.emulator.result import run_scenario
    from kestreltrack.testing.emulator.scenario import InvalidScenarioError, load_scenario
    from kestreltrack.testing.scenario_runner.process_run import process_runner

    folder = keep or Path(tempfile.mkdtemp(prefix="kestreltrack-lab-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        loaded = load_scenario(scenario, {"fleet.senders": senders} | parse_overrides(overrides))
        result = run_scenario(loaded, seed, runner=process_runner(folder))
    except InvalidScenarioError as bad:
        raise usage_error(str(bad)) from None
    print_result(result, f"{loaded.name}, seed {seed}, {senders} processes", as_json)
    if result.violations:
        (folder / "again").write_text(f"{_rerun_command(scenario, senders, seed, overrides or [])}\n")
        (folder / "scenario.json").write_bytes(msgspec.json.encode(loaded))
        (folder / "breaches").write_text(
            "".join(f"{b.at:.0f} {b.rule}: {b.text}\n" for b in result.violations)
        )
        typer.echo(f"kept in {folder}", err=True)
        raise typer.Exit(1)
    if keep is None:
        shutil.rmtree(folder, ignore_errors=True)


def _rerun_command(scenario: str, senders: int, seed: int, overrides: list[str]) -> str:
    words = ["kestreltrack", "scenario", "run", scenario, "--senders", str(senders), "--seed", str(seed)]
    return shlex.join([*words, *(word for text in overrides for word in ("--set", text))])


@app.command("shrink")
def shrink_command(
    scenario: SCENARIO,
    senders: SENDERS = 3,
    seed: SEED = 1,
    overrides: SETS = None,
    rule: Annotated[str, typer.Option(help="Only this rule counts; else any.")] = "",
    emulated: Annotated[
        bool, typer.Option("--emulate", help="In simulated time instead of on processes.")
    ] = False,
) -> None:
    """Leave out faults and troubles one by one while a rule is still broken; prints the command that is left.

    Exits with 1 if no rule is broken to begin with.
    """
    from kestreltrack.testing.emulator.result import run_scenario
    from kestreltrack.testing.emulator.scenario import InvalidScenarioError, Scenario, load_scenario
    from kestreltrack.testing.emulator.simulation import emulate
    from kestreltrack.testing.scenario_runner.process_run import process_runner
    from kestreltrack.testing.scenario_runner.shrink import set_options as left
    from kestreltrack.testing.scenario_runner.shrink import shrink

    def breaks(tried: Scenario) -> bool:
        with tempfile.TemporaryDirectory(prefix="kestreltrack-lab-") as folder:
            result = run_scenario(tried, seed, runner=emulate if emulated else process_runner(Path(folder)))
        return any(not rule or breach.rule == rule for breach in result.violations)

    try:
        loaded = load_scenario(scenario, {"fleet.senders": senders} | parse_overrides(overrides))
        if not breaks(loaded):
            typer.echo("no rule is broken", err=True)
            raise typer.Exit(1)
        least = shrink(loaded, breaks, lambda text: typer.echo(text, err=True))
    except InvalidScenarioError as bad:
        raise usage_error(str(bad)) from None
    kept = [text for text in overrides or [] if not text.startswith(("fault=", "trouble="))]
    print(_rerun_command(scenario, senders, seed, [*kept, *left(least)]))
