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
    FLAGS,
    JSON,
    OPERATOR_FILE,
    bad_use,
    failed,
    loaded,
    print_json,
    run_async,
    table,
)
from kestreltrack.config.node import ConfigError
from kestreltrack.config.operator import Loaded
from kestreltrack.machinelist.etcd.admin import Directory, Entry, Refused
from kestreltrack.machinelist.etcd.client import EtcdFailed
from kestreltrack.machinelist.etcd.source import EtcdListSource
from kestreltrack.ports import make_clock
from kestreltrack.sender.etcd import connect, terms
from kestreltrack.telemetry import Telemetry

T = TypeVar("T")
app = typer.Typer(
    help="Read and change the directory in etcd, by the operator's settings.", no_args_is_help=True
)
WAIT = Annotated[bool, typer.Option("--wait", help="Return once every registered sender has taken it in.")]
TIMEOUT = Annotated[float, typer.Option("--timeout", min=0.1, help="Seconds to wait at the most.")]
UID = Annotated[str, typer.Argument(help="The endpoint's uid.")]


def _run(
    operator_file: Path | None, sets: list[str] | None, work: Callable[[Directory, Loaded], Awaitable[T]]
) -> T:
    """Carry out `work` on the directory; its troubles end the command with one line."""
    settings = loaded(operator_file, sets)
    if not settings.operator.directory.etcd.members:
        raise bad_use("directory.etcd.members: expected at least one address")

    async def go() -> T:
        client = connect(settings)
        try:
            return await work(Directory(client, settings.operator.directory.etcd.prefix), settings)
        finally:
            client.close()

    try:
        return run_async(go())
    except ConfigError as bad:
        raise bad_use(str(bad)) from None
    except (EtcdFailed, Refused) as bad:
        raise failed(str(bad)) from None


def _row(entry: Entry) -> list[str]:
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
def list_(operator_file: OPERATOR_FILE = None, sets: FLAGS = None, as_json: JSON = False) -> None:
    """All endpoints, and the senders that follow."""

    async def work(directory: Directory, _: Loaded) -> tuple[int, list[Entry], list[Any]]:
        return (*await directory.entries(), await directory.senders())

    revision, entries, senders = _run(operator_file, sets, work)
    if as_json:
        rows = [
            e.row | {"revision": e.revision} if e.row else {"uid": e.uid, "fault": e.fault} for e in entries
        ]
        who = [{"name": s.name, "revision": s.revision, "version": s.version} for s in senders]
        print_json({"revision": revision, "endpoints": rows, "senders": who})
        return
    heads = ["uid", "endpoint", "dest", "kind", "state", "rate", "revision", "fault"]
    table(heads, [_row(e) for e in entries], f"{len(entries)} endpoints at revision {revision}")
    table(["sender", "has taken in", "version"], [[s.name, str(s.revision), s.version] for s in senders])


@app.command()
def watch(operator_file: OPERATOR_FILE = None, sets: FLAGS = None, as_json: JSON = False) -> None:
    """Print every change as a sender is told of it, until Ctrl-C."""

    async def work(directory: Directory, settings: Loaded) -> None:
        table_ = settings.operator.directory.etcd
        telemetry = Telemetry("watch")
        source = EtcdListSource(directory.client, table_.prefix, terms(table_), make_clock(), telemetry)
        async for update in source.follow():
            if as_json:
                print_json({"revision": update.rev, "whole": update.whole, "endpoints": update.machines})
                continue
            said = "all of it" if update.whole else "changes"
            print(f"revision {update.rev}: {said}, {len(update.machines)} endpoints", flush=True)
            for machine in update.machines:
                print(
                    f"  {machine.uid} {machine.state.value} {machine.address} dest={machine.dest}", flush=True
                )

    _run(operator_file, sets, work)


def _tell(revision: int, behind: list[Any] | None, as_json: bool, what: str) -> None:
    if as_json:
        print_json({"revision": revision, "behind": None if behind is None else [s.name for s in behind]})
    else:
        print(f"{what} at revision {revision}" + ("" if behind is None or behind else "; all senders know"))
    if behind:
        names = ", ".join(f"{s.name} (at {s.revision})" for s in behind)
        raise failed(f"not yet taken in by {names}")


def _change(
    operator_file: Path | None,
    sets: list[str] | None,
    as_json: bool,
    wait: float | None,
    what: str,
    change: Callable[[Directory], Awaitable[int]],
) -> None:
    async def work(directory: Directory, _: Loaded) -> tuple[int, list[Any] | None]:
        revision = await change(directory)
        return revision, None if wait is None else await directory.wait_until_seen(revision, wait)

    revision, behind = _run(operator_file, sets, work)
    _tell(revision, behind, as_json, what)


@app.command()
def put(
    entry: Annotated[
        str, typer.Argument(help="One entry of discovery's form as JSON; - reads standard input.")
    ],
    operator_file: OPERATOR_FILE = None,
    sets: FLAGS = None,
    as_json: JSON = False,
) -> None:
    """Write one endpoint."""
    try:
        row = orjson.loads(sys.stdin.buffer.read() if entry == "-" else entry)
    except ValueError as bad:
        raise bad_use(f"ENTRY: not JSON: {bad}") from None
    if not isinstance(row, dict) or not isinstance(row.get("uid"), str):
        raise bad_use("ENTRY: expected an object with a uid")
    _change(operator_file, sets, as_json, None, f"{row['uid']} put", lambda d: d.put(row))


@app.command()
def drain(
    uid: UID,
    wait: WAIT = False,
    timeout: TIMEOUT = 10.0,
    operator_file: OPERATOR_FILE = None,
    sets: FLAGS = None,
    as_json: JSON = False,
) -> None:
    """Want no new work for an endpoint; what is out finishes.  With --wait, exit 1 if a sender has not heard."""
    late = timeout if wait else None
    _change(operator_file, sets, as_json, late, f"{uid} drains", lambda d: d.set_state(uid, "draining"))


@app.command()
def undrain(
    uid: UID,
    wait: WAIT = False,
    timeout: TIMEOUT = 10.0,
    operator_file: OPERATOR_FILE = None,
    sets: FLAGS = None,
    as_json: JSON = False,
) -> None:
    """Take an endpoint back into service."""
    late = timeout if wait else None
    _change(operator_file, sets, as_json, late, f"{uid} is up", lambda d: d.set_state(uid, "up"))


@app.command()
def remove(
    uid: UID,
    wait: WAIT = False,
    timeout: TIMEOUT = 10.0,
    operator_file: OPERATOR_FILE = None,
    sets: FLAGS = None,
    as_json: JSON = False,
) -> None:
    """Take an endpoint off the list."""
    late = timeout if wait else None
    _change(operator_file, sets, as_json, late, f"{uid} is removed", lambda d: d.remove(uid))


@app.command("import")
def import_(
    file: Annotated[
        Path, typer.Argument(help="Discovery's JSON: an object with targets, or a list of them.")
    ],
    prune: Annotated[bool, typer.Option(help="Remove what the file leaves out.")] = False,
    operator_file: OPERATOR_FILE = None,
    sets: FLAGS = None,
    as_json: JSON = False,
) -> None:
    """Write discovery's list into etcd: what differs, a hundred changes a transaction."""
    try:
        read = orjson.loads(file.read_bytes())
    except (OSError, ValueError) as bad:
        raise bad_use(f"{file}: {bad}") from None
    rows = read.get("targets") if isinstance(read, dict) else read
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise bad_use(f"{file}: expected a list of entries, or an object with targets")

    async def work(directory: Directory, _: Loaded) -> tuple[int, int]:
        made, revision = 0, 0
        hidden = as_json or not sys.stderr.isatty()
        with Progress(console=Console(stderr=True), disable=hidden) as progress:
            task = progress.add_task("import", total=None)
            async for done, of, at in directory.take_over(rows, prune):
                made, revision = done, at
                progress.update(task, completed=done, total=of)
                await asyncio.sleep(0)
        return made, revision

    made, revision = _run(operator_file, sets, work)
    if as_json:
        print_json({"changes": made, "revision": revision})
    else:
        print(f"{made} changes made; revision {revision}")
