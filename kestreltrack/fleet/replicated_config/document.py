"""The documents that senders act on: their schema, their hash, and whether one may follow another.  No I/O.

Keys of the stored documents keep the names that operators write them with (`partners`, `claims`, `firms`, ...); the
`rename` argument of each class maps them to the names used in the code.  A destination that a document does not list
is served by no sender.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from typing import Annotated

import msgspec
from msgspec import Meta
from xxhash import xxh3_128_hexdigest

from kestreltrack.fleet.replicated_config.errors import (
    ConflictingRevisionError,
    InvalidDocumentError,
    RevisionRegressionError,
    StaleEpochError,
)
from kestreltrack.fleet.replicated_config.version import Version

# Far more than the rules of all destinations take; a bound on what a sender reads into memory.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# A sum of fractions may be over 1 by the rounding of floating-point numbers.
MAX_TOTAL_SHARE = 1.0 + 1e-9
# An error text of msgspec: what is wrong, then the JSON path where.
ERROR_LOCATION = re.compile(r"^(?P<what>.*?)(?: - at `(?:key in )?\$\.?(?P<at>[^`]*)`)?$", re.DOTALL)

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Reason = Annotated[str, Meta(max_length=200)]
Amount = Annotated[float, Meta(ge=0.0, le=1e12)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=0, le=2**62)]


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits by name; smaller ones allow less.

    Attributes:
        budgets: Amounts; a name that is missing has no bound.
        levels: Amounts; a name that is missing has no bound.
        shares: Fractions of 1, which is their largest sum; a name that is missing has none.
    """

    budgets: dict[Name, Amount] = {}
    levels: dict[Name, Amount] = {}
    shares: dict[Name, Fraction] = {}


class DestinationRules(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"tenants": "firms", "pause_reason": "paused", "exclusion_reason": "out"},
):
    """A destination that is served, unless there is a reason that it is paused or excluded.

    Attributes:
        classes: The classes of messages that it is served for.
        tenants: The tenants that it is served for.
        pause_reason: Why it is paused; empty where it is not.
        exclusion_reason: Why it is excluded; empty where it is not.
    """

    classes: frozenset[Name]
    tenants: frozenset[Name]
    pause_reason: Reason = ""
    exclusion_reason: Reason = ""


class RegionAssignment(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"limit_fractions": "parts"}
):
    """The region whose senders call a destination, and the fraction of its limit that each region may use.

    Attributes:
        home: The region; empty: no sender starts a call.
        standby: The region that is to take over; it starts no calls while it is not the home.
        limit_fractions: The fraction of the destination's limit of each region.
    """

    home: Annotated[str, Meta(max_length=64)]
    standby: Annotated[str, Meta(max_length=64)] = ""
    limit_fractions: dict[Name, Fraction] = {}


class ConfigDocument(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"destinations": "partners", "assignments": "claims"},
):
    """One version of all rules.

    Attributes:
        name: The name of the document.
        epoch: See `Version`.
        revision: See `Version`.
        settings: The limits.
        destinations: The rules of each destination that is served.
        assignments: The regions of each destination.
    """

    name: Name
    epoch: Count
    revision: Count
    settings: LimitSettings = LimitSettings()
    destinations: dict[Name, DestinationRules] = {}
    assignments: dict[Name, RegionAssignment] = {}

    @property
    def version(self) -> Version:
        """Return what orders the document among those before and after it."""
        return Version(self.epoch, self.revision)


def canonical_bytes(document: ConfigDocument) -> bytes:
    """Return the same bytes for equal documents, whichever sender encodes them."""
    return msgspec.json.encode(document, order="deterministic")


def content_hash(document: ConfigDocument) -> str:
    """Return the hash of the content without its version: a content that is restored has the hash that it had."""
    return xxh3_128_hexdigest(canonical_bytes(msgspec.structs.replace(document, epoch=0, revision=0)))


def versioned_digest(document: ConfigDocument) -> str:
    """Return the version and the content hash: a content that is restored differs by its version."""
    return f"{document.epoch}-{document.revision}-{content_hash(document)}"


_DECODE: msgspec.json.Decoder[ConfigDocument] = msgspec.json.Decoder(ConfigDocument)


def decode_document(data: bytes) -> ConfigDocument:
    """Return a valid document.

    Raises:
        InvalidDocumentError: The bytes do not match the schema, or `validate_document` rejects the document.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidDocumentError("", f"{len(data)} bytes are more than {MAX_DOCUMENT_BYTES}")
    try:
        document = _DECODE.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        found = ERROR_LOCATION.match(str(error))
        assert found
        raise InvalidDocumentError(found["at"] or "", found["what"]) from error
    validate_document(document)
    return document


def validate_document(document: ConfigDocument) -> None:
    """Check the rules that the schema does not state.

    Raises:
        InvalidDocumentError: Its `key` is the first key that breaks a rule.
    """
    _check_total("settings.shares", document.settings.shares)
    for name, assignment in document.assignments.items():
        _validate_assignment(f"claims.{name}", assignment, name in document.destinations)


def _validate_assignment(key: str, assignment: RegionAssignment, is_listed: bool) -> None:
    """Check one assignment; raises `InvalidDocumentError`."""
    _check_total(f"{key}.parts", assignment.limit_fractions)
    home = assignment.home
    if not is_listed:
        raise InvalidDocumentError(key, "the destination is not listed in partners")
    if home and assignment.limit_fractions.get(home, 0.0) == 0.0:
        raise InvalidDocumentError(f"{key}.parts", f"its home {home} has no fraction of its limit")
    if assignment.standby and assignment.standby == home:
        raise InvalidDocumentError(f"{key}.standby", "it is the home too")


def _check_total(key: str, fractions: Mapping[str, float]) -> None:
    """Raise `InvalidDocumentError` where fractions of 1 are more than 1 in sum."""
    total = math.fsum(fractions.values())
    if total > MAX_TOTAL_SHARE:
        raise InvalidDocumentError(key, f"the sum of {total:.3f} is over 1")


def check_successor(current: Version, current_hash: str, document: ConfigDocument) -> None:
    """Check that a document from the store may follow the current one.

    Raises:
        StaleEpochError: Its epoch is older.
        RevisionRegressionError: Its revision is older.
        ConflictingRevisionError: It has the current version with another content.
    """
    received = document.version
    if received.epoch < current.epoch:
        raise StaleEpochError(current, received)
    if received < current:
        raise RevisionRegressionError(current, received)
    if received == current and content_hash(document) != current_hash:
        raise ConflictingRevisionError(current, current_hash, content_hash(document))
