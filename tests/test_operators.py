"""The operators' calls: what each answers, exclusion by hand over discovery's news, the listener's bounds."""

from __future__ import annotations

import asyncio

import pytest

from kestreltrack.admin import http_listener as listener_module
from kestreltrack.admin.http_api import handle_request
from kestreltrack.admin.http_listener import AdminListener
from kestreltrack.decision import EndpointEntry, EndpointLifecycle, EndpointsUpdated
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.exclusions import EndpointExclusions
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.telemetry import Telemetry


class Ops:
    """Remembers what it was asked; knows endpoints s-1 and s-2."""

    def __init__(self) -> None:
        self.out, self.evacuated = set[str](), False

    def ready(self) -> bool:
        return not self.evacuated

    def metrics(self) -> str:
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
    got, text = handle_request(ops, method, path, body)
    assert got == status and text.endswith("\n")
    assert ops.out == ({"s-1"} if status == 200 and path == "/api/exclude" else set())


def test_evacuate_and_rejoin_turn_readiness() -> None:
    ops = Ops()
    assert handle_request(ops, "PUT", "/api/evacuate", b"")[0] == 200
    assert handle_request(ops, "GET", "/api/ready", b"")[0] == 503
    assert handle_request(ops, "PUT", "/api/rejoin", b"")[0] == 200
    assert handle_request(ops, "GET", "/api/ready", b"")[0] == 200


def listed(uid: str, state: EndpointLifecycle = EndpointLifecycle.UP) -> ListedEndpoint:
    return ListedEndpoint(uid, "127.0.0.1:9", 1, "plain", "a", state)


def states(news: EndpointsUpdated | None) -> dict[str, EndpointLifecycle]:
    assert news is not None
    return {entry.endpoint: entry.lifecycle for entry in news.entries}


def test_an_endpoint_out_by_hand_stays_draining_whatever_discovery_says_until_it_is_let_in() -> None:
    machines = EndpointList()
    exclusion = EndpointExclusions(machines)
    news = machines.apply(EndpointListUpdate(1, True, (listed("s-1"), listed("s-2"))))
    assert states(exclusion.apply_to(news)) == {"s-1": EndpointLifecycle.UP, "s-2": EndpointLifecycle.UP}
    assert states(exclusion.exclude("s-1")) == {"s-1": EndpointLifecycle.DRAINING}
    assert states(exclusion.exclude("s-1")) == {"s-1": EndpointLifecycle.DRAINING}, "once more does no harm"
    again = machines.apply(EndpointListUpdate(2, True, (listed("s-1"), listed("s-2"))))
    assert states(exclusion.apply_to(again)) == {
        "s-1": EndpointLifecycle.DRAINING,
        "s-2": EndpointLifecycle.UP,
    }
    gone = EndpointsUpdated(
        [EndpointEntry("s-1", 1, "plain", "a", EndpointLifecycle.REMOVED)], complete=False
    )
    assert states(exclusion.apply_to(gone)) == {"s-1": EndpointLifecycle.REMOVED}
    assert states(exclusion.include("s-1")) == {"s-1": EndpointLifecycle.UP}, "one call back ends it"
    with pytest.raises(KeyError):
        exclusion.exclude("s-9")


def test_the_set_kept_by_one_process_is_heard_by_the_other() -> None:
    machines = EndpointList()
    machines.apply(EndpointListUpdate(1, True, (listed("s-1"), listed("s-2"))))
    old, new = EndpointExclusions(machines), EndpointExclusions(machines)
    old.exclude("s-2")
    assert [states(news) for news in new.load(old.dump())] == [{"s-2": EndpointLifecycle.DRAINING}]
    assert new.load(old.dump()) == [], "nothing changed"
    assert new.load(b"{spoilt") == [] and new.excluded == {"s-2"}
    assert new.is_known("s-2")


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
    monkeypatch.setattr(listener_module, "MAX_CONNECTIONS", 4)

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
        assert loop.time() - began < listener_module.REQUEST_TIMEOUT_S
        late = await held[-1][0].read()
        assert late.startswith(b"HTTP/1.1 408"), "a call that never comes whole is told so"
        bad = await call(port, b"PUT /api/exclude HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ns-9")
        assert bad.startswith(b"HTTP/1.1 404") and b"never listed" in bad
        assert (await call(port, b"BREW\r\n\r\n")).startswith(b"HTTP/1.1 400")
        assert telemetry.counters["admin.bad_request"] >= 3 and telemetry.counters["admin.evicted"] >= 2
        for _, writer in held:
            writer.close()
        listener.close()

    asyncio.run(asyncio.wait_for(story(), 10.0))
