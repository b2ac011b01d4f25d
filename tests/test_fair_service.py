"""A real sender answers an ordinary client in 400 ms, whatever other clients and endpoints send."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from kestreltrack.testing.pressure.clients import PressureKind
from kestreltrack.testing.pressure.endpoints import ResponseKind
from kestreltrack.testing.pressure.measurement import Pressure, measure

MEMORY_MB = 192.0
SECONDS = 3.0
# As many clients as the sender has connections for, less those of the ordinary client.
CLIENTS_BY_SOCKETS = {256: 105, 1024: 440}
COSTLY_RATE_PER_S = 100.0
FAST_KINDS = (
    PressureKind.LARGE_REQUESTS,
    PressureKind.SLOW_REQUEST,
    PressureKind.PIPELINED_AND_LEFT,
    PressureKind.PINGS,
    PressureKind.UNKNOWN_COMMANDS,
    PressureKind.NEW_NAMES,
    PressureKind.NEW_CONNECTIONS,
)


@pytest.mark.parametrize("sockets", CLIENTS_BY_SOCKETS)
@pytest.mark.parametrize("kind", FAST_KINDS)
def test_clients_at_full_speed_do_not_delay_the_answers_of_others(
    kind: PressureKind, sockets: int, tmp_path: Path
) -> None:
    pressure = Pressure(MEMORY_MB, sockets, kind, CLIENTS_BY_SOCKETS[sockets], seconds=SECONDS)
    result = asyncio.run(measure(pressure, tmp_path))
    assert result.answers and not result.unanswered, result


@pytest.mark.parametrize(
    "kind", [ResponseKind.TINY_CHUNKS, ResponseKind.CHUNK_EXTENSIONS, ResponseKind.TRAILERS]
)
def test_costly_responses_do_not_delay_the_answers_of_clients(kind: ResponseKind, tmp_path: Path) -> None:
    pressure = Pressure(MEMORY_MB, 1024, responses=kind, seconds=SECONDS, rate=COSTLY_RATE_PER_S)
    result = asyncio.run(measure(pressure, tmp_path))
    assert result.answers and not result.unanswered, result
