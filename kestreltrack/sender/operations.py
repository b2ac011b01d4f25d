"""Implements the operator calls of `admin.http_api` on a running sender.

The set of excluded endpoints is persisted in `$GW_STATE/excluded`.  The file is replaced atomically, and reloaded
when another process of this sender has changed it, so that both processes of an upgrade have the same set.
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
from kestreltrack.sender.message_lifecycle import MessageResult
from kestreltrack.telemetry import Telemetry

# Interval between checks whether the other process has changed the persisted set; a drain has to take effect within
# 500 ms.
RELOAD_INTERVAL_S = 0.25
# Results of `blocking_rule` that mean that the decision module has taken an endpoint out of service.
EJECTION_REASONS = ("told wait", "circuit open")
# Message results that the metrics count for each class.
RESULT_NAMES = tuple(result.value for result in MessageResult)


class Operations:
    """Readiness, metrics, exclusion of endpoints and evacuation of one process."""

    def __init__(
        self,
        core: Core,
        frontend: FrontendServer,
        policy: Policy,
        state_dir: Path,
        telemetry: Telemetry,
        extra_metrics: Callable[[], list[str]] = list,
    ) -> None:
        """Load the persisted set of excluded endpoints, and apply it to every update of the endpoint list.

        Args:
            core: Delivers the messages.
            frontend: Serves the clients.
            policy: The state of the decision module, for reading.
            state_dir: The folder of the persisted set.
            telemetry: Counts and logs.
            extra_metrics: Returns additional lines for `metrics`.
        """
        self._extra_metrics = extra_metrics
        self.core = core
        self.frontend = frontend
        self.policy = policy
        self.telemetry = telemetry
        self.exclusions = EndpointExclusions(core.endpoint_list)
        self.path = state_dir / "excluded"
        self._file_versions: dict[Path, FileVersion] = {}
        core.dispatcher.apply_overrides = self.exclusions.apply_to
        self._reload_exclusions()

    def ready(self) -> bool:
        """Return whether this process accepts clients."""
        return self.frontend.accepts_clients()

    def warnings(self) -> list[str]:
        """Return what an operator should know of the endpoint list that this process acts on, a line each."""
        endpoint_list = self.core.endpoint_list
        lines = list[str]()
        if refused := self.core.endpoint_updates.refused_list:
            lines.append(
                f"endpoint list not taken ({refused.reason}): {refused.received_bytes} bytes in "
                f"{refused.elapsed_s:.3f} s, limit {refused.limit_bytes} bytes; "
                f"revision {endpoint_list.revision} stays in use"
            )
        if endpoint_list.omitted:
            lines.append(
                f"{endpoint_list.omitted} endpoints are left out, as limits.memory_mb holds "
                f"{len(endpoint_list)} of them"
            )
        return lines

    def metrics(self) -> str:
        """Return the counters since the start of this process and the current gauges, one per line."""
        counters = self.telemetry.counters
        lines = [
            f"app.results.{class_name}.{result}:{counters[f'app.results.{class_name}.{result}']}|c"
            for class_name in self.core.settings.classes
            for result in RESULT_NAMES
        ]
        lines.append(f"app.forwards:{counters['app.forwards']}|c")
        lines.append(f"app.outstanding:{len(self.core.journal.outstanding)}|g")
        lines.append(f"app.discovered:{len(self.core.endpoint_list)}|g")
        lines.append(f"app.omitted:{self.core.endpoint_list.omitted}|g")
        lines.append(f"app.list_refused:{int(self.core.endpoint_updates.refused_list is not None)}|g")
        lines.append(f"app.ejected:{self._ejected_count()}|g")
        return "\n".join(lines + self._extra_metrics()) + "\n"

    def _ejected_count(self) -> int:
        """Return the number of listed endpoints that the decision module or an operator has taken out of service."""
        now_ms = self.core.dispatcher.clock()
        avoided = {
            uid
            for dest in self.policy.destinations.values()
            for uid, endpoint in dest.endpoints.items()
            if any(
                endpoint_selection.blocking_rule(limits, now_ms) in EJECTION_REASONS
                for limits in endpoint.limits
            )
        }
        return len((avoided | self.exclusions.excluded) & self.core.endpoint_list.uids())

    def exclude(self, uid: str) -> None:
        """Stop sending to endpoint `uid`, effective with the next decision.

        Raises:
            KeyError: The endpoint was never listed.
        """
        update = self.exclusions.exclude(uid)
        self._persist_exclusions()
        if update:
            self.core.dispatcher.notify(update)
        self.core.transport.close_idle(uid)
        self.telemetry.log("excluded", endpoint=uid)

    def include(self, uid: str) -> None:
        """Allow endpoint `uid` to be used again.

        Raises:
            KeyError: The endpoint was never listed.
        """
        update = self.exclusions.include(uid)
        self._persist_exclusions()
        if update:
            self.core.dispatcher.notify(update)
        self.telemetry.log("included", endpoint=uid)

    def evacuate(self) -> None:
        """Stop accepting clients, and answer PING with an error; queued messages are still delivered."""
        self.frontend.evacuate(True)
        self.telemetry.log("evacuated", held=len(self.core.journal.outstanding))

    def rejoin(self) -> None:
        """Accept clients again."""
        self.frontend.evacuate(False)
        self.telemetry.log("rejoined")

    async def follow_exclusions(self) -> None:
        """Reload the persisted set whenever the other process of an upgrade has changed it, until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self._reload_exclusions()

    def _reload_exclusions(self) -> None:
        try:
            data = read_if_changed(self.path, self._file_versions)
        except OSError as error:
            self.telemetry.record_fault("admin.exclusions_unreadable", error=str(error))
            return
        # `None`: the file has not changed.
        if data is None:
            return
        for update in self.exclusions.load(data):
            self.core.dispatcher.notify(update)

    def _persist_exclusions(self) -> None:
        """Replace the file atomically, so that no reader sees a partial set."""
        try:
            self._file_versions[self.path] = write_atomically(self.path, self.exclusions.dump())
        except OSError as error:
            self.telemetry.record_fault("admin.exclusions_not_persisted", error=str(error))
