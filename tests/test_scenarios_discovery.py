"""Scenarios of a real sender process and its endpoint list; `scenario.py` describes their language."""

from __future__ import annotations

from pathlib import Path

from test_scenarios import run_scenario


def test_a_new_discovery_address_is_polled_at_once_while_the_old_watch_is_silent(tmp_path: Path) -> None:
    text = """
        d send silence
        sender reload d2
        sender expect endpoint_list complete=True
        d2 send draining n1
        sender expect endpoint_list complete=False
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=1
        s1 expect +OK
        n2 expect m1
        n2 send 500
        d2 expect m1 given_up"""
    # With 200 senders a watch lasts 20 s, longer than the scenario waits for anything.
    run_scenario(tmp_path, text, balancers=200)


def test_a_pushed_list_is_requested_at_the_start_and_after_each_unanswered_call(tmp_path: Path) -> None:
    # Nothing else polls a pushed list, so the sender requests it itself: at its start, and after each call that the
    # agent does not answer.
    text = """
        d send silence
        sender expect discovery.failed
        d send silence
        sender expect discovery.failed
        d send draining n1
        sender expect endpoint_list revision=2
        s1 send SUBMIT m1 c=unsafe,d=20000,dest=1
        s1 expect +OK
        n2 expect m1
        n2 send 200
        sender expect end how=ok"""
    run_scenario(tmp_path, text, discovery="push")


def test_the_first_attempt_after_a_restart_follows_the_list_of_the_agent(tmp_path: Path) -> None:
    # The persisted list still has the endpoints as they were before the restart.  Recovered messages must go by the
    # agent's list, although it takes 100 ms to arrive.
    text = """
        d send draining n2
        sender expect endpoint_list revision=2
        s1 send SUBMIT m1 c=keyed,d=20000,k=77,dest=1
        s1 expect +OK
        n1 expect m1
        sender send KILL
        d send up n2
        d send draining n1
        d send list_delay 100
        sender restart
        n2 expect m1 idempotency-key=77
        n2 send 200
        sender expect end id=m1 how=ok"""
    run_scenario(tmp_path, text, discovery="push")
