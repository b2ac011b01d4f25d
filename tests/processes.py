"""Lists the tests that start processes, and of these the tests that need the machine to themselves, in two tables.

An entry is a file, or one test of a file, with the reason.  The tests of `EXCLUSIVE` check the real timing of several
senders, so `make test` runs them one at a time after all others, which run in parallel.  `make check` runs neither.
"""

from __future__ import annotations

import pytest

PROCESSES = {
    "test_batch_delivery::test_batch_delivery_by_a_real_process": "a sender that makes batch calls",
    "test_capture_restart::test_a_killed_sender_leaves_a_capture_that_replays": "a sender that is killed",
    "test_capture::test_a_sender_is_captured_and_replayed_by_commands": "the demo and the replay as commands",
    "test_cli": "commands, some of them ended by a signal",
    "test_config::test_process_with_invalid_settings_exits_with_status_2_and_one_line": "invalid settings",
    "test_connection_close::test_a_shutdown_rejects_a_partial_request_before_the_process_ends": "a shutdown",
    "test_emulator::test_one_seed_is_one_run_in_any_process": "the emulator under another hash seed",
    "test_etcd_scenarios": "a sender and the fake etcd",
    "test_extras": "commands without an optional library",
    "test_project_consistency": "Python processes that import modules, and the protobuf compiler",
    "test_key_order::test_processes_of_a_sender_send_messages_of_a_key_in_the_order_of_their_acceptance": "two",
    "test_log_output::test_sender_whose_log_nobody_reads_serves_on": "a sender whose log is not read",
    "test_long_lists": "a sender with a long endpoint list",
    "test_memory_pressure": "a sender under pressing clients",
    "test_process_signals::test_sigusr1_or_sighup_during_the_exit_leaves_the_exit_code_0": "a sender that ends",
    "test_repeated_responses::test_senders_keep_all_rules_while_endpoints_repeat_responses": "senders",
    "test_repeated_ids": "up to three processes of one sender",
    "test_restarted_endpoints": "a sender and endpoints that are restarted",
    "test_resource_exhaustion": "a sender that runs out of file descriptors",
    "test_scenarios": "a sender and fake destinations",
    "test_scenarios_discovery": "a sender and fake sources of its endpoint list",
    "test_bench_sites": "the command that builds sites",
    "test_soak::test_a_short_seed_keeps_all_rules": "senders with random faults",
    "test_soak::test_a_planted_fault_replaces_parts_of_the_sender_that_exist": "Python processes",
    "test_upgrade_lists::test_no_process_sends_by_an_older_list_than_another_was_told": "two of one sender",
    "test_version_comparison::test_an_invalid_version_is_rejected": "git",
    "test_simulator": "processes with different hash seeds",
}
EXCLUSIVE = {
    "test_fair_service": "a sender under pressing clients, of which another client gets its answers in time",
    "test_replicated_config_processes": "several senders that vote, with faults between them",
    "test_fleet_processes": "several senders that detect the failure of others in time",
    "test_scenario_runner": "emulator scenarios with real processes",
    "test_shutdown_under_load": "senders killed and stopped under load",
    "test_outage_probing_processes": "several senders that take turns to probe a destination",
}
TABLES = {"processes": PROCESSES, "exclusive": EXCLUSIVE}


class Marks:
    """Plugin that marks the tests of the tables; `register` adds it to a run."""

    @pytest.hookimpl(tryfirst=True)  # before -m selects by the marks
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Mark the tests that are listed in the tables."""
        for item in items:
            names = {item.path.stem, f"{item.path.stem}::{getattr(item, 'originalname', item.name)}"}
            for mark, table in TABLES.items():
                if names & table.keys():
                    item.add_marker(mark)


def register(config: pytest.Config) -> None:
    """Register the markers, and the plugin that sets them."""
    config.addinivalue_line("markers", "processes: starts processes; tests/processes.py says which")
    config.addinivalue_line("markers", "exclusive: needs the machine to itself; tests/processes.py says why")
    config.pluginmanager.register(Marks(), "marks-by-table")
