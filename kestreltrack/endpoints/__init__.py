"""HTTP claims to execute nodes: the connection pool (`pool.py`) and what an answer means (`claims.py`)."""
