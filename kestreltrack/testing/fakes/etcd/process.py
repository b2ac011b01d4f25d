"""A fake etcd cluster as a process: prints a JSON line when it is ready and reads commands from standard input.

    {"member": 1, "fault": "cut"}    {"member": 0, "fault": "lag"}    {"fault": "compact"}    {"fault": "stop"}

Faults: `cut`, `hang`, `refuse`, `lag`, `no_leader`, `compact`, `repeat`, `cut_in_batch`, `expire_tokens`, `slow_ms`
and `late_ms` (the last two with a `value`), and `heal`, which removes all faults of a member.  Each command is
answered by one JSON line.  The process exits at the end of its input or on a signal, so that it never
outlives its parent.
"""

from __future__ import annotations

import asyncio
import signal
import ssl
import sys
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgspec

from kestreltrack.http1 import split_address
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster

# The maximum length of a command line, far above that of any valid command.
MAX_LINE_BYTES = 64 * 1024


class FaultCommand(msgspec.Struct, forbid_unknown_fields=True):
    """A command: a fault or `stop`, the number of the member and the value of the fault."""

    fault: str
    member: int = 0
    value: float = 1


def server_tls(cert: str, key: str, client_ca: str = "") -> ssl.SSLContext:
    """Return the TLS context of the members; with `client_ca`, clients need a certificate that this CA signed.

    Raises:
        OSError: If a file cannot be read or used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(cert, key)
    context.set_alpn_protocols(["h2"])
    if client_ca:
        context.load_verify_locations(client_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


async def serve(
    listen: str,
    members: int,
    users: dict[str, str],
    tls: ssl.SSLContext | None,
    report: Callable[[dict[str, Any]], None],
) -> None:
    """Run a cluster until the input ends, or until a `stop` command, SIGTERM or SIGINT.

    Args:
        listen: The host and port of the first member.
        members: The number of members.
        users: Passwords by name.
        tls: The TLS context of the members; None for no TLS.
        report: Called with each document to print.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    cluster = FakeEtcdCluster(members, users)
    host, port = split_address(listen)
    addresses = await cluster.start(host, port, tls)
    report({"ready": True, "members": addresses})
    command_task = asyncio.create_task(_read_commands(cluster, stop, report))
    await stop.wait()
    command_task.cancel()
    with suppress(asyncio.CancelledError):
        await command_task
    await cluster.stop()


async def _read_commands(
    cluster: FakeEtcdCluster, stop: asyncio.Event, report: Callable[[dict[str, Any]], None]
) -> None:
    """Execute the commands on standard input; set `stop` at its end or at the command `stop`."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    try:
        while line := await reader.readline():
            try:
                command = msgspec.json.decode(line, type=FaultCommand)
                if command.fault == "stop":
                    break
                await cluster.apply_fault(command.member, command.fault, command.value)
                report({"done": command.fault, "revision": cluster.store.revision})
            except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as error:
                report({"error": str(error)})
    finally:
        stop.set()
