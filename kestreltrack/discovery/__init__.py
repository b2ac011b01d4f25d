"""Service discovery: the endpoint list, its sources, and the delivery of changes to the decision module.

`http_source` polls the platform's HTTP service, `etcd` watches a key prefix in etcd; both implement
`kestreltrack.ports.EndpointSource`.
"""

from kestreltrack.discovery.endpoint_list import EndpointList, to_endpoint_entries

__all__ = [
    "EndpointList",
    "to_endpoint_entries",
]
