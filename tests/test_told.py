"""By when a sender is told what discovery has, and that it never stops asking: on a driven clock, faults forced."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from conftest import SETTINGS

from kestreltrack import http1
from kestreltrack.decision import Action, DiscoveryFailed, EndpointsUpdated, Event, PollEndpointList, Settings
from kestreltrack.discovery import http_source
from kestreltrack.discovery.http_source import HttpEndpointSource, parse_endpoint
from kestreltrack.discovery.source_switch import SwitchableSource
from kestreltrack.http1 import ConnectionBrokenError, TruncatedResponseError
from kestreltrack.ports import DiscoveryError, EndpointListUpdate
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.emulator.discovery import (
    ENDPOINT_ROW,
    DiscoveryConnection,
    DiscoveryServer,
    ListFollower,
)
from kestreltrack.testing.emulator.virtual_time import run_in_virtual_time

TOLD_S = 5.7  # of the 6 s after which a change counts as told: some of them are left to a loaded service
MOVED_S = 3.7  # of 4 s after SIGHUP
AGENT_S = 0.48  # of the 0.5 s that a drain leaves


class Faulty(DiscoveryConnection):
    """Its next calls end as `faults` say, then it is like any other; `asked`: each call with its time."""

    def __init__(self, discovery: DiscoveryServer, *faults: str) -> None:
        super().__init__(discovery)
        self.faults, self.asked = list(faults), list[tuple[float, str]]()

    async def exchange(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> tuple[int, bytes]:
        self.asked.append((asyncio.get_running_loop().time(), target))
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "503":
            return 503, b""
        if fault == "spoilt":
            return 200, b'{"rev": 99, "all": true, "targets": [{"ui'
        if fault == "hang":
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        if fault == "endless":
            await asyncio.sleep(http1.client.BODY_TIMEOUT_S)
        if fault:
            raise {"refused": ConnectionRefusedError("refused"), "reset": ConnectionBrokenError("reset")}.get(
                fault, TruncatedResponseError(fault)
            )
        return await super().exchange(method, target, timeout_s, body)


def settings(relays: int = 200, pushed: bool = False) -> Settings:
    safety = replace(SETTINGS.safety, drain_grace_ms=500)
    return replace(SETTINGS, sender_count=relays, must_poll=not pushed, safety=safety)


async def watching(
    discovery: DiscoveryServer, count: int, config: Settings
) -> list[tuple[ListFollower, Faulty]]:
    """Senders that have the list and watch; a change has ended all their watches in one moment."""
    found = []
    for seed in range(count):
        link = Faulty(discovery)
        found.append((ListFollower(config, link, seed), link))
        found[-1][0].start()
    await asyncio.sleep(5.0)
    discovery.publish_change()
    await asyncio.sleep(2.0)
    assert all(follower.received_at(discovery.revision) < float("inf") for follower, _ in found)
    return found


def played(story: Callable[[], Awaitable[None]]) -> None:
    async def whole() -> None:
        await story()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    run_in_virtual_time(whole())


# After a call that failed ------------------------------------------------------------------------


@pytest.mark.parametrize("relays", [3, 200])
@pytest.mark.parametrize("first", ["", "spoilt", "cut", "endless"])
@pytest.mark.parametrize("state", ["503", "refused", "reset", "silent"])
def test_after_an_outage_all_are_told_within_six_seconds(state: str, first: str, relays: int) -> None:
    # Whatever a call that is under way at the return does, and also where the first answer after it is no list.
    async def story() -> None:
        loop, discovery = asyncio.get_running_loop(), DiscoveryServer()
        found = await watching(discovery, 10, settings(relays))
        discovery.set_state(state)
        await asyncio.sleep(30.0)
        discovery.publish_change()
        for _, link in found:
            link.faults = [first] * bool(first)
        back, asked = loop.time(), sum(len(link.asked) for _, link in found)
        discovery.set_state("up")
        await asyncio.sleep(30.0)
        assert max(follower.received_at(discovery.revision) - back for follower, _ in found) <= TOLD_S
        assert sum(len(link.asked) for _, link in found) - asked <= 10 * (15 if relays == 3 else 6), (
            "watches again"
        )

    played(story)


@pytest.mark.parametrize("fault", ["reset", "503", "spoilt", "hang"])
def test_with_few_senders_one_more_call_may_fail_after_the_return(fault: str) -> None:
    async def story() -> None:
        loop, discovery = asyncio.get_running_loop(), DiscoveryServer()
        found = await watching(discovery, 10, settings(3))
        discovery.set_state("503")
        await asyncio.sleep(30.0)
        discovery.publish_change()
        for _, link in found:
            link.faults = [fault]
        back = loop.time()
        discovery.set_state("up")
        await asyncio.sleep(30.0)
        assert max(follower.received_at(discovery.revision) - back for follower, _ in found) <= TOLD_S

    played(story)


def test_watches_that_break_at_once_are_not_asked_for_without_a_pause() -> None:
    # An answer ends the back-off; a service that answers and then breaks the watch would be asked without end.
    async def story() -> None:
        (_, link), *_ = await watching(DiscoveryServer(), 1, settings(3))
        link.faults = ["reset"] + ["", "reset"] * 100
        before = len(link.asked)
        await asyncio.sleep(10.0)
        assert 10 < len(link.asked) - before < 90

    played(story)


def test_a_service_asked_for_more_than_it_can_do_still_answers_as_many_as_it_can() -> None:
    # Calls given up sooner than it has them wait are served for nobody: then nobody is told, for good.
    async def story() -> None:
        loop, discovery = (
            asyncio.get_running_loop(),
            DiscoveryServer(8.0),
        )  # 60 of 200: asked for some 20 a second
        found = [ListFollower(settings(), DiscoveryConnection(discovery), seed) for seed in range(60)]
        began = loop.time()
        for follower in found:
            follower.start()
        await asyncio.sleep(30.0)
        assert max(follower.received_at(1) - began for follower in found) < 2.0 * 60 / 8.0

    played(story)


# A watch that fell silent, or broke --------------------------------------------------------------


@pytest.mark.parametrize("relays, rate", [(3, 1000.0), (200, 60.0)])
def test_what_silent_watches_missed_is_told_before_it_counts(relays: int, rate: float) -> None:
    # All watches were opened in one moment, and all fall silent in one: calls are served in turn, one a sixtieth.
    async def story() -> None:
        loop, discovery = asyncio.get_running_loop(), DiscoveryServer(rate)
        found = await watching(discovery, 60, settings(relays))
        fell, waits = loop.time(), discovery.silence_watches()
        assert len(waits) == 60
        discovery.publish_change()
        await asyncio.sleep(40.0)
        left = [
            max(fell + 6.0, waits[link] + 2.0) - follower.received_at(discovery.revision)
            for follower, link in found
        ]
        assert min(left) >= 0.3

    played(story)


@pytest.mark.parametrize("fault", ["503", "reset", "spoilt", "hang"])
@pytest.mark.parametrize("relays", [3, 200])
def test_where_the_first_call_after_a_silent_watch_fails_too(relays: int, fault: str) -> None:
    async def story() -> None:
        discovery = DiscoveryServer()
        found = await watching(discovery, 10, settings(relays))
        waits = discovery.silence_watches()
        discovery.publish_change()
        for _, link in found:
            link.faults = [fault]
        await asyncio.sleep(40.0)
        for follower, link in found:
            assert (
                follower.received_at(discovery.revision) - (waits[link] + http_source.LONG_POLL_GRACE_S)
                <= TOLD_S
            )

    played(story)


def test_a_kept_connection_that_is_closed_under_a_watch_is_no_pause() -> None:
    async def story() -> None:
        discovery = DiscoveryServer()
        (_, link), *_ = await watching(discovery, 1, settings(3))
        link.faults = ["reset"]
        discovery.publish_change()  # ends the watch; the next one meets the close
        await asyncio.sleep(2.0)
        closed = next(n for n, (_, target) in enumerate(link.asked) if "from=3" in target)
        assert link.asked[closed + 1][0] - link.asked[closed][0] < 0.2, "the watch goes on"
        assert [target.partition("hold_ms=")[2] for _, target in link.asked[closed + 1 :]] == ["1", "3000"]

    played(story)


@pytest.mark.parametrize("part", [b"-Type: a", b"-Length: 99\r\n\r\n{"], ids=["half a head", "half a body"])
def test_an_answer_that_stops_halfway_ends_long_before_the_watch(part: bytes, monkeypatch: Any) -> None:
    monkeypatch.setattr(http1.connection, "HEAD_TIMEOUT_S", 0.05)
    monkeypatch.setattr(http1.client, "BODY_TIMEOUT_S", 0.05)

    async def story() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent" + part)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        source = HttpEndpointSource(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", Telemetry(), 200)
        source._revision = 41
        with pytest.raises(DiscoveryError):
            await asyncio.wait_for(source._poll(41, catching_up=False), 14.0)  # the watch waits 15 s at least
        server.close()

    asyncio.run(story())


def test_a_watch_does_not_wait_for_its_connection(monkeypatch: Any) -> None:
    waited = list[float]()

    async def never(address: str, timeout_s: float) -> None:
        waited.append(timeout_s)
        raise TimeoutError

    monkeypatch.setattr(http1.Connection, "open", never)
    source = HttpEndpointSource("127.0.0.1:1", Telemetry(), 200)
    for missed in (True, False):
        with pytest.raises(DiscoveryError):
            asyncio.run(source._poll(41, missed))
    assert waited == [http_source.CONNECT_TIMEOUT_S] * 2


# SIGHUP ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "faults", ["", "503", "hang", "refused refused refused", "spoilt", "cut reset", "hang 503"]
)
@pytest.mark.parametrize("when", ["watching", "asleep after failures", "call under way", "twice"])
def test_what_a_new_address_has_is_told_within_four_seconds(when: str, faults: str, monkeypatch: Any) -> None:
    async def story() -> None:
        loop, discovery, new = asyncio.get_running_loop(), DiscoveryServer(), DiscoveryServer()
        new.revision, links = 7, list[Faulty]()

        def client(address: str, connect_timeout_s: float) -> DiscoveryConnection:
            links.append(Faulty(new if address == "new" else DiscoveryServer(), *faults.split()))
            return links[-1]

        monkeypatch.setattr(http_source, "HttpClient", client)
        found = await watching(discovery, 10, settings(200))
        if when != "watching":
            discovery.set_state("503" if when == "asleep after failures" else "silent")
            await asyncio.sleep(31.3)
        moved = loop.time()
        for follower, _ in found:
            if when == "twice":
                follower.http_source.change_address("another")
                follower.core.poll_now()
            follower.http_source.change_address("new")
            follower.core.poll_now()
        await asyncio.sleep(30.0)
        for follower, _ in found:
            assert min(at for at, rev in follower.received if rev == 7 and at > moved) - moved <= MOVED_S
        assert len(new.call_times) <= 10 * 8

    played(story)


# Pushed lists ------------------------------------------------------------------------------------


@pytest.mark.parametrize("first", ["", "503", "cut", "spoilt"])
def test_what_an_agent_has_is_told_within_the_time_of_a_drain(first: str) -> None:
    async def story() -> None:
        loop, agent = asyncio.get_running_loop(), DiscoveryServer()
        follower, link = (await watching(agent, 1, settings(200, pushed=True)))[0]
        for step in range(60):  # it falls silent and comes back at many moments of its calls
            agent.set_state("silent")
            await asyncio.sleep(1.0 + 0.0071 * step)
            agent.revision += 1
            link.faults, back = [first] * bool(first), loop.time()
            agent.set_state("up")
            await asyncio.sleep(1.0)
            assert follower.received_at(agent.revision) - back <= AGENT_S

    played(story)


def test_an_agent_that_begins_anew_with_older_versions_is_asked_for_the_whole_list() -> None:
    async def story() -> None:
        agent = DiscoveryServer()
        agent.revision = 50
        follower, link = (await watching(agent, 1, settings(200, pushed=True)))[0]
        agent.revision, before = 3, len(link.asked)
        await asyncio.sleep(1.0)
        assert [target for _, target in link.asked[before:]].count("/api/targets") == 1
        assert follower.received[-1][1] == 3

    played(story)


# It never stops ----------------------------------------------------------------------------------


class Breaking:
    """A source that tells its list and then ends as `how` says, each time it is followed; `began` keeps when."""

    def __init__(self, how: str, size: int = 1) -> None:
        self.how, self.began = how, list[float]()
        row = parse_endpoint(ENDPOINT_ROW)
        self.update = EndpointListUpdate(1, True, tuple(replace(row, uid=f"n{n}") for n in range(size)))

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        self.began.append(asyncio.get_running_loop().time())
        if self.how != "ends at once":
            yield self.update
        if self.how == "fails":
            raise DiscoveryError("on request")
        if self.how == "raises":
            raise ValueError("on request")
        if self.how == "cancelled":
            raise asyncio.CancelledError
        if self.how == "waits":
            await asyncio.sleep(1000.0)
        if self.how == "fails later":  # with slices still to be told
            await asyncio.sleep(0.001)
            raise DiscoveryError("on request")


@pytest.mark.parametrize("switched", [False, True], ids=["alone", "behind the switch"])
@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@pytest.mark.parametrize("how", ["ends", "ends at once", "fails", "fails later", "raises", "cancelled"])
def test_however_a_source_ends_it_is_followed_again(how: str, pushed: bool, switched: bool) -> None:
    async def story() -> None:
        source = Breaking(how, size=2000 if how == "fails later" else 1)
        config = settings(3, pushed)
        follower = ListFollower(
            config,
            DiscoveryConnection(DiscoveryServer()),
            source=SwitchableSource(source) if switched else source,
        )
        follower.start()
        await asyncio.sleep(10.0)
        assert follower.task and not follower.task.done()
        assert (60 if pushed else 3) < len(source.began) < (510 if pushed else 40), (
            "again and again, with a pause"
        )
        gaps = [b - a for a, b in pairwise(source.began)]
        assert max(gaps) < (0.1 if pushed else 2.2), (
            "at the module's word, long before it would be asked without"
        )

    played(story)


class Lossy:
    """Stands before the module, and loses what it is told to lose."""

    def __init__(self, policy: Any, loses: type, fails: bool) -> None:
        self.policy, self.loses, self.fails, self.lost = policy, loses, fails, 0

    def handle(self, now: float, event: Event) -> None:
        if isinstance(event, self.loses):
            self.lost += 1
            if self.fails:
                raise RuntimeError("on request")
            return
        self.policy.take(now, event)

    def decide(self, now: float) -> list[Action]:
        return [a for a in self.policy.decide(now) if not isinstance(a, self.loses)]


@pytest.mark.parametrize("fails", [False, True], ids=["lost", "fault"])
@pytest.mark.parametrize("loses", [DiscoveryFailed, PollEndpointList, EndpointsUpdated])
def test_whatever_word_of_the_module_is_lost_discovery_is_asked(loses: type, fails: bool) -> None:
    async def story() -> None:
        loop, discovery = asyncio.get_running_loop(), DiscoveryServer()
        (follower, link), *_ = await watching(discovery, 1, settings(3))
        follower.dispatcher.decider = Lossy(follower.policy, loses, fails)  # type: ignore[assignment]
        discovery.set_state("503")
        await asyncio.sleep(20.0)
        discovery.publish_change()
        back = loop.time()
        discovery.set_state("up")
        await asyncio.sleep(30.0)
        assert follower.received_at(discovery.revision) - back <= TOLD_S
        assert len(link.asked) < 120

    played(story)


@pytest.mark.parametrize("part", ["update_queue.enqueue", "apply_next_chunk", "transport.close_idle"])
def test_what_could_not_be_taken_in_is_told_again(part: str, monkeypatch: Any) -> None:
    # The version was kept as told before it was: the change was lost for good.
    async def story() -> None:
        discovery = DiscoveryServer()
        (follower, link), *_ = await watching(discovery, 1, settings(3))
        owner, _, name = part.rpartition(".")
        updates = follower.core.endpoint_updates
        place: Any = getattr(updates, owner) if owner else updates
        real, faults = getattr(place, name), ["one"]

        def faulty(*args: Any) -> Any:
            if faults:
                faults.clear()
                raise RuntimeError("on request")
            return real(*args)

        monkeypatch.setattr(type(place), name, lambda self, *args: faulty(*args), raising=False)
        take = updates.update_queue.enqueue
        if name == "close_idle":  # as if an endpoint had gone
            monkeypatch.setattr(updates.update_queue, "enqueue", lambda update: take(update) | {"n"})
        discovery.publish_change()
        await asyncio.sleep(10.0)
        assert not faults and [target for _, target in link.asked].count("/api/targets?from=2&hold_ms=1") == 1
        assert follower.core.endpoint_list.revision == discovery.revision == follower.received[-1][1]

    played(story)


@pytest.mark.parametrize("size", [1, 300], ids=["small", "told in slices"])
def test_a_list_as_it_was_known_ends_the_asking(size: int) -> None:
    # Nothing in it is news, so the module was told nothing: it went on asking beside the watch.
    async def story() -> None:
        source = Breaking("waits", size)
        follower = ListFollower(settings(3), DiscoveryConnection(DiscoveryServer()), source=source)
        follower.dispatcher.notify(follower.core.endpoint_list.apply(source.update, cached=True))
        follower.start()
        await asyncio.sleep(1.0)
        assert len(source.began) == 1 and follower.policy.subscribed

    played(story)


def test_an_end_of_the_process_ends_the_following() -> None:
    async def story() -> None:
        (follower, _), *_ = await watching(DiscoveryServer(), 1, settings(3))
        await follower.stop()
        assert follower.task and follower.task.cancelled()

    played(story)
