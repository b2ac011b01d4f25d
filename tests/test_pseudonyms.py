"""A capture with pseudonyms replays, holds no original name, and can be searched with the key."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import test_random
from captures.scripts import Stepping
from test_explain import capture, run_command

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
    """Record a random run whose messages have tenants; the decision module does not use these."""
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_RECORDS", 300)
    monkeypatch.setattr(recorder, "CHECKPOINT_COST_FACTOR", 0.0)
    folder.mkdir()

    class WithTenants(Stepping):
        def handle(self, now: float, event: Event) -> None:
            if isinstance(event, MessageArrived):
                event = replace(event, tenant=f"tenant-{event.dest}")
            super().handle(now, event)

    def build_recorder(settings: Settings, seed: int) -> Any:
        writer = BlockingWriter(folder, 10**8, 1e9, print)
        return WithTenants(
            Policy(settings, seed), writer, Telemetry(), "n1", full_actions, 40_000, pseudonyms
        )

    monkeypatch.setattr(test_random, "Policy", build_recorder)
    play = test_random.RandomEventRun(seed)
    play.run(120)
    play.policy.close(play.now)  # type: ignore[attr-defined]


@pytest.mark.parametrize("seed", range(6))
def test_a_hashed_capture_replays_and_holds_no_original_name(
    seed: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    record_random_events(tmp_path / "plain", monkeypatch, seed, None, seed % 2 == 0)
    record_random_events(tmp_path / "hashed", monkeypatch, seed, Pseudonyms(KEY), seed % 2 == 0)
    plain, hashed = (capture_files([tmp_path / name]) for name in ("plain", "hashed"))
    for files in (plain, hashed):
        result = replay(files)
        assert result.identical()
        assert not result.faults
        assert result.compared > 300
    raw = b"".join(data for reader in CaptureFiles(hashed).readers for _, _, data in reader.raw_blocks())
    ids = {r.payload.id for r in read_records(plain) if isinstance(r.payload, MessageArrived)}
    assert len(ids) > 10
    assert not [id_ for id_ in ids if records.encode_msgpack(id_) in raw]
    assert b"tenant-" not in raw
    # A capture that is anonymised later has the same records as one that was hashed while it was recorded.
    written, corruptions = anonymise(CaptureFiles(plain), Pseudonyms(KEY), tmp_path / "anonymised")
    assert not corruptions
    assert [f.name for f in written] == [f.name for f in plain]
    anonymised_records = [(r.kind, r.payload) for r in read_records(written) if r.kind > records.CHECKPOINT]
    hashed_records = [(r.kind, r.payload) for r in read_records(hashed) if r.kind > records.CHECKPOINT]
    assert anonymised_records == hashed_records
    assert replay(written).identical()
    assert len(CaptureFiles(written).checkpoints()) == len(CaptureFiles(plain).checkpoints())


def read_records(files: list[Path]) -> list[records.Record]:
    return [step.record for step in CaptureFiles(files).steps()]


def test_endpoint_names_are_replaced_on_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    record_random_events(tmp_path / "plain", monkeypatch, 4, None, False)
    written, _ = anonymise(
        CaptureFiles(capture_files([tmp_path / "plain"])), Pseudonyms(KEY, endpoints=True), tmp_path / "other"
    )
    assert replay(written).identical()
    raw = b"".join(data for reader in CaptureFiles(written).readers for _, _, data in reader.raw_blocks())
    assert records.encode_msgpack("e00") not in raw
    assert records.encode_msgpack(Pseudonyms(KEY, True).endpoint("e00")) in raw


def test_a_message_is_found_in_a_hashed_capture_with_the_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    record_random_events(tmp_path / "plain", monkeypatch, 2, None, False)
    record_random_events(tmp_path / "hashed", monkeypatch, 2, Pseudonyms(KEY), False)
    key_file = tmp_path / "key"
    key_file.write_bytes(KEY + b"\n")
    (before,) = message_timeline.build_timelines(CaptureFiles(capture_files([tmp_path / "plain"])), "m3")
    (after,) = message_timeline.build_timelines(
        CaptureFiles(capture_files([tmp_path / "hashed"])),
        Pseudonyms(read_key_file(key_file)).message_id("m3"),
    )
    assert (before.rows, before.end, before.attempts) == (after.rows, after.end, after.attempts)
    assert run_command("explain", str(tmp_path / "hashed"), "m3")[0] == 1
    code, out, _ = run_command("explain", str(tmp_path / "hashed"), "m3", "--key-file", str(key_file))
    assert code == 0
    assert "end:" in out


def test_each_key_gives_its_own_pseudonyms_and_an_invalid_key_is_rejected(tmp_path: Path) -> None:
    first = Pseudonyms(KEY)
    second = Pseudonyms(KEY[::-1])
    assert first.message_id("m1") == Pseudonyms(KEY).message_id("m1")
    assert first.message_id("m1") != second.message_id("m1")
    assert len(first.message_id("m1")) == 18
    assert first.message_id("5") != first.tenant("5")
    assert first.key(5) != first.key(6)
    for content in (b"short", b"x" * 65):
        (tmp_path / "key").write_bytes(content)
        with pytest.raises(InvalidKeyError, match="expected 16 to 64 bytes"):
            read_key_file(tmp_path / "key")
    with pytest.raises(InvalidKeyError, match="No such file"):
        read_key_file(tmp_path / "none")


def test_the_anonymise_command_writes_a_capture_that_replays_and_rejects_wrong_arguments(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = capture(tmp_path / "a", monkeypatch, 50)
    key_file = tmp_path / "key"
    key_file.write_bytes(b"x" * 20)
    code, _, _ = run_command(
        "capture", "anonymise", str(folder), "--out", str(tmp_path / "n"), "--key-file", str(key_file)
    )
    assert code == 0
    assert replay(capture_files([tmp_path / "n"])).identical()
    for arguments, error_text in (
        (("--out", str(folder), "--key-file", str(key_file)), "another folder"),
        (("--out", str(tmp_path / "o"), "--key-file", str(tmp_path / "none")), "No such file"),
    ):
        code, _, err = run_command("capture", "anonymise", str(folder), *arguments)
        assert code == 2
        assert error_text in err
