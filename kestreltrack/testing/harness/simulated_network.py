"""Simulates the network between members in virtual time, for fleets too large to run as processes.

The members run the production code (`Swim`); only the network is simulated.  All random numbers derive from one seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from kestreltrack.fleet.membership.member_table import MemberState, MemberStateChange
from kestreltrack.fleet.membership.swim import OutgoingDatagram, ProbeTiming, Swim
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.testing.harness.links import LinkFault, Links


@dataclass(frozen=True, slots=True)
class ViewChange:
    """A change in the view of one member."""

    at: float
    member: str
    change: MemberStateChange


class SimulatedNetwork:
    """Members on a simulated network with injected faults."""

    def __init__(
        self, count: int, seed: int, fault: LinkFault | None = None, timing: ProbeTiming | None = None
    ) -> None:
        """Start `count` members, named ``m0000`` and so on, the first three as seeds; `fault` is on all links."""
        self.random = random.Random(seed)
        self.links = Links(seed)
        self.baseline_fault = fault or LinkFault(delay_ms=1.0, jitter_ms=2.0)
        self.links.inject("*", "*", self.baseline_fault, bidirectional=False)
        self.timing = timing or ProbeTiming()
        self.now = 0.0
        self.members: dict[str, Swim] = {}
        self.dead = set[str]()
        self.paused = dict[str, float]()
        self.view_changes: list[ViewChange] = []
        self.datagrams_sent = dict[str, int]()
        self.bytes_sent = dict[str, int]()
        self._heap: list[tuple[float, int, str, str, bytes]] = []
        self._order = 0
        self._next_ticks = dict[str, float]()
        for number in range(count):
            self.add(f"m{number:04}")

    def add(self, name: str, zone: str = "", start: int = 1, seeds: int = 3) -> Swim:
        """Start or restart a member now, with the first `seeds` members as its seeds."""
        local_member = Alive(name, f"{name}:1", start, zone, process_start_ms=start)
        swim = self.members[name] = Swim(local_member, self.timing, self.random.randrange(2**32))
        self.dead.discard(name)
        self._post(name, swim.join(self.now, [f"m{n:04}:1" for n in range(seeds)]))
        return swim

    def kill(self, names: Iterable[str]) -> None:
        """End members without a leave message."""
        self.dead |= set(names)

    def leave(self, name: str) -> None:
        """Let a member leave: it announces its end and stops."""
        self._post(name, self.members[name].leave(self.now))
        self.dead.add(name)

    def pause(self, name: str, ms: float) -> None:
        """Pause a member; its datagrams wait in its socket."""
        self.paused[name] = self.now + ms

    def _post(self, source: str, out: list[OutgoingDatagram]) -> None:
        for address, data in out:
            target = address.partition(":")[0]
            self.datagrams_sent[source] = self.datagrams_sent.get(source, 0) + 1
            self.bytes_sent[source] = self.bytes_sent.get(source, 0) + len(data)
            for delay_ms in self.links.datagram_delays(source, target):
                self._push(self.now + delay_ms, source, target, data)
        self._schedule_tick(source)

    def _push(self, at: float, source: str, target: str, data: bytes) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, source, target, data))

    def _schedule_tick(self, name: str) -> None:
        """Schedule the next tick of a member, unless an earlier one is scheduled."""
        due = max(self.members[name].next_due(), self.now + 1.0)
        scheduled = self._next_ticks.get(name, float("inf"))
        if due < scheduled or scheduled <= self.now:
            self._next_ticks[name] = due
            self._push(due, "", name, b"")

    def run(self, ms: float, until: Callable[[], bool] | None = None) -> float:
        """Advance the time by `ms`, or until `until` is true after an event; return the elapsed ms."""
        started_at = self.now
        ends_at = self.now + ms
        while self._heap and self._heap[0][0] <= ends_at:
            at, order, source, target, data = heapq.heappop(self._heap)
            self.now = at
            if target in self.dead or target not in self.members:
                continue
            if (resumes := self.paused.get(target, 0.0)) > at:
                heapq.heappush(self._heap, (resumes, order, source, target, data))
                continue
            member = self.members[target]
            if source:
                out = member.receive(at, f"{source}:1", data)
            else:
                if at < self._next_ticks.get(target, 0.0):
                    continue  # superseded by a tick that was scheduled later
                self._next_ticks.pop(target, None)
                out = member.tick(at)
            self.view_changes += [ViewChange(at, target, change) for change in member.take_changes()]
            self._post(target, out)
            if until and until():
                return self.now - started_at
        self.now = ends_at
        return ms

    def heal(self) -> None:
        """Restore the initial state of all links."""
        self.links.heal()
        self.links.inject("*", "*", self.baseline_fault, bidirectional=False)

    def running_members(self) -> list[Swim]:
        """Return the members that are running."""
        return [member for name, member in self.members.items() if name not in self.dead]

    def views_agree(self) -> bool:
        """Return whether each running member sees exactly the running members as active."""
        names = {member.local_member.name for member in self.running_members()}
        return all(
            {info.name for info in member.active_members()} == names for member in self.running_members()
        )

    def false_positives(self) -> list[ViewChange]:
        """Return the view changes that declared a member dead that is running now."""
        declared_dead = [row for row in self.view_changes if row.change.state is MemberState.DEAD]
        return [row for row in declared_dead if row.change.name not in self.dead]
