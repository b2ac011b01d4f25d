"""The stand-in as a process: one JSON line when it is ready, faults by lines on standard input.

    {"member": 1, "fault": "cut"}    {"member": 0, "fault": "lag"}    {"fault": "compact"}    {"fault": "stop"}

Faults: `cut`, `hang`, `refuse`, `lag`, `no_leader`, `compact`, `repeat`, `cut_in_batch`,
`expire_tokens`, `slow_ms`, `late_ms` (the
last two with a `value`), and `heal`, which ends all of a member's.  Each line is answered by one JSON line.  The
process ends at the end of its input or at a signal, so that it never outlives who started it.
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


class FaultCommand(msgspec.Struct, forbid_unknown_fields=True):
    """One line of the script."""

    fault: str
    member: int = 0
    value: float = 1


def server_tls(cert: str, key: str, client_ca: str = "") -> ssl.SSLContext:
    """What members show, and who signs clients where they have to show something too."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.load_cert_chain(cert, key)
    made.set_alpn_protocols(["h2"])
    if client_ca:
        made.load_verify_locations(client_ca)
        made.verify_mode = ssl.CERT_REQUIRED
    return made


async def serve(
    listen: str,
    members: int,
    users: dict[str, str],
    tls: ssl.SSLContext | None,
    report: Callable[[dict[str, Any]], None],
) -> None:
    """Run until the input ends, a line says `stop`, or SIGTERM or SIGINT comes."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    cluster = FakeEtcdCluster(members, users)
    host, port = split_address(listen)
    addresses = await cluster.start(host, port, tls)
    report({"ready": True, "members": addresses})
    script = asyncio.create_task(_read_commands(cluster, stop, report))
    await stop.wait()
    script.cancel()
    with suppress(asyncio.CancelledError):
        await script
    await cluster.stop()


async def _read_commands(
    cluster: FakeEtcdCluster, stop: asyncio.Event, report: Callable[[dict[str, Any]], None]
) -> None:
    reader = asyncio.StreamReader(limit=64 * 1024)
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    try:
        while line := await reader.readline():
            try:
                order = msgspec.json.decode(line, type=FaultCommand)
                if order.fault == "stop":
                    break
                await cluster.apply_fault(order.member, order.fault, order.value)
                report({"done": order.fault, "revision": cluster.store.revision})
            except (msgspec.ValidationError, msgspec.DecodeError, ValueError) as bad:
                report({"error": str(bad)})
    finally:
        stop.set()
