"""Has this sender act on the agreed documents: partners that it may not serve are masked as draining, as by hand.

A partner's claims begin only while the lease lasts: it is looked at ten times a second, and before each claim.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any

from kestreltrack.admin.server import Refused
from kestreltrack.decision.api import Lifecycle, ListNews
from kestreltrack.fleet.agreed.document import MOST_BYTES, read
from kestreltrack.fleet.agreed.errors import AgreedError
from kestreltrack.fleet.agreed.kept import Folder
from kestreltrack.fleet.agreed.reader import Terms
from kestreltrack.fleet.agreed.shell import Agreeing
from kestreltrack.fleet.agreed.wire import MARK
from kestreltrack.fleet.membership.shell import Membership
from kestreltrack.machinelist import entries
from kestreltrack.ports import Clock
from kestreltrack.sender.core import Core
from kestreltrack.telemetry import Telemetry


class Ruled:
    """One sender under agreed documents."""

    def __init__(
        self,
        membership: Membership,
        voters: dict[str, str],
        lease_ms: float,
        state: Path,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Raises `ValueError` for a lease that breaks the bound."""
        terms = Terms(lease_ms)
        self.membership, self.telemetry = membership, telemetry
        self.agreeing = Agreeing(
            membership.about.name, voters, terms, Folder(state), membership, clock, telemetry
        )
        self._look_s = terms.look_ms / 1000.0
        self._reading = self.agreeing.reading()  # as the module was told last
        self._core: Core | None = None
        self._closed = False
        others = membership.on_carried

        def carried(name: str, data: bytes) -> None:
            if data.startswith(MARK):
                self.agreeing.carried(name, data)
                self._tell()
            else:
                others(name, data)

        membership.on_carried = carried

    def rule(self, core: Core) -> None:
        """From now on, over the masks that are there."""
        self._core, before = core, core.desk.mask
        core.desk.mask = lambda news: self._mask(before(news))
        core.desk.rules = self._allows

    def _allows(self, dest: int) -> bool:
        if self.agreeing.reading().serves(dest):
            return True
        self._tell()  # else the module would order the same claim again and again
        return False

    def _mask(self, news: ListNews) -> ListNews:
        masked = [
            replace(entry, lifecycle=Lifecycle.DRAINING)
            if entry.lifecycle is Lifecycle.UP and not self._reading.serves(entry.dest)
            else entry
            for entry in news.entries
        ]
        return replace(news, entries=masked)

    def _tell(self) -> None:
        """The module hears of the partners that are served from now on, or no longer."""
        before, now = self._reading, self.agreeing.reading()
        if self._core is None or now == before:
            return
        self._reading, machines = now, self._core.machines
        listed = (machines.get(uid) for uid in sorted(machines.uids()))
        changed = [m for m in listed if m and before.serves(m.dest) != now.serves(m.dest)]
        if changed:
            self._core.desk.tell(ListNews(entries(changed), whole=False))

    async def run(self) -> None:
        """See to it ten times a second."""
        while True:
            await asyncio.sleep(self._look_s)
            try:
                if not self._closed:
                    self._see_to_it()
            except (
                Exception
            ) as bad:  # must not end the process that owes answers; without a lease nothing begins
                self.telemetry.trouble("fleet.agreed_fault", error=repr(bad))

    def _see_to_it(self) -> None:
        agreeing = self.agreeing
        if agreeing.reader is None and agreeing.fault is None and self.membership.swim is not None:
            try:
                agreeing.begin(self.membership.swim.me.start)
            except (AgreedError, OSError) as bad:
                agreeing.fault = bad if isinstance(bad, AgreedError) else AgreedError(f"GW_STATE: {bad}")
                self.telemetry.trouble("fleet.agreed_unreadable", error=str(agreeing.fault))
        agreeing.tick()
        self._tell()

    def close(self) -> None:
        """This process stops: it begins no claim any more, since the next one of this name may act on newer rules."""
        self._closed = True
        self.agreeing.close()
        self._tell()

    def propose(self, path: str) -> dict[str, Any]:
        """For the admin socket, whose owner alone can name a file."""
        try:
            with Path(path).open("rb") as file:
                self.agreeing.propose(read(file.read(MOST_BYTES + 1)))
        except (AgreedError, OSError) as bad:
            raise Refused(str(bad)) from bad
        self._tell()
        return self.agreeing.show()
