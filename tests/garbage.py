"""Pytest plugin that collects garbage after each test, outside of any other code.

A connection that a test leaves open is closed when it is collected.  If its event loop is closed by then, that
raises an exception, which pytest reports with `ast.parse`.  In CPython 3.11 a second `ast.parse` inside a first one
fails with SystemError, so a collection at any other time could fail whatever test or report parses source just then.
The report also imports `tracemalloc`, which fails while an import of it is under way: it is imported here, before.
"""

from __future__ import annotations

import gc
import tracemalloc  # noqa: F401
from collections.abc import Iterator

import pytest


class GarbageCollection:
    """Plugin that collects garbage after each test; what exists after the import of all tests is left out."""

    @pytest.hookimpl(trylast=True)
    def pytest_collection_finish(self) -> None:
        """Leave the objects of the imported modules out of later collections, which take 1 ms then."""
        gc.collect()
        gc.freeze()

    @pytest.fixture(autouse=True)
    def _collected_garbage(self) -> Iterator[None]:
        """Collect what the test left, before the next one begins."""
        yield
        gc.collect()


def register(config: pytest.Config) -> None:
    """Add the plugin to a run."""
    config.pluginmanager.register(GarbageCollection(), "garbage-collection")
