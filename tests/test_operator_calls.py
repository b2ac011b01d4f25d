"""The HTTP API for operators: responses, exclusions combined with discovery updates, and the listener's bounds."""

from __future__ import annotations

import asyncio

import pytest

from kestreltrack.admin import http_listener
from kestreltrack.admin.http_api import handle_request
from kestreltrack.admin.http_listener import AdminListener
from kestreltrack.decision import EndpointEntry, EndpointLifecycle, EndpointsUpdated
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.exclusions import EndpointExclusions
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.telemetry import Telemetry


class FakeOperations:
    """Keeps the exclusions and whether it is evacuated; knows the endpoints s-1 and s-2."""

    def __init__(self) -> None:
        self.excluded = set[str]()
        self.evacuated = False

    def ready(self) -> bool:
        return not self.evacuated

    def warnings(self) -> list[str]:
        return []

    def metrics(self) -> str:
        return "app.outstanding:3|g\n"

    def exclude(self, uid: str) -> None:
        if uid not in ("s-1", "s-2"):
            raise KeyError(uid)
        self.excluded.add(uid)

    def include(self, uid: str) -> None:
        if uid not in ("s-1", "s-2"):
            raise KeyError(uid)
        self.excluded.discard(uid)

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
def test_each_request_gets_its_status_and_an_invalid_one_changes_nothing(
    method: str, path: str, body: bytes, status: int
) -> None:
    operations = FakeOperations()
    response_status, text = handle_request(operations, method, path, body)
    assert response_status == status and text.endswith("\n")
    assert operations.excluded == ({"s-1"} if status == 200 and path == "/api/exclude" else set())


def test_evacuate_ends_readiness_until_rejoin() -> None:
    operations = FakeOperations()
    assert handle_request(operations, "PUT", "/api/evacuate", b"")[0] == 200
    assert handle_request(operations, "GET", "/api/ready", b"")[0] == 503
    assert handle_request(operations, "PUT", "/api/rejoin", b"")[0] == 200
    assert handle_request(operations, "GET", "/api/ready", b"")[0] == 200


def listed(uid: str, state: EndpointLifecycle = EndpointLifecycle.UP) -> ListedEndpoint:
    return ListedEndpoint(uid, "127.0.0.1:9", 1, "plain", "a", state)


def states(update: EndpointsUpdated | None) -> dict[str, EndpointLifecycle]:
    assert update is not None
    return {entry.endpoint: entry.lifecycle for entry in update.entries}


def test_an_excluded_endpoint_is_draining_until_included_unless_discovery_removes_it() -> None:
    endpoint_list = EndpointList()
    exclusions = EndpointExclusions(endpoint_list)
    update = endpoint_list.apply(EndpointListUpdate(1, True, (listed("s-1"), listed("s-2"))))
    assert states(exclusions.apply_to(update)) == {"s-1": EndpointLifecycle.UP, "s-2": EndpointLifecycle.UP}
    assert states(exclusions.exclude("s-1")) == {"s-1": EndpointLifecycle.DRAINING}
    assert states(exclusions.exclude("s-1")) == {"s-1": EndpointLifecycle.DRAINING}, "exclude is idempotent"
    second_update = endpoint_list.apply(EndpointListUpdate(2, True, (listed("s-1"), listed("s-2"))))
    assert states(exclusions.apply_to(second_update)) == {
        "s-1": EndpointLifecycle.DRAINING,
        "s-2": EndpointLifecycle.UP,
    }
    removal = EndpointsUpdated(
        [EndpointEntry("s-1", 1, "plain", "a", EndpointLifecycle.REMOVED)], complete=False
    )
    assert states(exclusions.apply_to(removal)) == {"s-1": EndpointLifecycle.REMOVED}
    assert states(exclusions.include("s-1")) == {"s-1": EndpointLifecycle.UP}, (
        "one include undoes two excludes"
    )
    with pytest.raises(KeyError):
        exclusions.exclude("s-9")


def test_exclusions_dumped_by_one_process_are_loaded_by_another() -> None:
    endpoint_list = EndpointList()
    endpoint_list.apply(EndpointListUpdate(1, True, (listed("s-1"), listed("s-2"))))
    old, new = EndpointExclusions(endpoint_list), EndpointExclusions(endpoint_list)
    old.exclude("s-2")
    assert [states(update) for update in new.load(old.dump())] == [{"s-2": EndpointLifecycle.DRAINING}]
    assert new.load(old.dump()) == [], "no update without a change"
    assert new.load(b"{invalid") == [] and new.excluded == {"s-2"}
    assert new.is_known("s-2")


async def send_request(port: int, data: bytes) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        return await reader.read()
    finally:
        writer.close()


def test_the_listener_answers_while_others_hold_connections_with_partial_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_listener, "MAX_CONNECTIONS", 4)

    async def scenario() -> None:
        telemetry = Telemetry()
        listener = AdminListener(FakeOperations(), telemetry)
        port = int((await listener.open("127.0.0.1:0")).split(":")[1])
        open_connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(6)]
        for _, writer in open_connections:
            writer.write(b"GET /api/re")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        ready = await send_request(port, b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert ready.startswith(b"HTTP/1.1 200") and ready.endswith(b"ready\n")
        assert loop.time() - started_s < http_listener.REQUEST_TIMEOUT_S
        incomplete = await open_connections[-1][0].read()
        assert incomplete.startswith(b"HTTP/1.1 408"), "an incomplete request gets a response"
        unknown = await send_request(
            port, b"PUT /api/exclude HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ns-9"
        )
        assert unknown.startswith(b"HTTP/1.1 404") and b"never listed" in unknown
        assert (await send_request(port, b"BREW\r\n\r\n")).startswith(b"HTTP/1.1 400")
        assert telemetry.counters["admin.bad_request"] >= 3 and telemetry.counters["admin.evicted"] >= 2
        for _, writer in open_connections:
            writer.close()
        listener.close()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))
