"""Fakes of etcd, the platform, destinations and clients, on loopback.

Used by tests, benchmarks and `kestreltrack demo`; the sender itself never imports them.
"""
