"""One real sender from start to stop: recovery, serving, and a stop within the platform's time."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from kestreltrack.config.extras import reporting_missing_extras
from kestreltrack.config.sender import ConfigError, keys_needing_restart, load_sender_config
from kestreltrack.ports import make_clock
from kestreltrack.sender.assembly import Assembly
from kestreltrack.telemetry import Telemetry

if TYPE_CHECKING:
    from kestreltrack.config.operator import LoadedOperatorConfig

CLIENT_GRACE_S = 0.5  # after SIGTERM submitters still come for up to 0.4 s
SHUTDOWN_TIMEOUT_S = 3.3  # after SIGTERM: SIGKILL may follow after 3.7 s


def _record_loop_fault(telemetry: Telemetry, context: dict[str, Any]) -> None:
    """What no task caught becomes a line of the log like any other."""
    telemetry.record_fault("loop.fault", error=repr(context.get("exception") or context["message"]))


def _load_operator_config_if_any(
    env: Mapping[str, str], flags: Mapping[str, str]
) -> LoadedOperatorConfig | None:
    """The operator's settings, where anything asks for them: what reads them is not even imported else."""
    if not flags and not any(name.startswith("KESTRELTRACK_") for name in env):
        return None
    from kestreltrack.config.operator import load_operator_config

    return load_operator_config(env, flags)


class _StopSignal:
    """Whether and when SIGTERM came; later ones change nothing."""

    def __init__(self) -> None:
        """It has not."""
        self.received, self.received_at = asyncio.Event(), 0.0

    def on_signal(self) -> None:
        """SIGTERM: SIGKILL may follow 3.7 s after this, however far the start has got."""
        if not self.received.is_set():
            self.received_at = asyncio.get_running_loop().time()
            self.received.set()


async def _reload_on_hangup(
    hangup: asyncio.Event, env: Mapping[str, str], flags: Mapping[str, str], assembly: Assembly
) -> None:
    """At each SIGHUP read the files again; a bad one leaves all as it was."""
    first, telemetry = assembly.config, assembly.telemetry
    while True:
        await hangup.wait()
        hangup.clear()
        try:
            with reporting_missing_extras():  # settings may ask for what nothing has needed so far
                fresh = load_sender_config(env, reload=True)
                assembly.reload(fresh, _load_operator_config_if_any(env, flags))
        except ConfigError as bad:
            telemetry.record_fault("config.reload_rejected", error=str(bad))
            continue
        except Exception as bad:  # a fault of this program: without this task no later SIGHUP would be heard
            telemetry.record_fault("config.reload_fault", error=repr(bad))
            continue
        telemetry.count("config.reloads")
        telemetry.log("reloaded", discovery=fresh.discovery, needs_restart=keys_needing_restart(first, fresh))


async def serve(env: Mapping[str, str], flags: Mapping[str, str] | None = None) -> None:
    """Run until SIGTERM has been dealt with; `flags` hold keys of the operator's settings."""
    # A laboratory may have this process's clock run fast or slow; what `run` starts (-O) has no such thing.
    rate = float(env.get("LAB_CLOCK_RATE", "1")) if __debug__ else 1.0
    loop, clock, flags = asyncio.get_running_loop(), make_clock(rate), flags or {}
    stop, hangup = _StopSignal(), asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)  # before the file is read: no change goes unread
    config, loaded = load_sender_config(env), _load_operator_config_if_any(env, flags)
    telemetry = Telemetry(config.name)
    loop.set_exception_handler(lambda _, context: _record_loop_fault(telemetry, context))
    loop.add_signal_handler(signal.SIGTERM, stop.on_signal)
    loop.add_signal_handler(signal.SIGINT, stop.on_signal)
    loop.add_signal_handler(signal.SIGUSR1, telemetry.log_counters)
    parts = Assembly(config, loaded, clock, telemetry)
    await parts.restore_endpoint_list()
    if not stop.received.is_set():  # else nothing has begun: no attempt is out, no submitter waits
        await _serve_until_stopped(parts, stop, hangup, env, flags)
    await parts.close()
    await (
        parts.frontend.shut_down()
    )  # to clients that waited for the module until now, `end` has given an answer
    telemetry.log("stopped", held=len(parts.journal.outstanding))
    telemetry.log_counters()


async def _serve_until_stopped(
    assembly: Assembly,
    stop: _StopSignal,
    hangup: asyncio.Event,
    env: Mapping[str, str],
    flags: Mapping[str, str],
) -> None:
    """From the first submitter to the last that SIGTERM leaves time for."""
    loop, telemetry, config = asyncio.get_running_loop(), assembly.telemetry, assembly.config
    core, journal = assembly.core, assembly.journal
    await assembly.open_admin()
    try:
        address = await assembly.frontend.start(config.listen)
    except (OSError, UnicodeError) as bad:
        raise ConfigError(f"GW_LISTEN: cannot listen on {config.listen}: {bad}") from bad
    # Only now: an attempt that a start without an address cuts short would be in doubt.  No submitter's word is read
    # in this turn of the loop.
    assembly.recover_messages()
    assembly.start_background_tasks()
    reloader = asyncio.create_task(_reload_on_hangup(hangup, env, flags, assembly))
    telemetry.log("ready", listen=address, discovery=config.discovery, recovered=len(journal.outstanding))

    await stop.received.wait()
    telemetry.log("stopping", held=len(journal.outstanding))
    assembly.start_shutdown(
        core.dispatcher.clock() + (stop.received_at + SHUTDOWN_TIMEOUT_S - loop.time()) * 1000.0
    )
    await asyncio.sleep(CLIENT_GRACE_S)
    await assembly.frontend.drain()
    while loop.time() - stop.received_at < SHUTDOWN_TIMEOUT_S and (
        assembly.frontend.has_open_requests() or journal.outstanding or not core.is_idle()
    ):
        await asyncio.sleep(0.02)
    reloader.cancel()
    await assembly.frontend.shut_down()
