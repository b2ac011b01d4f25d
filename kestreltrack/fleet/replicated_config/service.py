"""Carries the tables of `reader.py` on membership's datagrams, with the folder that outlasts the process.

The first of the voters keeps the record: it takes proposals and puts them in force, by the promises that come with
the voters' asks.  What it has kept on disk is the record, so that it goes on after a restart; while it is away,
nothing changes.  Until the first document is in force nothing is ruled, but a lease is needed all the same: that
document may be in force elsewhere already.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from kestreltrack.fleet.replicated_config.document import (
    ConfigDocument,
    Version,
    canonical_bytes,
    content_hash,
    decode_document,
    incompatible_keys,
    intersection,
)
from kestreltrack.fleet.replicated_config.errors import (
    ConflictingRevisionError,
    InvalidDocumentError,
    NotLeaderError,
    NotReadyError,
    ReplicatedConfigError,
    RevisionTakenError,
    StateWriteError,
    VoterNotEnrolledError,
)
from kestreltrack.fleet.replicated_config.protocol import (
    NEVER,
    CommitCoordinator,
    CommitRecord,
    ConfigReplica,
    PersistentState,
    PreparedChange,
    Promise,
    ReadLeaseParameters,
)
from kestreltrack.fleet.replicated_config.protocol import ReadLeaseRequest as Asked
from kestreltrack.fleet.replicated_config.protocol import ReadLeaseResponse as Granted
from kestreltrack.fleet.replicated_config.storage import StateFolder, versioned_digest
from kestreltrack.fleet.replicated_config.wire import (
    CHUNK_BYTES,
    Chunk,
    ChunkRequest,
    LeaseRequestPacket,
    LeaseResponsePacket,
    Packet,
    decode_packet,
    encode_packet,
)
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

INITIAL_VERSION = Version(0, 0)  # before any document
WILDCARD = frozenset({"*"})
CHUNK_RETRY_MS = 300.0  # until a chunk that did not come is asked for again


class MemberMessaging(Protocol):
    """The part of membership that is used."""

    def send_user_message(self, member_name: str, data: bytes) -> None:
        """Send a member something."""

    def member_names(self) -> list[str] | None:
        """Who is a member."""


class ConfigView(NamedTuple):
    """What to act on; a sender without a lease serves nobody."""

    has_lease: bool
    document: ConfigDocument | None  # none: nothing is ruled yet

    def serves(self, dest: int) -> bool:
        """Whether claims for a partner may begin."""
        if not self.has_lease or self.document is None:
            return self.has_lease
        partner = self.document.partners.get(str(dest))
        return partner is not None and not partner.out and not partner.paused


def check_supported(document: ConfigDocument) -> None:
    """Refuse what no sender acts on so far: it would be in force in name only.  Raises `DocumentFaulty`."""
    if document.claims:
        raise InvalidDocumentError("claims", "no sender acts on the claim map yet")
    if document.settings != type(document.settings)():
        raise InvalidDocumentError("settings", "no sender acts on agreed settings yet")
    for name, partner in document.partners.items():
        if not name.isdecimal():
            raise InvalidDocumentError(
                f"partners.{name}", "expected the number of a partner, as machine lists have it"
            )
        for key in ("classes", "firms"):
            if getattr(partner, key) != WILDCARD:
                raise InvalidDocumentError(
                    f"partners.{name}.{key}", 'expected ["*"]: partners are served whole so far'
                )


@dataclass(slots=True)
class DocumentFetch:
    """A document on its way from a voter."""

    voter_name: str
    version: Version
    digest: str
    response: LeaseResponsePacket  # that is taken once all of its documents are here
    requested_at: float = NEVER
    data: bytearray = field(default_factory=bytearray)


class ReplicatedConfig:
    """One sender's side, and a voter's or the keeper's where it is one; `voters` maps names to ids of folders."""

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
        """Nothing is read before `begin`."""
        self.local_name, self.voters, self.parameters, self.folder, self.members = (
            local_name,
            dict(voters),
            parameters,
            folder,
            members,
        )
        self.clock, self.telemetry = clock, telemetry
        self.enrolling = not all(self.voters.values())
        self.replica: ConfigReplica | None = None
        self.documents = dict[Version, ConfigDocument]()
        self.commit_coordinator: CommitCoordinator | None = None
        self.fault: ReplicatedConfigError | None = None
        self._effective_document: ConfigDocument | None = None
        self._encoded_documents = dict[str, bytes]()
        self._settled = False  # not known after a restart
        self._compatible = False
        self._fetch: DocumentFetch | None = None
        self._last_request_at, self._last_promise, self._had_lease = (
            NEVER,
            Promise(INITIAL_VERSION, False),
            False,
        )

    def start(self, process_start_ms: int) -> None:
        """Read the folder, once no other process of this sender uses it; `start` is this one's, Unix time in ms.

        Raises `KeptUnreadable`, `OSError`: it then has no lease.
        """
        kept, self.documents = self.folder.load() or (
            PersistentState(INITIAL_VERSION, INITIAL_VERSION),
            {INITIAL_VERSION: ConfigDocument("none", 0, 0)},
        )
        self.folder.save(kept, self.documents)  # a new folder's id has to last before anybody hears it
        self.replica = ConfigReplica(
            self.parameters, kept, frozenset(self.voters.values()), self.clock(), seq=process_start_ms
        )
        self._refresh_documents()
        if self.local_name in self.voters and not self._is_voter():
            self.fault = VoterNotEnrolledError(self.local_name, self.folder.id, self.voters[self.local_name])
            self.telemetry.record_fault("fleet.config_not_voter", error=str(self.fault))
        if self._is_leader():
            self.commit_coordinator = CommitCoordinator(
                self.parameters, self.replica.voters, kept.acknowledged
            )
        self._log("begun", f"folder {self.folder.id}")

    def _is_voter(self) -> bool:
        return not self.enrolling and self.voters.get(self.local_name) == self.folder.id

    def _is_leader(self) -> bool:
        return self._is_voter() and next(iter(self.voters)) == self.local_name

    def close(self) -> None:
        """Act on nothing more, and leave the folder to the next process of this sender: voters know both as one."""
        self.replica = self.commit_coordinator = None

    # What is acted on

    def view(self) -> ConfigView:
        """At this moment."""
        if self.replica is None:
            return ConfigView(False, None)
        if self.enrolling:  # nobody votes yet, so nothing can be in force
            return ConfigView(self.replica.state.acknowledged == INITIAL_VERSION, None)
        return ConfigView(self.replica.readable_versions(self.clock()) is not None, self._effective_document)

    def _refresh_documents(self) -> None:
        assert self.replica
        kept = self.replica.state
        self.documents = {version: self.documents[version] for version in (kept.committed, kept.acknowledged)}
        self._encoded_documents = {
            versioned_digest(found): canonical_bytes(found) for found in self.documents.values()
        }
        base, new = self.documents[kept.committed], self.documents[kept.acknowledged]
        # Whoever has heard of no document yet serves everybody, so that the first one contradicts.
        self._compatible = kept.committed != INITIAL_VERSION and not incompatible_keys(base, new)
        if kept.acknowledged == INITIAL_VERSION:
            self._effective_document = None
        else:
            self._effective_document = new if kept.committed == INITIAL_VERSION else intersection(base, new)

    def _log(self, change: str, cause: str, **fields: Any) -> None:
        assert self.replica
        kept = self.replica.state
        self.telemetry.log(
            "agreed",
            change=change,
            cause=cause,
            force=list(kept.committed),
            acknowledged=list(kept.acknowledged),
            **fields,
        )

    # Time passes

    def tick(self) -> None:
        """Some ten times a second."""
        if self.replica is None or self.enrolling:
            return
        now = self.clock()
        self._advance_commit(now)
        news = self._is_voter() and self.replica.make_promise(now) != self._last_promise
        if news or now >= self._last_request_at + self.parameters.lease_ms / 4.0:
            self._request_leases(now)
        if self._fetch and now >= self._fetch.requested_at + CHUNK_RETRY_MS:
            self._request_chunk(now, self._fetch)
        self._check_lease(now)

    def _check_lease(self, now: float) -> None:
        assert self.replica
        until = self.replica.lease_expires_at()
        leased = now < until
        if leased != self._had_lease:
            self._had_lease = leased
            word = (
                "a majority of voters granted a lease" if leased else "no majority of voters granted it anew"
            )
            self._log("leased" if leased else "lapsed", word, until=round(until / 1000.0, 4))

    def _request_leases(self, now: float) -> None:
        assert self.replica
        self._last_request_at, self._last_promise = now, self.replica.make_promise(now)
        ask = self.replica.make_request(now)
        self._send(
            self.voters,
            LeaseRequestPacket(self.folder.id, ask.seq, ask.acknowledged, self._last_promise.no_stale_leases),
        )

    def _advance_commit(self, now: float) -> None:
        """As the keeper: put in force what is prepared, once nobody can act against it."""
        if (publisher := self.commit_coordinator) is None:
            return
        assert self.replica
        kept = self.replica.state
        found = publisher.next_record(
            now, CommitRecord(kept.committed, kept.acknowledged, self._settled), self._compatible
        )
        if found is None:
            return
        cause = f"promised by {len(publisher.promised_at)} voters" if found.settled else "it merely adds"
        if found.committed == kept.committed or self._adopt(None, found.committed, "in force", cause):
            self._settled = found.settled

    # Words

    def _send(self, names: Iterable[str], packet: Packet) -> None:
        data = encode_packet(packet)
        for name in names:
            if name == self.local_name:
                self._handle_packet(name, packet)
            else:
                self.members.send_user_message(name, data)

    def receive(self, sender_name: str, data: bytes) -> None:
        """A word from a member."""
        packet = decode_packet(data)
        if packet is None or self.replica is None:
            self.telemetry.count("fleet.malformed")
        else:
            self._handle_packet(sender_name, packet)

    def _handle_packet(self, sender_name: str, packet: Packet) -> None:
        assert self.replica
        now = self.clock()
        if isinstance(packet, LeaseRequestPacket):
            version = Version(*packet.acknowledged)
            if self.commit_coordinator and self.voters.get(sender_name) == packet.folder_id:
                self.commit_coordinator.handle_promise(
                    now, packet.folder_id, Promise(version, packet.no_stale_leases)
                )
            if self._is_voter():
                granted = self.replica.handle_request(
                    now, packet.folder_id, Asked(packet.seq, version)
                ).granted
                self._send([sender_name], self._lease_response(packet.seq, granted))
        elif isinstance(packet, LeaseResponsePacket):
            if self.voters.get(sender_name) == packet.folder_id:
                answer = Granted(packet.seq, packet.granted, Version(*packet.acknowledged))
                self.replica.handle_response(now, packet.folder_id, answer)
                self._follow_voter(sender_name, packet)
                self._check_lease(now)
        elif isinstance(packet, ChunkRequest):
            if data := self._encoded_documents.get(packet.digest):
                part = data[packet.offset : packet.offset + CHUNK_BYTES]
                self._send([sender_name], Chunk(packet.digest, packet.offset, len(data), part))
        else:
            self._handle_chunk(now, sender_name, packet)

    def _lease_response(self, seq: int, granted: bool) -> LeaseResponsePacket:
        assert self.replica
        kept = self.replica.state
        force, new = (
            versioned_digest(self.documents[kept.committed]),
            versioned_digest(self.documents[kept.acknowledged]),
        )
        return LeaseResponsePacket(
            self.folder.id, seq, granted, kept.committed, kept.acknowledged, force, new
        )

    def _follow_voter(self, voter_name: str, response: LeaseResponsePacket) -> None:
        """Take what a voter tells, once both documents are here."""
        assert self.replica
        kept, force, new = self.replica.state, Version(*response.committed), Version(*response.acknowledged)
        told = {force: response.committed_digest, new: response.acknowledged_digest}
        for version, digest in told.items():
            if version in self.documents and (here := versioned_digest(self.documents[version])) != digest:
                self.telemetry.record_fault(
                    "fleet.config_conflict",
                    error=str(ConflictingRevisionError(version, digest, here)),
                    by=voter_name,
                )
                return
        if force <= kept.committed and (new <= kept.acknowledged or force < kept.committed):
            return
        for version, digest in told.items():
            if version not in self.documents:
                if (
                    self._fetch and self._fetch.digest == digest
                ):  # goes on where it was, also from another voter
                    self._fetch.voter_name, self._fetch.response = voter_name, response
                else:
                    self._fetch = DocumentFetch(voter_name, version, digest, response)
                    self._request_chunk(self.clock(), self._fetch)
                return
        change = "in force" if force > kept.committed else "prepared"
        prepared = PreparedChange(new, force) if new > kept.acknowledged else None
        self._adopt(prepared, force, change, f"told by {voter_name}")

    def _request_chunk(self, now: float, fetch: DocumentFetch) -> None:
        fetch.requested_at = now
        self._send([fetch.voter_name], ChunkRequest(fetch.digest, len(fetch.data)))

    def _handle_chunk(self, now: float, voter_name: str, chunk: Chunk) -> None:
        fetch = self._fetch
        if fetch is None or (chunk.digest, chunk.offset) != (fetch.digest, len(fetch.data)):
            return
        fetch.data += chunk.data
        if len(fetch.data) < chunk.document_bytes and chunk.data:
            self._request_chunk(now, fetch)
            return
        self._fetch = None
        try:
            document = decode_document(bytes(fetch.data))
            if versioned_digest(document) != fetch.digest or document.version != fetch.version:
                raise InvalidDocumentError("", f"what {voter_name} sent is not {fetch.digest}")
        except ReplicatedConfigError as bad:
            self.telemetry.record_fault("fleet.config_invalid", error=str(bad), by=voter_name)
            return
        assert self.replica
        kept, word = self.replica.state, fetch.response
        wanted = {kept.committed, kept.acknowledged, Version(*word.committed), Version(*word.acknowledged)}
        found = self.documents | {fetch.version: document}
        self.documents = {version: found[version] for version in found.keys() & wanted}
        self._follow_voter(voter_name, word)

    def _adopt(self, prepared: PreparedChange | None, committed: Version, change: str, cause: str) -> bool:
        """Keep it, then go by it; voters hear of that at once, and all members from the keeper."""
        assert self.replica
        before = self.replica.state
        if not (
            self.replica.commit(committed) | (prepared is not None and self.replica.acknowledge(prepared))
        ):
            return False
        try:
            # On the loop: changes are rare, and nothing may be done by either version meanwhile.
            self.folder.save(self.replica.state, self.documents)
        except OSError as bad:
            self.replica.state = before
            self.telemetry.record_fault("fleet.config_not_persisted", error=str(StateWriteError(str(bad))))
            return False
        self._refresh_documents()
        self._log(change, cause)
        if self.commit_coordinator:
            if self.commit_coordinator.version != self.replica.state.acknowledged:
                self.commit_coordinator = CommitCoordinator(
                    self.parameters, self.replica.voters, self.replica.state.acknowledged
                )
            others = [name for name in self.members.member_names() or self.voters if name != self.local_name]
            self._send(others, self._lease_response(0, False))
        self._request_leases(self.clock())
        return True

    # Staff

    def propose(self, document: ConfigDocument) -> None:
        """Prepare a document; raises of `AgreedError`, and then nothing has changed."""
        if self.replica is None or self.commit_coordinator is None:
            keeper = next(iter(self.voters))
            raise self.fault or (
                NotLeaderError(keeper) if keeper != self.local_name else NotReadyError(self.local_name)
            )
        check_supported(document)
        kept = self.replica.state
        if document.version <= kept.acknowledged:
            same = self.documents.get(document.version)
            if same is None or content_hash(same) != content_hash(document):
                raise RevisionTakenError(kept.acknowledged, document.version)
            return
        self.documents[document.version] = document
        prepared = PreparedChange(document.version, kept.committed)
        if not self._adopt(prepared, kept.committed, "prepared", "proposed here"):
            raise StateWriteError("GW_STATE is full, or not to be written in")

    def status(self) -> dict[str, Any]:
        """For operators."""
        if self.replica is None:
            return {"begun": False, "fault": str(self.fault or ""), "voters": self.voters}
        kept, now = self.replica.state, self.clock()
        return {
            "begun": True,
            "id": self.folder.id,
            "votes": self._is_voter(),
            "keeper": next(iter(self.voters)),
            "fault": str(self.fault or ""),
            "leased": self.view().has_lease,
            "lease_ms": round(max(0.0, self.replica.lease_expires_at() - now)),
            "worst_ms": round(self.parameters.worst_case_stop_ms),
            "force": list(kept.committed),
            "acknowledged": list(kept.acknowledged),
            "voters": self.voters,
            "behind": sorted(set(self.voters.values()) - set(self.commit_coordinator.promised_at))
            if self.commit_coordinator
            else [],
        }

    def gauges(self) -> dict[str, int]:
        """For the operators' figures."""
        if self.replica is None:
            return {"agreed_revision": 0, "agreed_leased": 0}
        return {
            "agreed_revision": self.replica.state.committed.revision,
            "agreed_leased": int(self.view().has_lease),
        }
