"""Fleet membership: detects which other senders are running, by SWIM with the Lifeguard extensions.

Sources: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002); A. Dadgar, J. Phillips, J. Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (2018).

The protocol performs no I/O: `swim.py` takes datagrams and the time, and returns datagrams. It consists of

- `wire.py`: the format of the datagrams;
- `member_table.py`: the state of each known member, and suspicions;
- `dissemination.py` and `packet_sender.py`: updates that are piggybacked on packets;
- `failure_detector.py` and `local_health.py`: direct and indirect probes;
- `state_sync.py`: paged transfer of the complete member list.

`service.py` runs it on a UDP socket. `member_count.py` tracks the number of senders that share a limit.
"""
