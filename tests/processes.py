"""Which tests start processes, and which of these need the machine to themselves, in two tables.

An entry is a file, or one test of a file, with the reason.  The latter hold real times of several senders against a
clock, so `make test` runs them one after the other when all others, spread over the cores, have ended.  `make check`
leaves both out.
"""

from __future__ import annotations

import pytest

PROCESSES = {
    "test_batch_delivery::test_batch_delivery_by_a_real_process": "a sender that calls for several messages at once",
    "test_capture_restart::test_a_killed_sender_leaves_a_capture_that_replays": "a sender that is killed",
    "test_capture::test_a_sender_is_captured_and_replayed_by_commands": "the demo and the replay as commands",
    "test_cli": "commands, some of them ended by a signal",
    "test_config::test_process_with_invalid_settings_exits_with_status_2_and_one_line": "a start that fails",
    "test_connection_close::test_a_shutdown_rejects_a_partial_request_before_the_process_ends": "a stop",
    "test_emulator::test_one_seed_is_one_run_in_any_process": "the emulator under another hash seed",
    "test_etcd_scenarios": "a sender and etcd's stand-in",
    "test_extras": "commands that lack a library",
    "test_pins": "imports, and the compiler of messages",
    "test_process_signals::test_sigusr1_or_sighup_during_the_exit_leaves_the_exit_code_0": "a sender that ends",
    "test_resource_exhaustion": "a sender that is short of descriptors",
    "test_scenarios": "a sender among partners; each step waits for what it expects",
    "test_scenarios_discovery": "a sender and the source of its endpoint list",
    "test_simulator": "the simulator's adapter as a process",
    "test_sites": "the builder of sites",
    "test_soak::test_a_short_seed_keeps_all_rules": "senders among faults drawn from a seed",
    "test_version_comparison::test_an_invalid_version_is_rejected": "git",
}
EXCLUSIVE = {
    "test_replicated_config_processes": "several senders that vote, with faults between them",
    "test_fleet_processes": "several senders that hear of each other's ends in time",
    "test_lab_play": "scenarios of the emulator by real processes",
    "test_shutdown_under_load": "senders killed and stopped under load",
    "test_outage_probing_processes": "several senders that take turns to probe a destination",
}
TABLES = {"processes": PROCESSES, "exclusive": EXCLUSIVE}


class Marks:
    """The plugin; `register` puts it into a run."""

    @pytest.hookimpl(tryfirst=True)  # before -m selects by the marks
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the tests that the tables name."""
        for item in items:
            names = {item.path.stem, f"{item.path.stem}::{getattr(item, 'originalname', item.name)}"}
            for mark, table in TABLES.items():
                if names & table.keys():
                    item.add_marker(mark)


def register(config: pytest.Config) -> None:
    """Let the tables hold in this run."""
    config.addinivalue_line("markers", "processes: starts processes; tests/processes.py says which")
    config.addinivalue_line("markers", "exclusive: needs the machine to itself; tests/processes.py says why")
    config.pluginmanager.register(Marks(), "marks-by-table")
