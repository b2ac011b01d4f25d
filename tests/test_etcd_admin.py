"""Operators' access to a directory: imports, concurrent changes, rejected changes, failover."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import pytest
from etcd_harness import PREFIX, EtcdHarness, entry_value, run_scenario

from kestreltrack.discovery.etcd.admin import EtcdDirectory
from kestreltrack.discovery.etcd.errors import DirectoryChangeError


def run_directory_scenario(scenario: Callable[[EtcdDirectory, EtcdHarness], Awaitable[None]]) -> None:
    async def run_with_directory(harness: EtcdHarness) -> None:
        await scenario(EtcdDirectory(harness.source.client, PREFIX), harness)

    run_scenario(run_with_directory)


def row(number: int, state: str = "up") -> dict[str, object]:
    return {**json.loads(entry_value(number, state)), "uid": f"u{number}"}


def test_import_writes_only_differences_and_prunes_on_request() -> None:
    async def scenario(directory: EtcdDirectory, harness: EtcdHarness) -> None:
        rows = [row(n) for n in range(250)]
        assert [progress[:2] async for progress in directory.import_entries(rows, False)] == [
            (100, 250),
            (200, 250),
            (250, 250),
        ]
        revision_before = harness.cluster.store.revision
        unchanged = [progress async for progress in directory.import_entries(rows, False)]
        assert unchanged == [(0, 0, revision_before)]

        rows[3] = row(3, "draining")
        rows[4] = row(4, "removed")
        assert [progress[:2] async for progress in directory.import_entries(rows[:10], False)] == [(1, 1)]
        assert len((await directory.list_entries()).entries) == 250

        pruned = [progress async for progress in directory.import_entries(rows[:10], True)]
        assert pruned[-1].changes_made == 241
        uids = {entry.uid for entry in (await directory.list_entries()).entries}
        assert uids == {f"u{n}" for n in range(10) if n != 4}

    run_directory_scenario(scenario)


def test_import_with_a_malformed_entry_writes_nothing() -> None:
    async def scenario(directory: EtcdDirectory, harness: EtcdHarness) -> None:
        with pytest.raises(DirectoryChangeError, match=r"entry 2: .*endpoint"):
            async for _ in directory.import_entries([row(1), {"uid": "x"}], False):
                pass
        assert harness.cluster.store.revision == 1

    run_directory_scenario(scenario)


def test_concurrent_changes_of_two_operators_are_both_kept() -> None:
    async def scenario(directory: EtcdDirectory, harness: EtcdHarness) -> None:
        await directory.put(row(1))
        other = EtcdDirectory(harness.source.client, PREFIX)
        get = directory.get
        other_revisions = list[int]()

        async def get_then_change_concurrently(uid: str) -> object:
            entry = await get(uid)
            if not other_revisions:
                other_revisions.append(await other.put({**row(1), "capacity_hint": 9.0}))
            return entry

        directory.get = get_then_change_concurrently  # type: ignore[method-assign, assignment]
        await directory.set_state("u1", "draining")
        entry = await get("u1")
        assert entry and entry.row["state"] == "draining" and entry.row["capacity_hint"] == 9.0

    run_directory_scenario(scenario)


def test_change_of_a_missing_or_malformed_entry_is_rejected() -> None:
    async def scenario(directory: EtcdDirectory, harness: EtcdHarness) -> None:
        with pytest.raises(DirectoryChangeError, match="u9: no such endpoint"):
            await directory.set_state("u9", "draining")
        harness.cluster.put(f"{PREFIX}endpoints/u1", "not json")
        with pytest.raises(DirectoryChangeError, match="cannot be read"):
            await directory.set_state("u1", "draining")
        entries = (await directory.list_entries()).entries
        assert [(entry.uid, bool(entry.fault)) for entry in entries] == [("u1", True)]
        await directory.remove("u1")
        assert (await directory.list_entries()).entries == []

    run_directory_scenario(scenario)


def test_calls_fail_over_to_another_member() -> None:
    async def scenario(directory: EtcdDirectory, harness: EtcdHarness) -> None:
        await harness.cluster.apply_fault(0, "refuse")
        await harness.cluster.apply_fault(1, "no_leader")
        assert await directory.put(row(1)) == 2

    run_directory_scenario(scenario)
