"""Signals during a start, a shutdown or the exit, reloads of invalid settings, and failures of a start."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from pathlib import Path
from typing import Any

import pytest
from scenario import SETTINGS as FILE_SETTINGS
from test_journal import open_journal
from test_shutdown import run_with_timeout, wait_until

from kestreltrack.config.sender import ConfigError, load_sender_config
from kestreltrack.ports import Message
from kestreltrack.sender import daemon
from kestreltrack.sender.assembly import Assembly
from kestreltrack.sender.delivery import Core
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess


def environment(folder: Path, **platform_settings: Any) -> dict[str, str]:
    (folder / "state").mkdir(exist_ok=True)
    table = {"settings": FILE_SETTINGS, **platform_settings}
    (folder / "config.json").write_text(json.dumps(table))
    env = {"GW_CONFIG": str(folder / "config.json"), "GW_STATE": str(folder / "state")}
    return env | {"GW_LISTEN": "127.0.0.1:0", "GW_DISCOVERY": "127.0.0.1:1"}


def logged_events(text: str) -> list[str]:
    return [json.loads(line)["event"] for line in text.splitlines() if line.startswith("{")]


@pytest.mark.parametrize("step", ["restore_endpoint_list", "open_admin", "recover_messages"])
def test_sigterm_during_a_start_stops_the_sender_in_time_and_keeps_all_messages(
    tmp_path: Path, step: str, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    env = environment(tmp_path)
    previous_journal = open_journal(tmp_path / "state")
    previous_journal.record_accepted(Message("m1", "unsafe", 1, 9e15, b"x"))
    previous_journal.close()
    original_step = getattr(Assembly, step)
    # The time left until the deadline and the time since the signal, in milliseconds.
    shutdown_times_ms = list[tuple[float, float]]()
    signalled_at_s = list[float]()
    monkeypatch.setattr(daemon, "CLIENT_GRACE_S", 0.01)
    monkeypatch.setattr(daemon, "SHUTDOWN_TIMEOUT_S", 0.2)
    original_start_shutdown = Assembly.start_shutdown

    original_on_signal = daemon._StopSignal.on_signal

    def record_shutdown(self: Assembly, deadline_ms: float) -> None:
        since_signal_ms = 1000.0 * (time.monotonic() - signalled_at_s[0])
        shutdown_times_ms.append((deadline_ms - self.core.dispatcher.clock(), since_signal_ms))
        original_start_shutdown(self, deadline_ms)

    def record_signal(self: Any) -> None:
        signalled_at_s.append(time.monotonic())
        original_on_signal(self)

    monkeypatch.setattr(Assembly, "start_shutdown", record_shutdown)
    monkeypatch.setattr(daemon._StopSignal, "on_signal", record_signal)

    def send_signals_and_run_step(self: Assembly) -> Any:
        os.kill(os.getpid(), signal.SIGTERM)
        # The shutdown must not wait for this reload.
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        return run_step_slowly(self) if step != "recover_messages" else original_step(self)

    async def run_step_slowly(self: Assembly) -> None:
        await original_step(self)
        await asyncio.sleep(0.1)

    monkeypatch.setattr(Assembly, step, send_signals_and_run_step)
    asyncio.run(asyncio.wait_for(daemon.serve(env), 20.0))
    logged = logged_events(capfd.readouterr().err)
    assert "stopped" in logged and ("ready" in logged) == (step != "restore_endpoint_list")
    assert not [event for event in logged if "fault" in event]
    if step == "open_admin":
        left_ms, since_signal_ms = shutdown_times_ms[0]
        assert abs(left_ms + since_signal_ms - 200.0) <= 1.0, (
            "the shutdown timeout counts from the signal, not from the end of the start"
        )
        assert since_signal_ms >= 50.0, "the start went on for some time after the signal"
    assert list(open_journal(tmp_path / "state").outstanding) == ["m1"]


def test_address_in_use_fails_the_start_before_any_attempt(tmp_path: Path) -> None:
    async def start_on_a_used_address() -> None:
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        recovered = list[object]()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Core, "recover", lambda self, held_messages=None: recovered.append(self))
            with pytest.raises(ConfigError, match="GW_LISTEN"):
                await daemon.serve(environment(tmp_path) | {"GW_LISTEN": address})
        assert not recovered
        server.close()

    run_with_timeout(start_on_a_used_address())


def test_the_error_names_the_file_of_the_state_folder_that_cannot_be_written(tmp_path: Path) -> None:
    env = environment(tmp_path)
    (tmp_path / "state" / "journal.lock").mkdir()
    with pytest.raises(ConfigError, match=r"GW_STATE: .*journal\.lock"):
        run_with_timeout(daemon.serve(env))


def test_reload_of_invalid_settings_changes_nothing_and_a_later_reload_works(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    sender_env = environment(tmp_path, discovery="127.0.0.1:2")
    path = Path(sender_env["GW_CONFIG"])
    valid_text = path.read_text()
    invalid_texts = [
        "",
        "[]",
        "{",
        valid_text[: len(valid_text) // 2],
        valid_text.replace('"tryLimit": 8', '"tryLimit": -1'),
    ]
    invalid_texts += [
        valid_text.replace('"tryLimit": 8', member)
        for member in ('"tryLimit": NaN', '"tryLimit": "x"', '"x": 0')
    ]
    invalid_texts += [
        valid_text.replace('"kinds": ["plain"]', member) for member in ('"kinds": 7', '"kinds": [[]]')
    ]
    assert len(set(invalid_texts)) == len(invalid_texts)

    async def reload_invalid_then_valid_settings() -> None:
        addresses = list[str]()
        telemetry = Telemetry()
        reload_requested = asyncio.Event()

        class FakeAssembly:
            config = load_sender_config(sender_env)

            def reload(self, config: Any, operator_config: Any) -> None:
                addresses.append(config.discovery)

        assembly: Any = FakeAssembly()
        assembly.telemetry = telemetry
        task = asyncio.create_task(daemon._reload_on_sighup(reload_requested, sender_env, {}, assembly))
        for n, invalid_text in enumerate(invalid_texts, 1):
            path.write_text(invalid_text)
            reload_requested.set()
            await wait_until(lambda n=n: telemetry.counters["config.reload_rejected"] == n)  # type: ignore[misc]
        path.write_text(valid_text)
        with monkeypatch.context() as patch:
            # A bug in the reload itself.
            patch.setattr(daemon, "load_sender_config", lambda env, reload: 1 / 0)
            reload_requested.set()
            await wait_until(lambda: telemetry.counters["config.reload_fault"])
        assert not addresses
        reload_requested.set()
        await wait_until(lambda: addresses)
        assert addresses == ["127.0.0.1:2"]
        task.cancel()

    run_with_timeout(reload_invalid_then_valid_settings())


@pytest.mark.parametrize("late_signal", [signal.SIGUSR1, signal.SIGHUP], ids=["SIGUSR1", "SIGHUP"])
def test_sigusr1_or_sighup_during_the_exit_leaves_the_exit_code_0(
    tmp_path: Path, late_signal: signal.Signals
) -> None:
    """A process that is stopped exits with 0, even if SIGUSR1 or SIGHUP arrives while it exits.

    The event loop restores the default action of its signals when it closes.  A signal between that and the exit
    would end the process like a crash, with exit code -10 for SIGUSR1.
    """

    async def send_signals_until_the_exit() -> None:
        platform = FakePlatform()
        await platform.listen()
        sender = SenderProcess(tmp_path, "s1")
        await sender.start(platform.address, FILE_SETTINGS, {})
        assert sender.process
        await sender.signal(signal.SIGTERM)
        while sender.process.returncode is None:
            await sender.signal(late_signal)
            await asyncio.sleep(0.001)
        assert sender.process.returncode == 0
        platform.close()

    asyncio.run(asyncio.wait_for(send_signals_until_the_exit(), 60.0))
