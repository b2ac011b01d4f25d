"""What the operators' calls do to a running sender, and the figures they read.

Exclusion by hand is kept in `$GW_STATE/excluded`, written whole and renamed into place, and read again when
another process of this sender changes it: both processes of an upgrade hold the same set.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from kestreltrack.decision import Policy, endpoint_selection
from kestreltrack.discovery.exclusions import EndpointExclusions
from kestreltrack.frontend.server import FrontendServer
from kestreltrack.journal.shared_files import FileVersion, read_if_changed, write_atomically
from kestreltrack.sender.delivery import Core
from kestreltrack.telemetry import Telemetry

RELOAD_INTERVAL_S = (
    0.25  # between looks at the kept set: a drain has 500 ms, and the other process may have changed it
)
EJECTION_REASONS = (
    "told wait",
    "circuit open",
)  # bars of the module that mean it avoids the endpoint by its own choice


class Operations:
    """Ready, figures, exclude, include, evacuate and rejoin for one process."""

    def __init__(
        self,
        core: Core,
        frontend: FrontendServer,
        policy: Policy,
        state_dir: Path,
        telemetry: Telemetry,
        extra_metrics: Callable[[], list[str]] = list,
    ) -> None:
        """Read the set kept by an earlier process; the module hears it with the list.  `more` are further figures."""
        self._extra_metrics = extra_metrics
        self.core, self.frontend, self.policy, self.telemetry = core, frontend, policy, telemetry
        self.exclusions = EndpointExclusions(core.endpoint_list)
        self.path, self._file_stamps = state_dir / "excluded", dict[Path, FileVersion]()
        core.dispatcher.apply_overrides = self.exclusions.apply_to
        self._reload_exclusions()

    def ready(self) -> bool:
        """Whether this process takes clients now."""
        return self.frontend.accepts_clients()

    def metrics(self) -> str:
        """The counts since this process began, and the gauges of now."""
        counters = self.telemetry.counters
        lines = [
            f"app.results.{cls}.{how}:{counters[f'app.results.{cls}.{how}']}|c"
            for cls in self.core.settings.classes
            for how in ("succeeded", "declined", "aborted")
        ]
        lines.append(f"app.forwards:{counters['app.forwards']}|c")
        lines.append(f"app.outstanding:{len(self.core.journal.outstanding)}|g")
        lines.append(f"app.discovered:{len(self.core.endpoint_list)}|g")
        lines.append(f"app.ejected:{self._ejected_count()}|g")
        return "\n".join(lines + self._extra_metrics()) + "\n"

    def _ejected_count(self) -> int:
        now = self.core.dispatcher.clock()
        avoided = {
            uid
            for dest in self.policy.destinations.values()
            for uid, endpoint in dest.endpoints.items()
            if any(
                endpoint_selection.blocking_rule(guard, now) in EJECTION_REASONS for guard in endpoint.limits
            )
        }
        return len((avoided | self.exclusions.excluded) & self.core.endpoint_list.uids())

    def exclude(self, uid: str) -> None:
        """Nothing more to `uid` from the module's next step on; raises `KeyError` for an id never listed."""
        news = self.exclusions.exclude(uid)
        self._persist_exclusions()
        if news:
            self.core.dispatcher.notify(news)
        self.core.transport.close_idle(uid)
        self.telemetry.log("excluded", node=uid)

    def include(self, uid: str) -> None:
        """`uid` may serve again; raises `KeyError` for an id never listed."""
        news = self.exclusions.include(uid)
        self._persist_exclusions()
        if news:
            self.core.dispatcher.notify(news)
        self.telemetry.log("included", node=uid)

    def evacuate(self) -> None:
        """PING says no from now on and clients go; what is held is still delivered."""
        self.frontend.evacuate(True)
        self.telemetry.log("evacuated", held=len(self.core.journal.outstanding))

    def rejoin(self) -> None:
        """Take clients again."""
        self.frontend.evacuate(False)
        self.telemetry.log("rejoined")

    async def follow_exclusions(self) -> None:
        """Follow the kept set, which the other process of an upgrade may change."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self._reload_exclusions()

    def _reload_exclusions(self) -> None:
        try:
            data = read_if_changed(self.path, self._file_stamps)
        except OSError as bad:
            self.telemetry.record_fault("admin.exclusions_unreadable", error=str(bad))
            return
        for news in self.exclusions.load(data) if data is not None else ():
            self.core.dispatcher.notify(news)

    def _persist_exclusions(self) -> None:
        """Write the set whole, then put it in place: a reader never sees half of it."""
        try:
            self._file_stamps[self.path] = write_atomically(self.path, self.exclusions.dump())
        except OSError as bad:
            self.telemetry.record_fault("admin.exclusions_not_persisted", error=str(bad))
