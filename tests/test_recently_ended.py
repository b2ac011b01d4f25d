"""The memory of messages that ended a short time ago."""

from __future__ import annotations

from kestreltrack.sender.recently_ended import MAX_IDS, MEMORY_MS, RecentlyEnded


def test_an_ended_message_is_remembered_for_a_limited_time() -> None:
    ended = RecentlyEnded()
    ended.add("m1", 5.0)
    assert ended.contains("m1", 5.0 + MEMORY_MS) and not ended.contains("m2", 5.0)
    assert not ended.contains("m1", 6.0 + MEMORY_MS)


def test_at_the_limit_the_message_that_ended_first_is_forgotten() -> None:
    ended = RecentlyEnded()
    for number in range(MAX_IDS + 1):
        ended.add(f"m{number}", 0.0)
    assert not ended.contains("m0", 0.0) and ended.contains("m1", 0.0)
