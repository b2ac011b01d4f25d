"""Runs the commit protocol of one sender over membership's datagrams while its state folder is open."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from kestreltrack.fleet.replicated_config.active_documents import ActiveDocuments
from kestreltrack.fleet.replicated_config.document import ConfigDocument
from kestreltrack.fleet.replicated_config.errors import (
    ConflictingRevisionError,
    InvalidDocumentError,
    StateWriteError,
)
from kestreltrack.fleet.replicated_config.protocol import (
    NEVER,
    CommitCoordinator,
    CommitRecord,
    ConfigReplica,
    PreparedChange,
    Promise,
    ReadLeaseParameters,
    ReadLeaseRequest,
    ReadLeaseResponse,
)
from kestreltrack.fleet.replicated_config.storage import StateFolder, StoredState
from kestreltrack.fleet.replicated_config.transfer import DocumentTransfer
from kestreltrack.fleet.replicated_config.version import INITIAL_VERSION, Version
from kestreltrack.fleet.replicated_config.wire import (
    CHUNK_BYTES,
    Chunk,
    ChunkRequest,
    LeaseRequestPacket,
    LeaseResponsePacket,
    Packet,
    encode_packet,
)
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

# Requests per duration of a lease; several, so that the lease survives the loss of some of them.
REQUESTS_PER_LEASE = 4.0
# The sequence number of a response without a request; requests are numbered from 1.
UNSOLICITED_SEQ = 0


class MemberMessaging(Protocol):
    """The part of membership that sends packets to other senders."""

    def send_user_message(self, member_name: str, data: bytes) -> None:
        """Send data to a member in a datagram."""

    def member_names(self) -> list[str] | None:
        """Return the names of all members."""


@dataclass(frozen=True, slots=True)
class SenderContext:
    """The identity, parameters and collaborators of a sender's replica.

    Attributes:
        local_name: The name of this sender.
        voters: The id of the state folder of each voter, by the voter's name; the first one is the leader.
        parameters: The parameters of leases.
        folder: The state folder of this sender.
        members: Sends packets to other senders.
        clock: Returns the time in milliseconds.
        telemetry: Counts and logs.
    """

    local_name: str
    voters: Mapping[str, str]
    parameters: ReadLeaseParameters
    folder: StateFolder
    members: MemberMessaging
    clock: Clock
    telemetry: Telemetry

    @property
    def is_enrolling(self) -> bool:
        """Return whether the folder id of any voter is still unknown; no sender votes until all are known."""
        return not all(self.voters.values())

    @property
    def leader_name(self) -> str:
        """Return the name of the voter that accepts and commits proposals."""
        return next(iter(self.voters))


class ActiveReplica:
    """One sender's side of the protocol, including the roles of voter and leader if the sender has them.

    Attributes:
        replica: The protocol state.
        documents: The documents of that state.
        coordinator: Collects promises for the prepared version; `None` if this sender is not the leader.
        is_voter: Whether the folder of this sender has the id that is listed for its name.
    """

    def __init__(self, context: SenderContext, stored: StoredState, process_start_ms: int) -> None:
        self._context = context
        self.replica = ConfigReplica(
            context.parameters,
            stored.state,
            frozenset(context.voters.values()),
            context.clock(),
            seq=process_start_ms,
        )
        self.documents = ActiveDocuments(stored.state, stored.documents)
        self.is_voter = (
            not context.is_enrolling and context.voters.get(context.local_name) == context.folder.id
        )
        self.coordinator: CommitCoordinator | None = None
        if self.is_voter and context.leader_name == context.local_name:
            self.coordinator = self._new_coordinator()
        # After a restart, other senders may be behind the committed version.
        self._settled = False
        self._transfer: DocumentTransfer | None = None
        self._last_request_at = NEVER
        self._last_promise = Promise(INITIAL_VERSION, False)
        self._had_lease = False

    def _new_coordinator(self) -> CommitCoordinator:
        return CommitCoordinator(
            self._context.parameters, self.replica.voters, self.replica.state.acknowledged
        )

    def log(self, change: str, cause: str, **fields: object) -> None:
        """Log a change with the versions after it."""
        state = self.replica.state
        self._context.telemetry.log(
            "replicated_config",
            change=change,
            cause=cause,
            force=list(state.committed),
            acknowledged=list(state.acknowledged),
            **fields,
        )

    # Timers

    def tick(self, now: float) -> None:
        """Commit if possible, send requests that are due, and log changes of the lease."""
        self._advance_commit(now)
        has_new_promise = self.is_voter and self.replica.make_promise(now) != self._last_promise
        request_interval_ms = self._context.parameters.lease_ms / REQUESTS_PER_LEASE
        if has_new_promise or now >= self._last_request_at + request_interval_ms:
            self._request_leases(now)
        if self._transfer and self._transfer.is_overdue(now):
            self._request_chunk(now, self._transfer)
        self._log_lease_change(now)

    def _log_lease_change(self, now: float) -> None:
        expires_at = self.replica.lease_expires_at()
        has_lease = now < expires_at
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        expiry_s = round(expires_at / 1000.0, 4)
        if has_lease:
            self.log("leased", "a majority of voters granted a lease", until=expiry_s)
        else:
            self.log("lapsed", "no majority of voters renewed the lease", until=expiry_s)

    def _request_leases(self, now: float) -> None:
        """Request a lease from all voters; the request of a voter is also its promise."""
        self._last_request_at = now
        self._last_promise = self.replica.make_promise(now)
        request = self.replica.make_request(now)
        packet = LeaseRequestPacket(
            self._context.folder.id,
            request.seq,
            request.acknowledged,
            self._last_promise.no_stale_leases,
        )
        self._send(self._context.voters, packet)

    def _advance_commit(self, now: float) -> None:
        """As the leader, commit the prepared version once no sender can contradict it."""
        coordinator = self.coordinator
        if coordinator is None:
            return
        state = self.replica.state
        record = coordinator.next_record(
            now,
            CommitRecord(state.committed, state.acknowledged, self._settled),
            self.documents.is_compatible,
        )
        if record is None:
            return
        cause = (
            f"promised by {len(coordinator.promised_at)} voters" if record.settled else "a compatible change"
        )
        if record.committed == state.committed or self._adopt(None, record.committed, "in force", cause):
            self._settled = record.settled

    # Packets

    def _send(self, names: Iterable[str], packet: Packet) -> None:
        data = encode_packet(packet)
        for name in names:
            if name == self._context.local_name:
                self.handle_packet(name, packet)
            else:
                self._context.members.send_user_message(name, data)

    def handle_packet(self, sender_name: str, packet: Packet) -> None:
        """Handle a packet from a member, or from this sender itself if it is a voter."""
        now = self._context.clock()
        match packet:
            case LeaseRequestPacket():
                self._handle_lease_request(now, sender_name, packet)
            case LeaseResponsePacket():
                self._handle_lease_response(now, sender_name, packet)
            case ChunkRequest():
                self._handle_chunk_request(sender_name, packet)
            case Chunk():
                self._handle_chunk(now, sender_name, packet)

    def _is_listed_voter(self, sender_name: str, folder_id: str) -> bool:
        return self._context.voters.get(sender_name) == folder_id

    def _handle_lease_request(self, now: float, sender_name: str, packet: LeaseRequestPacket) -> None:
        version = Version(*packet.acknowledged)
        if self.coordinator and self._is_listed_voter(sender_name, packet.folder_id):
            promise = Promise(version, packet.no_stale_leases)
            self.coordinator.handle_promise(now, packet.folder_id, promise)
        if self.is_voter:
            request = ReadLeaseRequest(packet.seq, version)
            response = self.replica.handle_request(now, packet.folder_id, request)
            self._send([sender_name], self._lease_response(packet.seq, response.granted))

    def _lease_response(self, seq: int, granted: bool) -> LeaseResponsePacket:
        state = self.replica.state
        return LeaseResponsePacket(
            self._context.folder.id,
            seq,
            granted,
            state.committed,
            state.acknowledged,
            self.documents.digest(state.committed),
            self.documents.digest(state.acknowledged),
        )

    def _handle_lease_response(self, now: float, sender_name: str, packet: LeaseResponsePacket) -> None:
        if not self._is_listed_voter(sender_name, packet.folder_id):
            return
        response = ReadLeaseResponse(packet.seq, packet.granted, Version(*packet.acknowledged))
        self.replica.handle_response(now, packet.folder_id, response)
        self._follow_voter(sender_name, packet)
        self._log_lease_change(now)

    def _handle_chunk_request(self, sender_name: str, packet: ChunkRequest) -> None:
        document = self.documents.encoded(packet.digest)
        if document is None:
            return
        data = document[packet.offset : packet.offset + CHUNK_BYTES]
        self._send([sender_name], Chunk(packet.digest, packet.offset, len(document), data))

    # Versions and documents of other voters

    def _follow_voter(self, voter_name: str, response: LeaseResponsePacket) -> None:
        """Adopt the versions of a voter once both documents have been received."""
        state = self.replica.state
        committed = Version(*response.committed)
        acknowledged = Version(*response.acknowledged)
        digests = {committed: response.committed_digest, acknowledged: response.acknowledged_digest}
        if self._has_conflict(voter_name, digests):
            return
        nothing_to_acknowledge = acknowledged <= state.acknowledged or committed < state.committed
        if committed <= state.committed and nothing_to_acknowledge:
            return
        for version, digest in digests.items():
            if version not in self.documents.by_version:
                self._fetch_document(voter_name, version, digest, response)
                return
        prepared = None
        if acknowledged > state.acknowledged:
            prepared = PreparedChange(acknowledged, committed)
        change = "in force" if committed > state.committed else "prepared"
        self._adopt(prepared, committed, change, f"received from {voter_name}")

    def _has_conflict(self, voter_name: str, digests: Mapping[Version, str]) -> bool:
        """Return whether a voter has different content for a version held here, and log the first such version."""
        for version, digest in digests.items():
            if version not in self.documents.by_version:
                continue
            local_digest = self.documents.digest(version)
            if local_digest != digest:
                error = ConflictingRevisionError(version, local_digest, digest)
                self._context.telemetry.record_fault("fleet.config_conflict", error=str(error), by=voter_name)
                return True
        return False

    def _fetch_document(
        self, voter_name: str, version: Version, digest: str, response: LeaseResponsePacket
    ) -> None:
        """Start to transfer a document; a transfer in progress continues, even from another voter."""
        if self._transfer and self._transfer.digest == digest:
            self._transfer.continue_from(voter_name, response)
            return
        self._transfer = DocumentTransfer(voter_name, version, digest, response)
        self._request_chunk(self._context.clock(), self._transfer)

    def _request_chunk(self, now: float, transfer: DocumentTransfer) -> None:
        self._send([transfer.voter_name], transfer.make_request(now))

    def _handle_chunk(self, now: float, voter_name: str, chunk: Chunk) -> None:
        transfer = self._transfer
        if transfer is None or not transfer.expects(chunk):
            return
        if not transfer.append(chunk):
            self._request_chunk(now, transfer)
            return
        self._transfer = None
        try:
            document = transfer.document(voter_name)
        except InvalidDocumentError as error:
            self._context.telemetry.record_fault("fleet.config_invalid", error=str(error), by=voter_name)
            return
        self.documents.add(document)
        state = self.replica.state
        response = transfer.response
        self.documents.retain(
            {
                state.committed,
                state.acknowledged,
                Version(*response.committed),
                Version(*response.acknowledged),
            }
        )
        self._follow_voter(voter_name, response)

    # State changes

    def prepare(self, document: ConfigDocument) -> None:
        """As the leader, prepare a document on top of the committed version.

        Raises:
            StateWriteError: It could not be stored, and nothing has changed.
        """
        self.documents.add(document)
        committed = self.replica.state.committed
        prepared = PreparedChange(document.version, committed)
        if not self._adopt(prepared, committed, "prepared", "proposed to this sender"):
            raise StateWriteError("GW_STATE is full or not writable")

    def _adopt(self, prepared: PreparedChange | None, committed: Version, change: str, cause: str) -> bool:
        """Store new versions, then act on them; return whether anything has changed.

        A change is sent to the voters at once; the leader also announces it to all members.
        """
        previous_state = self.replica.state
        commit_changed = self.replica.commit(committed)
        acknowledgement_changed = prepared is not None and self.replica.acknowledge(prepared)
        if not commit_changed and not acknowledgement_changed:
            return False
        try:
            # Blocks the event loop: changes are rare, and the sender must not act on either version meanwhile.
            self._context.folder.save(self.replica.state, self.documents.by_version)
        except OSError as error:
            self.replica.state = previous_state
            write_error = StateWriteError(str(error))
            self._context.telemetry.record_fault("fleet.config_not_persisted", error=str(write_error))
            return False
        self.documents.activate(self.replica.state)
        self.log(change, cause)
        if self.coordinator:
            self._announce(self.coordinator)
        self._request_leases(self._context.clock())
        return True

    def _announce(self, coordinator: CommitCoordinator) -> None:
        """As the leader, send the new versions to all members and collect promises for them."""
        if coordinator.version != self.replica.state.acknowledged:
            self.coordinator = self._new_coordinator()
        names = self._context.members.member_names() or self._context.voters
        other_names = [name for name in names if name != self._context.local_name]
        self._send(other_names, self._lease_response(UNSOLICITED_SEQ, False))
