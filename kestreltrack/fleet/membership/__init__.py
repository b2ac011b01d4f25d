"""Who else sends to the same partners: how many share a limit (`headcount.py`, no I/O)."""
