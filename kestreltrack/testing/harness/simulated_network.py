"""Datagrams between members in simulated time, with faults on links by name: for sizes that processes don't reach.

Plays the members' own code (`Swim`); what is modelled is the network alone.  Every draw comes from one seed.
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
    """One member's view changed."""

    at: float
    member: str
    change: MemberStateChange


class SimulatedNetwork:
    """Members over a network that can be cut."""

    def __init__(
        self, count: int, seed: int, fault: LinkFault | None = None, timing: ProbeTiming | None = None
    ) -> None:
        """`count` members named ``m0000`` and so on; the first three are seeds of all.  `fault` is on all links."""
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
        self._wakes = dict[str, float]()
        for number in range(count):
            self.add(f"m{number:04}")

    def add(self, name: str, zone: str = "", start: int = 1, seeds: int = 3) -> Swim:
        """Start a member now, also one that was there before; it is given the first `seeds`."""
        me = Alive(name, f"{name}:1", start, zone, process_start_ms=start)
        swim = self.members[name] = Swim(me, self.timing, self.random.randrange(2**32))
        self.dead.discard(name)
        self._post(name, swim.join(self.now, [f"m{n:04}:1" for n in range(seeds)]))
        return swim

    def kill(self, names: Iterable[str]) -> None:
        """Without a word."""
        self.dead |= set(names)

    def leave(self, name: str) -> None:
        """With one."""
        self._post(name, self.members[name].leave(self.now))
        self.dead.add(name)

    def pause(self, name: str, ms: float) -> None:
        """It stands still; what comes to it waits in its socket."""
        self.paused[name] = self.now + ms

    def _post(self, source: str, out: list[OutgoingDatagram]) -> None:
        for address, data in out:
            target = address.partition(":")[0]
            self.datagrams_sent[source] = self.datagrams_sent.get(source, 0) + 1
            self.bytes_sent[source] = self.bytes_sent.get(source, 0) + len(data)
            for way in self.links.datagram_delays(source, target):
                self._push(self.now + way, source, target, data)
        self._wake(source)

    def _push(self, at: float, source: str, target: str, data: bytes) -> None:
        self._order += 1
        heapq.heappush(self._heap, (at, self._order, source, target, data))

    def _wake(self, name: str) -> None:
        """A tick when it is due; one that is planned sooner stands."""
        due = max(self.members[name].next_due(), self.now + 1.0)
        planned = self._wakes.get(name, float("inf"))
        if due < planned or planned <= self.now:
            self._wakes[name] = due
            self._push(due, "", name, b"")

    def run(self, ms: float, until: Callable[[], bool] | None = None) -> float:
        """Let time pass, or less where `until` holds after some event; how long it was."""
        began = self.now
        ends = self.now + ms
        while self._heap and self._heap[0][0] <= ends:
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
                if at < self._wakes.get(target, 0.0):
                    continue  # one planned later took its place
                self._wakes.pop(target, None)
                out = member.tick(at)
            self.view_changes += [ViewChange(at, target, change) for change in member.take_changes()]
            self._post(target, out)
            if until and until():
                return self.now - began
        self.now = ends
        return ms

    def heal(self) -> None:
        """All links as at the start."""
        self.links.heal()
        self.links.inject("*", "*", self.baseline_fault, bidirectional=False)

    def running_members(self) -> list[Swim]:
        """Those that run."""
        return [member for name, member in self.members.items() if name not in self.dead]

    def views_agree(self) -> bool:
        """Whether all that run hold exactly those to be members."""
        names = {member.local_member.name for member in self.running_members()}
        return all(
            {info.name for info in member.active_members()} == names for member in self.running_members()
        )

    def false_positives(self) -> list[ViewChange]:
        """Members held to be gone by somebody though they run (those that are dead now are left out)."""
        gone = [told for told in self.view_changes if told.change.state is MemberState.DEAD]
        return [told for told in gone if told.change.name not in self.dead]
