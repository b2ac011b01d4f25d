"""Configuration documents: schema, hashes, and the check that one may succeed another.  No I/O.

Stored documents have the keys that operators write (`partners`, `claims`, `firms`, ...); the `rename` argument of
each class maps them to the names used in the code.  No sender serves a destination that the document does not list.
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

# Bounds what a sender reads into memory; far above the size of the rules of all destinations.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# Floating-point rounding can put a sum of fractions slightly above 1.
MAX_TOTAL_SHARE = 1.0 + 1e-9
# Splits an error message of msgspec into the reason and the JSON path.
MSGSPEC_ERROR = re.compile(r"^(?P<reason>.*?)(?: - at `(?:key in )?\$\.?(?P<path>[^`]*)`)?$", re.DOTALL)

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Reason = Annotated[str, Meta(max_length=200)]
Amount = Annotated[float, Meta(ge=0.0, le=1e12)]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=0, le=2**62)]


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits by name; a smaller limit is stricter.

    Attributes:
        budgets: Amounts; a missing name has no limit.
        levels: Amounts; a missing name has no limit.
        shares: Fractions whose sum is at most 1; a missing name has no share.
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
    """A destination that is served unless it is paused or excluded.

    Attributes:
        classes: The message classes that it is served for.
        tenants: The tenants that it is served for.
        pause_reason: Why it is paused; empty if it is not.
        exclusion_reason: Why it is excluded; empty if it is not.
    """

    classes: frozenset[Name]
    tenants: frozenset[Name]
    pause_reason: Reason = ""
    exclusion_reason: Reason = ""


class RegionAssignment(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"limit_fractions": "parts"}
):
    """The region whose senders call a destination, and how its limit is divided among regions.

    Attributes:
        home: The region whose senders start calls; if empty, no sender does.
        standby: The region that takes over from the home; it starts no calls before that.
        limit_fractions: The fraction of the destination's limit that each region may use.
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
    """One version of the complete configuration.

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
        """Return the version, by which documents are ordered."""
        return Version(self.epoch, self.revision)


def canonical_bytes(document: ConfigDocument) -> bytes:
    """Encode a document; equal documents have equal bytes at every sender."""
    return msgspec.json.encode(document, order="deterministic")


def content_hash(document: ConfigDocument) -> str:
    """Return the hash of the content without the version, so that restored content has its original hash."""
    return xxh3_128_hexdigest(canonical_bytes(msgspec.structs.replace(document, epoch=0, revision=0)))


def versioned_digest(document: ConfigDocument) -> str:
    """Return the version and the content hash; restored content differs from the original by the version."""
    return f"{document.epoch}-{document.revision}-{content_hash(document)}"


_DECODE: msgspec.json.Decoder[ConfigDocument] = msgspec.json.Decoder(ConfigDocument)


def decode_document(data: bytes) -> ConfigDocument:
    """Decode and validate a document.

    Raises:
        InvalidDocumentError: The bytes do not match the schema, or `validate_document` rejects the document.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise InvalidDocumentError("", f"it has {len(data)} bytes: expected at most {MAX_DOCUMENT_BYTES}")
    try:
        document = _DECODE.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        parsed = MSGSPEC_ERROR.match(str(error))
        assert parsed
        raise InvalidDocumentError(parsed["path"] or "", parsed["reason"]) from error
    validate_document(document)
    return document


def validate_document(document: ConfigDocument) -> None:
    """Check the rules that the schema cannot express.

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
        raise InvalidDocumentError(f"{key}.parts", f"the home region {home} has no fraction of the limit")
    if assignment.standby and assignment.standby == home:
        raise InvalidDocumentError(f"{key}.standby", "the standby is also the home region")


def _check_total(key: str, fractions: Mapping[str, float]) -> None:
    """Raise `InvalidDocumentError` if the sum of the fractions is over 1."""
    total = math.fsum(fractions.values())
    if total > MAX_TOTAL_SHARE:
        raise InvalidDocumentError(key, f"the sum is {total:.3f}: expected at most 1")


def check_successor(current: Version, current_hash: str, document: ConfigDocument) -> None:
    """Check that a document from the store may succeed the current one.

    Raises:
        StaleEpochError: Its epoch is older than the current one.
        RevisionRegressionError: Its revision is older than the current one.
        ConflictingRevisionError: It has the current version but different content.
    """
    received = document.version
    if received.epoch < current.epoch:
        raise StaleEpochError(current, received)
    if received < current:
        raise RevisionRegressionError(current, received)
    if received == current and content_hash(document) != current_hash:
        raise ConflictingRevisionError(current, current_hash, content_hash(document))
