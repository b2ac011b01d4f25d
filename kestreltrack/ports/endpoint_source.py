"""Where the endpoint list comes from."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from kestreltrack.decision import EndpointLifecycle


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One execute node on the machine list."""

    uid: str
    address: str
    dest: int
    kind: str
    zone: str = ""
    state: EndpointLifecycle = EndpointLifecycle.UP
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The whole machine list, or the entries that changed."""

    revision: int
    complete: bool
    endpoints: tuple[ListedEndpoint, ...]


class DiscoveryError(Exception):
    """The list source gave no answer, or none that can be read."""


class EndpointSource(Protocol):
    """Follows the machine list."""

    def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """The whole list, then every change, until it raises `SourceFailed`."""
