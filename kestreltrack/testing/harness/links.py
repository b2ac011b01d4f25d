"""Faults on the links between named parties and their effect on datagrams and streams; no I/O, one random seed.

A pattern is the name of a party (``s2``), a group (``zone:a``) or ``*``.  A fault applies in one direction, from the
parties that match one pattern to those that match another, until it is healed.  Several faults on a link add up.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A link fault; `loss`, `jitter_ms` and `duplicate_*` affect datagrams, `reset` and `bytes_per_s` streams."""

    cut: bool = False
    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate_rate: float = 0.0  # share that is repeated, `duplicate_delay_ms` after the first
    duplicate_delay_ms: float = 0.0
    reset: bool = False  # resets existing and new connections
    bytes_per_s: float = 0.0  # 0 for no limit

    def __post_init__(self) -> None:
        """Reject invalid values."""
        if not (0.0 <= self.loss <= 1.0 and 0.0 <= self.duplicate_rate <= 1.0):
            raise ValueError("loss and duplicate_rate (`repeat` in scenario files) must be between 0 and 1")
        if min(self.delay_ms, self.jitter_ms, self.duplicate_delay_ms) < 0.0:
            raise ValueError("delays must not be negative")


class Links:
    """The faults on all links; `groups` maps the name of each group to its members."""

    def __init__(self, seed: int, groups: dict[str, set[str]] | None = None) -> None:
        """Start without faults."""
        self.groups = groups or {}
        self._random = random.Random(seed)
        self._faults = list[tuple[str, str, LinkFault]]()

    def _matches(self, name: str, pattern: str) -> bool:
        return pattern in ("*", name) or name in self.groups.get(pattern, ())

    def inject(self, source: str, target: str, fault: LinkFault, bidirectional: bool = True) -> None:
        """Add a fault from `source` to `target`, and in the other direction if `bidirectional`."""
        self._faults.append((source, target, fault))
        if bidirectional:
            self._faults.append((target, source, fault))

    def heal(self, source: str = "", target: str = "") -> None:
        """Remove all faults, or those that were injected between these two patterns."""
        directions = {(source, target), (target, source)}
        self._faults = [row for row in self._faults if source and (row[0], row[1]) not in directions]

    def stream_fault(self, source: str, target: str) -> LinkFault:
        """Return the combined faults on a stream in one direction."""
        found = [
            fault
            for source_pattern, target_pattern, fault in self._faults
            if self._matches(source, source_pattern) and self._matches(target, target_pattern)
        ]
        lowest_rate = min((fault.bytes_per_s for fault in found if fault.bytes_per_s), default=0.0)
        return LinkFault(
            cut=any(fault.cut for fault in found),
            reset=any(fault.reset for fault in found),
            bytes_per_s=lowest_rate,
            delay_ms=sum(fault.delay_ms for fault in found),
        )

    def datagram_delays(self, source: str, target: str) -> list[float]:
        """Return the delay in ms of each copy of a datagram: none if it is lost, several if it is duplicated."""
        delay = 0.0
        copies = list[float]()
        for source_pattern, target_pattern, fault in self._faults:
            if not (self._matches(source, source_pattern) and self._matches(target, target_pattern)):
                continue
            if fault.cut or self._random.random() < fault.loss:
                return []
            delay += fault.delay_ms + fault.jitter_ms * self._random.random()
            if fault.duplicate_rate and self._random.random() < fault.duplicate_rate:
                copies.append(fault.duplicate_delay_ms)
        return [delay, *(delay + extra_ms for extra_ms in copies)]
