"""Asks a running sender over its admin socket."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

import orjson

TIMEOUT_S = 10.0
MAX_RESPONSE_BYTES = 1024 * 1024


def send_command(socket_path: Path, command: str, argument: str = "") -> dict[str, Any]:
    """One command; raises `OSError`, or `ValueError` where the answer is none."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as opened:
        opened.settimeout(TIMEOUT_S)
        opened.connect(str(socket_path))
        order = {"command": command} | ({"argument": argument} if argument else {})
        opened.sendall(orjson.dumps(order) + b"\n")
        data = b""
        while not data.endswith(b"\n"):
            part = opened.recv(65536)
            if not part or len(data) > MAX_RESPONSE_BYTES:
                raise ValueError("the sender ended the connection without an answer")
            data += part
    answer = orjson.loads(data)
    if not isinstance(answer, dict):
        raise ValueError("the answer is not an object")
    return answer
