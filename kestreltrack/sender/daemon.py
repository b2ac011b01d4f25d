"""One real sender from start to stop: recovery, serving, and a stop within the platform's time."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Mapping
from typing import Any

from kestreltrack.config.node import ConfigError, NodeConfig, load, needs_restart
from kestreltrack.decision import Policy
from kestreltrack.decision.api import TimerDue
from kestreltrack.journal import Journal
from kestreltrack.machinelist import MachineList
from kestreltrack.machinelist.http import HttpListSource
from kestreltrack.nodes.claims import NodeTransport
from kestreltrack.nodes.pool import Pool
from kestreltrack.notices import HttpNotices
from kestreltrack.ports import make_clock
from kestreltrack.sender.core import Core
from kestreltrack.sender.desk import Desk
from kestreltrack.submitters.front import Front
from kestreltrack.telemetry import Telemetry

LINGER_S = 0.5  # after SIGTERM submitters still come for up to 0.4 s
STOP_S = 3.3  # after SIGTERM: SIGKILL may follow after 3.7 s
RETIRE_S = 0.5  # idle connections go so long before the node would close them
SUBMITTER_SHARE = 0.45  # of the descriptors; submitters' requests need a third
NODE_SHARE = 0.25


def _loop_fault(telemetry: Telemetry, context: dict[str, Any]) -> None:
    """What no task caught becomes a line of the log like any other."""
    telemetry.trouble("loop.fault", error=repr(context.get("exception") or context["message"]))


async def _reload(
    hangup: asyncio.Event,
    env: Mapping[str, str],
    config: NodeConfig,
    move: Callable[[str], None],
    telemetry: Telemetry,
) -> None:
    """At each SIGHUP read the file again; a bad one leaves the old in force."""
    discovery = config.discovery
    while True:
        await hangup.wait()
        hangup.clear()
        try:
            fresh = load(env, again=True)
        except ConfigError as bad:
            telemetry.trouble("config.bad_reload", error=str(bad))
            continue
        telemetry.count("config.reloads")
        telemetry.log("reloaded", discovery=fresh.discovery, needs_restart=needs_restart(config, fresh))
        if fresh.discovery != discovery:
            discovery = fresh.discovery
            move(discovery)


async def serve(env: Mapping[str, str]) -> None:
    """Run until SIGTERM has been dealt with."""
    loop, clock = asyncio.get_running_loop(), make_clock()
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)  # before the file is read: no change goes unread
    config = load(env)
    telemetry = Telemetry(config.name)
    loop.set_exception_handler(lambda _, context: _loop_fault(telemetry, context))
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, telemetry.report)
    journal = Journal(config.state, config.disk_bytes, telemetry)
    settings = config.settings
    keep_s = settings.keepalive_ms / 1000.0
    pool = Pool(
        max(keep_s / 2.0, keep_s - RETIRE_S),
        settings.connect_ms / 1000.0,
        int(config.sockets * NODE_SHARE),
        telemetry,
    )
    source, notices = HttpListSource(config.discovery, telemetry), HttpNotices(config.discovery, telemetry)
    desk = Desk(Policy(settings, config.seed), clock, telemetry)
    core = Core(
        desk,
        settings,
        journal,
        MachineList(),
        NodeTransport(pool, telemetry),
        notices,
        telemetry,
    )
    for known in (config.known, journal.machines):
        if known and known.rev >= core.machines.rev:
            desk.tell(core.machines.apply(known, remembered=True))
    desk.tell(TimerDue(0))  # a first step even where no list is known: the module asks for one there
    core.recover()

    def move(address: str) -> None:
        source.move(address)
        notices.move(address)
        core.ask()

    helpers = [
        asyncio.create_task(pool.sweep()),
        asyncio.create_task(core.follow(source)),
        asyncio.create_task(_reload(hangup, env, config, move, telemetry)),
    ]
    ordered = frozenset(name for name, cls in settings.classes.items() if cls.in_order)
    front = Front(
        core, clock, ordered, int(config.sockets * SUBMITTER_SHARE), config.memory_bytes, telemetry
    )
    try:
        address = await front.open(config.listen)
    except OSError as bad:
        raise ConfigError(f"GW_LISTEN: cannot listen on {config.listen}: {bad}") from bad
    telemetry.log("ready", listen=address, discovery=config.discovery, recovered=len(journal.held))

    await stop.wait()
    began = loop.time()
    telemetry.log("stopping", held=len(journal.held))
    core.stopping(clock() + STOP_S * 1000.0)
    await asyncio.sleep(LINGER_S)
    await front.close()
    while loop.time() - began < STOP_S and not (core.quiet() and not journal.held):
        await asyncio.sleep(0.02)
    for helper in helpers:
        helper.cancel()
    await core.abandon()
    journal.close()
    telemetry.log("stopped", held=len(journal.held))
    telemetry.report()
