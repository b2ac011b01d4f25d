"""Soak test of real senders with random settings, load and faults; checks only what crosses the sockets.

`plan` generates a run from its seed and `runner` executes it.  `clients`, `fakes` and `processes` provide the
environment and the senders, and record what they see as `observations`.  `rule_checks` checks the observations
against the rules, without access to the state of a sender, and `report` prints the result.  `planted_faults` gives
the senders faults of their own, to show that the checks find them.
"""
