"""Where the endpoint list comes from."""

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
        address: Where it accepts requests, ``host:port``.
        dest: The number of the destination that it belongs to.
        kind: The name of its kind in the settings.
        zone: The zone it is in; empty where the list names none.
        state: Whether it is up, draining or removed.
        rate: A figure of how many requests it can take; `RateAccuracy` in the settings says how exact it is.
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
    """The endpoint list, or the entries of it that changed.

    Attributes:
        revision: The number of the state of the list after this update.
        complete: Whether `endpoints` is the complete list (a snapshot) rather than the changes (a delta).
        endpoints: The entries.
    """

    revision: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


class DiscoveryError(Exception):
    """Service discovery gave no answer, or none that can be read."""


class EndpointSource(Protocol):
    """Follows the endpoint list."""

    def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the complete list, then every change.

        Raises:
            DiscoveryError: The list can be followed no further; the caller follows it anew.
        """
