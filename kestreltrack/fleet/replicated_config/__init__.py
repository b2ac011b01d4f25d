"""What all senders of a fleet act on, in versions, with a bound on how long two may contradict (docs/agreed.md)."""
