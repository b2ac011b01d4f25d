"""Test harness that runs several senders and injects faults on their links and processes."""
