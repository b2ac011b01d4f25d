"""Service discovery: the endpoint list, its sources, and how changes reach the decision module.

`http_source` polls the platform's HTTP service, `etcd` watches a directory in etcd; both implement
`kestreltrack.ports.EndpointSource`.
"""

from kestreltrack.discovery.endpoint_list import EndpointList, to_endpoint_entries

__all__ = [
    "EndpointList",
    "to_endpoint_entries",
]
