"""Sender processes with a replicated document: commits, a partitioned sender, and a restart of the leader."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from signal import SIGKILL, SIGTERM
from typing import Any

from scenario import ROOT, SETTINGS

from kestreltrack.admin.command_client import send_command
from kestreltrack.fleet.replicated_config.service import INITIAL_STATE
from kestreltrack.fleet.replicated_config.storage import STATE_FILE_NAME, StateFolder
from kestreltrack.testing.fakes import destinations
from kestreltrack.testing.harness.fleet import Fleet
from kestreltrack.testing.harness.links import LinkFault

SENDER_COUNT = 4
VOTERS = ("s1", "s2", "s3")


def create_state_folder(folder: Path, name: str) -> str:
    """Create a sender's state folder as its first start does, and return its entry in the list of voters."""
    path = folder / name / "state"
    path.mkdir(parents=True)
    state_folder = StateFolder(path)
    state_folder.load()
    state_folder.save(INITIAL_STATE.state, INITIAL_STATE.documents)
    return f"{name}={state_folder.id}"


class VotingFleet(Fleet):
    """Four senders with load for two destinations; three of them are voters, and `s1` is the leader."""

    def __init__(self, folder: Path) -> None:
        voters = ",".join(create_state_folder(folder, name) for name in VOTERS)
        super().__init__(
            folder,
            SETTINGS | {"balancers": SENDER_COUNT},
            SENDER_COUNT,
            destinations=[destinations.FakeDestination(n, 20.0) for n in (1, 2)],
            extra_variables={"KESTRELTRACK_FLEET_AGREED_VOTERS": voters},
        )
        self._load = list[asyncio.Task[None]]()

    def start_load(self) -> None:
        def draw(rng: random.Random) -> tuple[int, str]:
            return rng.choice((1, 2)), "keyed"

        self._load = [
            asyncio.create_task(load.run(8.0, 120.0, draw)) for load in self.load_generators.values()
        ]

    async def propose(self, revision: int, at: str = "s1", **excluded: str) -> dict[str, Any]:
        """Propose a document with both destinations; `p1="reason"` excludes the first one."""
        rows = {str(n): {"classes": ["*"], "firms": ["*"], "out": excluded.get(f"p{n}", "")} for n in (1, 2)}
        path = self.folder / f"{revision}.json"
        path.write_text(json.dumps({"name": "fleet", "epoch": 1, "revision": revision, "partners": rows}))
        return await asyncio.to_thread(send_command, self.admin_socket(at), "fleet.agreed.propose", str(path))

    async def run_command(self, *arguments: str) -> dict[str, Any]:
        socket = str(self.admin_socket("s1"))
        command_line = ["-m", "kestreltrack", "fleet", "agreed", *arguments, "--socket", socket]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command_line, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        response: dict[str, Any] = json.loads(output)
        return response

    def changes(self, name: str, change: str, revision: int) -> list[dict[str, Any]]:
        key = "force" if change == "in force" else "acknowledged"
        return self.log_records(name, "replicated_config", change=change, **{key: [1, revision]})

    async def wait_committed(self, revision: int, names: Iterable[str] | None = None) -> None:
        for name in names or self.names:
            await self.wait_until(
                lambda n=name: bool(self.changes(n, "in force", revision)),  # type: ignore[misc]
                f"the commit of revision {revision} at {name}",
            )

    def call_count(self, uid: str, sender_prefix: str = "") -> int:
        return sum(message.startswith(sender_prefix) for _, message in self.endpoints[uid].calls)

    async def wait_calls(self, uid: str, count: int, names: Iterable[str] | None = None) -> None:
        """Wait until each of these senders has made `count` more calls to a destination."""
        expected_counts = {name: self.call_count(uid, f"{name}m") + count for name in names or self.names}
        await self.wait_until(
            lambda: all(
                self.call_count(uid, f"{name}m") >= expected for name, expected in expected_counts.items()
            ),
            f"calls to {uid}",
        )

    def stored_versions(self, name: str) -> list[list[int]]:
        row = json.loads((self.folder / name / "state" / STATE_FILE_NAME).read_text())
        return [row["force"], row["acknowledged"]]

    async def close(self) -> None:
        for task in self._load:
            task.cancel()
        await super().close()


def run_scenario(folder: Path, scenario: Callable[[VotingFleet], Awaitable[None]]) -> None:
    async def run() -> None:
        async with VotingFleet(folder) as fleet:
            await fleet.wait_for_membership(fleet.names)
            fleet.start_load()
            # No document is in force yet.
            await fleet.wait_calls("p1", 2)
            await fleet.propose(1)
            await fleet.wait_committed(1)
            await fleet.wait_calls("p1", 2)
            await scenario(fleet)

    asyncio.run(run())


def test_no_sender_calls_an_excluded_destination_until_it_is_included_again(tmp_path: Path) -> None:
    async def scenario(fleet: VotingFleet) -> None:
        assert "proposals are accepted only by s1" in (await fleet.propose(2, at="s2", p1="moves"))["error"]
        assert "error" not in await fleet.propose(2, p1="moves")
        await fleet.wait_committed(2)
        # By then, calls to the excluded destination that were in flight have arrived.
        await fleet.wait_calls("p2", 2)
        calls = fleet.call_count("p1")
        accepted = {name: len(fleet.load_generators[name].results.accepted) for name in fleet.names}
        await fleet.wait_calls("p2", 8)
        assert fleet.call_count("p1") == calls
        assert all(len(fleet.load_generators[name].results.accepted) > n for name, n in accepted.items())
        for name in fleet.names:
            assert len(fleet.changes(name, "in force", 2)) == 1
        prepared_voters = [name for name in VOTERS if fleet.changes(name, "prepared", 2)]
        assert len(prepared_voters) >= 2, "a majority acts on the intersection before the commit"
        assert "has been prepared already" in (await fleet.propose(1))["error"]
        await fleet.propose(3)
        await fleet.wait_committed(3)
        await fleet.wait_calls("p1", 2)
        # The command that operators use.
        response = await fleet.run_command("propose", str(fleet.folder / "3.json"), "--json")
        assert response["acknowledged"] == [1, 3] and response["keeper"] == "s1", response

    run_scenario(tmp_path, scenario)


def test_the_lease_of_a_partitioned_sender_lapses_before_others_act_on_a_change(tmp_path: Path) -> None:
    async def scenario(fleet: VotingFleet) -> None:
        for voter in VOTERS:
            fleet.links.inject("s4", voter, LinkFault(cut=True))
        await fleet.propose(2, p1="moves")
        await fleet.wait_committed(2, VOTERS)
        await fleet.wait_until(
            lambda: bool(fleet.log_records("s4", "replicated_config", change="lapsed")),
            "the lapse of the lease of s4",
        )
        lapsed = fleet.log_records("s4", "replicated_config", change="lapsed")[-1]
        assert lapsed["force"] == lapsed["acknowledged"] == [1, 1], "s4 has not received the change"
        first_commit = min(fleet.changes(name, "in force", 2)[0]["at"] for name in VOTERS)
        assert lapsed["until"] < first_commit
        await fleet.wait_calls("p2", 2, VOTERS)
        calls = {uid: fleet.call_count(uid, "s4m") for uid in ("p1", "p2")}
        await fleet.wait_calls("p2", 8, VOTERS)
        assert {uid: fleet.call_count(uid, "s4m") for uid in ("p1", "p2")} == calls, "s4 starts no calls"
        fleet.links.heal()
        await fleet.wait_committed(2, ["s4"])
        await fleet.wait_calls("p2", 3, ["s4"])
        assert fleet.call_count("p1", "s4m") == calls["p1"]

    run_scenario(tmp_path, scenario)


def test_a_leader_killed_between_prepare_and_commit_resumes_from_its_state_folder(tmp_path: Path) -> None:
    async def scenario(fleet: VotingFleet) -> None:
        for other in ("s2", "s3"):
            # Without these links, no majority of voters can promise.
            fleet.links.inject("s1", other, LinkFault(cut=True))
        await fleet.propose(2, p1="moves")
        assert fleet.stored_versions("s1") == [[1, 1], [1, 2]], "stored before the response to the proposal"
        await fleet.signal(["s1"], SIGKILL)
        await fleet.wait_ended(fleet.senders["s1"])
        await fleet.start("s1")
        await fleet.wait_until(
            lambda: len(fleet.log_records("s1", "replicated_config", change="begun")) == 2,
            "the restart of s1 with its state folder",
        )
        begun = fleet.log_records("s1", "replicated_config", change="begun")[-1]
        assert (begun["force"], begun["acknowledged"]) == ([1, 1], [1, 2])
        fleet.links.heal()
        await fleet.wait_committed(2)
        assert all(fleet.stored_versions(name) == [[1, 2], [1, 2]] for name in fleet.names)

    run_scenario(tmp_path, scenario)


def test_an_upgraded_leader_takes_over_the_state_folder_of_the_old_process(tmp_path: Path) -> None:
    async def scenario(fleet: VotingFleet) -> None:
        await fleet.start_successor("s1")
        old = fleet.previous_processes["s1"]
        assert not fleet.log_records("s1", "replicated_config"), (
            "the old process holds the folder until it stops"
        )
        await old.signal(SIGTERM)
        await fleet.wait_until(
            lambda: bool(fleet.log_records("s1", "replicated_config", change="begun")),
            "the takeover of the state folder by the new process of s1",
        )
        assert fleet.log_records("s1", "replicated_config", change="begun")[0]["force"] == [1, 1]
        await fleet.wait_for_membership(fleet.names)
        await fleet.propose(2, p1="moves")
        await fleet.wait_committed(2)
        await fleet.wait_ended(old)
        await fleet.wait_calls("p2", 3)
        calls = fleet.call_count("p1")
        await fleet.wait_calls("p2", 5)
        assert fleet.call_count("p1") == calls

    run_scenario(tmp_path, scenario)
