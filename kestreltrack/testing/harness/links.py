"""Faults on the links between parties, by name: what becomes of datagrams and streams.  No I/O; draws from one seed.

A party is named by itself (``s2``), by a group (``zone:a``) or as ``*``; a fault holds from one set of names to
another, one way, until it is healed.  The later of two faults on one link adds to the earlier.
"""

from __future__ import annotations

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LinkFault:
    """What happens on a link; `loss`, `repeat` and `late_ms` concern datagrams, `reset` and `bytes_s` streams."""

    cut: bool = False
    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate_rate: float = 0.0  # share that comes once more, `late_ms` after the first
    duplicate_delay_ms: float = 0.0
    reset: bool = False  # connections end, old and new ones
    bytes_per_s: float = 0.0  # a trickle; 0 for as much as comes

    def __post_init__(self) -> None:
        """Refuse what no link does."""
        if not (0.0 <= self.loss <= 1.0 and 0.0 <= self.duplicate_rate <= 1.0):
            raise ValueError("loss and repeat are shares, 0 to 1")
        if min(self.delay_ms, self.jitter_ms, self.duplicate_delay_ms) < 0.0:
            raise ValueError("delays are not negative")


class Links:
    """All links; `groups` names the members of each group."""

    def __init__(self, seed: int, groups: dict[str, set[str]] | None = None) -> None:
        """Begin with every link whole."""
        self.groups = groups or {}
        self._random = random.Random(seed)
        self._faults = list[tuple[str, str, LinkFault]]()

    def _matches(self, name: str, pattern: str) -> bool:
        return pattern in ("*", name) or name in self.groups.get(pattern, ())

    def inject(self, source: str, target: str, fault: LinkFault, bidirectional: bool = True) -> None:
        """From now on this happens from `source` to `target`, and the other way round."""
        self._faults.append((source, target, fault))
        if bidirectional:
            self._faults.append((target, source, fault))

    def heal(self, source: str = "", target: str = "") -> None:
        """Every link is whole again, or those that a fault was put on by these names."""
        both = {(source, target), (target, source)}
        self._faults = [row for row in self._faults if source and (row[0], row[1]) not in both]

    def stream_fault(self, source: str, target: str) -> LinkFault:
        """What happens to a stream one way: all its faults in one."""
        found = [
            fault
            for one, other, fault in self._faults
            if self._matches(source, one) and self._matches(target, other)
        ]
        slowest = min((fault.bytes_per_s for fault in found if fault.bytes_per_s), default=0.0)
        return LinkFault(
            cut=any(fault.cut for fault in found),
            reset=any(fault.reset for fault in found),
            bytes_per_s=slowest,
            delay_ms=sum(fault.delay_ms for fault in found),
        )

    def datagram_delays(self, source: str, target: str) -> list[float]:
        """After how many milliseconds a datagram arrives: none where it is lost, two where it is repeated."""
        delay = 0.0
        copies = list[float]()
        for one, other, fault in self._faults:
            if not (self._matches(source, one) and self._matches(target, other)):
                continue
            if fault.cut or self._random.random() < fault.loss:
                return []
            delay += fault.delay_ms + fault.jitter_ms * self._random.random()
            if fault.duplicate_rate and self._random.random() < fault.duplicate_rate:
                copies.append(fault.duplicate_delay_ms)
        return [delay, *(delay + late for late in copies)]
