"""Coordinated probing of destinations that are down or recovering, across all senders of the fleet.

While a destination is down, the senders take turns probing it.  Once it is up again, they share its slow-start
budget through quota leases.  For each destination one member is the coordinator; `coordinator_of` selects it by
rendezvous hashing.  `participant.py` implements the sender's role and `coordinator.py` the coordinator's; neither
performs I/O.
"""
