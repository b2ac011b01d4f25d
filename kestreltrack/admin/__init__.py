"""The admin socket: commands to a running sender, one JSON line each way, for whoever may open the socket's file."""
