"""`kestreltrack directory`: read and change the directory of endpoints in etcd."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar

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
from kestreltrack.discovery.etcd.admin import DirectoryEntry, EtcdDirectory, RegisteredSender
from kestreltrack.discovery.etcd.errors import DirectoryChangeError, EtcdError
from kestreltrack.discovery.etcd.source import EtcdEndpointSource
from kestreltrack.ports import EndpointListUpdate, make_clock
from kestreltrack.sender.etcd_factory import create_client, watch_parameters
from kestreltrack.telemetry import Telemetry

T = TypeVar("T")
app = typer.Typer(
    help="Read and change the directory of endpoints in etcd, which the operator's settings name.",
    no_args_is_help=True,
)
WAIT = Annotated[
    bool, typer.Option("--wait", help="Wait until every registered sender has applied the change.")
]
TIMEOUT = Annotated[float, typer.Option("--timeout", min=0.1, help="Maximum wait in seconds.")]
UID = Annotated[str, typer.Argument(help="The endpoint's uid.")]


class DirectoryListing(NamedTuple):
    """The entries of the directory at one revision, and the senders that watch it."""

    revision: int
    entries: list[DirectoryEntry]
    senders: list[RegisteredSender]


class AppliedChange(NamedTuple):
    """The revision of a change, and the senders that have not applied it, or None if they were not waited for."""

    revision: int
    behind: list[RegisteredSender] | None


class ImportResult(NamedTuple):
    """The number of changes that an import made, and the latest revision."""

    changes: int
    revision: int


def _run_on_directory(
    operator_file: Path | None,
    overrides: list[str] | None,
    operation: Callable[[EtcdDirectory, LoadedOperatorConfig], Awaitable[T]],
) -> T:
    """Carry out an operation on the directory and return its result.

    Raises:
        typer.Exit: With code 2 on invalid settings, with code 1 if etcd fails or rejects the change.
    """
    loaded = operator_config_or_exit(operator_file, overrides)
    etcd_settings = loaded.config.directory.etcd
    if not etcd_settings.members:
        raise usage_error("directory.etcd.members: expected at least one address")

    async def connect_and_run() -> T:
        client = create_client(loaded)
        try:
            return await operation(EtcdDirectory(client, etcd_settings.prefix), loaded)
        finally:
            client.close()

    try:
        return run_async(connect_and_run())
    except ConfigError as error:
        raise usage_error(str(error)) from None
    except (EtcdError, DirectoryChangeError) as error:
        raise command_failure(str(error)) from None


def _entry_cells(entry: DirectoryEntry) -> list[str]:
    row = entry.row
    if entry.fault:
        return [entry.uid, "", "", "", "malformed", "", str(entry.revision), entry.fault]
    return [
        entry.uid,
        row["endpoint"],
        str(row["pod_group"]),
        row["model"],
        row["state"],
        f"{row.get('capacity_hint', 1.0):g}",
        str(entry.revision),
        "",
    ]


@app.command("list")
def list_(
    operator_file: OPERATOR_FILE = None, overrides: KEY_OVERRIDES = None, as_json: JSON = False
) -> None:
    """List all endpoints, and the senders that watch the directory."""

    async def read(directory: EtcdDirectory, _: LoadedOperatorConfig) -> DirectoryListing:
        revision, entries = await directory.list_entries()
        return DirectoryListing(revision, entries, await directory.list_senders())

    listing = _run_on_directory(operator_file, overrides, read)
    if as_json:
        print_json(_listing_document(listing))
    else:
        _print_listing(listing)


def _listing_document(listing: DirectoryListing) -> dict[str, object]:
    endpoints = [
        entry.row | {"revision": entry.revision} if entry.row else {"uid": entry.uid, "fault": entry.fault}
        for entry in listing.entries
    ]
    senders = [
        {"name": sender.name, "revision": sender.revision, "version": sender.version}
        for sender in listing.senders
    ]
    return {"revision": listing.revision, "endpoints": endpoints, "senders": senders}


def _print_listing(listing: DirectoryListing) -> None:
    headers = ["uid", "endpoint", "destination", "kind", "state", "rate", "revision", "fault"]
    title = f"{len(listing.entries)} endpoints at revision {listing.revision}"
    print_table(headers, [_entry_cells(entry) for entry in listing.entries], title)
    sender_rows = [[sender.name, str(sender.revision), sender.version] for sender in listing.senders]
    print_table(["sender", "applied revision", "version"], sender_rows)


@app.command()
def watch(
    operator_file: OPERATOR_FILE = None, overrides: KEY_OVERRIDES = None, as_json: JSON = False
) -> None:
    """Print every update as a sender receives it, until Ctrl-C."""

    async def follow(directory: EtcdDirectory, loaded: LoadedOperatorConfig) -> None:
        etcd_settings = loaded.config.directory.etcd
        source = EtcdEndpointSource(
            directory.client,
            etcd_settings.prefix,
            watch_parameters(etcd_settings),
            make_clock(),
            Telemetry("watch"),
        )
        async for update in source.follow():
            if as_json:
                print_json(
                    {"revision": update.revision, "whole": update.complete, "endpoints": update.endpoints}
                )
            else:
                _print_update(update)

    _run_on_directory(operator_file, overrides, follow)


def _print_update(update: EndpointListUpdate) -> None:
    kind = "complete list" if update.complete else "changes"
    print(f"revision {update.revision}: {kind}, {len(update.endpoints)} endpoints", flush=True)
    for endpoint in update.endpoints:
        print(f"  {endpoint.uid} {endpoint.state.value} {endpoint.address} dest={endpoint.dest}", flush=True)


def _report_change(change: AppliedChange, as_json: bool, description: str) -> None:
    """Print a change.

    Raises:
        typer.Exit: With code 1 if a sender has not applied it.
    """
    behind = change.behind
    if as_json:
        names = None if behind is None else [sender.name for sender in behind]
        print_json({"revision": change.revision, "behind": names})
    else:
        note = "; all senders have applied it" if behind == [] else ""
        print(f"{description} at revision {change.revision}{note}")
    if behind:
        senders_behind = ", ".join(f"{sender.name} (at {sender.revision})" for sender in behind)
        raise command_failure(f"not yet applied by {senders_behind}")


def _apply_change(
    operator_file: Path | None,
    overrides: list[str] | None,
    as_json: bool,
    wait_timeout_s: float | None,
    description: str,
    change: Callable[[EtcdDirectory], Awaitable[int]],
) -> None:
    """Make a change, wait until all senders have applied it unless the timeout is None, and report it."""

    async def apply(directory: EtcdDirectory, _: LoadedOperatorConfig) -> AppliedChange:
        revision = await change(directory)
        if wait_timeout_s is None:
            return AppliedChange(revision, None)
        return AppliedChange(revision, await directory.wait_until_applied(revision, wait_timeout_s))

    _report_change(_run_on_directory(operator_file, overrides, apply), as_json, description)


@app.command()
def put(
    entry: Annotated[
        str,
        typer.Argument(
            help="One entry in the format of the platform's discovery, as JSON; - reads it from stdin."
        ),
    ],
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Write one endpoint."""
    try:
        row = orjson.loads(sys.stdin.buffer.read() if entry == "-" else entry)
    except ValueError as error:
        raise usage_error(f"ENTRY: not JSON: {error}") from None
    if not isinstance(row, dict) or not isinstance(row.get("uid"), str):
        raise usage_error("ENTRY: expected an object with a uid")
    _apply_change(
        operator_file, overrides, as_json, None, f"{row['uid']} put", lambda directory: directory.put(row)
    )


@app.command()
def drain(
    uid: UID,
    wait: WAIT = False,
    timeout: TIMEOUT = 10.0,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Drain an endpoint: no new attempts; those in flight finish.

    With --wait, exits with 1 if a sender has not applied the change in time.
    """
    _apply_change(
        operator_file,
        overrides,
        as_json,
        timeout if wait else None,
        f"{uid} is draining",
        lambda directory: directory.set_state(uid, "draining"),
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
    """Return a draining endpoint to service."""
    _apply_change(
        operator_file,
        overrides,
        as_json,
        timeout if wait else None,
        f"{uid} is up",
        lambda directory: directory.set_state(uid, "up"),
    )


@app.command()
def remove(
    uid: UID,
    wait: WAIT = False,
    timeout: TIMEOUT = 10.0,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Remove an endpoint from the directory."""
    _apply_change(
        operator_file,
        overrides,
        as_json,
        timeout if wait else None,
        f"{uid} is removed",
        lambda directory: directory.remove(uid),
    )


def _read_import_rows(file: Path) -> list[dict[str, Any]]:
    """Read the entries of a file in the platform's format.

    Raises:
        typer.Exit: With code 2 if it cannot be read or has another format.
    """
    try:
        document = orjson.loads(file.read_bytes())
    except (OSError, ValueError) as error:
        raise usage_error(f"{file}: {error}") from None
    rows = document.get("targets") if isinstance(document, dict) else document
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise usage_error(f"{file}: expected a list of entries, or an object with targets")
    return rows


async def _import_with_progress(
    directory: EtcdDirectory, rows: list[dict[str, Any]], prune: bool, hide_progress: bool
) -> ImportResult:
    result = ImportResult(0, 0)
    with Progress(console=Console(stderr=True), disable=hide_progress) as progress:
        task = progress.add_task("import", total=None)
        async for changes_made, total, revision in directory.import_entries(rows, prune):
            result = ImportResult(changes_made, revision)
            progress.update(task, completed=changes_made, total=total)
            await asyncio.sleep(0)
    return result


@app.command("import")
def import_(
    file: Annotated[
        Path,
        typer.Argument(
            help="JSON in the format of the platform's discovery: an object with targets, or a list."
        ),
    ],
    prune: Annotated[bool, typer.Option(help="Remove the endpoints that the file does not contain.")] = False,
    operator_file: OPERATOR_FILE = None,
    overrides: KEY_OVERRIDES = None,
    as_json: JSON = False,
) -> None:
    """Import an endpoint list into etcd: writes the entries that differ, up to 100 changes in a transaction."""
    rows = _read_import_rows(file)
    hide_progress = as_json or not sys.stderr.isatty()

    async def import_rows(directory: EtcdDirectory, _: LoadedOperatorConfig) -> ImportResult:
        return await _import_with_progress(directory, rows, prune, hide_progress)

    result = _run_on_directory(operator_file, overrides, import_rows)
    if as_json:
        print_json({"changes": result.changes, "revision": result.revision})
    else:
        print(f"{result.changes} changes made; revision {result.revision}")
