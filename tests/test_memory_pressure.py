"""A real sender with little memory stays under its limit, whatever its clients and endpoints send."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from kestreltrack.testing.pressure.clients import PressureKind
from kestreltrack.testing.pressure.endpoints import ResponseKind
from kestreltrack.testing.pressure.measurement import Pressure, measure

MEMORY_MB = 48.0
SECONDS = 3.0
# More clients than the sender has connections for.
CLIENTS = 600
COSTLY_RATE_PER_S = 100.0


def check_memory(pressure: Pressure, folder: Path) -> None:
    """Check that the sender is alive and has stayed under its limits on memory and descriptors."""
    result = asyncio.run(measure(pressure, folder))
    assert result.exit_code is None
    assert result.peak_mb <= pressure.memory_mb
    assert result.peak_descriptors <= pressure.sockets
    assert result.answers.get("ok"), "the ordinary client was served at all"


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("kind", PressureKind)
def test_clients_cannot_make_a_sender_exceed_its_memory(
    kind: PressureKind, sockets: int, tmp_path: Path
) -> None:
    check_memory(Pressure(MEMORY_MB, sockets, kind, CLIENTS, seconds=SECONDS), tmp_path)


@pytest.mark.parametrize("kind", ResponseKind)
def test_responses_cannot_make_a_sender_exceed_its_memory(kind: ResponseKind, tmp_path: Path) -> None:
    pressure = Pressure(MEMORY_MB, 1024, responses=kind, seconds=SECONDS, rate=COSTLY_RATE_PER_S)
    check_memory(pressure, tmp_path)
