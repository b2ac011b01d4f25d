"""One member's copy of the list: its edits, and the words by which all copies become one.  No I/O.

**Words** (each call gives datagrams to send, at most `MOST` bytes).  `Root` tells the digest of all that is held.
Who has another answers with the digests of its sixteen parts, and so on down into the parts that differ; of a part
with few entries the hashes of all are told (`Leaf`), and then only entries that one of the two lacks are sent.  So
the cost grows with the difference.  Any word may be lost, late, repeated or out of order: the next `Root` begins
anew, and no state is held for another member.  Edits are also told at once.

**What a member has seen.**  `vector` covers edits whose effect is in what it holds.  It grows by its own edits, and
by another's where both hold the same.  A replica's id is drawn at its first edit after each start, whatever is on
disk: an emptied or restored folder, or a copied one, can never give a dot twice.

**Tombstones.**  A key that says nothing any more is dropped once every member's vector covers it (causal stability):
nobody can still hold what it replaced, but for a late datagram or a folder put back.  Those are told `Gone`.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Sequence
from typing import Annotated

import msgspec
from msgspec import Meta

from kestreltrack.fleet.agreed.errors import EditRefused
from kestreltrack.fleet.reconcile.digests import DIGITS, LEVELS, Digests
from kestreltrack.fleet.reconcile.entries import (
    ENCODE,
    Conflict,
    Dot,
    Entry,
    Key,
    Reading,
    Side,
    Vector,
    conflict,
    covers,
    gone,
    join,
    merged,
    read,
    within,
)

MOST = 1000  # bytes of one datagram: membership carries so many within its 1,200
LEAF = 48  # entries of a part whose hashes are told outright
ANSWERS = 64  # datagrams in answer to one: the rest comes with the next `Root`

Prefix = Annotated[str, Meta(max_length=LEVELS, pattern="^[0-9a-f]*$")]
Hash = int  # of 64 bits


class Root(msgspec.Struct, array_like=True, frozen=True, tag="r"):
    """The digest of all, and what some members have seen, its sender first."""

    digest: Hash
    seen: list[tuple[Annotated[str, Meta(max_length=64)], Vector]]


class Parts(msgspec.Struct, array_like=True, frozen=True, tag="p"):
    """The digests of a range's sixteen parts."""

    prefix: Prefix
    digests: Annotated[list[Hash], Meta(min_length=16, max_length=16)]


class Leaf(msgspec.Struct, array_like=True, frozen=True, tag="l"):
    """The hashes of all entries in a range."""

    prefix: Prefix
    hashes: Annotated[list[Hash], Meta(max_length=LEAF)]


class Want(msgspec.Struct, array_like=True, frozen=True, tag="w"):
    """Send me the entries of a range that have these hashes."""

    prefix: Prefix
    hashes: Annotated[list[Hash], Meta(max_length=LEAF)]


class Have(msgspec.Struct, array_like=True, frozen=True, tag="h"):
    """An entry."""

    entry: Entry


class Gone(msgspec.Struct, array_like=True, frozen=True, tag="g"):
    """All that was said of a key within this context is over, and every member knew so."""

    key: Key
    context: tuple[Dot, ...]


Word = Root | Parts | Leaf | Want | Have | Gone
_DECODE: msgspec.msgpack.Decoder[list[Word]] = msgspec.msgpack.Decoder(list[Word])


def datagrams(words: Iterable[Word]) -> list[bytes]:
    """As few as hold them all, in order; a word that none can hold is left out."""
    found, open_, size = list[bytes](), list[msgspec.Raw](), 3
    for word in words:
        data = ENCODE(word)
        if len(data) + 3 > MOST:
            continue
        if size + len(data) > MOST:
            found.append(ENCODE(open_))
            open_, size = [], 3
        open_.append(msgspec.Raw(data))
        size += len(data)
    return [*found, ENCODE(open_)] if open_ else found


class State(msgspec.Struct, array_like=True, frozen=True):
    """What a member keeps on disk."""

    entries: list[Entry]
    vector: Vector
    seen: dict[str, Vector]


class Replica:
    """One member's copy."""

    def __init__(self, name: str, members: Sequence[str], draw: Callable[[], int] | None = None) -> None:
        """`members` are all that hold a copy, by name, also those that are cut off or down."""
        self.name, self.members = name, tuple(members)
        self._draw = draw or (lambda: int.from_bytes(os.urandom(8), "big") >> 1)
        self._id = 0
        self.entries: dict[Key, Entry] = {}
        self._ended: set[Key] = set()  # those that say nothing
        self.digests = Digests()
        self.vector: Vector = {}
        self.seen: dict[str, Vector] = {}  # of each member, itself left out
        self._turn = 0

    # Staff

    def edit(self, key: Key, value: str, by: str, at_s: int) -> list[bytes]:
        """Say something of a key in the place of all that is said of it here; an empty value takes it back.

        Raises `EditRefused`.
        """
        self._id = self._id or self._draw()
        dot = (self._id, self.vector.get(self._id, 0) + 1)
        before = self.entries.get(key)
        entry = Entry(
            key,
            (Side(dot, value, by, at_s, self._knew(before)),),
            tuple(sorted(merged(dict(before.context) if before else {}, {dot[0]: dot[1]}).items())),
        )
        try:
            msgspec.msgpack.decode(ENCODE(entry), type=Entry)
        except msgspec.ValidationError as bad:
            raise EditRefused(f"{key.field} of {key.partner}", str(bad)) from bad
        self.vector[dot[0]] = dot[1]
        self._put(key, entry)
        return datagrams([Have(entry)])

    def _knew(self, before: Entry | None) -> tuple[Dot, str] | None:
        """What every member had: what is said now, else what its sides knew."""
        if before is None:
            return None
        if len(before.sides) == 1 and within(before.sides[0].dot, self.stable()):
            return before.sides[0].dot, before.sides[0].value
        knew = {side.knew for side in before.sides}
        return next(iter(knew)) if len(knew) == 1 else None

    def reading(self, partner: str, fields: Iterable[str]) -> Reading:
        """What the list says of a partner, by the fields that are asked for."""
        keys = {field: Key(partner, field) for field in fields}
        return read({field: self.entries[key] for field, key in keys.items() if key in self.entries})

    def conflicts(self) -> list[Conflict]:
        """All that staff have to settle."""
        return [found for _, entry in sorted(self.entries.items()) if (found := conflict(entry))]

    # Others

    def root(self) -> list[bytes]:
        """Begin a comparison with any other member; a few of these a minute are enough."""
        self._turn += 1
        others = sorted(self.seen)
        others = others[self._turn % len(others) :] + others[: self._turn % len(others)] if others else []
        rows, size = [(self.name, self.vector)], len(ENCODE((self.name, self.vector)))
        for name in others:
            size += len(ENCODE((name, self.seen[name])))
            if size > MOST - 32:
                break
            rows.append((name, self.seen[name]))
        return datagrams([Root(self.digests.digest(""), rows)])

    def receive(self, data: bytes) -> list[bytes]:
        """Take a datagram; what to answer.  Noise changes nothing and has no answer."""
        try:
            words = _DECODE.decode(data)
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
            return []
        return datagrams(answer for word in words for answer in self._take(word))[:ANSWERS]

    def _take(self, word: Word) -> Iterable[Word]:
        match word:
            case Root():
                return self._compared(word)
            case Parts():
                mine = self.digests.children(word.prefix) if len(word.prefix) < LEVELS else word.digests
                both = zip(DIGITS, mine, word.digests, strict=True)
                return [self._below(word.prefix + digit) for digit, own, other in both if own != other]
            case Leaf():
                own = dict(self.digests.marks(word.prefix))
                theirs = set(word.hashes)
                have: list[Word] = [
                    Have(self.entries[key]) for key, found in own.items() if found not in theirs
                ]
                want = sorted(theirs - set(own.values()))
                return [Want(word.prefix, want), *have] if want else have
            case Want():
                wanted = set(word.hashes)
                marks = self.digests.marks(word.prefix)
                return [Have(self.entries[key]) for key, found in marks if found in wanted]
            case Have():
                return self._joined(word.entry)
            case Gone():
                self._over(word)
                return []

    def _below(self, prefix: str) -> Word:
        """The next thing to say of a range that differs."""
        if len(prefix) == LEVELS or self.digests.count(prefix) <= LEAF:
            return Leaf(prefix, [found for _, found in self.digests.marks(prefix)][:LEAF])
        return Parts(prefix, self.digests.children(prefix))

    def _compared(self, word: Root) -> list[Word]:
        for name, vector in word.seen:
            if name in self.members and name != self.name:
                self.seen[name] = merged(self.seen.get(name, {}), vector)
        answer: list[Word] = []
        if word.digest != self.digests.digest(""):
            answer = [self._below("")]
        elif word.seen:
            self.vector = merged(self.vector, word.seen[0][1])
        self._drop()
        return answer

    def _joined(self, theirs: Entry) -> list[Word]:
        mine = self.entries.get(theirs.key)
        entry = join(mine, theirs, lambda dot: within(dot, self.vector))
        if entry is None:
            return [Gone(theirs.key, theirs.context)]
        if entry != mine:
            self._put(theirs.key, entry)
        return []

    def _over(self, word: Gone) -> None:
        mine, over = self.entries.get(word.key), dict(word.context)
        if mine is None:
            return
        if covers(over, mine.context):
            self._put(word.key, None)
            return
        sides = tuple(side for side in mine.sides if not within(side.dot, over))
        self._put(word.key, Entry(word.key, sides, tuple(sorted(merged(dict(mine.context), over).items()))))

    # What every member has

    def stable(self) -> Vector:
        """The edits whose effect every member holds, as far as is known here."""
        rows = [self.vector, *(self.seen.get(name, {}) for name in self.members if name != self.name)]
        return {replica: min(row.get(replica, 0) for row in rows) for replica in self.vector}

    def _drop(self) -> None:
        """Let go of keys that say nothing and that nobody can hold in an older state."""
        stable = self.stable()
        for key in [key for key in self._ended if covers(stable, self.entries[key].context)]:
            self._put(key, None)

    def _put(self, key: Key, entry: Entry | None) -> None:
        if entry is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = entry
        (self._ended.add if entry is not None and gone(entry) else self._ended.discard)(key)
        self.digests.put(key, entry)

    # On disk

    def state(self) -> bytes:
        """To be kept before an edit is confirmed to staff."""
        entries = [entry for _, entry in sorted(self.entries.items())]
        return ENCODE(State(entries, self.vector, self.seen))

    def restore(self, data: bytes) -> None:
        """Go on from what was kept; raises `msgspec.MsgspecError`."""
        state = msgspec.msgpack.decode(data, type=State)
        self.vector, self.seen = dict(state.vector), dict(state.seen)
        for entry in state.entries:
            self._put(entry.key, entry)

    def content(self) -> bytes:
        """What the list says, in the same bytes at every member that has the same edits."""
        return ENCODE([entry for _, entry in sorted(self.entries.items())])
