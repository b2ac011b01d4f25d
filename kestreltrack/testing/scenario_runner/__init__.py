"""A scenario of the emulator played by real processes: its partners, clients and faults, on sockets."""
