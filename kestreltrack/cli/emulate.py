"""`kestreltrack emulate`: a scenario in simulated time, with its service and the rules."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import typer

from kestreltrack.cli.common import JSON, bad_use, print_json, table

if TYPE_CHECKING:
    from kestreltrack.lab.emulator.result import Result

SEED = Annotated[int, typer.Option(min=0, help="The day that is drawn.")]
SETS = Annotated[
    list[str] | None,
    typer.Option("--set", metavar="KEY=VALUE", help="A key of the scenario, as load.level=0.9."),
]


def given(sets: list[str] | None) -> dict[str, Any]:
    """Keys and values; a value is JSON, or else text."""
    found = dict[str, Any]()
    for text in sets or []:
        key, equals, value = text.partition("=")
        if not equals:
            raise bad_use(f"--set {text}: expected KEY=VALUE")
        try:
            found[key.strip()] = msgspec.json.decode(value)
        except msgspec.DecodeError:
            found[key.strip()] = value
    return found


def show(result: Result, title: str, as_json: bool) -> None:
    """What came of a run, and the first rules that it broke."""
    if as_json:
        print_json(result.plain())
        return
    table(["what", "how much"], result.rows(), title)
    show_breaches(result)


def show_breaches(result: Result) -> None:
    """The first rules that were broken."""
    for breach in result.breaches[:10]:
        print(f"rule broken at {breach.at / 1000.0:.3f} s: {breach.rule}: {breach.text}")


def _drawn(seed: int, length: float | None, capture: Path | None, as_json: bool) -> None:
    from kestreltrack.lab.emulator.drawn import draw
    from kestreltrack.lab.emulator.result import compare

    scenario = draw(seed, length)
    found = compare(scenario, seed, capture)
    if as_json:
        print_json({"deployment": msgspec.to_builtins(scenario), **found.plain()})
    else:
        fleet, load = scenario.fleet, scenario.load
        rate = load.full * float(load.level)  # type: ignore[arg-type]
        about = f"{fleet.senders} senders, {scenario.partners} partners, {rate:.0f} messages/s"
        table(["what", "module", "one try", "capacity alone"], found.rows(), f"{scenario.name}: {about}")
        show_breaches(found.module)
    if found.module.breaches:
        raise typer.Exit(1)


def emulate_command(
    scenario: Annotated[str | None, typer.Argument(help="A name of the library, or a TOML file.")] = None,
    seed: SEED = 1,
    sets: SETS = None,
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
    from kestreltrack.lab.emulator.scenario import BadScenario, load, names

    if deployment is not None:
        if deployment != "drawn" or scenario or sets:
            raise bad_use("--deployment: expected drawn, without a scenario and --set")
        _drawn(seed, length, capture, as_json)
        return
    try:
        if scenario is None:
            known = {name: load(name).about for name in names()}
            if as_json:
                print_json(known)
            else:
                table(["scenario", "what happens"], [[name, about] for name, about in known.items()])
            return
        loaded = load(scenario, given(sets))
    except BadScenario as bad:
        raise bad_use(str(bad)) from None
    from kestreltrack.lab.emulator.result import play

    result = play(loaded, seed, capture)
    show(result, f"{loaded.name}, seed {seed}", as_json)
    if result.breaches:
        raise typer.Exit(1)
