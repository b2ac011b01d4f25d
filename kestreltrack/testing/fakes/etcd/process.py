"""The fake as a process: prints one JSON line when it is ready, and takes commands on standard input.

    {"member": 1, "fault": "cut"}    {"member": 0, "fault": "lag"}    {"fault": "compact"}    {"fault": "stop"}

Faults: `cut`, `hang`, `refuse`, `lag`, `no_leader`, `compact`, `repeat`, `cut_in_batch`, `expire_tokens`, `slow_ms`
and `late_ms` (the last two with a `value`), and `heal`, which removes all faults of a member.  Each line is answered
by one JSON line.  The process ends at the end of its input or at a signal, so that it never outlives its parent.
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

# Of one command: far above any of them.
MAX_LINE_BYTES = 64 * 1024


class FaultCommand(msgspec.Struct, forbid_unknown_fields=True):
    """One command: a fault (or `stop`), the number of the member, and the fault's value."""

    fault: str
    member: int = 0
    value: float = 1


def server_tls(cert: str, key: str, client_ca: str = "") -> ssl.SSLContext:
    """Return the TLS context of members; with `client_ca` clients need a certificate that it signed.

    Raises:
        OSError: Where a file cannot be used.
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
    """Run a cluster until the input ends, a command says `stop`, or SIGTERM or SIGINT comes.

    Args:
        listen: The host and port of the first member.
        members: How many members.
        users: Passwords by name.
        tls: The TLS context of the members; None: no TLS.
        report: Prints a document.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
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
    """Carry out the commands on standard input; sets `stop` at its end or at the command `stop`."""
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
