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


class _Stop:
    """Whether and when SIGTERM came; later ones change nothing."""

    def __init__(self) -> None:
        """It has not."""
        self.came, self.at = asyncio.Event(), 0.0

    def told(self) -> None:
        """SIGTERM: SIGKILL may follow 3.7 s after this, however far the start has got."""
        if not self.came.is_set():
            self.at = asyncio.get_running_loop().time()
            self.came.set()


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
        except Exception as bad:  # a fault of this program: without this task no later SIGHUP would be heard
            telemetry.trouble("config.reload_fault", error=repr(bad))
            continue
        telemetry.count("config.reloads")
        telemetry.log("reloaded", discovery=fresh.discovery, needs_restart=needs_restart(first, fresh))


async def serve(env: Mapping[str, str], flags: Mapping[str, str] | None = None) -> None:
    """Run until SIGTERM has been dealt with; `flags` hold keys of the operator's settings."""
    # A laboratory may have this process's clock run fast or slow; what `run` starts (-O) has no such thing.
    rate = float(env.get("LAB_CLOCK_RATE", "1")) if __debug__ else 1.0
    loop, clock, flags = asyncio.get_running_loop(), make_clock(rate), flags or {}
    stop, hangup = _Stop(), asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)  # before the file is read: no change goes unread
    config, loaded = load(env), _operators(env, flags)
    telemetry = Telemetry(config.name)
    loop.set_exception_handler(lambda _, context: _loop_fault(telemetry, context))
    loop.add_signal_handler(signal.SIGTERM, stop.told)
    loop.add_signal_handler(signal.SIGINT, stop.told)
    loop.add_signal_handler(signal.SIGUSR1, telemetry.report)
    parts = Assembly(config, loaded, clock, telemetry)
    await parts.recall()
    if not stop.came.is_set():  # else nothing has begun: no attempt is out, no submitter waits
        await _serve(parts, stop, hangup, env, flags)
    await parts.end()
    await parts.front.finish()  # to clients that waited for the module until now, `end` has given an answer
    telemetry.log("stopped", held=len(parts.journal.held))
    telemetry.report()


async def _serve(
    parts: Assembly, stop: _Stop, hangup: asyncio.Event, env: Mapping[str, str], flags: Mapping[str, str]
) -> None:
    """From the first submitter to the last that SIGTERM leaves time for."""
    loop, telemetry, config = asyncio.get_running_loop(), parts.telemetry, parts.config
    core, journal = parts.core, parts.journal
    await parts.open_admin()
    try:
        address = await parts.front.open(config.listen)
    except (OSError, UnicodeError) as bad:
        raise ConfigError(f"GW_LISTEN: cannot listen on {config.listen}: {bad}") from bad
    # Only now: an attempt that a start without an address cuts short would be in doubt.  No submitter's word is read
    # in this turn of the loop.
    parts.recover()
    parts.begin()
    reloader = asyncio.create_task(_reload(hangup, env, flags, parts))
    telemetry.log("ready", listen=address, discovery=config.discovery, recovered=len(journal.held))

    await stop.came.wait()
    telemetry.log("stopping", held=len(journal.held))
    parts.stopping(core.desk.clock() + (stop.at + STOP_S - loop.time()) * 1000.0)
    await asyncio.sleep(LINGER_S)
    await parts.front.close()
    while loop.time() - stop.at < STOP_S and (parts.front.busy() or journal.held or not core.quiet()):
        await asyncio.sleep(0.02)
    reloader.cancel()
    await parts.front.finish()
