"""`kestreltrack directory`: what operators do to the directory in etcd."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import orjson
import typer
from rich.console import Console
from rich.progress import Progress

from kestreltrack.cli.common import (
    JSON,
    KEY_OVERRIDES,
    OPERATOR_FILE,
    command_failure,
    operator_config_or_exit,
    print_json,
    print_table,
    run_async,
    usage_error,
)
from kestreltrack.config.operator import LoadedOperatorConfig
from kestreltrack.config.sender import ConfigError
from kestreltrack.discovery.etcd.admin import DirectoryEntry, EtcdDirectory
from kestreltrack.discovery.etcd.errors import DirectoryChangeError, EtcdError
from kestreltrack.discovery.etcd.source import EtcdEndpointSource
from kestreltrack.ports import make_clock
from kestreltrack.sender.etcd_factory import create_client, watch_parameters
from kestreltrack.telemetry import Telemetry

T = TypeVar("T")
app = typer.Typer(
    help="Read and change the directory in etcd, by the operator's settings.", no_args_is_help=True
)
WAIT = Annotated[bool, typer.Option("--wait", help="Return once every registered sender has taken it in.")]
TIMEOUT = Annotated[float, typer.Option("--timeout", min=0.1, help="Seconds to wait at the most.")]
UID = Annotated[str, typer.Argument(help="The endpoint's uid.")]


def _run_on_directory(
    operator_file: Path | None,
    overrides: list[str] | None,
    work: Callable[[EtcdDirectory, LoadedOperatorConfig], Awaitable[T]],
) -> T:
    """Carry out `work` on the directory; its troubles end the command with one line."""
    settings = operator_config_or_exit(operator_file, overrides)
    if not settings.config.directory.etcd.members:
        raise usage_error("directory.etcd.members: expected at least one address")

    async def go() -> T:
        client = create_client(settings)
        try:
            return await work(EtcdDirectory(client, settings.config.directory.etcd.prefix), settings)
        finally:
            client.close()

    try:
        return run_async(go())
    except ConfigError as bad:
        raise usage_error(str(bad)) from None
    except (EtcdError, DirectoryChangeError) as bad:
        raise command_failure(str(bad)) from None


def _row(entry: DirectoryEntry) -> list[str]:
    r = entry.row
    if entry.fault:
        return [entry.uid, "", "", "", "unreadable", "", str(entry.revision), entry.fault]
    rate = f"{r.get('capacity_hint', 1.0):g}"
    return [
        entry.uid,
        r["endpoint"],
        str(r["pod_group"]),
        r["model"],
        r["state"],
        rate,
        str(entry.revision),
        "",
    ]


@app.command("list")
def list_(
    operator_file: OPERATOR_FILE = None, overrides: KEY_OVERRIDES = None, as_json: JSON = False
) -> None:
    """All endpoints, and the senders that follow."""

    async def work(
        directory: EtcdDirectory, _: LoadedOperatorConfig
    ) -> tuple[int, list[DirectoryEntry], list[Any]]:
        return (*await directory.list_entries(), await directory.list_senders())

    revision, entries, senders = _run_on_directory(operator_file, overrides, work)
    if as_json:
        rows = [
            e.row | {"revision": e.revision} if e.row else {"uid": e.uid, "fault": e.fault} for e in entries
        ]
        who = [{"name": s.name, "revision": s.revision, "version": s.version} for s in senders]
        print_json({"revision": revision, "endpoints": rows, "senders": who})
        return
    heads = ["uid", "endpoint", "dest", "kind", "state", "rate", "revision", "fault"]
    print_table(heads, [_row(e) for e in entries], f"{len(entries)} endpoints at revision {revision}")
    print_table(
        ["sender", "has taken in", "version"], [[s.name, str(s.revision), s.version] for s in senders]
    )


@app.command()
def watch(
    operator_file: OPERATOR_FILE = None, overrides: KEY_OVERRIDES = None, as_json: JSON = False
) -> None:
    """Print every change as a sender is told of it, until Ctrl-C."""

    async def work(directory: EtcdDirectory, settings: LoadedOperatorConfig) -> None:
        table_ = settings.config.directory.etcd
        telemetry = Telemetry("watch")
        source = EtcdEndpointSource(
            directory.client, table_.prefix, watch_parameters(table_), make_clock(), telemetry
        )
        async for update in source.follow():
            if as_json:
                print_json(
                    {"revision": update.revision, "whole": update.complete, "endpoints": update.endpoints}
                )
                continue
            said = "all of it" if update.complete else "changes"
            print(f"revision {update.revision}: {said}, {len(update.endpoints)} endpoints", flush=True)
            for machine in update.endpoints:
                print(
                    f"  {machine.uid} {machine.state.value} {machine.address} dest={machine.dest}", flush=True
                )

    _run_on_directory(operator_file, overrides, work)


def _report_change(revision: int, behind: list[Any] | None, as_json: bool, description: str) -> None:
    if as_json:
        print_json({"revision": revision, "behind": None if behind is None else [s.name for s in behind]})
    else:
        print(
            f"{description} at revision {revision}"
            + ("" if behind is None or behind else "; all senders know")
        )
    if behind:
        names = ", ".join(f"{s.name} (at {s.revision})" for s in behind)
        raise command_failure(f"not yet taken in by {names}")


def _apply_change(
    operator_file: Path | None,
    overrides: list[str] | None,
    as_json: bool,
    wait: float | None,
    description: str,
    change: Callable[[EtcdDirectory], Awaitable[int]],
) -> None:
    async def work(directory: EtcdDirectory, _: LoadedOperatorConfig) -> tuple[int, list[Any] | None]:
        revision = await change(directory)
        return revision, None if wait is None else await directory.wait_until_applied(revision, wait)

    revision, behind = _run_on_directory(operator_file, overrides, work)
    _report_change(revision, behind, as_json, description)


@app.command()
def put(
    entry: Annotated[
        str, typer.Argument(help="One entry of discovery's form as JSON; - reads standard input.")
    ],
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Write one endpoint."""
    try:
        row = orjson.loads(sys.stdin.buffer.read() if entry == "-" else entry)
    except ValueError as bad:
        raise usage_error(f"ENTRY: not JSON: {bad}") from None
    if not isinstance(row, dict) or not isinstance(row.get("uid"), str):
        raise usage_error("ENTRY: expected an object with a uid")
    _apply_change(operator_file, overrides, as_json, None, f"{row['uid']} put", lambda d: d.put(row))


@app.command()
def drain(
    uid: UID,
    wait: WAIT = False,
    timeout: TIMEOUT = 10.0,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Want no new work for an endpoint; what is out finishes.  With --wait, exit 1 if a sender has not heard."""
    late = timeout if wait else None
    _apply_change(
        operator_file, overrides, as_json, late, f"{uid} drains", lambda d: d.set_state(uid, "draining")
    )


@app.command()
def undrain(
    uid: UID,
    wait: WAIT = False,
    timeout: TIMEOUT = 10.0,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Take an endpoint back into service."""
    late = timeout if wait else None
    _apply_change(operator_file, overrides, as_json, late, f"{uid} is up", lambda d: d.set_state(uid, "up"))


@app.command()
def remove(
    uid: UID,
    wait: WAIT = False,
    timeout: TIMEOUT = 10.0,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Take an endpoint off the list."""
    late = timeout if wait else None
    _apply_change(operator_file, overrides, as_json, late, f"{uid} is removed", lambda d: d.remove(uid))


@app.command("import")
def import_(
    file: Annotated[
        Path, typer.Argument(help="Discovery's JSON: an object with targets, or a list of them.")
    ],
    prune: Annotated[bool, typer.Option(help="Remove what the file leaves out.")] = False,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Write discovery's list into etcd: what differs, a hundred changes a transaction."""
    try:
        read = orjson.loads(file.read_bytes())
    except (OSError, ValueError) as bad:
        raise usage_error(f"{file}: {bad}") from None
    rows = read.get("targets") if isinstance(read, dict) else read
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise usage_error(f"{file}: expected a list of entries, or an object with targets")

    async def work(directory: EtcdDirectory, _: LoadedOperatorConfig) -> tuple[int, int]:
        made = 0
        revision = 0
        hidden = as_json or not sys.stderr.isatty()
        with Progress(console=Console(stderr=True), disable=hidden) as progress:
            task = progress.add_task("import", total=None)
            async for done, of, at in directory.import_entries(rows, prune):
                made = done
                revision = at
                progress.update(task, completed=done, total=of)
                await asyncio.sleep(0)
        return made, revision

    made, revision = _run_on_directory(operator_file, overrides, work)
    if as_json:
        print_json({"changes": made, "revision": revision})
    else:
        print(f"{made} changes made; revision {revision}")
