"""What the operators' calls do to a running sender, and the figures they read.

Exclusion by hand is kept in `$GW_STATE/excluded`, written whole and renamed into place, and read again when
another process of this sender changes it: both processes of an upgrade hold the same set.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from kestreltrack.decision import Policy
from kestreltrack.journal.kept import Stamp, read_changed, write_whole
from kestreltrack.machinelist.exclusion import Exclusion
from kestreltrack.sender.core import Core
from kestreltrack.submitters.front import Front
from kestreltrack.telemetry import Telemetry

LOOK_S = 0.25  # between looks at the kept set: a drain has 500 ms, and the other process may have changed it
AVOIDED = (
    "told wait",
    "circuit open",
)  # bars of the module that mean it avoids the endpoint by its own choice


class Operations:
    """Ready, figures, exclude, include, evacuate and rejoin for one process."""

    def __init__(
        self,
        core: Core,
        front: Front,
        policy: Policy,
        state: Path,
        telemetry: Telemetry,
        more: Callable[[], list[str]] = list,
    ) -> None:
        """Read the set kept by an earlier process; the module hears it with the list.  `more` are further figures."""
        self._more = more
        self.core, self.front, self.policy, self.telemetry = core, front, policy, telemetry
        self.exclusion = Exclusion(core.machines)
        self.path, self._stamps = state / "excluded", dict[Path, Stamp]()
        core.desk.mask = self.exclusion.mask
        self._look()

    def ready(self) -> bool:
        """Whether this process takes clients now."""
        return self.front.takes()

    def figures(self) -> str:
        """The counts since this process began, and the gauges of now."""
        counters = self.telemetry.counters
        lines = [
            f"app.results.{cls}.{how}:{counters[f'app.results.{cls}.{how}']}|c"
            for cls in self.core.settings.classes
            for how in ("succeeded", "declined", "aborted")
        ]
        lines.append(f"app.forwards:{counters['app.forwards']}|c")
        lines.append(f"app.outstanding:{len(self.core.journal.held)}|g")
        lines.append(f"app.discovered:{len(self.core.machines)}|g")
        lines.append(f"app.ejected:{self._ejected()}|g")
        return "\n".join(lines + self._more()) + "\n"

    def _ejected(self) -> int:
        now = self.core.desk.clock()
        avoided = {
            uid
            for dest in self.policy.dests.values()
            for uid, endpoint in dest.endpoints.items()
            if any(guard.bar(now) in AVOIDED for guard in endpoint.guards)
        }
        return len((avoided | self.exclusion.out) & self.core.machines.uids())

    def exclude(self, uid: str) -> None:
        """Nothing more to `uid` from the module's next step on; raises `KeyError` for an id never listed."""
        news = self.exclusion.exclude(uid)
        self._keep()
        if news:
            self.core.desk.tell(news)
        self.core.transport.unlink(uid)
        self.telemetry.log("excluded", node=uid)

    def include(self, uid: str) -> None:
        """`uid` may serve again; raises `KeyError` for an id never listed."""
        news = self.exclusion.include(uid)
        self._keep()
        if news:
            self.core.desk.tell(news)
        self.telemetry.log("included", node=uid)

    def evacuate(self) -> None:
        """PING says no from now on and clients go; what is held is still delivered."""
        self.front.evacuate(True)
        self.telemetry.log("evacuated", held=len(self.core.journal.held))

    def rejoin(self) -> None:
        """Take clients again."""
        self.front.evacuate(False)
        self.telemetry.log("rejoined")

    async def watch(self) -> None:
        """Follow the kept set, which the other process of an upgrade may change."""
        while True:
            await asyncio.sleep(LOOK_S)
            self._look()

    def _look(self) -> None:
        try:
            data = read_changed(self.path, self._stamps)
        except OSError as bad:
            self.telemetry.trouble("admin.excluded_unread", error=str(bad))
            return
        for news in self.exclusion.load(data) if data is not None else ():
            self.core.desk.tell(news)

    def _keep(self) -> None:
        """Write the set whole, then put it in place: a reader never sees half of it."""
        try:
            self._stamps[self.path] = write_whole(self.path, self.exclusion.dump())
        except OSError as bad:
            self.telemetry.trouble("admin.excluded_unkept", error=str(bad))
