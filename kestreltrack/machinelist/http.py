"""The platform's machine list over HTTP: the whole list once, then watches back to back."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from typing import Any

import orjson

from kestreltrack.decision.api import Lifecycle
from kestreltrack.http1 import Broken, Client, split_address
from kestreltrack.ports import ListUpdate, Machine, SourceFailed
from kestreltrack.telemetry import Telemetry

TARGET = "/api/targets"
# How long a watch waits.  A lost one is noticed soon after, so a few senders watch for the least; but each watch is
# a call to a service that all share, and that answers nobody in time once it is asked for more than it can do.
HOLD_LEAST_MS, HOLD_EACH_MS, HOLD_MOST_MS = 3000, 1000, 20_000
# For an answer, beyond the wait.  What a lost watch had to tell counts as told 2 s after its wait is over: by
# then the list has to have been asked for again, or a drain that nobody heard of would be broken.
ANSWER_S = 1.5
# Where lists are pushed, an agent beside the sender answers at once and at no cost.  All that it has counts as told,
# also what it got back at the end of an outage while a call of ours hangs: a call that it leaves unanswered has to
# be over, and asked again, well within the time that a drain leaves.  Shares of that time.
PUSHED_HOLD, PUSHED_ANSWER = 0.5, 0.3


def hold_ms(relays: int) -> int:
    """How long one of so many senders watches: all together begin about one watch a second."""
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


class HttpListSource:
    """Asks for the list at the platform's address."""

    def __init__(self, address: str, telemetry: Telemetry, relays: int = 1, pushed_ms: float = 0.0) -> None:
        """Nothing is opened before `follow`.

        `pushed_ms`: where the address is an agent's that lists are pushed to, the milliseconds within which what it
        has must be heeded; 0 where one service answers all senders.
        """
        self._client, self._telemetry = Client(address), telemetry
        self._hold_ms, self._rev = hold_ms(relays), -1  # the version last told at this address
        self._answer_s, self._pushed = ANSWER_S, pushed_ms > 0.0
        if self._pushed:
            self._hold_ms, self._answer_s = int(PUSHED_HOLD * pushed_ms), PUSHED_ANSWER * pushed_ms / 1000.0

    def move(self, address: str) -> None:
        """Drop the old address with its watch; the new one is asked for the whole list at once."""
        old, self._client, self._rev = self._client, Client(address), -1
        old.close()

    async def follow(self) -> AsyncIterator[ListUpdate]:
        """The whole list, then what each watch tells, until a call fails.

        After a failure it goes on from the version last told: what was missed comes first, and costs little.  An
        agent is asked for the whole list then: a watch could not be told from its silence.
        """
        while True:
            target, timeout_s = TARGET, self._answer_s
            if self._rev >= 0:
                target = f"{TARGET}?from={self._rev}&hold_ms={self._hold_ms}"
                timeout_s += self._hold_ms / 1000.0
            asked = self._client
            try:
                update = await self._ask(target, timeout_s)
            except SourceFailed:
                if asked is self._client:
                    self._rev = -1 if self._pushed else self._rev
                    raise
            else:
                if asked is self._client:
                    self._rev = update.rev
                yield update

    async def _ask(self, target: str, timeout_s: float) -> ListUpdate:
        try:
            status, body = await self._client.exchange("GET", target, timeout_s)
            if status != 200:
                raise SourceFailed(f"status {status}")
            return read_update(orjson.loads(body))
        except (OSError, Broken) as bad:
            raise SourceFailed(str(bad) or type(bad).__name__) from bad
        except ValueError as bad:  # not JSON, or not a list: the platform may mend
            self._telemetry.trouble("machinelist.unreadable", error=str(bad))
            raise SourceFailed(str(bad)) from bad
