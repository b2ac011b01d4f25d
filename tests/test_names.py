"""Hashed ids: the module does not care what an id looks like, nobody finds a plain one, who has the key finds all."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import test_random
from captures.scripts import Stepping
from test_explain import said

from kestreltrack.capture import records, witness
from kestreltrack.capture.anonymise import anonymise
from kestreltrack.capture.names import BadKey, Names, key_of
from kestreltrack.capture.reader import files_of
from kestreltrack.capture.replay import replay
from kestreltrack.capture.walk import Tape
from kestreltrack.capture.writer import PatientWriter as Patient
from kestreltrack.decision import Policy, api
from kestreltrack.explain import life
from kestreltrack.telemetry import Telemetry

KEY = b"sixteen bytes at least"


def captured(
    folder: Path, monkeypatch: pytest.MonkeyPatch, seed: int, names: Names | None, whole: bool
) -> None:
    """A random day; tenants are made up, as the module has no use for them."""
    monkeypatch.setattr(witness, "CHECK_RECORDS", 300)
    monkeypatch.setattr(witness, "CHECK_COSTS", 0.0)
    folder.mkdir()

    class Named(Stepping):
        def take(self, now: float, event: api.Event) -> None:
            if isinstance(event, api.Arrived):
                event = replace(event, tenant=f"firm-{event.dest}")
            super().take(now, event)

    def made(settings: api.Settings, seed: int) -> Any:
        writer = Patient(folder, 10**8, 1e9, print)
        return Named(Policy(settings, seed), writer, Telemetry(), "n1", whole, 40_000, names)

    monkeypatch.setattr(test_random, "Policy", made)
    play = test_random.Play(seed)
    play.run(120)
    play.policy.close(play.now)  # type: ignore[attr-defined]


@pytest.mark.parametrize("seed", range(6))
def test_a_hashed_capture_replays_and_names_nobody(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    captured(tmp_path / "plain", monkeypatch, seed, None, seed % 2 == 0)
    captured(tmp_path / "hashed", monkeypatch, seed, Names(KEY), seed % 2 == 0)
    plain, hashed = (files_of([tmp_path / name]) for name in ("plain", "hashed"))
    for files in (plain, hashed):
        done = replay(files)
        assert done.identical() and not done.faults and done.compared > 300
    raw = b"".join(data for reader in Tape(hashed).readers for _, _, data in reader.raw())
    ids = {r.what.id for r in records_of(plain) if isinstance(r.what, api.Arrived)}
    assert len(ids) > 10 and not [id_ for id_ in ids if records.ENCODE(id_) in raw] and b"firm-" not in raw
    # What is renamed afterwards is, record by record, what would have been written hashed.
    written, faults = anonymise(Tape(plain), Names(KEY), tmp_path / "renamed")
    assert not faults and [f.name for f in written] == [f.name for f in plain]
    made = [(r.kind, r.what) for r in records_of(written) if r.kind > records.CHECKPOINT]
    assert made == [(r.kind, r.what) for r in records_of(hashed) if r.kind > records.CHECKPOINT]
    assert replay(written).identical() and len(Tape(written).checkpoints()) == len(Tape(plain).checkpoints())


def records_of(files: list[Path]) -> list[records.Record]:
    return [step.record for step in Tape(files).walk()]


def test_endpoints_are_renamed_where_that_is_asked(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    captured(tmp_path / "plain", monkeypatch, 4, None, False)
    written, _ = anonymise(
        Tape(files_of([tmp_path / "plain"])), Names(KEY, endpoints=True), tmp_path / "other"
    )
    assert replay(written).identical()
    raw = b"".join(data for reader in Tape(written).readers for _, _, data in reader.raw())
    assert records.ENCODE("e00") not in raw and records.ENCODE(Names(KEY, True).endpoint("e00")) in raw


def test_who_has_the_key_finds_a_message(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    captured(tmp_path / "plain", monkeypatch, 2, None, False)
    captured(tmp_path / "hashed", monkeypatch, 2, Names(KEY), False)
    key = tmp_path / "key"
    key.write_bytes(KEY + b"\n")
    (before,) = life.lives(Tape(files_of([tmp_path / "plain"])), "m3")
    (after,) = life.lives(Tape(files_of([tmp_path / "hashed"])), Names(key_of(key)).id("m3"))
    assert (before.rows, before.end, before.attempts) == (after.rows, after.end, after.attempts)
    assert said("explain", str(tmp_path / "hashed"), "m3")[0] == 1
    code, out, _ = said("explain", str(tmp_path / "hashed"), "m3", "--key-file", str(key))
    assert code == 0 and "end:" in out


def test_other_keys_give_other_names_and_bad_ones_none(tmp_path: Path) -> None:
    first, second = Names(KEY), Names(KEY[::-1])
    assert first.id("m1") == Names(KEY).id("m1") != second.id("m1") and len(first.id("m1")) == 18
    assert first.id("5") != first.tenant("5") and first.key(5) != first.key(6)
    for content in (b"short", b"x" * 65):
        (tmp_path / "key").write_bytes(content)
        with pytest.raises(BadKey, match="expected 16 to 64 bytes"):
            key_of(tmp_path / "key")
    with pytest.raises(BadKey, match="No such file"):
        key_of(tmp_path / "none")
