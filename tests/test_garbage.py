"""Garbage that a test leaves is collected before the next test, not within it."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]
TESTS = """
import gc, weakref

class Cycle:
    def __init__(self):
        self.itself = self

def test_first(request):
    gc.disable()
    request.config.leftover = weakref.ref(Cycle())
    assert request.config.leftover()

def test_second(request):
    assert request.config.leftover() is None
    gc.enable()
"""


def test_garbage_of_a_test_is_collected_before_the_next_test(pytester: pytest.Pytester) -> None:
    plugin = Path(__file__).parent / "garbage.py"
    pytester.makeconftest(plugin.read_text() + "\ndef pytest_configure(config):\n    register(config)\n")
    pytester.makepyfile(TESTS)
    pytester.runpytest_inprocess().assert_outcomes(passed=2)
