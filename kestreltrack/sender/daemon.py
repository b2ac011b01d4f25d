"""One real sender from start to stop: recovery, serving, and a stop within the platform's time."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from kestreltrack.config.extras import naming_extras
from kestreltrack.config.node import ConfigError, load, needs_restart
from kestreltrack.ports import make_clock
from kestreltrack.sender.assembly import Assembly
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.config.operator import Loaded

LINGER_S = 0.5  # after SIGTERM submitters still come for up to 0.4 s
STOP_S = 3.3  # after SIGTERM: SIGKILL may follow after 3.7 s


def _loop_fault(telemetry: Telemetry, context: dict[str, Any]) -> None:
    """What no task caught becomes a line of the log like any other."""
    telemetry.trouble("loop.fault", error=repr(context.get("exception") or context["message"]))


def _operators(env: Mapping[str, str], flags: Mapping[str, str]) -> Loaded | None:
    """The operator's settings, where anything asks for them: what reads them is not even imported else."""
    if not flags and not any(name.startswith("KESTRELTRACK_") for name in env):
        return None
    from kestreltrack.config.operator import load_operator

    return load_operator(env, flags)


async def _reload(
    hangup: asyncio.Event, env: Mapping[str, str], flags: Mapping[str, str], parts: Assembly
) -> None:
    """At each SIGHUP read the files again; a bad one leaves all as it was."""
    first, telemetry = parts.config, parts.telemetry
    while True:
        await hangup.wait()
        hangup.clear()
        try:
            with naming_extras():  # settings may ask for what nothing has needed so far
                fresh = load(env, again=True)
                parts.reload(fresh, _operators(env, flags))
        except ConfigError as bad:
            telemetry.trouble("config.bad_reload", error=str(bad))
            continue
        telemetry.count("config.reloads")
        telemetry.log("reloaded", discovery=fresh.discovery, needs_restart=needs_restart(first, fresh))


async def serve(env: Mapping[str, str], flags: Mapping[str, str] | None = None) -> None:
    """Run until SIGTERM has been dealt with; `flags` hold keys of the operator's settings."""
    # A laboratory may have this process's clock run fast or slow; what `run` starts (-O) has no such thing.
    rate = float(env.get("LAB_CLOCK_RATE", "1")) if __debug__ else 1.0
    loop, clock, flags = asyncio.get_running_loop(), make_clock(rate), flags or {}
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)  # before the file is read: no change goes unread
    config, loaded = load(env), _operators(env, flags)
    telemetry = Telemetry(config.name)
    loop.set_exception_handler(lambda _, context: _loop_fault(telemetry, context))
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, telemetry.report)
    parts = Assembly(config, loaded, clock, telemetry)
    core, journal = parts.core, parts.journal
    await parts.recall()
    parts.recover()
    parts.begin()
    reloader = asyncio.create_task(_reload(hangup, env, flags, parts))
    await parts.open_admin()
    try:
        address = await parts.front.open(config.listen)
    except OSError as bad:
        raise ConfigError(f"GW_LISTEN: cannot listen on {config.listen}: {bad}") from bad
    telemetry.log("ready", listen=address, discovery=config.discovery, recovered=len(journal.held))

    await stop.wait()
    began = loop.time()
    telemetry.log("stopping", held=len(journal.held))
    parts.stopping(clock() + STOP_S * 1000.0)
    await asyncio.sleep(LINGER_S)
    await parts.front.close()
    while loop.time() - began < STOP_S and (parts.front.busy() or journal.held or not core.quiet()):
        await asyncio.sleep(0.02)
    reloader.cancel()
    await parts.front.finish()
    await parts.end()
    await parts.front.finish()  # to clients that waited for the module until now, `end` has given an answer
    telemetry.log("stopped", held=len(journal.held))
    telemetry.report()
