"""Adapter of the decision module to the simulator: line codec (`wire.py`) and host of many instances (`host.py`)."""
