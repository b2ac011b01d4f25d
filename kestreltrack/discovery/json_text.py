"""Finds the parts of a JSON text without decoding it: decoded, a long one takes many times its size in memory."""

from __future__ import annotations

import re

# A string, or a bracket outside of strings; a string that the text does not end has the group `open`.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+(?:"|(?P<open>\\?\Z))|[{}\[\]]', re.DOTALL)
_OBJECT_BEGINS = re.compile(rb"\s*:\s*(?=\{)")


def split_off_member(text: bytes, name: bytes) -> tuple[bytes, bytes]:
    """Return a JSON object without the value of its member `name`, and that value.

    The value is empty, and the object unchanged, if there is no such member or its value is not an object.
    """
    depth = 0
    start = -1
    for token in TOKEN.finditer(text):
        match token.group():
            case b"{" | b"[":
                depth += 1
            case b"}" | b"]":
                depth -= 1
                if depth == 1 and start >= 0:
                    return text[:start] + b"null" + text[token.end() :], text[start : token.end()]
            case string if depth == 1 and start < 0 and string == b'"%s"' % name:
                if begins := _OBJECT_BEGINS.match(text, token.end()):
                    start = begins.end()
    return text, b""
