"""The interface to service discovery, which provides the endpoint list."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
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


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The complete endpoint list, or the entries that changed.

    Attributes:
        revision: The revision of the list after this update.
        complete: Whether `endpoints` is the complete list (a snapshot) or only the changes (a delta).
        endpoints: The complete or changed entries.
    """

    revision: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


class DiscoveryError(Exception):
    """Service discovery did not respond, or its response is invalid."""


class EndpointSource(Protocol):
    """Follows the endpoint list."""

    def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the complete list, then every change.

        Raises:
            DiscoveryError: The list cannot be followed any further; the caller may call `follow` again.
        """
