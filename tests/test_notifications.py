"""Notifications: pending ones are posted in one report, and each is retried until the platform has accepted it."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest
from scripted_servers import ScriptedServer
from test_connection_pool import with_endpoints

from kestreltrack.http1 import HttpClient
from kestreltrack.notifications import HttpNotifier, http_notifier
from kestreltrack.ports import StatusNotification
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer


def test_pending_notifications_are_posted_in_one_report_until_accepted() -> None:
    async def scenario(platform: ScriptedServer, other_platform: ScriptedServer) -> None:
        notifier = HttpNotifier(platform.address, Telemetry())
        notified = [
            asyncio.create_task(notifier.notify(StatusNotification(f"m{i}", i % 2 == 0, 300.0)))
            for i in range(5)
        ]
        _, _, body, streams = await platform.requests.get()
        rows = [orjson.loads(line) for line in body.splitlines()]
        assert [row["message"] for row in rows] == [f"m{i}" for i in range(5)]
        assert rows[0] == {"message": "m0", "outcome": "handed_back", "retry_in_ms": 300}
        assert rows[1] == {"message": "m1", "outcome": "given_up"}
        notified.append(asyncio.create_task(notifier.notify(StatusNotification("m5", False))))
        platform.respond(streams, http_answer("503"))
        _, _, body, streams = await platform.requests.get()
        assert len(body.splitlines()) == 6
        assert not any(task.done() for task in notified)
        notified[0].cancel()  # the process may abandon a message while its notification is pending
        platform.respond(streams, http_answer("204"))
        await asyncio.gather(*notified[1:])
        assert platform.requests.empty()

    with_endpoints(scenario)


async def answer_report(platform: ScriptedServer, status: str) -> list[str]:
    """Answer the next report; return the ids of the messages in it."""
    _, _, body, streams = await platform.requests.get()
    platform.respond(streams, http_answer(status))
    return [orjson.loads(line)["message"] for line in body.splitlines()]


def test_line_rejected_by_the_platform_delays_no_other() -> None:
    async def scenario(platform: ScriptedServer, other_platform: ScriptedServer) -> None:
        notifier = HttpNotifier(platform.address, Telemetry())
        accepted = list[str]()
        notified = {
            f"m{i}": asyncio.create_task(notifier.notify(StatusNotification(f"m{i}", False)))
            for i in range(9)
        }
        report_count = 0
        while len(accepted) < 8:
            _, _, body, streams = await platform.requests.get()
            message_ids = [orjson.loads(line)["message"] for line in body.splitlines()]
            accepted += [] if "m3" in message_ids else message_ids
            platform.respond(streams, http_answer("400" if "m3" in message_ids else "204"))
            report_count += 1
        assert sorted(accepted) == sorted(notified.keys() - {"m3"})
        assert report_count <= 11, "nine lines must be halved until one is left"
        await asyncio.gather(*(task for id_, task in notified.items() if id_ != "m3"))
        assert await answer_report(platform, "400") == ["m3"], "a rejected line must still be posted"
        notified["m9"] = asyncio.create_task(notifier.notify(StatusNotification("m9", False)))
        while (message_ids := await answer_report(platform, "400")) != ["m9"]:
            assert message_ids == ["m3"]
        # Now m9 was rejected as well: both are posted alone, in turn, until they are accepted.
        assert [await answer_report(platform, "204"), await answer_report(platform, "204")] == [
            ["m3"],
            ["m9"],
        ]
        await asyncio.gather(*notified.values())

    with_endpoints(scenario)


@pytest.mark.parametrize("fault", [ValueError("no address"), UnicodeError("no name"), RuntimeError("closed")])
def test_posting_continues_after_a_fault(fault: Exception, monkeypatch: pytest.MonkeyPatch) -> None:
    real_exchange = HttpClient.exchange
    faults = [fault]

    async def exchange(*args: Any) -> tuple[int, bytes]:
        if faults:
            raise faults.pop()
        return await real_exchange(*args)

    monkeypatch.setattr(HttpClient, "exchange", exchange)

    async def scenario(platform: ScriptedServer, other_platform: ScriptedServer) -> None:
        notifier = HttpNotifier(platform.address, Telemetry())
        notified = asyncio.create_task(notifier.notify(StatusNotification("m1", False)))
        assert await answer_report(platform, "204") == ["m1"]
        await notified

    with_endpoints(scenario)


def test_report_in_flight_is_posted_at_a_new_address_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_notifier, "INITIAL_BACKOFF_S", 1000.0)  # a backoff would never end

    async def scenario(platform: ScriptedServer, other_platform: ScriptedServer) -> None:
        notifier = HttpNotifier(platform.address, Telemetry())
        notified = asyncio.create_task(notifier.notify(StatusNotification("m1", False)))
        await platform.requests.get()  # gets no response
        notifier.change_address(other_platform.address)
        assert await answer_report(other_platform, "204") == ["m1"]
        await notified

    with_endpoints(scenario)


@pytest.mark.parametrize(
    "response", [b"", b"HTTP/1.1 204 No", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]
)
def test_report_without_a_complete_204_is_posted_again(response: bytes) -> None:
    async def scenario(platform: ScriptedServer, other_platform: ScriptedServer) -> None:
        notifier = HttpNotifier(platform.address, Telemetry())
        notified = asyncio.create_task(notifier.notify(StatusNotification("m1", False)))
        streams = (await platform.requests.get())[3]
        platform.respond(streams, response)
        writer = streams[1]
        writer.close() if response else writer.transport.abort()
        assert await answer_report(platform, "204") == ["m1"]
        await notified

    with_endpoints(scenario)
