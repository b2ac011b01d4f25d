"""The demo's script and result when a command fails; test_capture and test_cli run the complete demo."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from kestreltrack.testing.demo.environment import DemoEnvironment
from kestreltrack.testing.demo.script import DemoScript
from kestreltrack.testing.fakes.load_generator import LoadGenerator

DURATION_S = 0.05


@pytest.mark.parametrize("failing_command", ["drain", "undrain", ""])
def test_a_failed_directory_command_is_reported_in_the_result(failing_command: str, tmp_path: Path) -> None:
    """The demo continues after a failed command and reports the failure in its result.

    If the drain failed, returning the first drained endpoint to service raised an IndexError: the list was empty.
    """

    class Script(DemoScript):
        async def run_command(self, *arguments: str) -> dict[str, Any] | None:
            if arguments[0] == failing_command:
                self.failures.append(f"directory {arguments[0]}: refused")
                return None
            return {"revision": self.environment.publish_endpoint(self.environment.endpoints[0])}

    async def run_script() -> None:
        environment = DemoEnvironment(tmp_path)
        environment.load_generator = LoadGenerator("127.0.0.1:1", 1)
        script = Script(environment, lambda text: None)
        await script.run(DURATION_S)
        (drains,) = [row for row in script.summary_rows() if row.key == "drains"]
        assert drains.passed == (not failing_command) == (not script.failures)

    asyncio.run(run_script())
