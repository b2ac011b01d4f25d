"""The documents that senders act on: their form, their content's hash, what contradicts between two.  No I/O.

Of two documents some changes *contradict*: a sender on the new one and a sender on the old one would do what one of
the two forbids.  All others merely add.  The *narrow* reading of two does only what both allow:

- a partner's home: two that differ contradict, and so does one that is taken away; narrow has no home, and nobody
  begins a claim for it;
- parts of a partner's limit, and shares: they contradict where the larger of each, summed, is over the whole; narrow
  takes the smaller;
- budgets and levels: a lowered one contradicts (somebody still uses the larger), as does one where none was;
- lists: out or paused against in contradicts both ways; a partner, class or firm taken away contradicts, one that
  comes along adds; narrow has out, paused and only what both serve.

A partner that is on no list is served by nobody.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta
from xxhash import xxh3_128_hexdigest

from kestreltrack.fleet.replicated_config.errors import (
    ConflictingRevisionError,
    InvalidDocumentError,
    RevisionRegressionError,
    StaleEpochError,
)

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
MAX_TOTAL_SHARE = 1.0 + 1e-9
ERROR_LOCATION = re.compile(r"^(?P<what>.*?)(?: - at `(?:key in )?\$\.?(?P<at>[^`]*)`)?$", re.DOTALL)

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Reason = Annotated[str, Meta(max_length=200)]
Amount = Annotated[float, Meta(ge=0.0, le=1e12)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=0, le=2**62)]


class Version(NamedTuple):
    """Versions are ordered by epoch, then by revision; staff raise the epoch when a store has lost revisions."""

    epoch: int
    revision: int

    def __str__(self) -> str:
        """As operators see it."""
        return f"revision {self.revision} of epoch {self.epoch}"


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Figures by name; smaller ones allow less."""

    budgets: dict[Name, Amount] = {}  # a name that is not there has no bound
    levels: dict[Name, Amount] = {}
    shares: dict[Name, Fraction] = {}  # of one whole; a name that is not there has none


class DestinationRules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One that is served: for these classes and firms, unless there is a reason that it is paused or out."""

    classes: frozenset[Name]
    firms: frozenset[Name]
    paused: Reason = ""
    out: Reason = ""


class RegionAssignment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where claims for a partner are made, and each region's part of its limit."""

    home: Annotated[str, Meta(max_length=64)]  # empty: nobody begins a claim
    standby: Annotated[str, Meta(max_length=64)] = ""
    parts: dict[Name, Fraction] = {}


class ConfigDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One version of all rules."""

    name: Name
    epoch: Count
    revision: Count
    settings: LimitSettings = LimitSettings()
    partners: dict[Name, DestinationRules] = {}
    claims: dict[Name, RegionAssignment] = {}

    @property
    def version(self) -> Version:
        """What tells it from the documents before and after it."""
        return Version(self.epoch, self.revision)


def canonical_bytes(document: ConfigDocument) -> bytes:
    """The same bytes for the same document, whoever writes them."""
    return msgspec.json.encode(document, order="deterministic")


def content_hash(document: ConfigDocument) -> str:
    """Of what it says, without its version: one that is put back later has the hash that it had."""
    return xxh3_128_hexdigest(canonical_bytes(msgspec.structs.replace(document, epoch=0, revision=0)))


_DECODE: msgspec.json.Decoder[ConfigDocument] = msgspec.json.Decoder(ConfigDocument)


def decode_document(data: bytes) -> ConfigDocument:
    """A document that holds as a whole; raises `DocumentFaulty`."""
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidDocumentError("", f"{len(data)} bytes are more than {MAX_DOCUMENT_BYTES}")
    try:
        document = _DECODE.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as bad:
        found = ERROR_LOCATION.match(str(bad))
        assert found
        raise InvalidDocumentError(found["at"] or "", found["what"]) from bad
    validate_document(document)
    return document


def validate_document(document: ConfigDocument) -> None:
    """What no schema says; raises `DocumentFaulty` with the first key that is wrong."""
    _check_total("settings.shares", document.settings.shares)
    for name, claim in document.claims.items():
        key = f"claims.{name}"
        _check_total(f"{key}.parts", claim.parts)
        if name not in document.partners:
            raise InvalidDocumentError(key, "the partner is on no list")
        if claim.home and claim.parts.get(claim.home, 0.0) == 0.0:
            raise InvalidDocumentError(f"{key}.parts", f"its home {claim.home} has no part of its limit")
        if claim.standby and claim.standby == claim.home:
            raise InvalidDocumentError(f"{key}.standby", "it is the home too")


def _check_total(key: str, shares: Mapping[str, float]) -> None:
    if math.fsum(shares.values()) > MAX_TOTAL_SHARE:
        raise InvalidDocumentError(key, f"{math.fsum(shares.values()):.3f} is over the whole of 1")


def check_successor(current: Version, current_hash: str, document: ConfigDocument) -> None:
    """Refuse one that is older than what is held, or another under its version; raises of `AgreedError`."""
    found = document.version
    if found.epoch < current.epoch:
        raise StaleEpochError(current, found)
    if found < current:
        raise RevisionRegressionError(current, found)
    if found == current and content_hash(document) != current_hash:
        raise ConflictingRevisionError(current, current_hash, content_hash(document))


# Two documents -----------------------------------------------------------------------------------


class KeyChange(NamedTuple):
    """One key that differs."""

    key: str
    incompatible: bool


def changed_keys(old: ConfigDocument, new: ConfigDocument) -> Iterator[KeyChange]:
    """Each key that differs, in order."""
    before, after = old.settings, new.settings
    for table, olds, news in (
        ("budgets", before.budgets, after.budgets),
        ("levels", before.levels, after.levels),
    ):
        for name in _differing_names(olds, news):
            yield KeyChange(f"settings.{table}.{name}", news.get(name, math.inf) < olds.get(name, math.inf))
    if before.shares != after.shares:
        yield KeyChange("settings.shares", _max_total(before.shares, after.shares) > MAX_TOTAL_SHARE)
    for name in _differing_names(old.partners, new.partners):
        yield from _destination_changes(f"partners.{name}", old.partners.get(name), new.partners.get(name))
    for name in _differing_names(old.claims, new.claims):
        yield from _assignment_changes(
            f"claims.{name}", old.claims.get(name, NO_ASSIGNMENT), new.claims.get(name, NO_ASSIGNMENT)
        )


def incompatible_keys(old: ConfigDocument, new: ConfigDocument) -> tuple[str, ...]:
    """The keys whose change contradicts; none where the new one merely adds."""
    return tuple(change.key for change in changed_keys(old, new) if change.incompatible)


NO_ASSIGNMENT = RegionAssignment("")


def _differing_names(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    return sorted(name for name in old.keys() | new.keys() if old.get(name) != new.get(name))


def _max_total(old: Mapping[str, float], new: Mapping[str, float]) -> float:
    """What is used at the most while some act on the one and some on the other."""
    return math.fsum(max(old.get(name, 0.0), new.get(name, 0.0)) for name in old.keys() | new.keys())


def _destination_changes(
    key: str, old: DestinationRules | None, new: DestinationRules | None
) -> Iterator[KeyChange]:
    if old is None or new is None:
        yield KeyChange(key, new is None)
        return
    for field in ("paused", "out"):
        was, now = getattr(old, field), getattr(new, field)
        if was != now:
            yield KeyChange(
                f"{key}.{field}", bool(was) != bool(now)
            )  # another reason alone contradicts nothing
    if old.classes != new.classes:
        yield KeyChange(f"{key}.classes", not old.classes <= new.classes)
    if old.firms != new.firms:
        yield KeyChange(f"{key}.firms", not old.firms <= new.firms)


def _assignment_changes(key: str, old: RegionAssignment, new: RegionAssignment) -> Iterator[KeyChange]:
    if old.home != new.home:
        yield KeyChange(f"{key}.home", bool(old.home))
    if old.standby != new.standby:
        yield KeyChange(f"{key}.standby", False)  # it claims nothing while it is no home
    if old.parts != new.parts:
        yield KeyChange(f"{key}.parts", _max_total(old.parts, new.parts) > MAX_TOTAL_SHARE)


def intersection(old: ConfigDocument, new: ConfigDocument) -> ConfigDocument:
    """The reading that does only what both allow; its version is the older one's."""
    before, after = old.settings, new.settings
    settings = LimitSettings(
        budgets=_min_limits(before.budgets, after.budgets),
        levels=_min_limits(before.levels, after.levels),
        shares=_min_shares(before.shares, after.shares),
    )
    partners = {
        name: DestinationRules(
            mine.classes & theirs.classes,
            mine.firms & theirs.firms,
            mine.paused or theirs.paused,
            mine.out or theirs.out,
        )
        for name, mine in old.partners.items()
        if (theirs := new.partners.get(name)) is not None
    }
    claims = {
        name: RegionAssignment(
            one.home if one.home == other.home else "",
            one.standby if one.standby == other.standby else "",
            _min_shares(one.parts, other.parts),
        )
        for name, one in old.claims.items()
        if (other := new.claims.get(name)) is not None
    }
    return ConfigDocument(old.name, old.epoch, old.revision, settings, partners, claims)


def without_lease(document: ConfigDocument) -> ConfigDocument:
    """The reading of one that has no lease: what it holds may have any successor, so it begins no claim at all."""
    claims = {name: RegionAssignment("", claim.standby) for name, claim in document.claims.items()}
    partners = {
        name: msgspec.structs.replace(partner, paused=partner.paused or "cut off from the others' agreement")
        for name, partner in document.partners.items()
    }
    return msgspec.structs.replace(document, partners=partners, claims=claims)


def _min_limits(old: Mapping[str, float], new: Mapping[str, float]) -> dict[str, float]:
    return {name: min(old.get(name, math.inf), new.get(name, math.inf)) for name in old.keys() | new.keys()}


def _min_shares(old: Mapping[str, float], new: Mapping[str, float]) -> dict[str, float]:
    return {name: min(part, new[name]) for name, part in old.items() if name in new}
