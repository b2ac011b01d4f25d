"""Notices: all that wait go in one report, and none counts as told before the platform has taken it."""

from __future__ import annotations

import asyncio

import orjson
from scenario import Party
from test_pool import with_nodes

from kestreltrack.lab.standins.http import http_answer
from kestreltrack.notices import HttpNotices
from kestreltrack.ports import Notice
from kestreltrack.telemetry import Telemetry


def test_what_waits_goes_in_one_report_until_it_is_taken() -> None:
    async def story(platform: Party, other: Party) -> None:
        board = HttpNotices(platform.address, Telemetry())
        told = [asyncio.create_task(board.tell(Notice(f"m{i}", i % 2 == 0, 300.0))) for i in range(5)]
        _, _, body, streams = await platform.requests.get()
        rows = [orjson.loads(line) for line in body.splitlines()]
        assert [row["message"] for row in rows] == [f"m{i}" for i in range(5)]
        assert rows[0] == {"message": "m0", "outcome": "handed_back", "retry_in_ms": 300}
        assert rows[1] == {"message": "m1", "outcome": "given_up"}
        told.append(asyncio.create_task(board.tell(Notice("m5", False))))
        platform.say(streams, http_answer("503"))
        _, _, body, streams = await platform.requests.get()
        assert len(body.splitlines()) == 6 and not any(task.done() for task in told)
        told[0].cancel()  # a message may be left where it is while its notice waits
        platform.say(streams, http_answer("204"))
        await asyncio.gather(*told[1:])
        assert platform.requests.empty()

    with_nodes(story)
