"""Clients and endpoints that make one sender hold memory or spend time, and the measurement of what it costs others.

`clients` are the clients, in a process of their own, `endpoints` the endpoints, `measurement` a real sender under one
kind of pressure beside an ordinary client, and `shared_state` several processes of one sender.
"""
