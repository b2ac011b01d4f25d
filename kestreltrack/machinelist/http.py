"""The platform's machine list over HTTP: the whole list once, then watches back to back."""

from __future__ import annotations

import math
import random
from collections.abc import AsyncIterator
from typing import Any

import orjson

from kestreltrack.decision.api import Lifecycle
from kestreltrack.http1 import Broken, Client, Cut, split_address
from kestreltrack.ports import ListUpdate, Machine, SourceFailed
from kestreltrack.telemetry import Telemetry

TARGET = "/api/targets"
# How long a watch waits.  A lost one is noticed soon after, so a few senders watch for the least; but each watch is
# a call to a service that all share, and that answers nobody in time once it is asked for more than it can do.
HOLD_LEAST_MS, HOLD_EACH_MS, HOLD_MOST_MS = 3000, 1000, 20_000
# A change ends the watches of all senders in one moment: with one and the same wait they would all fall due, or be
# given up, in one moment as well.
HOLD_JITTER = 0.25
# For an answer to a call that need not wait: more than the 2 s that such a service has a call wait for its turn.
# Given up earlier, a call is served for nobody, and a service asked for more than it can do answers none in time.
ANSWER_S = 2.2
# The same behind a watch's wait.  What a lost watch had to tell counts as told 2 s after its wait is over: half of
# that is left for the call that asks anew, which all senders may make within the same seconds.
WATCH_ANSWER_S = 1.0
CONNECT_S = (
    1.0  # else a watch would wait for a connection as long as for a change, and nobody would know of it
)
# After a failure the first call asks for what was missed and does not wait: a watch could not be told from silence.
# The watch follows its answer.  (Not 0: the wait of a call that names none is not known.)
MISSED_HOLD_MS = 1
# Where lists are pushed, an agent beside the sender answers at once and at no cost.  All that it has counts as told,
# also what it got back at the end of an outage while a call of ours hangs: a call that it leaves unanswered has to
# be over, and asked again, well within the time that a drain leaves.  Shares of that time.
PUSHED_HOLD, PUSHED_ANSWER = 0.5, 0.3


def hold_ms(relays: int) -> int:
    """How long one of so many senders watches at most: all together begin about one watch a second."""
    return min(HOLD_MOST_MS, max(HOLD_LEAST_MS, HOLD_EACH_MS * relays))


def _field(row: Any, key: str, kind: type, *default: Any) -> Any:
    value = row.get(key, *default) if isinstance(row, dict) else None
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"machine list: {key} is missing or wrong: {value!r}")
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"machine list: {key} is not finite")
    return value


def read_machine(row: Any) -> Machine:
    """One entry of the list."""
    address, state = _field(row, "endpoint", str), _field(row, "state", str)
    split_address(address)
    return Machine(
        uid=_field(row, "uid", str),
        address=address,
        dest=_field(row, "pod_group", int),
        kind=_field(row, "model", str),
        zone=_field(row, "az", str, ""),
        state=Lifecycle(state),
        rate=_field(row, "capacity_hint", float, 1.0),
    )


def read_update(table: Any) -> ListUpdate:
    """The platform's form of the list or of changes; raises `ValueError`."""
    rows = _field(table, "targets", list)
    return ListUpdate(_field(table, "rev", int), _field(table, "all", bool), tuple(map(read_machine, rows)))


class Spoilt(SourceFailed):
    """An answer came that is no list, or not all of one: whoever gave it can be reached."""


class HttpListSource:
    """Asks for the list at the platform's address."""

    def __init__(self, address: str, telemetry: Telemetry, relays: int = 1, pushed_ms: float = 0.0) -> None:
        """Nothing is opened before `follow`.

        `pushed_ms`: where the address is an agent's that lists are pushed to, the milliseconds within which what it
        has must be heeded; 0 where one service answers all senders.
        """
        self._client, self._telemetry = Client(address, connect_s=CONNECT_S), telemetry
        self._hold_ms, self._rev, self._moves = (
            hold_ms(relays),
            -1,
            0,
        )  # the version last told at this address
        self._answer_s, self._watch_s, self._pushed = ANSWER_S, WATCH_ANSWER_S, pushed_ms > 0.0
        if self._pushed:
            self._hold_ms = int(PUSHED_HOLD * pushed_ms)
            self._answer_s = self._watch_s = PUSHED_ANSWER * pushed_ms / 1000.0

    def move(self, address: str) -> None:
        """Drop the old address with its watch; the new one is asked for the whole list at once."""
        old, self._client = self._client, Client(address, connect_s=CONNECT_S)
        self._rev, self._moves = -1, self._moves + 1
        old.close()

    async def follow(self) -> AsyncIterator[ListUpdate]:
        """The whole list, then what each watch tells, until a call fails.

        After a failure it goes on from the version last told: what was missed comes first, and costs little.  An
        agent is asked for the whole list then: a watch could not be told from its silence.
        """
        missed = True  # nothing has been answered since the last failure
        while True:
            moves, since = self._moves, self._rev
            try:
                update = await self._answer(since, missed)
            except SourceFailed:
                missed = True
                if moves != self._moves:
                    continue
                self._rev = -1 if self._pushed else self._rev
                raise
            yield update
            missed = moves != self._moves
            if not missed:  # only now: whoever could not take it in is told it again
                # Changes older than what is known are another service's, or one's that began anew.
                self._rev = update.rev if update.whole or update.rev >= since else -1

    async def _answer(self, since: int, missed: bool) -> ListUpdate:
        """What the next call tells, beyond that version."""
        if since < 0:
            target, timeout_s = TARGET, self._answer_s
        else:
            hold = MISSED_HOLD_MS if missed else self._wait_ms()
            target = f"{TARGET}?from={since}&hold_ms={hold}"
            timeout_s = hold / 1000.0 + (self._answer_s if missed else self._watch_s)
        moves = self._moves
        try:
            return await self._ask(target, timeout_s)
        except Spoilt:
            if not missed or self._pushed or moves != self._moves:
                raise
            # Discovery is there: once more now, as the next call may be too far off.
            return await self._ask(target, timeout_s)

    def _wait_ms(self) -> int:
        least = max(HOLD_LEAST_MS, int((1.0 - HOLD_JITTER) * self._hold_ms))
        return self._hold_ms if least >= self._hold_ms else random.randint(least, self._hold_ms)

    async def _ask(self, target: str, timeout_s: float) -> ListUpdate:
        try:
            status, body = await self._client.exchange("GET", target, timeout_s)
            if status != 200:
                raise SourceFailed(f"status {status}")
            return read_update(orjson.loads(body))
        except Cut as bad:
            raise Spoilt(str(bad)) from bad
        except (OSError, Broken) as bad:
            raise SourceFailed(str(bad) or type(bad).__name__) from bad
        except ValueError as bad:  # not JSON, or not a list: the platform may mend
            self._telemetry.trouble("machinelist.unreadable", error=str(bad))
            raise Spoilt(str(bad)) from bad
