"""The view that a sender acts on, and the check that senders support a document."""

from __future__ import annotations

from typing import NamedTuple

from kestreltrack.fleet.replicated_config.document import ConfigDocument, LimitSettings
from kestreltrack.fleet.replicated_config.errors import InvalidDocumentError

# The only supported list of classes or tenants: a destination is served for all of them.
WILDCARD = frozenset({"*"})


class ConfigView(NamedTuple):
    """What a sender acts on at one moment; a sender without a lease serves no destination.

    Attributes:
        has_lease: Whether this sender has a read lease.
        document: The rules; `None` if no document is in force yet: all destinations are then served.
    """

    has_lease: bool
    document: ConfigDocument | None

    def serves(self, dest: int) -> bool:
        """Return whether calls to a destination may start."""
        if not self.has_lease or self.document is None:
            return self.has_lease
        rules = self.document.destinations.get(str(dest))
        return rules is not None and not rules.exclusion_reason and not rules.pause_reason


def check_supported(document: ConfigDocument) -> None:
    """Check that senders implement everything in a document; otherwise it would be committed without full effect.

    Raises:
        InvalidDocumentError: Its `key` is the first unsupported key.
    """
    if document.assignments:
        raise InvalidDocumentError("claims", "the claim map is not supported yet")
    if document.settings != LimitSettings():
        raise InvalidDocumentError("settings", "agreed settings are not supported yet")
    for name, rules in document.destinations.items():
        if not name.isdecimal():
            raise InvalidDocumentError(
                f"partners.{name}", "expected the number of a destination, as in endpoint lists"
            )
        for key, names in (("classes", rules.classes), ("firms", rules.tenants)):
            if names != WILDCARD:
                raise InvalidDocumentError(
                    f"partners.{name}.{key}", 'expected ["*"]: other lists are not supported yet'
                )
