"""Sharing a budget among senders by deposits and grants, so that the sum is right in any partition.  No I/O.

The whole is 1.  Each sender has a part of it (one over the headcount).  It keeps a floor of that part for itself and
deposits the rest with one keeper at a time, for a stated time; the keeper lends what it holds in deposits to those
that want more, never beyond the end of the deposits that stand behind a grant.  So what all may use sums to the sum
of the parts at the most, whoever dies, pauses, is cut off or starts anew, and however many keepers there are:

- a sender counts its deposit from when it asked, and takes it back, or gives it to another keeper, only when that
  time is over (it may be in use until then); it begins with all but its floor lent out, as the process before it may
  have lent it;
- a keeper counts a deposit from when it sent the *reply that the ask answers to*: before the ask was made, whatever
  time that took on its way.  No clock is compared with another; a late or repeated ask is worth what is left of it;
- a reply names the keeper's epoch (the start of its process); a deposit names the epoch it is for, and a keeper that
  has started anew does not know the reply and takes nothing for it;
- a holder counts a grant from when it asked.

Clocks may run apart by `drift`.  After the model of cooperative rate limiting (Doorman), whose server instead learns
for one lease time and rests on there being one of it.  `lab/check` explores all interleavings of these very tables.
"""

from __future__ import annotations

from dataclasses import dataclass, field

RECENT = 64  # asks and replies remembered: more are never within one lease time


@dataclass(frozen=True, slots=True)
class Terms:
    """Milliseconds and shares that all senders have alike."""

    # A deposit; whoever lost its keeper has all of its part again after it.  It counts from the reply before the ask,
    # an ask a second: 2 s and a grant have to fit in, and one ask may be lost.
    lease_ms: float = 5000.0
    grant_ms: float = 2000.0
    floor: float = 0.25  # of the own part, never lent
    drift: float = 0.01

    def __post_init__(self) -> None:
        """Refuse terms under which nothing could ever be granted."""
        if not 0.0 <= self.floor <= 1.0 or not 0.0 <= self.drift < 0.5:
            raise ValueError("floor is a share and drift a small one")
        if not 0.0 < self.grant_ms * (1.0 + self.drift) < self.lease_ms * (1.0 - self.drift):
            raise ValueError("a grant has to end before the deposits behind it")


@dataclass(frozen=True, slots=True)
class Ask:
    """From a holder to its keeper; `epoch` and `number` are of the newest reply from there (0 where none came)."""

    seq: int
    epoch: int
    number: int
    deposit: float
    want: float  # beyond what it keeps


@dataclass(frozen=True, slots=True)
class Reply:
    """From a keeper; `number` counts its replies."""

    seq: int
    epoch: int
    number: int
    grant: float


@dataclass(slots=True)
class Holder:
    """One sender's side of one budget."""

    terms: Terms
    part: float
    began: float
    keeper: str = ""
    epoch: int = 0
    number: int = 0
    seq: int = (
        0  # best begun at the process's start in ms: asks of a later process are newer than all before it
    )
    asked: dict[int, float] = field(default_factory=dict)  # when each ask was made that is not answered
    lent: dict[tuple[str, int], list[tuple[float, float]]] = field(
        default_factory=dict
    )  # amounts, and until when
    grant: tuple[float, float, int] = (0.0, 0.0, 0)  # amount, until when, by the answer to which ask

    def __post_init__(self) -> None:
        """A process before this one may have lent all but the floor."""
        until = self.began + self._lease()
        self.lent.setdefault(("", 0), [((1.0 - self.terms.floor) * self.part, until)])

    def _lease(self) -> float:
        return self.terms.lease_ms * (1.0 + self.terms.drift)

    def locked(self, now: float, apart: tuple[str, int] | None = None) -> float:
        """What keepers may count on; of each the largest, since it counts the newest of one's asks that it has."""
        return sum(
            max((amount for amount, until in rows if until > now), default=0.0)
            for place, rows in self.lent.items()
            if place != apart
        )

    def granted(self, now: float) -> float:
        """What is lent to this sender now."""
        return self.grant[0] if now < self.grant[1] else 0.0

    def amount(self, now: float) -> float:
        """What this sender may use now."""
        return max(0.0, self.part - self.locked(now)) + self.granted(now)

    def ask(self, now: float, keeper: str, want: float) -> Ask:
        """What to send to the keeper of the moment; the first to a keeper lends nothing, since it needs its reply."""
        if keeper != self.keeper:
            self.keeper, self.epoch, self.number = keeper, 0, 0
        self.lent = {
            p: kept for p, rows in self.lent.items() if (kept := [row for row in rows if row[1] > now])
        }
        self.seq += 1
        self.asked[self.seq] = now
        if (
            want <= 0.0
        ):  # what was lent is given back: not used from now on, whatever reply is still on its way
            self.grant = (0.0, now, self.seq)
        while len(self.asked) > RECENT:
            del self.asked[next(iter(self.asked))]
        place, deposit = (keeper, self.epoch), 0.0
        if self.epoch:
            deposit = max(0.0, (1.0 - self.terms.floor) * self.part - self.locked(now, place))
        if deposit:
            self.lent.setdefault(place, []).append((deposit, now + self._lease()))
        return Ask(self.seq, self.epoch, self.number, deposit, want)

    def answered(self, now: float, keeper: str, reply: Reply) -> None:
        """Take a reply; one that comes late, twice or from an older epoch changes nothing."""
        began = self.asked.pop(reply.seq, None)
        if began is None or keeper != self.keeper or reply.epoch < self.epoch:
            return
        if reply.epoch > self.epoch:
            self.epoch, self.number = reply.epoch, 0
        self.number = max(self.number, reply.number)
        until = began + self.terms.grant_ms
        if until > now and reply.seq > self.grant[2]:
            self.grant = (reply.grant, until, reply.seq)


@dataclass(slots=True)
class Keeper:
    """The keeper's side of one budget."""

    terms: Terms
    epoch: int
    number: int = 0
    replies: dict[int, float] = field(default_factory=dict)  # when each was sent
    newest: dict[str, int] = field(default_factory=dict)  # ask of each sender
    deposits: dict[str, tuple[float, float]] = field(default_factory=dict)  # amount, and until when
    grants: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    wants: dict[str, tuple[float, float]] = field(default_factory=dict)

    def receive(self, now: float, sender: str, ask: Ask, whole: bool | None = None) -> Reply | None:
        """Take an ask and answer it; `None` to one that is older than another of that sender.

        Its grant is its fair share; with `whole` all that lies here, or nothing.
        """
        self._forget(now)
        if ask.seq <= self.newest.get(sender, 0):
            return None
        self.newest[sender] = ask.seq
        if ask.want <= 0.0:  # its asker used it no more when it asked
            self.grants.pop(sender, None)
        if ask.epoch == self.epoch and (sent := self.replies.get(ask.number)) is not None:
            until = sent + self.terms.lease_ms * (1.0 - self.terms.drift)
            self.deposits[sender] = (ask.deposit, until)
        self.wants[sender] = (ask.want, now + self.terms.lease_ms)
        grant = self._grant(now, sender, ask.want, whole)
        self.number += 1
        self.replies[self.number] = now
        return Reply(ask.seq, self.epoch, self.number, grant)

    def _forget(self, now: float) -> None:
        old = now - self.terms.lease_ms
        self.replies = {number: at for number, at in self.replies.items() if at > old}
        self.deposits = {s: row for s, row in self.deposits.items() if row[1] > now}
        self.wants = {s: row for s, row in self.wants.items() if row[1] > now}
        self.grants = {
            s: kept for s, rows in self.grants.items() if (kept := [r for r in rows if r[1] > now])
        }
        if len(self.newest) > 4 * max(RECENT, len(self.wants)):  # of senders that have long gone
            self.newest = {s: n for s, n in self.newest.items() if s in self.wants}

    def pool(self, now: float) -> float:
        """What lies here for at least as long as a grant."""
        ends = now + self.terms.grant_ms * (1.0 + self.terms.drift)
        return sum(amount for amount, until in self.deposits.values() if until >= ends)

    def _grant(self, now: float, sender: str, want: float, whole: bool | None) -> float:
        """Max-min fair among those that want, within the pool."""
        ends = now + self.terms.grant_ms * (1.0 + self.terms.drift)
        pool = self.pool(now)
        others = sum(max(a for a, _ in rows) for s, rows in self.grants.items() if s != sender)
        fair = fair_share(pool, {s: wanted for s, (wanted, _) in self.wants.items()}, sender)
        share = fair if whole is None else pool if whole and want else 0.0
        grant = max(0.0, min(want, share, pool - others))
        if grant:
            self.grants.setdefault(sender, []).append((grant, ends))
        return grant


def fair_share(whole: float, wants: dict[str, float], sender: str) -> float:
    """One's max-min fair share: those that want less than an even share get it, the others split what is left."""
    left, open_ = whole, sorted(wants.items(), key=lambda row: row[1])
    while open_:
        name, wanted = open_[0]
        even = left / len(open_)
        if wanted > even:
            return even
        if name == sender:
            return wanted
        left -= wanted
        open_.pop(0)
    return 0.0
