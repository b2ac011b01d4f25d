"""Service discovery: the endpoint list and its sources."""

from kestreltrack.discovery.endpoint_list import EndpointList, to_endpoint_entries

__all__ = [
    "EndpointList",
    "to_endpoint_entries",
]
