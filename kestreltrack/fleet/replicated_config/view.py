"""What a sender acts on at a moment, and which documents senders act on so far."""

from __future__ import annotations

from typing import NamedTuple

from kestreltrack.fleet.replicated_config.document import ConfigDocument, LimitSettings
from kestreltrack.fleet.replicated_config.errors import InvalidDocumentError

# The only list of classes or tenants that senders act on: a destination is served for all of them.
WILDCARD = frozenset({"*"})


class ConfigView(NamedTuple):
    """What to act on; a sender without a lease serves no destination.

    Attributes:
        has_lease: Whether this sender has a read lease.
        document: The rules; `None`: no document is in force yet, and all destinations are served.
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
    """Check that senders act on all that a document says: else it would be in force in name only.

    Raises:
        InvalidDocumentError: Its `key` is the first key that no sender acts on.
    """
    if document.assignments:
        raise InvalidDocumentError("claims", "no sender acts on the claim map yet")
    if document.settings != LimitSettings():
        raise InvalidDocumentError("settings", "no sender acts on agreed settings yet")
    for name, rules in document.destinations.items():
        if not name.isdecimal():
            raise InvalidDocumentError(
                f"partners.{name}", "expected the number of a destination, as in endpoint lists"
            )
        for key, names in (("classes", rules.classes), ("firms", rules.tenants)):
            if names != WILDCARD:
                raise InvalidDocumentError(
                    f"partners.{name}.{key}", 'expected ["*"]: destinations are served for all so far'
                )
