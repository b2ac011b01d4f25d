"""Messages of one ordering key are sent one at a time and in order, whichever process of a sender accepted them."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, cast

import pytest
from conftest import SETTINGS as MODULE_SETTINGS
from conftest import Relay, entry, sends
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.decision import ElsewhereProgress, OrderedElsewhere, Outcome, Policy
from kestreltrack.invariants.sender import InvariantViolationError, SenderInvariants
from kestreltrack.journal import Journal, OutstandingMessage
from kestreltrack.ports import Message
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.sender.key_order import KeyOrder
from kestreltrack.snapshot.codec import restore, take_snapshot
from kestreltrack.snapshot.state import decode, encode
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.load_generator import encode_command
from kestreltrack.testing.harness.sender_process import SenderProcess
from kestreltrack.testing.pressure.endpoints import CostlyEndpoint
from kestreltrack.testing.pressure.shared_state import SharedStateSender, running_sender

KEY = 5
HELD, IN_FLIGHT, UNCERTAIN, ENDED = ElsewhereProgress


def elsewhere(progress: ElsewhereProgress, id_: str = "x", before: str = "") -> OrderedElsewhere:
    return OrderedElsewhere(id_, KEY, progress, before)


# The decision module ------------------------------------------------------------------------------


def test_message_waits_for_an_earlier_one_of_the_other_process() -> None:
    relay = Relay(entry(1))
    relay.do(elsewhere(HELD))
    assert not sends(relay.arrive(1, "ordered", key=KEY))
    assert sends(relay.arrive(1, "ordered", key=KEY + 1)) == ["m2"], "other keys go on"
    assert not sends(relay.do(elsewhere(IN_FLIGHT)))
    assert sends(relay.do(elsewhere(ENDED))) == ["m1"]


def test_message_does_not_wait_for_a_later_one_of_the_other_process_unless_that_is_out() -> None:
    relay = Relay(entry(1))
    first, second = relay.message(1, "ordered", key=KEY), relay.message(1, "ordered", key=KEY)
    assert sends(relay.do(first, second)) == ["m1"]
    relay.do(elsewhere(HELD, before="m2"))
    relay.do(elsewhere(IN_FLIGHT))
    assert not sends(relay.end("m1", Outcome.REJECTED)) + sends(relay.wait(1000.0))
    assert sends(relay.do(elsewhere(HELD))) == ["m1"]
    assert not sends(relay.end("m1")), "the other process's message comes next"
    assert sends(relay.do(elsewhere(ENDED))) == ["m2"]


def test_key_rests_after_an_uncertain_attempt_of_the_other_process() -> None:
    relay = Relay(entry(1))
    relay.do(elsewhere(IN_FLIGHT), elsewhere(UNCERTAIN), elsewhere(ENDED))
    assert not sends(relay.arrive(1, "ordered", key=KEY))
    assert not sends(relay.wait(MODULE_SETTINGS.safety.settle_ms - 20.0))
    assert sends(relay.wait(40.0)) == ["m1"]


def test_message_that_is_taken_over_keeps_its_place_and_may_go_on_while_its_key_rests() -> None:
    relay = Relay(entry(1))
    relay.do(elsewhere(IN_FLIGHT))
    relay.arrive(1, "ordered", key=KEY)
    relay.do(elsewhere(UNCERTAIN))
    relay.tries["x"] = 0  # by the other process
    taken_over = relay.message(1, "ordered", key=KEY, id="x", accepted=True, attempts=1)
    assert sends(relay.do(taken_over) + relay.wait(2000.0)) == ["x"]
    assert sends(relay.end("x") + relay.wait(3000.0)) == ["m1"]


def test_messages_of_the_other_process_survive_a_snapshot() -> None:
    relay = Relay(entry(1))
    relay.do(elsewhere(HELD), elsewhere(IN_FLIGHT, "y"))
    relay.arrive(1, "ordered", key=KEY)
    relay.policy = restore(decode(encode(take_snapshot(relay.policy))))
    assert not sends(relay.do(elsewhere(ENDED))) + sends(relay.wait(100.0))
    assert sends(relay.do(elsewhere(ENDED, "y"))) == ["m1"]


def test_invariants_find_a_message_that_overtakes_the_other_process() -> None:
    for overtakes in (False, True):
        relay = Relay(entry(1))
        checker = SenderInvariants(relay.policy.settings)
        checker.load_state(take_snapshot(relay.policy))
        arrival = relay.message(1, "ordered", key=KEY)
        checker.observe(0.0, elsewhere(HELD))
        checker.observe(0.0, arrival)
        if not overtakes:
            checker.observe(0.0, elsewhere(ENDED))
        actions = relay.do(arrival)
        if overtakes:
            with pytest.raises(InvariantViolationError, match="other process"):
                checker.check_actions(0.0, actions)
        else:
            checker.check_actions(0.0, actions)


# Two processes, drawn moment by moment ------------------------------------------------------------


class Process:
    """The journal and the key order of one process, which sends its messages in the order of their places."""

    def __init__(self, folder: Path, clock: Callable[[], float]) -> None:
        self.journal = Journal(folder, 1_000_000, Telemetry())
        self.dispatcher = Dispatcher(Policy(MODULE_SETTINGS, 1), clock, Telemetry())
        self.key_order = KeyOrder(self.dispatcher, self.journal, MODULE_SETTINGS)
        self.queue = list[OutstandingMessage]()
        # The message whose attempt is recorded, but not yet permitted.
        self.claimed: OutstandingMessage | None = None
        self.sent: OutstandingMessage | None = None
        self.arriving: tuple[Message, float] | None = None

    def step(self, name: str) -> str:
        """Do the next part of accepting (`a`) or sending (`s`); return what has happened, with the message's id."""
        if name == "a":
            return self._accept()
        if self.sent:
            self.journal.record_completed(self.sent, 0.0)
            self.queue.remove(self.sent)
            self.sent = None
            return ""
        return self._begin()

    def _accept(self) -> str:
        """In two parts: the place is taken before the record is written."""
        if self.arriving is None:
            id_ = f"{self.journal.slot}-{len(self.journal.ended)}-{random.random()}"
            message = Message(id_, "ordered", 1, 1e15, b"", ordering_key=KEY)
            self.dispatcher.pending_messages[id_] = cast(Any, None)
            self.arriving = message, self.key_order.add(message)
            return ""
        message, place = self.arriving
        self.arriving = None
        self.queue.append(self.journal.record_accepted(message, place))
        return "accepted " + message.id

    def _begin(self) -> str:
        """In two parts: an attempt is recorded, and only then permitted for good."""
        if self.claimed:
            claimed, self.claimed = self.claimed, None
            if self.key_order.permits(claimed.message):
                self.sent = claimed
                return "sent " + claimed.message.id
            self.journal.record_outcome(claimed, Outcome.NOT_SENT)
        elif self.queue and self.key_order.permits(self.queue[0].message):
            self.claimed = self.queue[0]
            self.journal.record_attempt(self.claimed, 1.0, "")
        return ""


@settings(derandomize=True, deadline=None, max_examples=150)
@given(moves=st.lists(st.tuples(st.sampled_from([0, 1]), st.sampled_from("as"), st.booleans()), max_size=60))
def test_two_processes_never_have_a_key_out_together_and_come_to_the_same_order(
    moves: list[tuple[int, str, bool]], tmp_path_factory: pytest.TempPathFactory
) -> None:
    # Guards against two attempts of a key at a time, a later message that overtakes, and processes that wait for each
    # other, at each point between the look at the other's file and the own record.
    now = [1000.0]
    folder = tmp_path_factory.mktemp("state")

    async def play() -> None:
        processes = [Process(folder, lambda: now[0]) for _ in range(2)]
        accepted = list[str]()
        # The messages before which each one was accepted for a client to know.
        behind = dict[str, list[str]]()
        sent = list[str]()
        # A long end: all that was accepted has to go out.
        draining = [(number, "s", True) for _ in range(12 * len(moves) + 12) for number in (0, 1)]
        for number, name, ticks in [*moves, *draining]:
            now[0] += 1.0 if ticks else 0.0
            process = processes[number]
            event, _, id_ = process.step(name).partition(" ")
            if process.arriving:
                behind.setdefault(process.arriving[0].id, list(accepted))
            if event == "accepted":
                accepted.append(id_)
            if event == "sent":
                assert set(behind[id_]) <= set(sent), "overtakes what was accepted before it arrived"
                sent.append(id_)
                assert sum(other.sent is not None for other in processes) == 1
        for process in processes:
            assert not process.queue, "waits for good"
            process.journal.close()

    asyncio.run(play())


# Real processes -----------------------------------------------------------------------------------

ORDERED_SETTINGS = SETTINGS | {
    "classes": [
        {
            "name": "ordered",
            "idempotency": "idempotent",
            "inOrder": True,
            "onTimeMs": 4000.0,
            "deadlineMs": 20_000.0,
            "importance": 1.0,
            "lateWorth": 0.5,
        }
    ],
    "safety": SETTINGS["safety"] | {"settleAfterDoubtMs": 700.0},
    "telemetry": {"fields": [], "how": "none"},
}
SETTLE_S = 0.7
SERVICE_S = 0.12
# "every time limit is 50 ms longer"
SLACK_S = 0.05


class OrderedEndpoint(CostlyEndpoint):
    """Records the beginning and the end of each call; the ids in `broken` get no answer at their first call."""

    def __init__(self) -> None:
        super().__init__("e1", 1, None, 0.0, 1)
        self.calls = list[tuple[str, float, float, bool]]()
        self.broken = set[str]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_http(reader)
            id_ = request.headers["x-call-id"]
            self.call_counts[id_] = self.call_counts.get(id_, 0) + 1
            began_at = time.monotonic()
            leaving = asyncio.create_task(reader.read(1))
            await asyncio.wait({leaving}, timeout=SERVICE_S)
            is_broken = leaving.done() or id_ in self.broken
            self.calls.append((id_, began_at, time.monotonic(), not is_broken))
            leaving.cancel()
            if is_broken:
                self.broken.discard(id_)
                writer.transport.abort()
                return
            await asyncio.gather(leaving, return_exceptions=True)
            writer.write(http_answer("200"))
            await writer.drain()

    def check_order(self, accepted: list[str], with_rests: bool) -> None:
        """Check that the calls came one at a time, in the order of acceptance, and with a rest after a broken one."""
        position = {id_: number for number, id_ in enumerate(accepted)}
        assert {id_ for id_, _, _, ok in self.calls if ok} == set(accepted)
        done = dict[str, float]()
        last_ended_at, rests_until, resting = 0.0, 0.0, ""
        for id_, began_at, ended_at, ok in sorted(self.calls, key=lambda call: call[1]):
            assert began_at >= last_ended_at - SLACK_S, f"{id_} while another call was out"
            earlier = [other for other in accepted[: position[id_]] if other not in done]
            assert not earlier, f"{id_} before {earlier}"
            is_resting = began_at < rests_until - SLACK_S and id_ != resting
            assert not (with_rests and is_resting), f"{id_} while the key rests"
            last_ended_at = ended_at
            if ok:
                done.setdefault(id_, ended_at)
            else:
                rests_until, resting = ended_at + SETTLE_S, id_


class OrderedWorld:
    """A sender of several processes, and one client that hands in messages of a key one after the other."""

    def __init__(self, world: SharedStateSender, endpoint: OrderedEndpoint) -> None:
        self.world = world
        self.endpoint = endpoint
        self.accepted = list[str]()

    async def hand_in(self, *processes: SenderProcess, count: int = 6) -> None:
        """Hand messages in at the processes in turn."""
        for number in range(count):
            process = processes[number % len(processes)]
            id_ = f"m{len(self.accepted):04x}"
            host, _, port = process.listen_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_command("SUBMIT", f"{KEY:016x}", id_, "c=ordered,t=acme,d=20000,dest=1", "x"))
            assert await reader.readline() == b"+OK\r\n"
            writer.close()
            self.accepted.append(id_)

    async def wait_until_all_delivered(self) -> None:
        async with asyncio.timeout(25.0):
            while {id_ for id_, _, _, ok in self.endpoint.calls if ok} != set(self.accepted):
                await asyncio.sleep(0.02)


async def upgrade(ordered: OrderedWorld) -> None:
    old = await ordered.world.start_process()
    await ordered.hand_in(old)
    new = await ordered.world.start_process()
    await ordered.hand_in(old, new)
    await old.signal(signal.SIGTERM)
    await ordered.hand_in(new)


async def old_process_is_killed(ordered: OrderedWorld) -> None:
    old = await ordered.world.start_process()
    await ordered.hand_in(old)
    new = await ordered.world.start_process()
    await ordered.hand_in(old, new)
    await ordered.world.end_process(old, signal.SIGKILL)
    await ordered.hand_in(new)


async def failed_upgrade(ordered: OrderedWorld) -> None:
    old = await ordered.world.start_process()
    await ordered.hand_in(old)
    new = await ordered.world.start_process()
    await ordered.hand_in(new, old)
    await ordered.world.end_process(new, signal.SIGKILL)
    await ordered.hand_in(old)


async def two_upgrades(ordered: OrderedWorld) -> None:
    first = await ordered.world.start_process()
    await ordered.hand_in(first, count=3)
    second = await ordered.world.start_process()
    await ordered.hand_in(first, second, count=4)
    await ordered.world.end_process(first, signal.SIGKILL)
    third = await ordered.world.start_process()
    await ordered.hand_in(second, third, count=4)
    await second.signal(signal.SIGTERM)
    await ordered.hand_in(third, count=3)


async def both_are_killed(ordered: OrderedWorld) -> None:
    old = await ordered.world.start_process()
    new = await ordered.world.start_process()
    await ordered.hand_in(old, new)
    for process in (old, new):
        await process.signal(signal.SIGKILL)
    for process in (old, new):
        assert process.process
        await process.process.wait()
    await ordered.hand_in(await ordered.world.start_process(), count=3)


async def uncertain_attempts(ordered: OrderedWorld) -> None:
    ordered.endpoint.broken = {"m0001", "m0004"}
    old = await ordered.world.start_process()
    new = await ordered.world.start_process()
    await ordered.hand_in(old, new)


@pytest.mark.parametrize(
    "scenario",
    [upgrade, old_process_is_killed, failed_upgrade, two_upgrades, both_are_killed, uncertain_attempts],
)
def test_processes_of_a_sender_send_messages_of_a_key_in_the_order_of_their_acceptance(
    scenario: Callable[[OrderedWorld], Awaitable[None]], tmp_path: Path
) -> None:
    # Guards against two processes that both act as the one that has the key's turn.
    async def run() -> None:
        async with running_sender(tmp_path) as world:
            world.endpoint.close()
            endpoint = OrderedEndpoint()
            await endpoint.listen()
            world.platform.publish(endpoint.discovery_row())
            world.settings = ORDERED_SETTINGS
            ordered = OrderedWorld(world, endpoint)
            try:
                await scenario(ordered)
                await ordered.wait_until_all_delivered()
            finally:
                endpoint.close()
            # A message has to wait for attempts of those "taken since the instance's start" (WIRE, rule 6).
            endpoint.check_order(ordered.accepted, with_rests=scenario is not both_are_killed)

    asyncio.run(asyncio.wait_for(run(), 80.0))
