"""`kestreltrack lab`: scenarios on real processes, with faults between them."""

from __future__ import annotations

import shlex
import shutil
import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from kestreltrack.cli.common import JSON, bad_use
from kestreltrack.cli.emulate import SEED, SETS, given, show

SCENARIO = Annotated[str, typer.Argument(help="A name of the emulator's library, or a TOML file.")]
SENDERS = Annotated[int, typer.Option(min=1, max=64, help="How many senders.")]
app = typer.Typer(help="Real senders in a laboratory.", no_args_is_help=True)


@app.command("play")
def play_command(
    scenario: SCENARIO,
    senders: SENDERS = 3,
    seed: SEED = 1,
    sets: SETS = None,
    keep: Annotated[Path | None, typer.Option(help="Keep files, logs and captures here.")] = None,
    as_json: JSON = False,
) -> None:
    """Play a scenario with real senders on loopback, in real time, with partners and clients of the emulator.

    Prints what `emulate` prints.  A run that breaks a rule leaves its folder, with the command that plays it again,
    and exits with 1.
    """
    from kestreltrack.lab.emulator.result import play
    from kestreltrack.lab.emulator.scenario import BadScenario, load
    from kestreltrack.lab.play.day import on_processes

    folder = keep or Path(tempfile.mkdtemp(prefix="kestreltrack-lab-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        loaded = load(scenario, {"fleet.senders": senders} | given(sets))
        result = play(loaded, seed, run=on_processes(folder))
    except BadScenario as bad:
        raise bad_use(str(bad)) from None
    show(result, f"{loaded.name}, seed {seed}, {senders} processes", as_json)
    if result.breaches:
        (folder / "again").write_text(f"{_again(scenario, senders, seed, sets or [])}\n")
        (folder / "scenario.json").write_bytes(msgspec.json.encode(loaded))
        (folder / "breaches").write_text("".join(f"{b.at:.0f} {b.rule}: {b.text}\n" for b in result.breaches))
        typer.echo(f"kept in {folder}", err=True)
        raise typer.Exit(1)
    if keep is None:
        shutil.rmtree(folder, ignore_errors=True)


def _again(scenario: str, senders: int, seed: int, sets: list[str]) -> str:
    words = ["kestreltrack", "lab", "play", scenario, "--senders", str(senders), "--seed", str(seed)]
    return shlex.join([*words, *(word for text in sets for word in ("--set", text))])


@app.command("shrink")
def shrink_command(
    scenario: SCENARIO,
    senders: SENDERS = 3,
    seed: SEED = 1,
    sets: SETS = None,
    rule: Annotated[str, typer.Option(help="Only this rule counts; else any.")] = "",
    emulated: Annotated[
        bool, typer.Option("--emulate", help="In simulated time instead of on processes.")
    ] = False,
) -> None:
    """Leave out faults and troubles one by one while a rule is still broken; prints the command that is left.

    Exits with 1 if no rule is broken to begin with.
    """
    from kestreltrack.lab.emulator.result import play
    from kestreltrack.lab.emulator.scenario import BadScenario, Scenario, load
    from kestreltrack.lab.emulator.world import emulate
    from kestreltrack.lab.play.day import on_processes
    from kestreltrack.lab.play.shrink import sets as left
    from kestreltrack.lab.play.shrink import shrink

    def breaks(tried: Scenario) -> bool:
        with tempfile.TemporaryDirectory(prefix="kestreltrack-lab-") as folder:
            result = play(tried, seed, run=emulate if emulated else on_processes(Path(folder)))
        return any(not rule or breach.rule == rule for breach in result.breaches)

    try:
        loaded = load(scenario, {"fleet.senders": senders} | given(sets))
        if not breaks(loaded):
            typer.echo("no rule is broken", err=True)
            raise typer.Exit(1)
        least = shrink(loaded, breaks, lambda text: typer.echo(text, err=True))
    except BadScenario as bad:
        raise bad_use(str(bad)) from None
    kept = [text for text in sets or [] if not text.startswith(("fault=", "trouble="))]
    print(_again(scenario, senders, seed, [*kept, *left(least)]))
