"""The application: `kestreltrack COMMAND`.

Without a command, `kestreltrack/__main__.py` runs the sender, as the platform starts it.
"""

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
from kestreltrack.config.operator import LoadedOperatorConfig, effective_values, load_operator_config
from kestreltrack.config.sender import ConfigError, SenderConfig, load_sender_config

# The environment variable of each attribute of `SenderConfig` that has one.
VARIABLE_OF_SETTING = {
    "name": "GW_NAME",
    "listen": "GW_LISTEN",
    "discovery": "GW_DISCOVERY",
    "state": "GW_STATE",
}

app = typer.Typer(
    name="kestreltrack",
    help="A sender that delivers outbound messages to other companies' systems.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
app.add_typer(directory_app, name="directory")
app.add_typer(fake_app, name="fake")
# The former name of `fake`.
app.add_typer(fake_app, name="standin", hidden=True)
app.add_typer(capture_app, name="capture")
app.add_typer(fleet_app, name="fleet")
app.add_typer(scenario_app, name="scenario")
# The former name of `scenario`.
app.add_typer(scenario_app, name="lab", hidden=True)
app.command("replay")(replay_command)
app.command("explain")(explain_command)
app.command("emulate")(emulate_command)
app.command("report")(capture_analysis.report_command)
capture_app.command("query")(capture_analysis.query_command)
capture_app.command("merge")(capture_analysis.merge_command)
capture_app.command("anonymise")(capture_analysis.anonymise_command)
capture_app.command("shrink")(capture_analysis.shrink_command)


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(VERSION)
        raise typer.Exit


@app.callback()
def about(
    version: Annotated[bool, typer.Option("--version", callback=_print_version, is_eager=True)] = False,
) -> None:
    """A sender that delivers outbound messages to other companies' systems."""


@app.command()
def run(operator_file: OPERATOR_FILE = None, overrides: KEY_OVERRIDES = None) -> None:
    """Run the sender until SIGTERM, configured by the GW_* variables and the operator's settings file."""
    import uvloop

    from kestreltrack.sender.daemon import serve

    environment, values = environment_and_overrides(operator_file, overrides)
    # By default SIGHUP ends the process; it is ignored until the sender installs its handler, which reloads the
    # settings.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(environment, values))
    except ConfigError as error:
        raise usage_error(str(error)) from None


def _sender_config_rows(config: SenderConfig, environment: dict[str, str]) -> list[tuple[str, Any, str]]:
    """Return the key, value and origin of each setting that the platform provides."""
    file = f"file {environment.get('GW_CONFIG', '')}"
    rows = list[tuple[str, Any, str]]()
    for key, variable in VARIABLE_OF_SETTING.items():
        origin = f"variable {variable}" if environment.get(variable) else file
        rows.append((key, str(getattr(config, key)), origin))
    rows.append(("limits.sockets", config.sockets, file))
    rows.append(("limits.memory_mb", config.memory_bytes / 1e6, file))
    rows.append(("limits.disk_mb", config.disk_bytes / 1e6, file))
    for name, value in asdict(config.settings).items():
        rows.append((f"settings.{name}", value, file))
    return rows


def _check_etcd_client(loaded: LoadedOperatorConfig) -> None:
    """Create and close an etcd client; creating it reads its TLS files.

    Raises:
        ConfigError: If a file cannot be used.
    """
    from kestreltrack.sender.etcd_factory import create_client

    create_client(loaded).close()


@app.command()
def check(
    operator_file: OPERATOR_FILE = None, overrides: KEY_OVERRIDES = None, as_json: JSON = False
) -> None:
    """Read the configuration and print the effective value and the origin of each setting.

    Without GW_CONFIG only the operator's settings are read.  Secrets are never printed.
    """
    environment, values = environment_and_overrides(operator_file, overrides)
    rows = list[tuple[str, Any, str]]()
    try:
        loaded = load_operator_config(environment, values)
        if environment.get("GW_CONFIG"):
            rows += _sender_config_rows(load_sender_config(environment), environment)
        if loaded.config.directory.source == "etcd":
            _check_etcd_client(loaded)
    except ConfigError as error:
        raise usage_error(str(error)) from None
    rows += effective_values(loaded)
    if as_json:
        print_json({key: {"value": value, "from": origin} for key, value, origin in rows})
    else:
        print_table(["key", "value", "from"], [[key, str(value), origin] for key, value, origin in rows])


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(min=3, max=600, help="Duration of the load, in seconds.")] = 30.0,
    rate: Annotated[float, typer.Option(min=1, max=400, help="Messages per second.")] = 60.0,
    as_json: JSON = False,
    log: Annotated[Path | None, typer.Option(help="Write the sender's log to this file.")] = None,
    capture: Annotated[
        Path | None, typer.Option(help="Write a capture to this folder, for `replay`.")
    ] = None,
) -> None:
    """Run a sender among fakes: etcd, failing destinations, draining endpoints, the loss of an etcd member.

    Exits with 1 if a message is lost or executed twice, or a drained endpoint is called.
    """
    from kestreltrack.testing.demo.display import run_demo

    raise typer.Exit(run_demo(seconds, rate, as_json, log, capture))


def main() -> int:
    """Run the command line and return the exit code."""
    try:
        return int(app(standalone_mode=False) or 0)
    except typer.Exit as exit_request:
        return int(exit_request.exit_code)
    except (typer.Abort, KeyboardInterrupt):
        return 130
    except Exception as error:
        # Usage errors of the command-line library have a method that prints them.
        show = getattr(error, "show", None)
        if show is None:
            raise
        show()
        return 2
