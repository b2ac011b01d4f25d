"""A stand-in for etcd's v3 API over real gRPC: one history (`store.py`), members with faults (`members.py`),
the services (`services.py`, `watches.py`), both together (`cluster.py`), a process of its own with faults by
script (`process.py`).
"""
