"""Coordinated probing of destinations that are down or recovering, by all senders of the fleet together.

While a destination is down, the senders take turns to probe it; after its return they share its slow-start budget by
quota leases.  One member, the coordinator, decides for each destination: `coordinator_of` selects it by rendezvous
hashing.  `participant.py` is a sender's side, `coordinator.py` the coordinator's; neither performs I/O.
"""
