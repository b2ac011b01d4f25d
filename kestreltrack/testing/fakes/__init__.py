"""Fakes of the systems that the sender talks to: etcd, the platform, destinations and clients.

For tests, benchmarks and `kestreltrack demo`, on loopback; a sender never imports them.
"""
