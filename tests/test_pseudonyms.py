"""Pseudonyms: a capture under other names replays, holds no true name, and is searched with the key."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import test_random
from captures.scripts import Stepping
from test_explain import capture, said

from kestreltrack.capture import recorder, records
from kestreltrack.capture.anonymise import anonymise
from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.pseudonyms import InvalidKeyError, Pseudonyms, read_key_file
from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.replay import replay
from kestreltrack.capture.writer import BlockingWriter
from kestreltrack.decision import Event, MessageArrived, Policy, Settings
from kestreltrack.explain import message_timeline
from kestreltrack.telemetry import Telemetry

KEY = b"sixteen bytes at least"


def record_random_events(
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    pseudonyms: Pseudonyms | None,
    full_actions: bool,
) -> None:
    """Record a random run; tenants are made up, as the decision module has no use for them."""
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_RECORDS", 300)
    monkeypatch.setattr(recorder, "CHECKPOINT_COST_FACTOR", 0.0)
    folder.mkdir()

    class WithTenants(Stepping):
        def handle(self, now: float, event: Event) -> None:
            if isinstance(event, MessageArrived):
                event = replace(event, tenant=f"tenant-{event.dest}")
            super().handle(now, event)

    def made(settings: Settings, seed: int) -> Any:
        writer = BlockingWriter(folder, 10**8, 1e9, print)
        return WithTenants(
            Policy(settings, seed), writer, Telemetry(), "n1", full_actions, 40_000, pseudonyms
        )

    monkeypatch.setattr(test_random, "Policy", made)
    play = test_random.Play(seed)
    play.run(120)
    play.policy.close(play.now)  # type: ignore[attr-defined]


@pytest.mark.parametrize("seed", range(6))
def test_a_hashed_capture_replays_and_holds_no_true_name(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    record_random_events(tmp_path / "plain", monkeypatch, seed, None, seed % 2 == 0)
    record_random_events(tmp_path / "hashed", monkeypatch, seed, Pseudonyms(KEY), seed % 2 == 0)
    plain, hashed = (capture_files([tmp_path / name]) for name in ("plain", "hashed"))
    for files in (plain, hashed):
        done = replay(files)
        assert done.identical() and not done.faults and done.compared > 300
    raw = b"".join(data for reader in CaptureFiles(hashed).readers for _, _, data in reader.raw_blocks())
    ids = {r.payload.id for r in records_of(plain) if isinstance(r.payload, MessageArrived)}
    assert (
        len(ids) > 10
        and not [id_ for id_ in ids if records.encode_msgpack(id_) in raw]
        and b"tenant-" not in raw
    )
    # A capture that is renamed afterwards has, record by record, what a hashed one would have.
    written, faults = anonymise(CaptureFiles(plain), Pseudonyms(KEY), tmp_path / "renamed")
    assert not faults and [f.name for f in written] == [f.name for f in plain]
    made = [(r.kind, r.payload) for r in records_of(written) if r.kind > records.CHECKPOINT]
    assert made == [(r.kind, r.payload) for r in records_of(hashed) if r.kind > records.CHECKPOINT]
    assert replay(written).identical() and len(CaptureFiles(written).checkpoints()) == len(
        CaptureFiles(plain).checkpoints()
    )


def records_of(files: list[Path]) -> list[records.Record]:
    return [step.record for step in CaptureFiles(files).steps()]


def test_endpoints_are_renamed_on_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    record_random_events(tmp_path / "plain", monkeypatch, 4, None, False)
    written, _ = anonymise(
        CaptureFiles(capture_files([tmp_path / "plain"])), Pseudonyms(KEY, endpoints=True), tmp_path / "other"
    )
    assert replay(written).identical()
    raw = b"".join(data for reader in CaptureFiles(written).readers for _, _, data in reader.raw_blocks())
    assert (
        records.encode_msgpack("e00") not in raw
        and records.encode_msgpack(Pseudonyms(KEY, True).endpoint("e00")) in raw
    )


def test_a_message_is_found_in_a_hashed_capture_with_the_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    record_random_events(tmp_path / "plain", monkeypatch, 2, None, False)
    record_random_events(tmp_path / "hashed", monkeypatch, 2, Pseudonyms(KEY), False)
    key = tmp_path / "key"
    key.write_bytes(KEY + b"\n")
    (before,) = message_timeline.build_timelines(CaptureFiles(capture_files([tmp_path / "plain"])), "m3")
    (after,) = message_timeline.build_timelines(
        CaptureFiles(capture_files([tmp_path / "hashed"])), Pseudonyms(read_key_file(key)).message_id("m3")
    )
    assert (before.rows, before.end, before.attempts) == (after.rows, after.end, after.attempts)
    assert said("explain", str(tmp_path / "hashed"), "m3")[0] == 1
    code, out, _ = said("explain", str(tmp_path / "hashed"), "m3", "--key-file", str(key))
    assert code == 0 and "end:" in out


def test_each_key_gives_its_own_names_and_an_invalid_key_is_rejected(tmp_path: Path) -> None:
    first, second = Pseudonyms(KEY), Pseudonyms(KEY[::-1])
    assert (
        first.message_id("m1") == Pseudonyms(KEY).message_id("m1") != second.message_id("m1")
        and len(first.message_id("m1")) == 18
    )
    assert first.message_id("5") != first.tenant("5") and first.key(5) != first.key(6)
    for content in (b"short", b"x" * 65):
        (tmp_path / "key").write_bytes(content)
        with pytest.raises(InvalidKeyError, match="expected 16 to 64 bytes"):
            read_key_file(tmp_path / "key")
    with pytest.raises(InvalidKeyError, match="No such file"):
        read_key_file(tmp_path / "none")


def test_the_anonymise_command_writes_a_capture_that_replays_and_rejects_wrong_arguments(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    place, key = capture(tmp_path / "a", monkeypatch, 50), tmp_path / "key"
    key.write_bytes(b"x" * 20)
    code, _, _ = said(
        "capture", "anonymise", str(place), "--out", str(tmp_path / "n"), "--key-file", str(key)
    )
    assert code == 0 and replay(capture_files([tmp_path / "n"])).identical()
    for arguments, words in (
        (("--out", str(place), "--key-file", str(key)), "another folder"),
        (("--out", str(tmp_path / "o"), "--key-file", str(tmp_path / "none")), "No such file"),
    ):
        code, _, err = said("capture", "anonymise", str(place), *arguments)
        assert code == 2 and words in err
