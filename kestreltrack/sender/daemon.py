"""The process of one sender from start to stop: recovery, service, and a shutdown within the platform's time."""

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

# After SIGTERM clients still connect for up to 0.4 s.
CLIENT_GRACE_S = 0.5
# From SIGTERM to the end of the process: SIGKILL may follow after 3.7 s.
SHUTDOWN_TIMEOUT_S = 3.3
# Between checks whether all messages have ended during a shutdown.
SHUTDOWN_POLL_INTERVAL_S = 0.02


class _StopSignal:
    """Whether and when SIGTERM came; later ones change nothing."""

    def __init__(self) -> None:
        """Start with no signal received."""
        self.received = asyncio.Event()
        self.received_at_s = 0.0  # on the loop's clock

    def on_signal(self) -> None:
        """Note the time of SIGTERM: SIGKILL may follow 3.7 s after it, however far the start has come."""
        if not self.received.is_set():
            self.received_at_s = asyncio.get_running_loop().time()
            self.received.set()

    def deadline_s(self) -> float:
        """Return the time on the loop's clock at which the process has to end."""
        return self.received_at_s + SHUTDOWN_TIMEOUT_S


async def serve(env: Mapping[str, str], flags: Mapping[str, str] | None = None) -> None:
    """Run a sender until SIGTERM has been dealt with; `flags` hold keys of the operator's settings.

    Raises `ConfigError` where the settings cannot be used.
    """
    flags = flags or {}
    loop = asyncio.get_running_loop()
    clock = make_clock(_clock_rate(env))
    stop = _StopSignal()
    hangup = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, hangup.set)  # before the files are read: no change goes unread
    config = load_sender_config(env)
    operator_config = _load_operator_config_if_any(env, flags)
    telemetry = Telemetry(config.name)
    loop.set_exception_handler(lambda _, context: _record_loop_fault(telemetry, context))
    loop.add_signal_handler(signal.SIGTERM, stop.on_signal)
    loop.add_signal_handler(signal.SIGINT, stop.on_signal)
    loop.add_signal_handler(signal.SIGUSR1, telemetry.log_counters)
    assembly = Assembly(config, operator_config, clock, telemetry)
    await assembly.restore_endpoint_list()
    if not stop.received.is_set():  # else nothing has begun: no attempt is in flight, and no client waits
        await _serve_until_stopped(assembly, stop, hangup, env, flags)
    await assembly.close()
    # Clients that waited for a decision until now were answered by `close`.
    await assembly.frontend.shut_down()
    telemetry.log("stopped", held=len(assembly.journal.outstanding))
    telemetry.log_counters()


def _clock_rate(env: Mapping[str, str]) -> float:
    """Return how fast the clock runs against real time: a test may change it, but not under ``python -O``."""
    return float(env.get("LAB_CLOCK_RATE", "1")) if __debug__ else 1.0


def _load_operator_config_if_any(
    env: Mapping[str, str], flags: Mapping[str, str]
) -> LoadedOperatorConfig | None:
    """Return the operator's settings, or `None` where there are none: then their reader is not even imported."""
    if not flags and not any(name.startswith("KESTRELTRACK_") for name in env):
        return None
    from kestreltrack.config.operator import load_operator_config

    return load_operator_config(env, flags)


def _record_loop_fault(telemetry: Telemetry, context: dict[str, Any]) -> None:
    """Log an exception that no task has handled like any other fault."""
    telemetry.record_fault("loop.fault", error=repr(context.get("exception") or context["message"]))


async def _serve_until_stopped(
    assembly: Assembly,
    stop: _StopSignal,
    hangup: asyncio.Event,
    env: Mapping[str, str],
    flags: Mapping[str, str],
) -> None:
    """Serve clients from the first one to the last one that the time after SIGTERM allows."""
    address = await _listen(assembly)
    # Only now: an attempt cut short by a start that finds its address taken would be ambiguous.  No request of a
    # client is read in this turn of the loop.
    assembly.recover_messages()
    assembly.start_background_tasks()
    reloader = asyncio.create_task(_reload_on_hangup(hangup, env, flags, assembly))
    assembly.telemetry.log(
        "ready",
        listen=address,
        discovery=assembly.config.discovery,
        recovered=len(assembly.journal.outstanding),
    )
    await stop.received.wait()
    await _drain(assembly, stop)
    reloader.cancel()
    await assembly.frontend.shut_down()


async def _listen(assembly: Assembly) -> str:
    """Open the listeners for operators and clients, and return the address for clients.

    Raises `ConfigError` where an address cannot be listened on.
    """
    listen = assembly.config.listen
    await assembly.open_admin()
    try:
        return await assembly.frontend.start(listen)
    except (OSError, UnicodeError) as error:
        raise ConfigError(f"GW_LISTEN: cannot listen on {listen}: {error}") from error


async def _drain(assembly: Assembly, stop: _StopSignal) -> None:
    """Carry the outstanding messages and requests to their ends, as far as the time after SIGTERM allows."""
    loop = asyncio.get_running_loop()
    assembly.telemetry.log("stopping", held=len(assembly.journal.outstanding))
    remaining_ms = (stop.deadline_s() - loop.time()) * 1000.0
    assembly.start_shutdown(assembly.core.dispatcher.clock() + remaining_ms)
    await asyncio.sleep(CLIENT_GRACE_S)
    await assembly.frontend.drain()
    while loop.time() < stop.deadline_s() and assembly.has_work_in_progress():
        await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)


async def _reload_on_hangup(
    hangup: asyncio.Event, env: Mapping[str, str], flags: Mapping[str, str], assembly: Assembly
) -> None:
    """Read the settings again at each SIGHUP; where they cannot be used, all stays as it was."""
    initial_config = assembly.config
    telemetry = assembly.telemetry
    while True:
        await hangup.wait()
        hangup.clear()
        try:
            with reporting_missing_extras():  # settings may ask for a library that nothing has needed so far
                config = load_sender_config(env, reload=True)
                assembly.reload(config, _load_operator_config_if_any(env, flags))
        except ConfigError as error:
            telemetry.record_fault("config.reload_rejected", error=str(error))
            continue
        except (
            Exception
        ) as error:  # a fault of this program: without this task no later SIGHUP would be served
            telemetry.record_fault("config.reload_fault", error=repr(error))
            continue
        telemetry.count("config.reloads")
        telemetry.log(
            "reloaded",
            discovery=config.discovery,
            needs_restart=keys_needing_restart(initial_config, config),
        )
