"""The command line: `kestreltrack SUBCOMMAND`; with none it is `run`, told all by variables, as the platform does."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer

from kestreltrack import VERSION
from kestreltrack.cli import capture_analysis
from kestreltrack.cli.capture import app as capture_app
from kestreltrack.cli.common import (
    JSON,
    KEY_OVERRIDES,
    OPERATOR_FILE,
    environment_and_overrides,
    print_json,
    print_table,
    usage_error,
)
from kestreltrack.cli.directory import app as directory_app
from kestreltrack.cli.emulate import emulate_command
from kestreltrack.cli.explain import explain_command
from kestreltrack.cli.fake import app as fake_app
from kestreltrack.cli.fleet import app as fleet_app
from kestreltrack.cli.replay import replay_command
from kestreltrack.cli.scenario import app as scenario_app
from kestreltrack.config.operator import effective_values
from kestreltrack.config.sender import ConfigError, SenderConfig, load_sender_config

app = typer.Typer(
    name="kestreltrack",
    help="A sender that delivers outbound messages to other firms' systems.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
app.add_typer(directory_app, name="directory")
app.add_typer(fake_app, name="fake")
app.add_typer(fake_app, name="standin", hidden=True)  # its former name
app.add_typer(capture_app, name="capture")
app.add_typer(fleet_app, name="fleet")
app.add_typer(scenario_app, name="scenario")
app.add_typer(scenario_app, name="lab", hidden=True)  # its former name
app.command("replay")(replay_command)
app.command("explain")(explain_command)
app.command("emulate")(emulate_command)
app.command("report")(capture_analysis.report_command)
capture_app.command("query")(capture_analysis.query_command)
capture_app.command("merge")(capture_analysis.merge_command)
capture_app.command("anonymise")(capture_analysis.anonymise_command)
capture_app.command("shrink")(capture_analysis.shrink_command)


def _version(requested: bool) -> None:
    if requested:
        typer.echo(VERSION)
        raise typer.Exit


@app.callback()
def about(
    version: Annotated[bool, typer.Option("--version", callback=_version, is_eager=True)] = False,
) -> None:
    """A sender that delivers outbound messages to other firms' systems."""


@app.command()
def run(operator_file: OPERATOR_FILE = None, overrides: KEY_OVERRIDES = None) -> None:
    """Serve until SIGTERM, told what it needs by the GW_* variables and the operator's file."""
    import uvloop

    from kestreltrack.sender.daemon import serve

    env, flags = environment_and_overrides(operator_file, overrides)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it can be served; the file is yet to be read
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(env, flags))
    except ConfigError as bad:
        raise usage_error(str(bad)) from None


def _sender_config_rows(config: SenderConfig, env: dict[str, str]) -> list[tuple[str, Any, str]]:
    """What the platform told, with where each value came from."""
    variables = {"name": "GW_NAME", "listen": "GW_LISTEN", "discovery": "GW_DISCOVERY", "state": "GW_STATE"}
    file = f"file {env.get('GW_CONFIG', '')}"
    rows: list[tuple[str, Any, str]] = [
        (key, str(getattr(config, key)), f"variable {name}" if env.get(name) else file)
        for key, name in variables.items()
    ]
    rows += [
        ("limits.sockets", config.sockets, file),
        ("limits.memory_mb", config.memory_bytes / 1e6, file),
        ("limits.disk_mb", config.disk_bytes / 1e6, file),
    ]
    for name, value in asdict(config.settings).items():
        rows.append((f"settings.{name}", value, file))
    return rows


@app.command()
def check(
    operator_file: OPERATOR_FILE = None, overrides: KEY_OVERRIDES = None, as_json: JSON = False
) -> None:
    """Read all configuration and print what is in force, and where each value came from.

    Without GW_CONFIG only the operator's settings are read.  Secrets are never printed.
    """
    env, flags = environment_and_overrides(operator_file, overrides)
    from kestreltrack.config.operator import load_operator_config

    try:
        loaded = load_operator_config(env, flags)
        rows = _sender_config_rows(load_sender_config(env), env) if env.get("GW_CONFIG") else []
        if loaded.config.directory.source == "etcd":
            from kestreltrack.sender.etcd_factory import create_client

            create_client(loaded).close()  # files of TLS can be used
    except ConfigError as bad:
        raise usage_error(str(bad)) from None
    rows += effective_values(loaded)
    if as_json:
        print_json({key: {"value": value, "from": origin} for key, value, origin in rows})
    else:
        print_table(["key", "value", "from"], [[key, str(value), origin] for key, value, origin in rows])


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(min=3, max=600, help="How long the load lasts.")] = 30.0,
    rate: Annotated[float, typer.Option(min=1, max=400, help="Messages a second.")] = 60.0,
    as_json: JSON = False,
    log: Annotated[Path | None, typer.Option(help="Keep the sender's log here.")] = None,
    capture: Annotated[Path | None, typer.Option(help="Keep a capture in this folder, for `replay`.")] = None,
) -> None:
    """Show the whole sender at work among fakes: etcd, failing destinations, a drain, a lost member.

    Exits with 1 if a message is lost or doubled, or a drain is broken.
    """
    from kestreltrack.testing.demo.display import run_demo

    raise typer.Exit(run_demo(seconds, rate, as_json, log, capture))


def main() -> int:
    """Run the command line; returns the exit code."""
    try:
        return int(app(standalone_mode=False) or 0)
    except typer.Exit as end:
        return int(end.exit_code)
    except typer.Abort:
        return 130
    except KeyboardInterrupt:
        return 130
    except Exception as bad:
        show_error = getattr(bad, "show", None)  # a fault of use, in the library's own words
        if show_error is None:
            raise
        show_error()
        return 2
