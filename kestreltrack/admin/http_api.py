"""What the operators' calls mean: a method, a path and a body in, a status and a plain text out.  No I/O.

GET /api/ready        200 while this process takes clients, else 503
GET /api/telemetry    200, the figures, one ``name:value|c`` or ``|g`` a line
PUT /api/exclude ID   200 once nothing more goes to endpoint ID; 404 for an id never listed
PUT /api/include ID   200, endpoint ID may serve again; 404 for an id never listed
PUT /api/evacuate     200, the sender empties: PING says no, fresh clients go elsewhere
PUT /api/rejoin       200, back to work
"""

from __future__ import annotations

from typing import Protocol

MAX_BODY_BYTES = 1024  # bytes: an id of an endpoint is far shorter


class Operations(Protocol):
    """What a running sender does for its operators."""

    def ready(self) -> bool:
        """Whether this process takes clients now."""

    def metrics(self) -> str:
        """The figures in the operators' form."""

    def exclude(self, uid: str) -> None:
        """Send nothing more to `uid`; raises `KeyError` for an id never listed."""

    def include(self, uid: str) -> None:
        """Let `uid` serve again; raises `KeyError` for an id never listed."""

    def evacuate(self) -> None:
        """Send clients away; what is held is still delivered."""

    def rejoin(self) -> None:
        """Take clients again."""


ROUTES_WITHOUT_BODY = {
    ("GET", "/api/ready"),
    ("GET", "/api/telemetry"),
    ("PUT", "/api/evacuate"),
    ("PUT", "/api/rejoin"),
}
ROUTES_WITH_ENDPOINT_ID = {("PUT", "/api/exclude"), ("PUT", "/api/include")}
PATHS = {path for _, path in ROUTES_WITHOUT_BODY | ROUTES_WITH_ENDPOINT_ID}


def handle_request(operations: Operations, method: str, target: str, body: bytes) -> tuple[int, str]:
    """Status and text for one call; a 4xx names what is wrong and changes nothing."""
    path = target.split("?", 1)[0]
    if path not in PATHS:
        return 404, f"no such call: {path}; there are {', '.join(sorted(PATHS))}\n"
    if (method, path) not in ROUTES_WITHOUT_BODY | ROUTES_WITH_ENDPOINT_ID:
        allowed = next(m for m, p in ROUTES_WITHOUT_BODY | ROUTES_WITH_ENDPOINT_ID if p == path)
        return 405, f"{path} is called with {allowed}\n"
    if path == "/api/ready":
        return (200, "ready\n") if operations.ready() else (503, "not taking clients\n")
    if path == "/api/telemetry":
        return 200, operations.metrics()
    if path in ("/api/evacuate", "/api/rejoin"):
        (operations.evacuate if path == "/api/evacuate" else operations.rejoin)()
        return 200, path.removeprefix("/api/") + "\n"
    try:
        uid = body.decode().strip()
    except UnicodeDecodeError:
        return 400, "the body is not text: it is to hold the id of an endpoint\n"
    if not uid or any(c.isspace() for c in uid):
        return 400, "the body is to hold the id of one endpoint\n"
    try:
        (operations.exclude if path == "/api/exclude" else operations.include)(uid)
    except KeyError:
        return 404, f"endpoint {uid} was never listed\n"
    return 200, f"{path.removeprefix('/api/')}d {uid}\n"
