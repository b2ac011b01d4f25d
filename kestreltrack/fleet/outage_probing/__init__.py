"""Partners that are out or cold, tried and returned to by the fleet as one (`holder.py`, `referee.py`: no I/O)."""
