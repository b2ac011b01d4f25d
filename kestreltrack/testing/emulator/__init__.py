"""Simulations of whole deployments in virtual time, around the sender's own code."""
