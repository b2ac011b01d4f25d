"""The keeper's side: whether a partner is out, whose turn it is to try it, who may use how much after its return.

A partner is out while a sender says so and none has had a success for `UP_MS`: one whose own network is broken stops
nobody else, and one that serves some calls is no matter of the fleet's.  While it is out all that lies here in
deposits is lent to one sender at a time; it gives it back after one trial, and the next turn comes `TURN_MS` later,
or as much later as the pool asks.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from kestreltrack.fleet.leases import Keeper, Terms
from kestreltrack.fleet.trials.holder import ASK_MS, BACK_MS, TURN_MS, WAIT_MS
from kestreltrack.fleet.trials.wire import LONG_MS, AskRow, ReplyRow, State, WordRow, age

HOLD_MS = 5000.0  # how long a report counts that it is out: ten asks
UP_MS = 2500.0  # after a success anywhere it is not out; 0.5 s more than senders say so, for the way
REPEATS, REPEAT_MS = (
    3,
    200.0,
)  # a word goes so many times to all: at a loss of 10% one in a thousand misses it
MOST_CASES = 10_000  # partners that one keeper keeps: memory is bounded, whatever is asked


@dataclass(slots=True)
class Case:
    """One partner."""

    keeper: Keeper
    out_by: dict[str, tuple[float, float]] = field(default_factory=dict)  # until when, and last failure
    up_by: dict[str, tuple[float, float, float]] = field(
        default_factory=dict
    )  # until when, last success, up since
    out: bool | None = None  # the verdict; none before the first report
    back_at: float = -math.inf  # since when it is up after an outage
    holder: str = ""  # whose turn it is
    last: str = ""  # who had the last turn
    next_at: float = -math.inf  # of a turn
    asked_at: float = 0.0
    number: int = 0  # of words
    left: int = 0  # how often the last word is still to be told
    again_at: float = 0.0
    wait_until: float = -math.inf  # told to one of its askers


class Referee:
    """All partners that this member keeps."""

    def __init__(self, epoch: int, terms: Terms | None = None) -> None:
        """`epoch`: the start of this process; a later process of the same name has a larger one."""
        self.epoch, self.terms = epoch, terms or Terms()
        self.cases: dict[int, Case] = {}
        # Numbers of words and replies are this process's own: a case that comes anew is not taken for the old one.
        self._words, self._replies = 0, 0

    def asked(self, now: float, sender: str, row: AskRow) -> ReplyRow | None:
        """Take a report and an ask; `None` to one that is older than another of that sender, or over the bound."""
        case = self.cases.get(row.dest)
        if case is None:
            if len(self.cases) >= MOST_CASES:
                return None
            case = self.cases[row.dest] = Case(Keeper(self.terms, self.epoch, self._replies))
        if row.seq <= case.keeper.newest.get(sender, 0):
            return None
        case.asked_at = now
        self._report(now, case, sender, row)
        self._judge(now, case)
        if case.holder == sender and row.want <= 0.0:
            self._next(now, case, row.rate)
        reply = case.keeper.receive(now, sender, row.ask(), self._whole(now, case, sender))
        assert reply
        self._replies = max(self._replies, reply.number)
        if case.out and reply.grant > 0.0:
            case.holder = sender
        # While nothing lies here yet (this process is new) all go by their own floors: nobody would try at all.
        out = bool(case.out) and case.keeper.pool(now) > 0.0
        free = not case.out and now - case.back_at > BACK_MS
        return ReplyRow(row.dest, reply.seq, reply.epoch, reply.number, min(1.0, reply.grant), out, free)

    def _report(self, now: float, case: Case, sender: str, row: AskRow) -> None:
        case.out_by.pop(sender, None)
        if row.state is State.OUT:
            case.out_by[sender] = (now + HOLD_MS, now - row.seen_ms)
            case.up_by.pop(sender, None)
        elif row.state is State.UP:
            case.up_by[sender] = (now - row.seen_ms + UP_MS, now - row.seen_ms, now - row.up_ms)
        if now + row.wait_ms >= max(now, case.wait_until) + WAIT_MS:
            case.wait_until = now + row.wait_ms
            self._say(now, case, 1)

    def _judge(self, now: float, case: Case) -> None:
        case.out_by = {name: said for name, said in case.out_by.items() if said[0] > now}
        case.up_by = {name: said for name, said in case.up_by.items() if said[0] > now}
        out = False if case.up_by else True if case.out_by else case.out
        if out is not None and out != case.out:
            if case.out:
                case.back_at = min(at for _, _, at in case.up_by.values())
            if out or case.out:
                self._say(now, case, REPEATS)
            case.out, case.holder = out, ""

    def _say(self, now: float, case: Case, times: int) -> None:
        self._words += 1
        case.number, case.left, case.again_at = self._words, max(case.left, times), now

    def _whole(self, now: float, case: Case, sender: str) -> bool | None:
        """All, nothing, or (not out) a fair share."""
        if not case.out:
            return None
        if case.holder not in ("", sender) and self._lent(now, case):
            return False
        # Who had the last turn lets the others ask first: else one that cannot reach the partner might keep it.
        again = 2.0 * ASK_MS if case.last == sender and len(case.out_by) > 1 else 0.0
        return now >= case.next_at + again

    @staticmethod
    def _lent(now: float, case: Case) -> bool:
        return any(until > now for _, until in case.keeper.grants.get(case.holder, ()))

    def _next(self, now: float, case: Case, rate: float) -> None:
        pool = rate * case.keeper.pool(now)
        case.last, case.holder, case.next_at = case.holder, "", now + max(TURN_MS, 1000.0 / max(pool, 1e-3))

    def words(self, now: float) -> list[WordRow]:
        """What all members are to be told now; to be called ten times a second."""
        rows = list[WordRow]()
        for dest, case in list(self.cases.items()):
            self._judge(now, case)
            if case.left and now >= case.again_at:
                case.left, case.again_at = case.left - 1, now + REPEAT_MS
                rows.append(self._word(now, dest, case))
            if now - case.asked_at > 2.0 * HOLD_MS and not case.left:
                del self.cases[dest]
        return rows

    def standing(self, now: float) -> list[WordRow]:
        """What a member that has just come has to be told: the last word about each partner that is out."""
        return [self._word(now, dest, case) for dest, case in self.cases.items() if case.out]

    def _word(self, now: float, dest: int, case: Case) -> WordRow:
        wait = age(case.wait_until, now)
        if case.out is None:
            return WordRow(dest, self.epoch, case.number, None, 0.0, 0.0, wait)
        if case.out:
            seen = max((at for _, at in case.out_by.values()), default=now)
            return WordRow(dest, self.epoch, case.number, True, age(now, seen), 0.0, wait)
        seen = max((at for _, at, _ in case.up_by.values()), default=-math.inf)
        # Of two that say how long it has been up, the longer one has seen it while the other had not.
        since = min((at for _, _, at in case.up_by.values()), default=-LONG_MS)
        return WordRow(dest, self.epoch, case.number, False, age(now, seen), age(now, since), wait)
