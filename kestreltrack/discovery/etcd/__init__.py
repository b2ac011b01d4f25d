"""The machine list kept in etcd: its layout (`layout.py`), every choice of how to follow it (`pursuit.py`, no I/O),
the connections (`client.py`), the list source (`source.py`) and the senders' register (`register.py`).

Design, ways weighed and figures: `docs/etcd.md`.
"""
