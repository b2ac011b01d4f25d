"""Sends attempts to endpoints over HTTP: connection pool, single and batch requests, interpretation of responses."""
