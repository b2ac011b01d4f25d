"""Scenarios of the endpoint list on sockets against the real process; `scenario.py` explains the language."""

from __future__ import annotations

from pathlib import Path

from test_scenarios import play


def test_a_source_that_moves_while_its_watch_is_silent_is_polled_at_once(tmp_path: Path) -> None:
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
    play(tmp_path, text, balancers=200)  # a watch of 20 s: longer than anything here waits


def test_a_pushed_list_is_followed_from_the_start_and_requested_again(tmp_path: Path) -> None:
    # Nobody asks for a pushed list, so the sender does: at its start, and after each call that the agent leaves open.
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
    play(tmp_path, text, discovery="push")


def test_what_an_agent_has_counts_for_the_first_attempt_of_a_new_process(tmp_path: Path) -> None:
    # The list as last kept says otherwise: what is held goes by the agent's.
    text = """
        d send draining n2
        sender expect endpoint_list revision=2
        s1 send SUBMIT m1 c=keyed,d=20000,k=77,dest=1
        s1 expect +OK
        n1 expect m1
        sender send KILL
        d send up n2
        d send draining n1
        d send late 100
        sender wait
        n2 expect m1 idempotency-key=77
        n2 send 200
        sender expect end id=m1 how=ok"""
    play(tmp_path, text, discovery="push")
