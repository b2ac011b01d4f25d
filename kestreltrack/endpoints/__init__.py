"""HTTP to endpoints: connections (`connection_pool.py`), attempts, and what responses mean (`responses.py`)."""
