"""The operators' calls: what each answers, exclusion by hand over discovery's news, the listener's bounds."""

from __future__ import annotations

import asyncio

import pytest

from kestreltrack.admin import listener as listener_module
from kestreltrack.admin.calls import answer
from kestreltrack.admin.listener import AdminListener
from kestreltrack.decision.api import Lifecycle, Listed, ListNews
from kestreltrack.machinelist import MachineList
from kestreltrack.machinelist.exclusion import Exclusion
from kestreltrack.ports import ListUpdate, Machine
from kestreltrack.telemetry import Telemetry


class Ops:
    """Remembers what it was asked; knows endpoints s-1 and s-2."""

    def __init__(self) -> None:
        self.out, self.evacuated = set[str](), False

    def ready(self) -> bool:
        return not self.evacuated

    def figures(self) -> str:
        return "app.outstanding:3|g\n"

    def exclude(self, uid: str) -> None:
        if uid not in ("s-1", "s-2"):
            raise KeyError(uid)
        self.out.add(uid)

    def include(self, uid: str) -> None:
        if uid not in ("s-1", "s-2"):
            raise KeyError(uid)
        self.out.discard(uid)

    def evacuate(self) -> None:
        self.evacuated = True

    def rejoin(self) -> None:
        self.evacuated = False


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/api/ready", b"", 200),
        ("GET", "/api/telemetry", b"", 200),
        ("PUT", "/api/exclude", b"s-1", 200),
        ("PUT", "/api/exclude", b"s-9", 404),
        ("PUT", "/api/include", b"s-9", 404),
        ("PUT", "/api/exclude", b"", 400),
        ("PUT", "/api/exclude", b"s-1 s-2", 400),
        ("PUT", "/api/exclude", b"\xff", 400),
        ("GET", "/api/exclude", b"", 405),
        ("PUT", "/api/ready", b"", 405),
        ("GET", "/api/nothing", b"", 404),
    ],
)
def test_each_call_gets_its_answer_and_a_bad_one_changes_nothing(
    method: str, path: str, body: bytes, status: int
) -> None:
    ops = Ops()
    got, text = answer(ops, method, path, body)
    assert got == status and text.endswith("\n")
    assert ops.out == ({"s-1"} if status == 200 and path == "/api/exclude" else set())


def test_evacuate_and_rejoin_turn_readiness() -> None:
    ops = Ops()
    assert answer(ops, "PUT", "/api/evacuate", b"")[0] == 200
    assert answer(ops, "GET", "/api/ready", b"")[0] == 503
    assert answer(ops, "PUT", "/api/rejoin", b"")[0] == 200
    assert answer(ops, "GET", "/api/ready", b"")[0] == 200


def listed(uid: str, state: Lifecycle = Lifecycle.UP) -> Machine:
    return Machine(uid, "127.0.0.1:9", 1, "plain", "a", state)


def states(news: ListNews | None) -> dict[str, Lifecycle]:
    assert news is not None
    return {entry.endpoint: entry.lifecycle for entry in news.entries}


def test_an_endpoint_out_by_hand_stays_draining_whatever_discovery_says_until_it_is_let_in() -> None:
    machines = MachineList()
    exclusion = Exclusion(machines)
    news = machines.apply(ListUpdate(1, True, (listed("s-1"), listed("s-2"))))
    assert states(exclusion.mask(news)) == {"s-1": Lifecycle.UP, "s-2": Lifecycle.UP}
    assert states(exclusion.exclude("s-1")) == {"s-1": Lifecycle.DRAINING}
    assert states(exclusion.exclude("s-1")) == {"s-1": Lifecycle.DRAINING}, "once more does no harm"
    again = machines.apply(ListUpdate(2, True, (listed("s-1"), listed("s-2"))))
    assert states(exclusion.mask(again)) == {"s-1": Lifecycle.DRAINING, "s-2": Lifecycle.UP}
    gone = ListNews([Listed("s-1", 1, "plain", "a", Lifecycle.REMOVED)], whole=False)
    assert states(exclusion.mask(gone)) == {"s-1": Lifecycle.REMOVED}
    assert states(exclusion.include("s-1")) == {"s-1": Lifecycle.UP}, "one call back ends it"
    with pytest.raises(KeyError):
        exclusion.exclude("s-9")


def test_the_set_kept_by_one_process_is_heard_by_the_other() -> None:
    machines = MachineList()
    machines.apply(ListUpdate(1, True, (listed("s-1"), listed("s-2"))))
    old, new = Exclusion(machines), Exclusion(machines)
    old.exclude("s-2")
    assert [states(news) for news in new.load(old.dump())] == [{"s-2": Lifecycle.DRAINING}]
    assert new.load(old.dump()) == [], "nothing changed"
    assert new.load(b"{spoilt") == [] and new.out == {"s-2"}
    assert new.known("s-2")


async def call(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await reader.read()
    finally:
        writer.close()


def test_the_listener_answers_while_callers_hold_connections_without_a_whole_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener_module, "MOST_OPEN", 4)

    async def story() -> None:
        telemetry = Telemetry()
        listener = AdminListener(Ops(), telemetry)
        port = int((await listener.open("127.0.0.1:0")).split(":")[1])
        held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(6)]
        for _, writer in held:
            writer.write(b"GET /api/re")
        loop = asyncio.get_running_loop()
        began = loop.time()
        got = await call(port, b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert got.startswith(b"HTTP/1.1 200") and got.endswith(b"ready\n")
        assert loop.time() - began < listener_module.CALL_S
        late = await held[-1][0].read()
        assert late.startswith(b"HTTP/1.1 408"), "a call that never comes whole is told so"
        bad = await call(port, b"PUT /api/exclude HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ns-9")
        assert bad.startswith(b"HTTP/1.1 404") and b"never listed" in bad
        assert (await call(port, b"BREW\r\n\r\n")).startswith(b"HTTP/1.1 400")
        assert telemetry.counters["admin.bad_request"] >= 3 and telemetry.counters["admin.crowded_out"] >= 2
        for _, writer in held:
            writer.close()
        listener.close()

    asyncio.run(asyncio.wait_for(story(), 10.0))
