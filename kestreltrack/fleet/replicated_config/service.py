"""The replicated configuration of one sender: its lifecycle, the view to act on, and the operators' commands.

The first of the voters is the leader: it accepts proposals and commits them, by the promises that come with the
voters' lease requests.  Its state on disk is the commit record, so it continues after a restart; while it is down, no
version changes.  Until the first document is in force there are no rules, but a sender needs a lease all the same:
the first document may already be in force elsewhere.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from kestreltrack.fleet.replicated_config.active_replica import ActiveReplica, MemberMessaging, SenderContext
from kestreltrack.fleet.replicated_config.document import ConfigDocument, content_hash
from kestreltrack.fleet.replicated_config.errors import (
    NotLeaderError,
    NotReadyError,
    ReplicatedConfigError,
    RevisionTakenError,
    VoterNotEnrolledError,
)
from kestreltrack.fleet.replicated_config.protocol import ConfigReplica, PersistentState, ReadLeaseParameters
from kestreltrack.fleet.replicated_config.storage import StateFolder, StoredState
from kestreltrack.fleet.replicated_config.version import INITIAL_VERSION
from kestreltrack.fleet.replicated_config.view import ConfigView, check_supported
from kestreltrack.fleet.replicated_config.wire import decode_packet
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

# The state of a new folder.
INITIAL_STATE = StoredState(
    PersistentState(INITIAL_VERSION, INITIAL_VERSION), {INITIAL_VERSION: ConfigDocument("none", 0, 0)}
)
# The view of a sender that has not read its state folder yet, or has released it.
NO_VIEW = ConfigView(False, None)


class ReplicatedConfig:
    """The replicated configuration of one sender.

    Attributes:
        fault: Why this sender does not vote or has no lease; `None` if nothing is wrong.
    """

    def __init__(
        self,
        local_name: str,
        voters: Mapping[str, str],
        parameters: ReadLeaseParameters,
        folder: StateFolder,
        members: MemberMessaging,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Create a replica; its state folder is not read before `start`.

        Args:
            local_name: The name of this sender.
            voters: The id of the state folder of each voter, by the voter's name; the first one is the leader.
            parameters: The parameters of leases.
            folder: The state folder of this sender.
            members: Sends packets to other senders.
            clock: Returns the time in milliseconds.
            telemetry: Counts and logs.
        """
        self._context = SenderContext(local_name, dict(voters), parameters, folder, members, clock, telemetry)
        self._clock = clock
        self._is_enrolling = self._context.is_enrolling
        self._active: ActiveReplica | None = None
        self.fault: ReplicatedConfigError | None = None

    @property
    def replica(self) -> ConfigReplica | None:
        """Return the protocol state; `None` before `start` and after `close`."""
        return None if self._active is None else self._active.replica

    # Lifecycle

    def start(self, process_start_ms: int) -> None:
        """Read the state folder; to be called once no other process of this sender uses it.

        Args:
            process_start_ms: The Unix time at which this process started, in milliseconds.

        Raises:
            StateUnreadableError: The folder cannot be read; this sender has no lease.
            OSError: The folder cannot be written; this sender has no lease.
        """
        context = self._context
        stored = context.folder.load() or INITIAL_STATE
        # The id of a new folder must be on disk before any other sender receives it.
        context.folder.save(stored.state, stored.documents)
        self._active = ActiveReplica(context, stored, process_start_ms)
        if context.local_name in context.voters and not self._active.is_voter:
            listed_id = context.voters[context.local_name]
            self.fault = VoterNotEnrolledError(context.local_name, context.folder.id, listed_id)
            context.telemetry.record_fault("fleet.config_not_voter", error=str(self.fault))
        self._active.log("begun", f"folder {context.folder.id}")

    def close(self) -> None:
        """Stop acting on documents, and release the folder to the next process of this sender.

        To voters, both processes are the same sender.
        """
        self._active = None

    def tick(self) -> None:
        """Run the periodic work; to be called about ten times a second."""
        if self._active is not None and not self._is_enrolling:
            self._active.tick(self._clock())

    def receive(self, sender_name: str, data: bytes) -> None:
        """Handle a datagram from a member."""
        packet = decode_packet(data)
        if packet is None or self._active is None:
            self._context.telemetry.count("fleet.malformed")
        else:
            self._active.handle_packet(sender_name, packet)

    # View

    def view(self) -> ConfigView:
        """Return the view to act on now."""
        active = self._active
        if active is None:
            return NO_VIEW
        if self._is_enrolling:
            # No sender votes yet, so no document can be in force.
            return ConfigView(active.replica.state.acknowledged == INITIAL_VERSION, None)
        has_lease = active.replica.readable_versions(self._clock()) is not None
        return ConfigView(has_lease, active.documents.effective)

    # Operators

    def propose(self, document: ConfigDocument) -> None:
        """Prepare a document; proposing the same document again changes nothing.

        Raises:
            ReplicatedConfigError: Nothing has changed.
        """
        active = self._active
        if active is None or active.coordinator is None:
            raise self.fault or self._proposal_error()
        check_supported(document)
        acknowledged = active.replica.state.acknowledged
        if document.version > acknowledged:
            active.prepare(document)
            return
        prepared = active.documents.by_version.get(document.version)
        if prepared is None or content_hash(prepared) != content_hash(document):
            raise RevisionTakenError(acknowledged, document.version)

    def _proposal_error(self) -> ReplicatedConfigError:
        leader_name = self._context.leader_name
        if leader_name != self._context.local_name:
            return NotLeaderError(leader_name)
        return NotReadyError(self._context.local_name)

    def status(self) -> dict[str, Any]:
        """Return the result of the command `fleet.agreed.show`; its keys are part of the admin socket's interface."""
        fault = str(self.fault or "")
        voters = self._context.voters
        if self._active is None:
            return {"begun": False, "fault": fault, "voters": voters}
        replica = self._active.replica
        coordinator = self._active.coordinator
        lease_left_ms = max(0.0, replica.lease_expires_at() - self._clock())
        voters_behind = set(voters.values()) - set(coordinator.promised_at) if coordinator else set()
        return {
            "begun": True,
            "id": self._context.folder.id,
            "votes": self._active.is_voter,
            "keeper": self._context.leader_name,
            "fault": fault,
            "leased": self.view().has_lease,
            "lease_ms": round(lease_left_ms),
            "worst_ms": round(self._context.parameters.worst_case_stop_ms),
            "force": list(replica.state.committed),
            "acknowledged": list(replica.state.acknowledged),
            "voters": voters,
            "behind": sorted(voters_behind),
        }

    def gauges(self) -> dict[str, int]:
        """Return the values of the gauges by name."""
        if self._active is None:
            return {"agreed_revision": 0, "agreed_leased": 0}
        return {
            "agreed_revision": self._active.replica.state.committed.revision,
            "agreed_leased": int(self.view().has_lease),
        }
