"""The submitters' front: RESP2 on a socket (`front.py`) and its grammar (`resp.py`)."""
