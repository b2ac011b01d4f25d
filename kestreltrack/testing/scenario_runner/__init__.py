"""Runs emulator scenarios with real sender processes: destinations, clients and faults use sockets."""
