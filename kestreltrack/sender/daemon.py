"""Runs one sender process: recovery, service, and a shutdown within the time that the platform allows."""

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

# New clients may still connect for up to 0.4 s after SIGTERM.
CLIENT_GRACE_S = 0.5
# From SIGTERM to the exit of the process: SIGKILL may follow after 3.7 s.
SHUTDOWN_TIMEOUT_S = 3.3
# Interval between checks during a shutdown whether all work has ended.
SHUTDOWN_POLL_INTERVAL_S = 0.02


class _StopSignal:
    """Records the first SIGTERM or SIGINT; later ones have no effect.

    Attributes:
        received: Set once a signal has arrived.
        received_at_s: When it arrived, on the clock of the event loop.
    """

    def __init__(self) -> None:
        self.received = asyncio.Event()
        self.received_at_s = 0.0

    def on_signal(self) -> None:
        """Record the time of the signal: SIGKILL may follow 3.7 s later, even if the start is still in progress."""
        if not self.received.is_set():
            self.received_at_s = asyncio.get_running_loop().time()
            self.received.set()

    def deadline_s(self) -> float:
        """Return the time on the clock of the event loop by which the process has to exit."""
        return self.received_at_s + SHUTDOWN_TIMEOUT_S


async def serve(env: Mapping[str, str], flags: Mapping[str, str] | None = None) -> None:
    """Run a sender until it has shut down after SIGTERM or SIGINT.

    Args:
        env: The environment variables.
        flags: Values of the operator's settings by key, which override those of the file and the environment.

    Raises:
        ConfigError: The settings cannot be used.
    """
    flags = flags or {}
    loop = asyncio.get_running_loop()
    clock = make_clock(_clock_rate(env))
    stop = _StopSignal()
    reload_requested = asyncio.Event()
    # Before the files are read, so that a change made in the meantime is not missed.
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    config = load_sender_config(env)
    operator_config = _load_operator_config_if_any(env, flags)
    telemetry = Telemetry(config.name)
    loop.set_exception_handler(lambda _, context: _record_loop_fault(telemetry, context))
    loop.add_signal_handler(signal.SIGTERM, stop.on_signal)
    loop.add_signal_handler(signal.SIGINT, stop.on_signal)
    loop.add_signal_handler(signal.SIGUSR1, telemetry.log_counters)
    assembly = Assembly(config, operator_config, clock, telemetry)
    del config  # with its endpoint list, which may be long
    await assembly.restore_endpoint_list()
    # If the signal came this early, there is nothing to drain: no attempt is in flight and no client is connected.
    if not stop.received.is_set():
        await _serve_until_stopped(assembly, stop, reload_requested, env, flags)
    await assembly.close()
    # Sends the answers that `close` gave to clients that were still waiting for a decision.
    await assembly.frontend.shut_down()
    telemetry.log("stopped", held=len(assembly.journal.outstanding))
    telemetry.log_counters()


def _clock_rate(env: Mapping[str, str]) -> float:
    """Return the speed of the clock relative to real time; tests may set it, but not under ``python -O``."""
    return float(env.get("LAB_CLOCK_RATE", "1")) if __debug__ else 1.0


def _load_operator_config_if_any(
    env: Mapping[str, str], flags: Mapping[str, str]
) -> LoadedOperatorConfig | None:
    """Return the operator's settings; `None` if there are none, in which case their parser is not imported."""
    if not flags and not any(name.startswith("KESTRELTRACK_") for name in env):
        return None
    from kestreltrack.config.operator import load_operator_config

    return load_operator_config(env, flags)


def _record_loop_fault(telemetry: Telemetry, context: dict[str, Any]) -> None:
    """Record an exception that reached the event loop unhandled."""
    telemetry.record_fault("loop.fault", error=repr(context.get("exception") or context["message"]))


async def _serve_until_stopped(
    assembly: Assembly,
    stop: _StopSignal,
    reload_requested: asyncio.Event,
    env: Mapping[str, str],
    flags: Mapping[str, str],
) -> None:
    """Serve clients until the stop signal, then drain."""
    address = await _listen(assembly)
    # Only once the address is bound: if the start failed on it, attempts in flight would have ambiguous outcomes.
    # There is no await between `_listen` and here, so no client request has been read yet.
    assembly.recover_messages()
    assembly.start_background_tasks()
    reloader = asyncio.create_task(_reload_on_sighup(reload_requested, env, flags, assembly))
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

    Raises:
        ConfigError: An address cannot be listened on.
    """
    listen = assembly.config.listen
    await assembly.open_admin()
    try:
        return await assembly.frontend.start(listen)
    except (OSError, UnicodeError) as error:
        raise ConfigError(f"GW_LISTEN: cannot listen on {listen}: {error}") from error


async def _drain(assembly: Assembly, stop: _StopSignal) -> None:
    """Wait for outstanding messages and open requests to end, until the deadline after the stop signal."""
    loop = asyncio.get_running_loop()
    assembly.telemetry.log("stopping", held=len(assembly.journal.outstanding))
    remaining_ms = (stop.deadline_s() - loop.time()) * 1000.0
    assembly.start_shutdown(assembly.core.dispatcher.clock() + remaining_ms)
    await asyncio.sleep(CLIENT_GRACE_S)
    await assembly.frontend.drain()
    while loop.time() < stop.deadline_s() and assembly.has_work_in_progress():
        await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)


async def _reload_on_sighup(
    reload_requested: asyncio.Event, env: Mapping[str, str], flags: Mapping[str, str], assembly: Assembly
) -> None:
    """Reload the settings at each SIGHUP; settings that cannot be used are rejected and leave all as it was."""
    initial_config = assembly.config
    telemetry = assembly.telemetry
    while True:
        await reload_requested.wait()
        reload_requested.clear()
        try:
            # New settings may need a library that has not been imported yet.
            with reporting_missing_extras():
                config = load_sender_config(env, reload=True)
                assembly.reload(config, _load_operator_config_if_any(env, flags))
        except ConfigError as error:
            telemetry.record_fault("config.reload_rejected", error=str(error))
            continue
        except Exception as error:
            # A bug must not end this task, or later SIGHUPs would have no effect.
            telemetry.record_fault("config.reload_fault", error=repr(error))
            continue
        telemetry.count("config.reloads")
        telemetry.log(
            "reloaded",
            discovery=config.discovery,
            needs_restart=keys_needing_restart(initial_config, config),
        )
