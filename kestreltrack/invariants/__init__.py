"""The rules of the brief and the protocol as checkers over a stream of what happened, apart from what decides."""
