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
HOLD_MS = 3000  # how long a watch waits: a lost one is noticed soon after
# For an answer, beyond the wait.  What a lost watch had to tell counts as told 2 s after its wait is over: by
# then the list has to have been asked for again, or a drain that nobody heard of would be broken.
ANSWER_S = 1.5
WATCH_S = HOLD_MS / 1000.0 + ANSWER_S


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

    def __init__(self, address: str, telemetry: Telemetry) -> None:
        """Nothing is opened before `follow`."""
        self._client, self._telemetry = Client(address), telemetry

    def move(self, address: str) -> None:
        """Drop the old address with its watch; the new one is asked for the whole list at once."""
        old, self._client = self._client, Client(address)
        old.close()

    async def follow(self) -> AsyncIterator[ListUpdate]:
        """The whole list, then what each watch tells, until a call fails."""
        asked, update = self._client, None
        while True:
            if update is None or asked is not self._client:
                target, timeout_s = TARGET, ANSWER_S
            else:
                target, timeout_s = f"{TARGET}?from={update.rev}&hold_ms={HOLD_MS}", WATCH_S
            asked = self._client
            try:
                update = await self._ask(target, timeout_s)
            except SourceFailed:
                if asked is self._client:
                    raise
            else:
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
