"""The HTTP API for operators: maps a method, a path and a body to a status and a plain text.  No I/O.

GET /api/ready        200 while this process accepts clients, else 503
GET /api/telemetry    200, the metrics in statsd format: one ``name:value|c`` or ``name:value|g`` per line
PUT /api/exclude ID   200 once nothing more is sent to endpoint ID; 404 if ID was never listed
PUT /api/include ID   200, endpoint ID may be used again; 404 if ID was never listed
PUT /api/evacuate     200, no more clients are accepted: PING fails, so that new clients connect to another sender
PUT /api/rejoin       200, clients are accepted again

The ID is the body of the request.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

# Well above the length of an endpoint id.
MAX_BODY_BYTES = 1024


class Operations(Protocol):
    """The operations of a running sender that operators may request."""

    def ready(self) -> bool:
        """Return whether this process accepts clients now."""

    def warnings(self) -> list[str]:
        """Return what an operator should know about the state of this process, a line each."""

    def metrics(self) -> str:
        """Return the metrics in statsd format."""

    def exclude(self, uid: str) -> None:
        """Stop sending to an endpoint; raises `KeyError` for an id that was never listed."""

    def include(self, uid: str) -> None:
        """Allow sending to an endpoint again; raises `KeyError` for an id that was never listed."""

    def evacuate(self) -> None:
        """Stop accepting clients; messages that were already accepted are still delivered."""

    def rejoin(self) -> None:
        """Accept clients again."""


class Response(NamedTuple):
    """An HTTP status, and a plain text that ends with a line feed."""

    status: int
    text: str


METHOD_BY_PATH = {
    "/api/ready": "GET",
    "/api/telemetry": "GET",
    "/api/evacuate": "PUT",
    "/api/rejoin": "PUT",
    "/api/exclude": "PUT",
    "/api/include": "PUT",
}


def handle_request(operations: Operations, method: str, target: str, body: bytes) -> Response:
    """Carry out one request; one that gets a 4xx response changes nothing."""
    path = target.split("?", 1)[0]
    allowed_method = METHOD_BY_PATH.get(path)
    if allowed_method is None:
        return Response(404, f"unknown path {path}; known paths: {', '.join(sorted(METHOD_BY_PATH))}\n")
    if method != allowed_method:
        return Response(405, f"{path} requires the method {allowed_method}\n")
    return _carry_out(operations, path, body)


def _carry_out(operations: Operations, path: str, body: bytes) -> Response:
    match path:
        case "/api/ready":
            return _report_readiness(operations)
        case "/api/telemetry":
            return Response(200, operations.metrics())
        case "/api/evacuate":
            operations.evacuate()
            return Response(200, "evacuate\n")
        case "/api/rejoin":
            operations.rejoin()
            return Response(200, "rejoin\n")
        case _:
            return _change_exclusion(operations, path, body)


def _report_readiness(operations: Operations) -> Response:
    status, text = (200, "ready") if operations.ready() else (503, "not taking clients")
    return Response(status, "".join(f"{line}\n" for line in (text, *operations.warnings())))


def _change_exclusion(operations: Operations, path: str, body: bytes) -> Response:
    """Exclude or include the endpoint whose id is the body."""
    try:
        uid = body.decode().strip()
    except UnicodeDecodeError:
        return Response(400, "the body is not UTF-8: expected the id of an endpoint\n")
    if not uid or any(character.isspace() for character in uid):
        return Response(400, "invalid body: expected the id of one endpoint\n")
    try:
        if path == "/api/exclude":
            operations.exclude(uid)
        else:
            operations.include(uid)
    except KeyError:
        return Response(404, f"endpoint {uid} was never listed\n")
    return Response(200, f"{path.removeprefix('/api/')}d {uid}\n")
