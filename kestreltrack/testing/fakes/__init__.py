"""Stand-ins for what the sender meets: etcd (`etcd`), the platform and its execute nodes (`partners.py`).

For tests, benchmarks and `kestreltrack demo`, on loopback; a sender never imports them.
"""
