"""The admin socket: access, bounds and failing commands; and the control of a capture."""

from __future__ import annotations

import asyncio
import json
import stat
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from conftest import SETTINGS, entry

from kestreltrack.admin.command_client import send_command
from kestreltrack.admin.command_socket import (
    MAX_CONNECTIONS,
    MAX_LINE_BYTES,
    AdminSocket,
    CommandRejectedError,
)
from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.replay import replay
from kestreltrack.config.operator_tables import CaptureTable
from kestreltrack.decision import (
    AttemptEnded,
    EndpointsUpdated,
    MessageArrived,
    Outcome,
    Policy,
    StartAttempt,
)
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.sender.recording import RecordingController
from kestreltrack.telemetry import Telemetry


def rejecting() -> dict[str, Any]:
    raise CommandRejectedError("not now")


def faulty() -> dict[str, Any]:
    raise ZeroDivisionError


COMMANDS: dict[str, Callable[[], dict[str, Any]]] = {
    "ok": lambda: {"fine": 1},
    "refuse": rejecting,
    "fault": faulty,
}


def run_with_server(path: Path, scenario: Callable[[Path, Telemetry], Awaitable[None]]) -> None:
    async def serve() -> None:
        telemetry = Telemetry()
        server = AdminSocket(path, COMMANDS, telemetry)
        await server.open()
        try:
            await asyncio.wait_for(scenario(path, telemetry), 20.0)
        finally:
            server.close()
        assert not path.exists()

    asyncio.run(serve())


async def send(path: Path, data: bytes) -> dict[str, Any]:
    reader, writer = await asyncio.open_unix_connection(str(path))
    writer.write(data)
    line = await reader.readline()
    writer.close()
    response: dict[str, Any] = json.loads(line)
    return response


def test_commands_are_answered_after_one_that_raised(tmp_path: Path) -> None:
    async def scenario(path: Path, telemetry: Telemetry) -> None:
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        assert await asyncio.to_thread(send_command, path, "ok") == {"fine": 1}
        assert await asyncio.to_thread(send_command, path, "refuse") == {"error": "not now"}
        assert "internal error" in (await asyncio.to_thread(send_command, path, "fault"))["error"]
        assert telemetry.counters["admin.fault"] == 1
        assert (
            "known commands: fault, ok, refuse"
            in (await asyncio.to_thread(send_command, path, "nonsense"))["error"]
        )
        assert await asyncio.to_thread(send_command, path, "ok") == {"fine": 1}

    run_with_server(tmp_path / "s", scenario)


MALFORMED_REQUESTS = [
    b"junk\n",
    b"{}\n",
    b'{"command": 7}\n',
    b'{"command": "ok", "more": 1}\n',
    b"x" * (3 * MAX_LINE_BYTES),
]


@pytest.mark.parametrize("data", MALFORMED_REQUESTS, ids=["junk", "empty", "type", "unknown", "endless"])
def test_malformed_input_gets_an_error_and_is_counted(tmp_path: Path, data: bytes) -> None:
    async def scenario(path: Path, telemetry: Telemetry) -> None:
        assert "error" in await send(path, data)
        assert telemetry.counters["admin.bad_request"] == 1
        assert await send(path, b'{"command": "ok"}\n') == {"fine": 1}

    run_with_server(tmp_path / "s", scenario)


def test_a_connection_beyond_the_limit_is_closed(tmp_path: Path) -> None:
    async def scenario(path: Path, telemetry: Telemetry) -> None:
        open_connections = [await asyncio.open_unix_connection(str(path)) for _ in range(MAX_CONNECTIONS)]
        reader, writer = await asyncio.open_unix_connection(str(path))
        assert await reader.read() == b""
        writer.close()
        assert telemetry.counters["admin.evicted"] == 1
        for _, open_writer in open_connections:
            open_writer.close()

    run_with_server(tmp_path / "s", scenario)


def test_a_stale_socket_is_replaced_but_no_socket_in_use_and_no_other_file(tmp_path: Path) -> None:
    async def go() -> None:
        path = tmp_path / "s"
        first, second = (AdminSocket(path, COMMANDS, Telemetry()) for _ in range(2))
        await first.open()
        with pytest.raises(OSError, match="another process"):
            await second.open()
        assert first._server
        first._server.close()  # a killed process leaves the socket file behind
        await second.open()
        assert await send(path, b'{"command": "ok"}\n') == {"fine": 1}
        second.close()
        path.write_text("content")
        with pytest.raises(OSError, match="not a socket"):
            await second.open()
        assert path.read_text() == "content"

    asyncio.run(go())


def test_a_capture_is_started_rotated_and_stopped_while_messages_are_in_flight(tmp_path: Path) -> None:
    async def go() -> None:
        loop = asyncio.get_running_loop()
        policy = Policy(SETTINGS, 1)
        telemetry = Telemetry()
        dispatcher = Dispatcher(policy, lambda: loop.time() * 1000.0, telemetry)
        config: Any = type("Config", (), {"name": "n1", "state": tmp_path / "state"})()
        recording = RecordingController(
            dispatcher, policy, CaptureTable(folder=str(tmp_path)), config, telemetry
        )
        with pytest.raises(CommandRejectedError):
            recording.start_new_file()
        dispatcher.notify(EndpointsUpdated([entry(1)], complete=True))

        async def submit(number: int) -> None:
            pending = PendingMessage(dispatcher, f"m{number}")
            dispatcher.notify(MessageArrived(pending._message_id, 1, "safe", dispatcher.clock() + 9000.0))
            assert isinstance(await pending.next_decision(), StartAttempt)
            if number % 2:
                dispatcher.notify(AttemptEnded(pending._message_id, 0, "e1", Outcome.OK, 5.0, True))
                pending.remove()

        await submit(0)  # stays in flight; arrived before the capture starts
        assert recording.start()["on"] and dispatcher.decider is not policy
        await submit(1)
        await submit(2)
        recording.start_new_file()
        await submit(3)
        await submit(4)
        assert recording.status()["records"] > 8
        stopped = recording.stop()
        assert not stopped["on"] and stopped["files"] == 2 and dispatcher.decider is policy
        await submit(5)
        replayed = replay(capture_files([tmp_path]))
        assert replayed.identical() and replayed.events["Arrived"] == 4 and not replayed.faults

    asyncio.run(go())
