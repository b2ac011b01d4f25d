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

from kestreltrack.fleet.agreed.document import (
    Document,
    Version,
    canonical,
    content_hash,
    contradicts,
    narrow,
    read,
)
from kestreltrack.fleet.agreed.errors import (
    AgreedError,
    DocumentFaulty,
    NotEnrolled,
    NotKept,
    NotReady,
    NotTheKeeper,
    ProposalOld,
    RevisionTwice,
)
from kestreltrack.fleet.agreed.kept import Folder, digest_of
from kestreltrack.fleet.agreed.reader import NEVER, Kept, Prepared, Promise, Publisher, Reader, Record, Terms
from kestreltrack.fleet.agreed.reader import Answer as Granted
from kestreltrack.fleet.agreed.reader import Ask as Asked
from kestreltrack.fleet.agreed.wire import CHUNK, Answer, Ask, Chunk, Packet, Want, unmarked, write
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

START = Version(0, 0)  # before any document
ALL = frozenset({"*"})
AGAIN_MS = 300.0  # until a chunk that did not come is asked for again


class Members(Protocol):
    """The part of membership that is used."""

    def carry(self, name: str, data: bytes) -> None:
        """Send a member something."""

    def names(self) -> list[str] | None:
        """Who is a member."""


class Reading(NamedTuple):
    """What to act on; a sender without a lease serves nobody."""

    leased: bool
    document: Document | None  # none: nothing is ruled yet

    def serves(self, dest: int) -> bool:
        """Whether claims for a partner may begin."""
        if not self.leased or self.document is None:
            return self.leased
        partner = self.document.partners.get(str(dest))
        return partner is not None and not partner.out and not partner.paused


def acted_on(document: Document) -> None:
    """Refuse what no sender acts on so far: it would be in force in name only.  Raises `DocumentFaulty`."""
    if document.claims:
        raise DocumentFaulty("claims", "no sender acts on the claim map yet")
    if document.settings != type(document.settings)():
        raise DocumentFaulty("settings", "no sender acts on agreed settings yet")
    for name, partner in document.partners.items():
        if not name.isdecimal():
            raise DocumentFaulty(
                f"partners.{name}", "expected the number of a partner, as machine lists have it"
            )
        for key in ("classes", "firms"):
            if getattr(partner, key) != ALL:
                raise DocumentFaulty(
                    f"partners.{name}.{key}", 'expected ["*"]: partners are served whole so far'
                )


@dataclass(slots=True)
class Fetch:
    """A document on its way from a voter."""

    name: str
    version: Version
    digest: str
    word: Answer  # that is taken once all of its documents are here
    asked: float = NEVER
    data: bytearray = field(default_factory=bytearray)


class Agreeing:
    """One sender's side, and a voter's or the keeper's where it is one; `voters` maps names to ids of folders."""

    def __init__(
        self,
        me: str,
        voters: Mapping[str, str],
        terms: Terms,
        folder: Folder,
        members: Members,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Nothing is read before `begin`."""
        self.me, self.voters, self.terms, self.folder, self.members = me, dict(voters), terms, folder, members
        self.clock, self.telemetry = clock, telemetry
        self.enrolling = not all(self.voters.values())
        self.reader: Reader | None = None
        self.documents = dict[Version, Document]()
        self.publisher: Publisher | None = None
        self.fault: AgreedError | None = None
        self._held: Document | None = None
        self._encoded = dict[str, bytes]()
        self._settled = False  # not known after a restart
        self._adds = False
        self._fetch: Fetch | None = None
        self._asked, self._promised, self._leased = NEVER, Promise(START, False), False

    def begin(self, start: int) -> None:
        """Read the folder, once no other process of this sender uses it; `start` is this one's, Unix time in ms.

        Raises `KeptUnreadable`, `OSError`: it then has no lease.
        """
        kept, self.documents = self.folder.load() or (Kept(START, START), {START: Document("none", 0, 0)})
        self.folder.keep(kept, self.documents)  # a new folder's id has to last before anybody hears it
        self.reader = Reader(self.terms, kept, frozenset(self.voters.values()), self.clock(), seq=start)
        self._kept()
        if self.me in self.voters and not self._votes():
            self.fault = NotEnrolled(self.me, self.folder.id, self.voters[self.me])
            self.telemetry.trouble("fleet.agreed_not_voter", error=str(self.fault))
        if self._keeps():
            self.publisher = Publisher(self.terms, self.reader.voters, kept.acknowledged)
        self._log("begun", f"folder {self.folder.id}")

    def _votes(self) -> bool:
        return not self.enrolling and self.voters.get(self.me) == self.folder.id

    def _keeps(self) -> bool:
        return self._votes() and next(iter(self.voters)) == self.me

    def close(self) -> None:
        """Act on nothing more, and leave the folder to the next process of this sender: voters know both as one."""
        self.reader = self.publisher = None

    # What is acted on

    def reading(self) -> Reading:
        """At this moment."""
        if self.reader is None:
            return Reading(False, None)
        if self.enrolling:  # nobody votes yet, so nothing can be in force
            return Reading(self.reader.kept.acknowledged == START, None)
        return Reading(self.reader.reading(self.clock()) is not None, self._held)

    def _kept(self) -> None:
        assert self.reader
        kept = self.reader.kept
        self.documents = {version: self.documents[version] for version in (kept.force, kept.acknowledged)}
        self._encoded = {digest_of(found): canonical(found) for found in self.documents.values()}
        base, new = self.documents[kept.force], self.documents[kept.acknowledged]
        # Whoever has heard of no document yet serves everybody, so that the first one contradicts.
        self._adds = kept.force != START and not contradicts(base, new)
        if kept.acknowledged == START:
            self._held = None
        else:
            self._held = new if kept.force == START else narrow(base, new)

    def _log(self, change: str, cause: str, **more: Any) -> None:
        assert self.reader
        kept = self.reader.kept
        self.telemetry.log(
            "agreed",
            change=change,
            cause=cause,
            force=list(kept.force),
            acknowledged=list(kept.acknowledged),
            **more,
        )

    # Time passes

    def tick(self) -> None:
        """Some ten times a second."""
        if self.reader is None or self.enrolling:
            return
        now = self.clock()
        self._publish(now)
        news = self._votes() and self.reader.promise(now) != self._promised
        if news or now >= self._asked + self.terms.lease_ms / 4.0:
            self._ask(now)
        if self._fetch and now >= self._fetch.asked + AGAIN_MS:
            self._want(now, self._fetch)
        self._look(now)

    def _look(self, now: float) -> None:
        assert self.reader
        until = self.reader.lease()
        leased = now < until
        if leased != self._leased:
            self._leased = leased
            word = (
                "a majority of voters granted a lease" if leased else "no majority of voters granted it anew"
            )
            self._log("leased" if leased else "lapsed", word, until=round(until / 1000.0, 4))

    def _ask(self, now: float) -> None:
        assert self.reader
        self._asked, self._promised = now, self.reader.promise(now)
        ask = self.reader.ask(now)
        self._send(self.voters, Ask(self.folder.id, ask.seq, ask.acknowledged, self._promised.clear))

    def _publish(self, now: float) -> None:
        """As the keeper: put in force what is prepared, once nobody can act against it."""
        if (publisher := self.publisher) is None:
            return
        assert self.reader
        kept = self.reader.kept
        found = publisher.next(now, Record(kept.force, kept.acknowledged, self._settled), self._adds)
        if found is None:
            return
        cause = f"promised by {len(publisher.promised)} voters" if found.settled else "it merely adds"
        if found.force == kept.force or self._take(None, found.force, "in force", cause):
            self._settled = found.settled

    # Words

    def _send(self, names: Iterable[str], packet: Packet) -> None:
        data = write(packet)
        for name in names:
            if name == self.me:
                self._hear(name, packet)
            else:
                self.members.carry(name, data)

    def carried(self, name: str, data: bytes) -> None:
        """A word from a member."""
        packet = unmarked(data)
        if packet is None or self.reader is None:
            self.telemetry.count("fleet.unread")
        else:
            self._hear(name, packet)

    def _hear(self, name: str, packet: Packet) -> None:
        assert self.reader
        now = self.clock()
        if isinstance(packet, Ask):
            version = Version(*packet.acknowledged)
            if self.publisher and self.voters.get(name) == packet.id:
                self.publisher.told(now, packet.id, Promise(version, packet.clear))
            if self._votes():
                granted = self.reader.asked_by(now, packet.id, Asked(packet.seq, version)).granted
                self._send([name], self._answer(packet.seq, granted))
        elif isinstance(packet, Answer):
            if self.voters.get(name) == packet.id:
                answer = Granted(packet.seq, packet.granted, Version(*packet.acknowledged))
                self.reader.answered(now, packet.id, answer)
                self._learn(name, packet)
                self._look(now)
        elif isinstance(packet, Want):
            if data := self._encoded.get(packet.digest):
                part = data[packet.at : packet.at + CHUNK]
                self._send([name], Chunk(packet.digest, packet.at, len(data), part))
        else:
            self._got(now, name, packet)

    def _answer(self, seq: int, granted: bool) -> Answer:
        assert self.reader
        kept = self.reader.kept
        force, new = digest_of(self.documents[kept.force]), digest_of(self.documents[kept.acknowledged])
        return Answer(self.folder.id, seq, granted, kept.force, kept.acknowledged, force, new)

    def _learn(self, name: str, word: Answer) -> None:
        """Take what a voter tells, once both documents are here."""
        assert self.reader
        kept, force, new = self.reader.kept, Version(*word.force), Version(*word.acknowledged)
        told = {force: word.force_digest, new: word.acknowledged_digest}
        for version, digest in told.items():
            if version in self.documents and (here := digest_of(self.documents[version])) != digest:
                self.telemetry.trouble(
                    "fleet.agreed_twice", error=str(RevisionTwice(version, digest, here)), by=name
                )
                return
        if force <= kept.force and (new <= kept.acknowledged or force < kept.force):
            return
        for version, digest in told.items():
            if version not in self.documents:
                if (
                    self._fetch and self._fetch.digest == digest
                ):  # goes on where it was, also from another voter
                    self._fetch.name, self._fetch.word = name, word
                else:
                    self._fetch = Fetch(name, version, digest, word)
                    self._want(self.clock(), self._fetch)
                return
        change = "in force" if force > kept.force else "prepared"
        prepared = Prepared(new, force) if new > kept.acknowledged else None
        self._take(prepared, force, change, f"told by {name}")

    def _want(self, now: float, fetch: Fetch) -> None:
        fetch.asked = now
        self._send([fetch.name], Want(fetch.digest, len(fetch.data)))

    def _got(self, now: float, name: str, chunk: Chunk) -> None:
        fetch = self._fetch
        if fetch is None or (chunk.digest, chunk.at) != (fetch.digest, len(fetch.data)):
            return
        fetch.data += chunk.data
        if len(fetch.data) < chunk.size and chunk.data:
            self._want(now, fetch)
            return
        self._fetch = None
        try:
            document = read(bytes(fetch.data))
            if digest_of(document) != fetch.digest or document.version != fetch.version:
                raise DocumentFaulty("", f"what {name} sent is not {fetch.digest}")
        except AgreedError as bad:
            self.telemetry.trouble("fleet.agreed_faulty", error=str(bad), by=name)
            return
        assert self.reader
        kept, word = self.reader.kept, fetch.word
        wanted = {kept.force, kept.acknowledged, Version(*word.force), Version(*word.acknowledged)}
        found = self.documents | {fetch.version: document}
        self.documents = {version: found[version] for version in found.keys() & wanted}
        self._learn(name, word)

    def _take(self, prepared: Prepared | None, force: Version, change: str, cause: str) -> bool:
        """Keep it, then go by it; voters hear of that at once, and all members from the keeper."""
        assert self.reader
        before = self.reader.kept
        if not (self.reader.in_force(force) | (prepared is not None and self.reader.prepared(prepared))):
            return False
        try:
            # On the loop: changes are rare, and nothing may be done by either version meanwhile.
            self.folder.keep(self.reader.kept, self.documents)
        except OSError as bad:
            self.reader.kept = before
            self.telemetry.trouble("fleet.agreed_unkept", error=str(NotKept(str(bad))))
            return False
        self._kept()
        self._log(change, cause)
        if self.publisher:
            if self.publisher.version != self.reader.kept.acknowledged:
                self.publisher = Publisher(self.terms, self.reader.voters, self.reader.kept.acknowledged)
            others = [name for name in self.members.names() or self.voters if name != self.me]
            self._send(others, self._answer(0, False))
        self._ask(self.clock())
        return True

    # Staff

    def propose(self, document: Document) -> None:
        """Prepare a document; raises of `AgreedError`, and then nothing has changed."""
        if self.reader is None or self.publisher is None:
            keeper = next(iter(self.voters))
            raise self.fault or (NotTheKeeper(keeper) if keeper != self.me else NotReady(self.me))
        acted_on(document)
        kept = self.reader.kept
        if document.version <= kept.acknowledged:
            same = self.documents.get(document.version)
            if same is None or content_hash(same) != content_hash(document):
                raise ProposalOld(kept.acknowledged, document.version)
            return
        self.documents[document.version] = document
        prepared = Prepared(document.version, kept.force)
        if not self._take(prepared, kept.force, "prepared", "proposed here"):
            raise NotKept("GW_STATE is full, or not to be written in")

    def show(self) -> dict[str, Any]:
        """For operators."""
        if self.reader is None:
            return {"begun": False, "fault": str(self.fault or ""), "voters": self.voters}
        kept, now = self.reader.kept, self.clock()
        return {
            "begun": True,
            "id": self.folder.id,
            "votes": self._votes(),
            "keeper": next(iter(self.voters)),
            "fault": str(self.fault or ""),
            "leased": self.reading().leased,
            "lease_ms": round(max(0.0, self.reader.lease() - now)),
            "worst_ms": round(self.terms.worst_ms),
            "force": list(kept.force),
            "acknowledged": list(kept.acknowledged),
            "voters": self.voters,
            "behind": sorted(set(self.voters.values()) - set(self.publisher.promised))
            if self.publisher
            else [],
        }

    def gauges(self) -> dict[str, int]:
        """For the operators' figures."""
        if self.reader is None:
            return {"agreed_revision": 0, "agreed_leased": 0}
        return {
            "agreed_revision": self.reader.kept.force.revision,
            "agreed_leased": int(self.reading().leased),
        }
