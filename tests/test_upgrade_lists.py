"""Two processes of one sender act on the newest endpoint list that either was told."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from kestreltrack.discovery import EndpointList
from kestreltrack.journal import Journal
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.sender.initial_list import ListOrigin, choose_initial_list, merge_updates
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess
from kestreltrack.testing.pressure.endpoints import CostlyEndpoint
from kestreltrack.testing.pressure.shared_state import SharedStateSender, running_sender

FOLDER_BYTES = 3_000_000


def listed(uid: str, address: str = "127.0.0.1:1") -> ListedEndpoint:
    return ListedEndpoint(uid, address, 1, "plain")


def whole(revision: int, *uids: str, source: str = "") -> EndpointListUpdate:
    return EndpointListUpdate(revision, True, tuple(map(listed, uids)), source=source)


def change(revision: int, *uids: str, source: str = "") -> EndpointListUpdate:
    return EndpointListUpdate(revision, False, tuple(map(listed, uids)), source=source)


@pytest.mark.parametrize(
    ("configured", "journaled", "other", "origin"),
    [
        (None, None, None, ListOrigin.NONE),
        (whole(1, "a"), None, None, ListOrigin.CONFIGURATION),
        (whole(1, "a"), None, whole(3, "b"), ListOrigin.OTHER_PROCESS),
        (whole(3, "a"), None, whole(3, "b"), ListOrigin.OTHER_PROCESS),
        (whole(4, "a"), None, whole(3, "b"), ListOrigin.CONFIGURATION),
        (whole(1, "a"), whole(2, "b"), None, ListOrigin.JOURNAL),
        (None, whole(5, "a"), whole(3, "b"), ListOrigin.JOURNAL),
        (None, whole(2, "a"), whole(3, "b"), ListOrigin.OTHER_PROCESS),
        # Revisions of two sources can't be compared: what the running process was told is the newest.
        (None, whole(5, "a", source="x"), whole(3, "b", source="y"), ListOrigin.OTHER_PROCESS),
    ],
)
def test_first_list_is_the_newest_that_the_sender_was_told(
    configured: EndpointListUpdate | None,
    journaled: EndpointListUpdate | None,
    other: EndpointListUpdate | None,
    origin: ListOrigin,
) -> None:
    assert choose_initial_list(configured, journaled, other).origin is origin


def open_journal(folder: Path) -> Journal:
    return Journal(folder, FOLDER_BYTES, Telemetry())


def uids(update: EndpointListUpdate | None) -> set[str]:
    endpoint_list = EndpointList()
    if update:
        endpoint_list.apply(update)
    return endpoint_list.uids()


def test_list_of_a_running_process_is_read_with_its_changes(tmp_path: Path) -> None:
    first = open_journal(tmp_path)
    first.record_endpoints(whole(1, "a", source="x"))
    first.record_endpoints(change(2, "b", source="x"))
    second = open_journal(tmp_path)
    merged = merge_updates(second.take_endpoint_updates())
    assert merged and (merged.revision, merged.source, uids(merged)) == (2, "x", {"a", "b"})
    assert not second.take_endpoint_updates()
    first.record_endpoints(change(3, "c", source="x"))
    second.record_endpoints(whole(4, "d", source="x"))
    assert [update.revision for update in second.take_endpoint_updates()] == [3]
    assert [update.revision for update in first.take_endpoint_updates()] == [4], "and the reverse"
    assert not second.take_endpoint_updates(lambda head: False)
    for journal in (first, second):
        journal.close()


@pytest.mark.parametrize("newer_in", ["journal", "journal.1"])
def test_of_two_lists_left_by_processes_that_were_killed_the_newer_one_is_used(
    tmp_path: Path, newer_in: str
) -> None:
    # Guards against a start by the older of two lists in the state folder.
    first, second = open_journal(tmp_path), open_journal(tmp_path)
    for journal in (first, second):
        journal.record_endpoints(whole(9 if journal.slot == newer_in else 5, journal.slot))
        journal.close()
    restarted = open_journal(tmp_path)
    assert uids(restarted.endpoints) == {newer_in}
    restarted.close()
    again = open_journal(tmp_path)
    assert uids(again.endpoints) == {newer_in}, "on the disk as well"
    again.close()


def test_list_of_a_process_that_ends_reaches_the_one_that_goes_on(tmp_path: Path) -> None:
    first, second = open_journal(tmp_path), open_journal(tmp_path)
    first.record_endpoints(whole(5, "a"))
    second.record_endpoints(whole(6, "b"))
    second.close()
    for _ in first.take_over(second.slot) or ():
        pass
    assert uids(merge_updates(first.take_endpoint_updates())) == {"b"}
    first.close()


class PartlySilentPlatform(FakePlatform):
    """Leaves the requests for lists on some connections without an answer, as while discovery is down.

    Attributes:
        is_silent: Returns whether a connection gets no answer.
        writers: The connections, in the order in which they were opened.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_silent: Callable[[asyncio.StreamWriter], bool] = lambda writer: False
        self.writers = list[asyncio.StreamWriter]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with suppress(asyncio.IncompleteReadError):
            await super().serve(reader, writer)

    async def _write(self, response: bytes, writer: asyncio.StreamWriter) -> None:
        if self.is_silent(writer) and b'"targets"' in response:
            await asyncio.Event().wait()
        await super()._write(response, writer)


class MovingWorld:
    """A sender whose destination 1 moves to another endpoint, which not both of its processes are told."""

    def __init__(self, world: SharedStateSender, platform: PartlySilentPlatform, new: CostlyEndpoint) -> None:
        self.world = world
        self.platform = platform
        self.new = new

    def move(self) -> None:
        gone = self.world.endpoint.discovery_row() | {"state": "removed"}
        self.platform.publish(gone, self.new.discovery_row())

    async def check_delivered_to_new(self, process: SenderProcess, name: str) -> None:
        calls = len(self.world.endpoint.call_times)
        assert await self.world.submit(process, name) == "+OK"
        async with asyncio.timeout(5.0):
            while name not in self.new.call_counts:
                assert len(self.world.endpoint.call_times) == calls, "sent to the endpoint that has gone"
                await asyncio.sleep(0.01)


async def start_while_discovery_is_down(moving: MovingWorld) -> None:
    """The old process was told; the new one finds discovery down."""
    old = await moving.world.start_process()
    moving.move()
    await moving.check_delivered_to_new(old, "m1")
    moving.platform.is_silent = lambda writer: True
    new = await moving.world.start_process()
    await moving.check_delivered_to_new(new, "m2")
    await moving.world.end_process(old, signal.SIGKILL)
    await asyncio.sleep(0.5)
    await moving.check_delivered_to_new(new, "m3")


async def only_the_old_process_is_told(moving: MovingWorld) -> None:
    """Both run when the list changes; the new one has no answer from discovery."""
    await moving.world.start_process()
    await asyncio.sleep(0.3)
    old_connections = set(moving.platform.writers)
    moving.platform.is_silent = lambda writer: writer not in old_connections
    new = await moving.world.start_process()
    moving.move()
    await asyncio.sleep(0.6)
    await moving.check_delivered_to_new(new, "m1")


async def only_the_new_process_is_told(moving: MovingWorld) -> None:
    """The reverse; the new one ends, and the old one goes on."""
    old = await moving.world.start_process()
    await asyncio.sleep(0.3)
    old_connections = set(moving.platform.writers)
    moving.platform.is_silent = lambda writer: writer in old_connections
    new = await moving.world.start_process()
    await asyncio.sleep(0.3)
    moving.move()
    await asyncio.sleep(0.6)
    await moving.check_delivered_to_new(old, "m1")
    await moving.world.end_process(new, signal.SIGKILL)
    await moving.check_delivered_to_new(old, "m2")


async def start_after_both_were_killed(moving: MovingWorld) -> None:
    """Only the new one was told, and both are killed; discovery is down at the next start."""
    await moving.world.start_process()
    await asyncio.sleep(0.3)
    new = await moving.world.start_process()
    await asyncio.sleep(0.3)
    moving.move()
    await moving.check_delivered_to_new(new, "m1")
    moving.platform.is_silent = lambda writer: True
    for process in list(moving.world.processes):
        await moving.world.end_process(process, signal.SIGKILL)
    restarted = await moving.world.start_process()
    await moving.check_delivered_to_new(restarted, "m2")


@pytest.mark.parametrize("is_known", [False, True], ids=["no known list", "old known list"])
@pytest.mark.parametrize(
    "scenario",
    [
        start_while_discovery_is_down,
        only_the_old_process_is_told,
        only_the_new_process_is_told,
        start_after_both_were_killed,
    ],
)
def test_no_process_sends_by_an_older_list_than_another_was_told(
    scenario: Callable[[MovingWorld], Awaitable[None]], is_known: bool, tmp_path: Path
) -> None:
    # Guards against messages at an endpoint that the other process of the sender was told has gone.
    async def run() -> None:
        async with running_sender(tmp_path) as world:
            platform = PartlySilentPlatform()
            await platform.listen()
            platform.publish(world.endpoint.discovery_row())
            world.platform.close()
            world.platform = platform
            if is_known:
                world.known = platform.complete_list()
            new_endpoint: Any = CostlyEndpoint("e2", 1, None, 0.0, 2)
            await new_endpoint.listen()
            try:
                await scenario(MovingWorld(world, platform, new_endpoint))
            finally:
                new_endpoint.close()

    asyncio.run(asyncio.wait_for(run(), 60.0))
