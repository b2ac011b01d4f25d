"""Has this sender act on the agreed documents: partners that it may not serve are masked as draining, as by hand.

A partner's claims begin only while the lease lasts: it is looked at ten times a second, and before each claim.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import Any

from kestreltrack.admin.command_socket import CommandRejectedError
from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated
from kestreltrack.discovery import to_endpoint_entries
from kestreltrack.fleet.membership.service import Membership
from kestreltrack.fleet.replicated_config.document import MAX_DOCUMENT_BYTES, decode_document
from kestreltrack.fleet.replicated_config.errors import ReplicatedConfigError
from kestreltrack.fleet.replicated_config.protocol import ReadLeaseParameters
from kestreltrack.fleet.replicated_config.service import ReplicatedConfig
from kestreltrack.fleet.replicated_config.storage import StateFolder
from kestreltrack.fleet.replicated_config.wire import MAGIC_BYTE
from kestreltrack.ports import Clock
from kestreltrack.sender.delivery import Core
from kestreltrack.telemetry import Telemetry


class AgreedConfigEnforcer:
    """One sender under agreed documents."""

    def __init__(
        self,
        membership: Membership,
        voters: dict[str, str],
        lease_ms: float,
        state_dir: Path,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Raises `ValueError` for a lease that breaks the bound."""
        terms = ReadLeaseParameters(lease_ms)
        self.membership, self.telemetry = membership, telemetry
        self.replicated_config = ReplicatedConfig(
            membership.local_member.name, voters, terms, StateFolder(state_dir), membership, clock, telemetry
        )
        self._check_interval_s = terms.lease_check_ms / 1000.0
        self._notified_view = self.replicated_config.view()  # as the module was told last
        self._core: Core | None = None
        self._closed = False
        others = membership.on_user_message

        def carried(name: str, data: bytes) -> None:
            if data.startswith(MAGIC_BYTE):
                self.replicated_config.receive(name, data)
                self._notify_changes()
            else:
                others(name, data)

        membership.on_user_message = carried

    def enforce(self, core: Core) -> None:
        """From now on, over the masks that are there."""
        self._core, before = core, core.dispatcher.apply_overrides
        core.dispatcher.apply_overrides = lambda news: self._drain_unserved(before(news))
        core.dispatcher.may_serve = self._may_serve

    def _may_serve(self, dest: int) -> bool:
        if self.replicated_config.view().serves(dest):
            return True
        self._notify_changes()  # else the module would order the same claim again and again
        return False

    def _drain_unserved(self, update: EndpointsUpdated) -> EndpointsUpdated:
        masked = [
            replace(entry, lifecycle=EndpointLifecycle.DRAINING)
            if entry.lifecycle is EndpointLifecycle.UP and not self._notified_view.serves(entry.dest)
            else entry
            for entry in update.entries
        ]
        return replace(update, entries=masked)

    def _notify_changes(self) -> None:
        """The module hears of the partners that are served from now on, or no longer."""
        before, now = self._notified_view, self.replicated_config.view()
        if self._core is None or now == before:
            return
        self._notified_view, machines = now, self._core.endpoint_list
        listed = (machines.get(uid) for uid in sorted(machines.uids()))
        changed = [m for m in listed if m and before.serves(m.dest) != now.serves(m.dest)]
        if changed:
            self._core.dispatcher.notify(EndpointsUpdated(to_endpoint_entries(changed), complete=False))

    async def run(self) -> None:
        """See to it ten times a second."""
        while True:
            await asyncio.sleep(self._check_interval_s)
            try:
                if not self._closed:
                    self._check()
            except (
                Exception
            ) as bad:  # must not end the process that owes answers; without a lease nothing begins
                self.telemetry.record_fault("fleet.config_fault", error=repr(bad))

    def _check(self) -> None:
        agreeing = self.replicated_config
        if agreeing.replica is None and agreeing.fault is None and self.membership.swim is not None:
            try:
                agreeing.start(self.membership.swim.local_member.process_start_ms)
            except (ReplicatedConfigError, OSError) as bad:
                agreeing.fault = (
                    bad
                    if isinstance(bad, ReplicatedConfigError)
                    else ReplicatedConfigError(f"GW_STATE: {bad}")
                )
                self.telemetry.record_fault("fleet.config_unreadable", error=str(agreeing.fault))
        agreeing.tick()
        self._notify_changes()

    def close(self) -> None:
        """This process stops: it begins no claim any more, since the next one of this name may act on newer rules."""
        self._closed = True
        self.replicated_config.close()
        self._notify_changes()

    def propose(self, path: str) -> dict[str, Any]:
        """For the admin socket, whose owner alone can name a file."""
        try:
            with Path(path).open("rb") as file:
                self.replicated_config.propose(decode_document(file.read(MAX_DOCUMENT_BYTES + 1)))
        except (ReplicatedConfigError, OSError) as bad:
            raise CommandRejectedError(str(bad)) from bad
        self._notify_changes()
        return self.replicated_config.status()
