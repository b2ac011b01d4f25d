"""The sub-commands of `kestreltrack`: `run` and `check` (`app.py`), `directory`, `fake`, `demo`.

Exit codes: 0 good, 1 a check failed or a call to another system did, 2 bad use or configuration.
"""
