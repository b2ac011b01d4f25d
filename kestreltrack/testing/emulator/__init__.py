"""Simulations of whole deployments in virtual time, which run the sender's own code."""
