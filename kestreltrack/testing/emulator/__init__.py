"""A world in simulated time around the sender's own code: `loop.py` is asyncio on a driven clock."""
