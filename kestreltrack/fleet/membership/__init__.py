"""Membership of the fleet: which other senders are running, found out by SWIM with the Lifeguard extensions.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002); A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2018).

The protocol performs no I/O: `swim.py` takes datagrams and the time, and returns datagrams. Its parts are

- `wire.py`: the datagrams;
- `member_table.py`: what is known about each member, and suspicions;
- `dissemination.py` and `packet_sender.py`: updates that travel along with packets;
- `failure_detector.py` and `local_health.py`: direct and indirect probes;
- `state_sync.py`: transfer of the complete member list, in pages.

`service.py` runs it on a UDP socket. `member_count.py` is the number of senders that share a limit.
"""
