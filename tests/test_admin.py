"""The admin socket: for its owner alone, bounded, and never a fault of the sender's; the capture by its commands."""

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
from kestreltrack.config.operator import CaptureTable
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


def refusing() -> dict[str, Any]:
    raise CommandRejectedError("not now")


def faulty() -> dict[str, Any]:
    raise ZeroDivisionError


COMMANDS: dict[str, Callable[[], dict[str, Any]]] = {
    "ok": lambda: {"fine": 1},
    "refuse": refusing,
    "fault": faulty,
}


def on_socket(path: Path, story: Callable[[Path, Telemetry], Awaitable[None]]) -> None:
    async def go() -> None:
        telemetry = Telemetry()
        server = AdminSocket(path, COMMANDS, telemetry)
        await server.open()
        try:
            await asyncio.wait_for(story(path, telemetry), 20.0)
        finally:
            server.close()
        assert not path.exists()

    asyncio.run(go())


async def say(path: Path, data: bytes) -> dict[str, Any]:
    reader, writer = await asyncio.open_unix_connection(str(path))
    writer.write(data)
    line = await reader.readline()
    writer.close()
    answer: dict[str, Any] = json.loads(line)
    return answer


def test_commands_are_answered_and_faults_stay_there(tmp_path: Path) -> None:
    async def story(path: Path, telemetry: Telemetry) -> None:
        assert stat.S_IMODE(path.stat().st_mode) == 0o600
        assert await asyncio.to_thread(send_command, path, "ok") == {"fine": 1}
        assert await asyncio.to_thread(send_command, path, "refuse") == {"error": "not now"}
        assert "internal error" in (await asyncio.to_thread(send_command, path, "fault"))["error"]
        assert telemetry.counters["admin.fault"] == 1
        assert (
            "there are fault, ok, refuse"
            in (await asyncio.to_thread(send_command, path, "nonsense"))["error"]
        )
        assert await asyncio.to_thread(send_command, path, "ok") == {"fine": 1}

    on_socket(tmp_path / "s", story)


BAD = [
    b"junk\n",
    b"{}\n",
    b'{"command": 7}\n',
    b'{"command": "ok", "more": 1}\n',
    b"x" * (3 * MAX_LINE_BYTES),
]


@pytest.mark.parametrize("data", BAD, ids=["junk", "empty", "type", "unknown", "endless"])
def test_bad_input_gets_a_plain_error_and_a_counter(tmp_path: Path, data: bytes) -> None:
    async def story(path: Path, telemetry: Telemetry) -> None:
        assert "error" in await say(path, data)
        assert telemetry.counters["admin.bad_request"] == 1
        assert await say(path, b'{"command": "ok"}\n') == {"fine": 1}

    on_socket(tmp_path / "s", story)


def test_connections_are_bounded(tmp_path: Path) -> None:
    async def story(path: Path, telemetry: Telemetry) -> None:
        held = [await asyncio.open_unix_connection(str(path)) for _ in range(MAX_CONNECTIONS)]
        reader, writer = await asyncio.open_unix_connection(str(path))
        assert await reader.read() == b""
        writer.close()
        assert telemetry.counters["admin.evicted"] == 1
        for _, one in held:
            one.close()

    on_socket(tmp_path / "s", story)


def test_a_socket_left_by_a_killed_process_is_taken_over_and_nothing_else(tmp_path: Path) -> None:
    async def go() -> None:
        path = tmp_path / "s"
        first, second = (AdminSocket(path, COMMANDS, Telemetry()) for _ in range(2))
        await first.open()
        with pytest.raises(OSError, match="another process"):
            await second.open()
        assert first._server
        first._server.close()  # as a kill would leave it: the file is still there
        await second.open()
        assert await say(path, b'{"command": "ok"}\n') == {"fine": 1}
        second.close()
        path.write_text("precious")
        with pytest.raises(OSError, match="another kind"):
            await second.open()
        assert path.read_text() == "precious"

    asyncio.run(go())


def test_a_capture_is_begun_cut_and_ended_while_messages_are_out(tmp_path: Path) -> None:
    async def go() -> None:
        loop = asyncio.get_running_loop()
        policy, telemetry = Policy(SETTINGS, 1), Telemetry()
        desk = Dispatcher(policy, lambda: loop.time() * 1000.0, telemetry)
        config: Any = type("Config", (), {"name": "n1", "state": tmp_path / "state"})()
        capturing = RecordingController(desk, policy, CaptureTable(folder=str(tmp_path)), config, telemetry)
        with pytest.raises(CommandRejectedError):
            capturing.start_new_file()
        desk.notify(EndpointsUpdated([entry(1)], complete=True))

        async def some(number: int) -> None:
            seat = PendingMessage(desk, f"m{number}")
            desk.notify(MessageArrived(seat._message_id, 1, "safe", desk.clock() + 9000.0))
            assert isinstance(await seat.next_decision(), StartAttempt)
            if number % 2:
                desk.notify(AttemptEnded(seat._message_id, 0, "e1", Outcome.OK, 5.0, True))
                seat.remove()

        await some(0)  # out since before the capture
        assert capturing.start()["on"] and desk.decider is not policy
        await some(1)
        await some(2)
        capturing.start_new_file()
        await some(3)
        await some(4)
        assert capturing.status()["records"] > 8
        done = capturing.stop()
        assert not done["on"] and done["files"] == 2 and desk.decider is policy
        await some(5)
        replayed = replay(capture_files([tmp_path]))
        assert replayed.identical() and replayed.events["Arrived"] == 4 and not replayed.faults

    asyncio.run(go())
