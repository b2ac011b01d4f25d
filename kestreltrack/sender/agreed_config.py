"""Enforces the fleet's replicated configuration on one sender.

Endpoints of destinations that this sender may not serve are reported to the decision module as draining.  Attempts
start only while the sender holds a read lease, which is checked ten times a second and before each attempt.
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
    """Applies the replicated configuration to one sender."""

    def __init__(
        self,
        membership: Membership,
        voters: dict[str, str],
        lease_ms: float,
        state_dir: Path,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Create the replica without starting it.

        Args:
            membership: The fleet members; its handler of user messages is wrapped.
            voters: The id of the state folder of each voter, by the voter's name; the first one is the leader.
            lease_ms: Duration of a read lease.
            state_dir: The state folder of this sender.
            clock: Returns the time in milliseconds.
            telemetry: Counts and logs.

        Raises:
            ValueError: `lease_ms` is out of range, or too long for the upper bound on the time to stop serving.
        """
        lease_parameters = ReadLeaseParameters(lease_ms)
        self.membership = membership
        self.telemetry = telemetry
        self.replicated_config = ReplicatedConfig(
            membership.local_member.name,
            voters,
            lease_parameters,
            StateFolder(state_dir),
            membership,
            clock,
            telemetry,
        )
        self._check_interval_s = lease_parameters.lease_check_ms / 1000.0
        # The view that the decision module was last notified of.
        self._notified_view = self.replicated_config.view()
        self._core: Core | None = None
        self._closed = False
        self._next_message_handler = membership.on_user_message
        membership.on_user_message = self._on_user_message

    def _on_user_message(self, name: str, data: bytes) -> None:
        if data.startswith(MAGIC_BYTE):
            self.replicated_config.receive(name, data)
            self._notify_changes()
        else:
            self._next_message_handler(name, data)

    def enforce(self, core: Core) -> None:
        """Apply the replicated configuration to `core` from now on, on top of the overrides that are already set."""
        self._core = core
        apply_other_overrides = core.dispatcher.apply_overrides
        core.dispatcher.apply_overrides = lambda update: self._drain_unserved(apply_other_overrides(update))
        core.dispatcher.may_serve = self._may_serve

    def _may_serve(self, dest: int) -> bool:
        if self.replicated_config.view().serves(dest):
            return True
        # Without this notification the decision module would keep starting the same attempt.
        self._notify_changes()
        return False

    def _drain_unserved(self, update: EndpointsUpdated) -> EndpointsUpdated:
        entries = [
            replace(entry, lifecycle=EndpointLifecycle.DRAINING)
            if entry.lifecycle is EndpointLifecycle.UP and not self._notified_view.serves(entry.dest)
            else entry
            for entry in update.entries
        ]
        return replace(update, entries=entries)

    def _notify_changes(self) -> None:
        """Notify the decision module of endpoints whose destination started or stopped being served."""
        previous = self._notified_view
        current = self.replicated_config.view()
        if self._core is None or current == previous:
            return
        self._notified_view = current
        endpoint_list = self._core.endpoint_list
        listed = (endpoint_list.get(uid) for uid in sorted(endpoint_list.uids()))
        changed = [
            endpoint
            for endpoint in listed
            if endpoint and previous.serves(endpoint.dest) != current.serves(endpoint.dest)
        ]
        if changed:
            self._core.dispatcher.notify(EndpointsUpdated(to_endpoint_entries(changed), complete=False))

    async def run(self) -> None:
        """Check the read lease periodically until cancelled."""
        while True:
            await asyncio.sleep(self._check_interval_s)
            try:
                if not self._closed:
                    self._check()
            except Exception as error:
                # A fault here must not end the process, which still has clients to answer.  It is safe to continue:
                # without a lease no attempt starts.
                self.telemetry.record_fault("fleet.config_fault", error=repr(error))

    def _check(self) -> None:
        config = self.replicated_config
        if config.replica is None and config.fault is None and self.membership.swim is not None:
            self._start_replica(self.membership.swim.local_member.process_start_ms)
        config.tick()
        self._notify_changes()

    def _start_replica(self, process_start_ms: int) -> None:
        try:
            self.replicated_config.start(process_start_ms)
        except ReplicatedConfigError as error:
            self._record_start_fault(error)
        except OSError as error:
            self._record_start_fault(ReplicatedConfigError(f"GW_STATE: {error}"))

    def _record_start_fault(self, error: ReplicatedConfigError) -> None:
        self.replicated_config.fault = error
        self.telemetry.record_fault("fleet.config_unreadable", error=str(error))

    def close(self) -> None:
        """Stop serving all destinations: the next process with this name may act on a newer configuration."""
        self._closed = True
        self.replicated_config.close()
        self._notify_changes()

    def propose(self, path: str) -> dict[str, Any]:
        """Propose the configuration document in a file, and return the status.

        Reading an arbitrary path is acceptable: only the owner of the admin socket can send this command.

        Raises:
            CommandRejectedError: The file cannot be read, or the proposal is rejected.
        """
        try:
            with Path(path).open("rb") as file:
                self.replicated_config.propose(decode_document(file.read(MAX_DOCUMENT_BYTES + 1)))
        except (ReplicatedConfigError, OSError) as error:
            raise CommandRejectedError(str(error)) from error
        self._notify_changes()
        return self.replicated_config.status()
