"""Real senders that agree on whom they serve: a change takes force, one is cut off, the keeper is killed."""

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
from kestreltrack.fleet.replicated_config.document import ConfigDocument, DestinationRules
from kestreltrack.fleet.replicated_config.protocol import PersistentState
from kestreltrack.fleet.replicated_config.service import INITIAL_VERSION
from kestreltrack.fleet.replicated_config.storage import STATE_FILE_NAME, StateFolder
from kestreltrack.testing.fakes import destinations
from kestreltrack.testing.harness.fleet import Fleet
from kestreltrack.testing.harness.links import LinkFault

COUNT, VOTERS = 4, ("s1", "s2", "s3")
ALL = frozenset({"*"})


def enrolled(folder: Path, name: str) -> str:
    """The id of a sender's folder, as a first start would leave it there."""
    state = folder / name / "state"
    state.mkdir(parents=True)
    kept = StateFolder(state)
    kept.load()
    kept.save(
        PersistentState(INITIAL_VERSION, INITIAL_VERSION), {INITIAL_VERSION: ConfigDocument("none", 0, 0)}
    )
    return f"{name}={kept.id}"


class Scene(Fleet):
    """Four senders with messages for two partners; three of them vote, `s1` takes proposals."""

    def __init__(self, folder: Path) -> None:
        voters = ",".join(enrolled(folder, name) for name in VOTERS)
        super().__init__(
            folder,
            SETTINGS | {"balancers": COUNT},
            COUNT,
            destinations=[destinations.FakeDestination(n, 20.0) for n in (1, 2)],
            extra_variables={"KESTRELTRACK_FLEET_AGREED_VOTERS": voters},
        )
        self._load = list[asyncio.Task[None]]()

    def begin(self) -> None:
        def draw(rng: random.Random) -> tuple[int, str]:
            return rng.choice((1, 2)), "keyed"

        self._load = [
            asyncio.create_task(load.run(8.0, 120.0, draw)) for load in self.load_generators.values()
        ]

    async def propose(self, revision: int, at: str = "s1", **out: str) -> dict[str, Any]:
        """Both partners are served but for those named with a reason."""
        listed = {str(n): DestinationRules(ALL, ALL, out=out.get(f"p{n}", "")) for n in (1, 2)}
        path = self.folder / f"{revision}.json"
        rows = {
            name: {"classes": ["*"], "firms": ["*"], "out": partner.out} for name, partner in listed.items()
        }
        path.write_text(json.dumps({"name": "fleet", "epoch": 1, "revision": revision, "partners": rows}))
        return await asyncio.to_thread(send_command, self.admin_socket(at), "fleet.agreed.propose", str(path))

    async def command(self, *words: str) -> dict[str, Any]:
        ask_ = [
            sys.executable,
            "-m",
            "kestreltrack",
            "fleet",
            "agreed",
            *words,
            "--socket",
            str(self.admin_socket("s1")),
        ]
        process = await asyncio.create_subprocess_exec(*ask_, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
        answer: dict[str, Any] = json.loads((await process.communicate())[0])
        return answer

    def changed(self, name: str, change: str, revision: int) -> list[dict[str, Any]]:
        key = "force" if change == "in force" else "acknowledged"
        return self.log_records(name, "agreed", change=change, **{key: [1, revision]})

    async def all_in_force(self, revision: int, who: Iterable[str] | None = None) -> None:
        for name in who or self.names:
            await self.wait_until(
                lambda n=name: bool(self.changed(n, "in force", revision)),  # type: ignore[misc]
                f"{revision} at {name}",
            )

    def called(self, uid: str, name: str = "") -> int:
        return sum(message.startswith(name) for _, message in self.endpoints[uid].calls)

    async def reach(self, uid: str, count: int, who: Iterable[str] | None = None) -> None:
        """So many more calls of each of these senders reach that partner."""
        enough = {name: self.called(uid, f"{name}m") + count for name in who or self.names}
        await self.wait_until(
            lambda: all(self.called(uid, f"{n}m") >= e for n, e in enough.items()), f"calls to {uid}"
        )

    def kept(self, name: str) -> list[list[int]]:
        row = json.loads((self.folder / name / "state" / STATE_FILE_NAME).read_text())
        return [row["force"], row["acknowledged"]]

    async def close(self) -> None:
        for task in self._load:
            task.cancel()
        await super().close()


def play(folder: Path, scene: Callable[[Scene], Awaitable[None]]) -> None:
    async def whole() -> None:
        async with Scene(folder) as company:
            await company.wait_for_membership(company.names)
            company.begin()
            await company.reach("p1", 2)  # nothing is ruled yet
            await company.propose(1)
            await company.all_in_force(1)
            await company.reach("p1", 2)
            await scene(company)

    asyncio.run(whole())


def test_a_partner_that_is_taken_out_is_called_by_nobody_until_it_is_let_in(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        assert "proposals are taken by s1" in (await company.propose(2, at="s2", p1="moves"))["error"]
        assert "error" not in await company.propose(2, p1="moves")
        await company.all_in_force(2)
        await company.reach("p2", 2)  # what was on its way to the other partner has come too
        called, held = (
            company.called("p1"),
            {name: len(company.load_generators[name].results.accepted) for name in company.names},
        )
        await company.reach("p2", 8)
        assert company.called("p1") == called
        assert all(len(company.load_generators[name].results.accepted) > n for name, n in held.items())
        for name in company.names:
            assert len(company.changed(name, "in force", 2)) == 1
        ready = [name for name in VOTERS if company.changed(name, "prepared", 2)]
        assert len(ready) >= 2, "a majority narrows before it takes force"
        assert "has been prepared already" in (await company.propose(1))["error"]
        await company.propose(3)
        await company.all_in_force(3)
        await company.reach("p1", 2)
        # By the command, as staff do it.
        said = await company.command("propose", str(company.folder / "3.json"), "--json")
        assert said["acknowledged"] == [1, 3] and said["keeper"] == "s1", said

    play(tmp_path, scene)


def test_one_that_is_cut_off_has_lapsed_before_others_act_on_what_it_has_not_heard(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        for voter in VOTERS:
            company.links.inject("s4", voter, LinkFault(cut=True))
        await company.propose(2, p1="moves")
        await company.all_in_force(2, VOTERS)
        await company.wait_until(
            lambda: bool(company.log_records("s4", "agreed", change="lapsed")), "that it lapses"
        )
        lapsed = company.log_records("s4", "agreed", change="lapsed")[-1]
        assert lapsed["force"] == lapsed["acknowledged"] == [1, 1], "it has heard of nothing"
        first = min(company.changed(name, "in force", 2)[0]["at"] for name in VOTERS)
        assert lapsed["until"] < first
        await company.reach("p2", 2, VOTERS)
        called = {uid: company.called(uid, "s4m") for uid in ("p1", "p2")}
        await company.reach("p2", 8, VOTERS)
        assert {uid: company.called(uid, "s4m") for uid in ("p1", "p2")} == called, "it begins nothing"
        company.links.heal()
        await company.all_in_force(2, ["s4"])
        await company.reach("p2", 3, ["s4"])
        assert company.called("p1", "s4m") == called["p1"]

    play(tmp_path, scene)


def test_the_keeper_killed_between_prepare_and_force_goes_on_from_its_folder(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        for other in ("s2", "s3"):
            company.links.inject("s1", other, LinkFault(cut=True))  # no majority can promise anything
        await company.propose(2, p1="moves")
        assert company.kept("s1") == [[1, 1], [1, 2]], "on disk before the answer"
        await company.signal(["s1"], SIGKILL)
        await company.wait_ended(company.senders["s1"])
        await company.start("s1")
        await company.wait_until(
            lambda: len(company.log_records("s1", "agreed", change="begun")) == 2, "that it reads"
        )
        begun = company.log_records("s1", "agreed", change="begun")[-1]
        assert (begun["force"], begun["acknowledged"]) == ([1, 1], [1, 2])
        company.links.heal()
        await company.all_in_force(2)
        assert all(company.kept(name) == [[1, 2], [1, 2]] for name in company.names)

    play(tmp_path, scene)


def test_an_upgrade_of_the_keeper_goes_on_with_its_folder(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        await company.start_successor("s1")
        old = company.previous_processes["s1"]
        assert not company.log_records("s1", "agreed"), "the folder is the older process's until it lets go"
        await old.signal(SIGTERM)
        await company.wait_until(
            lambda: bool(company.log_records("s1", "agreed", change="begun")), "that it reads the folder"
        )
        assert company.log_records("s1", "agreed", change="begun")[0]["force"] == [1, 1]
        await company.wait_for_membership(company.names)
        await company.propose(2, p1="moves")
        await company.all_in_force(2)
        await company.wait_ended(old)
        await company.reach("p2", 3)
        called = company.called("p1")
        await company.reach("p2", 5)
        assert company.called("p1") == called

    play(tmp_path, scene)
