"""Sends a command to a running sender over its admin socket."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import orjson

from kestreltrack.admin.errors import InvalidResponseError

# For each socket operation; a sender answers within one iteration of its event loop unless it has stalled.
TIMEOUT_S = 10.0
READ_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 1024 * 1024


def send_command(socket_path: Path, command: str, argument: str = "") -> dict[str, Any]:
    """Send one command and return the sender's response.

    Raises:
        OSError: No sender listens on the socket, or it does not respond in time.
        InvalidResponseError: The response is incomplete, too long or not a JSON object.
    """
    request = {"command": command}
    if argument:
        request["argument"] = argument
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as connection:
        connection.settimeout(TIMEOUT_S)
        connection.connect(str(socket_path))
        connection.sendall(orjson.dumps(request) + b"\n")
        line = _read_line(connection)
    return _parse_response(line)


def _read_line(connection: socket.socket) -> bytes:
    data = b""
    while not data.endswith(b"\n"):
        chunk = connection.recv(READ_BYTES)
        if not chunk or len(data) > MAX_RESPONSE_BYTES:
            raise InvalidResponseError("the sender's response is incomplete or too long")
        data += chunk
    return data


def _parse_response(line: bytes) -> dict[str, Any]:
    try:
        response = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise InvalidResponseError(str(error)) from error
    if not isinstance(response, dict):
        raise InvalidResponseError("the sender's response is not a JSON object")
    return response
