"""The interface to service discovery, which provides the endpoint list."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, replace
from typing import Protocol

from kestreltrack.decision import EndpointLifecycle


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of the endpoint list.

    Attributes:
        uid: The endpoint's id, unique in the list.
        address: The ``host:port`` where it accepts requests.
        dest: The number of its destination.
        kind: The name of its kind in the settings.
        zone: Its zone; empty if the list does not name one.
        state: Whether it is up, draining or removed.
        rate: How many requests it can handle; `RateAccuracy` in the settings says how exact this figure is.
    """

    uid: str
    address: str
    dest: int
    kind: str
    zone: str = ""
    state: EndpointLifecycle = EndpointLifecycle.UP
    rate: float = 1.0
    # Not stored, as what is learned about an endpoint is not either: orjson leaves out names with an underscore.
    _started_ms: float | None = None

    @property
    def started_ms(self) -> float | None:
        """When its process started, as Unix time in milliseconds, 0 for long ago; None if that is not known."""
        return self._started_ms

    def with_start(self, started_ms: float | None) -> ListedEndpoint:
        """Return the entry with the time at which its process started."""
        return replace(self, _started_ms=started_ms)

    def is_restart_of(self, previous: ListedEndpoint) -> bool:
        """Return whether the entry tells of a later process than an earlier entry with the same uid."""
        if self.started_ms is None or previous.started_ms is None:
            return False
        return self.started_ms > previous.started_ms


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The complete endpoint list, or the entries that changed.

    Attributes:
        revision: The revision of the list after this update.
        complete: Whether `endpoints` is the complete list (a snapshot) or only the changes (a delta).
        endpoints: The complete or changed entries.
        omitted: The number of further entries that are left out, because the memory does not hold them.
        source: Which source published the list; empty if that is not known.  Revisions of one source are comparable.
    """

    revision: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]
    omitted: int = 0
    source: str = ""


@dataclass(frozen=True, slots=True)
class RefusedList:
    """An endpoint list that this sender did not take, so that it goes on with the one before.

    Attributes:
        reason: Why it was not taken.
        received_bytes: How much of it was received.
        limit_bytes: The limit on its size.
        elapsed_s: How long it was received, in seconds.
    """

    reason: str
    received_bytes: int
    limit_bytes: int
    elapsed_s: float


class DiscoveryError(Exception):
    """Service discovery did not respond, or its response is invalid.

    Attributes:
        refused_list: The list that began to come and was not taken; `None` if none began.
    """

    def __init__(self, text: str, refused_list: RefusedList | None = None) -> None:
        super().__init__(text)
        self.refused_list = refused_list


class EndpointSource(Protocol):
    """Follows the endpoint list."""

    def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the complete list, then every change.

        Raises:
            DiscoveryError: The list cannot be followed any further; the caller may call `follow` again.
        """
