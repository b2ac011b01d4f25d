"""A list is decoded piece by piece as if it came at once, and of one that is too long a fair part is kept."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.endpoint_selection import EndpointSelection, fit_update, frees_room
from kestreltrack.discovery.json_format import EndpointFormatError, parse_endpoint
from kestreltrack.discovery.json_text import split_off_member
from kestreltrack.discovery.list_decoder import MAX_ENTRY_BYTES, EndpointListDecoder, decode_list
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint

REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=200)
ROW = {"uid": "n1", "endpoint": "127.0.0.1:1", "pod_group": 1, "model": "plain", "state": "up"}

names = st.text(min_size=1, max_size=6)
extras = st.dictionaries(
    st.sampled_from(["x", 'a"b', "targets", "[{"]), st.recursive(names, st.lists), max_size=2
)
rows = st.builds(
    lambda uid, dest, extra: extra | ROW | {"uid": uid, "pod_group": dest}, names, st.integers(0, 9), extras
)
documents = st.builds(
    lambda before, targets, after, indent: json.dumps(
        {"before": before, "rev": 7, "targets": targets, "all": True, "after": after}, indent=indent
    ).encode(),
    extras,
    st.lists(rows, max_size=6),
    extras,
    st.sampled_from([None, 1, 4]),
)


def decode_in_pieces(text: bytes, size: int, max_endpoints: float = float("inf")) -> EndpointListUpdate:
    decoder = EndpointListDecoder(max_endpoints)
    decoder.begin(200)
    for start in range(0, len(text), size):
        decoder.receive(text[start : start + size])
    return decoder.finish()


@REPRODUCIBLE
@given(document=documents, size=st.integers(1, 80))
def test_document_in_pieces_is_decoded_as_if_it_came_at_once(document: bytes, size: int) -> None:
    expected = tuple(map(parse_endpoint, json.loads(document)["targets"]))
    assert decode_in_pieces(document, size) == EndpointListUpdate(7, True, expected)


@pytest.mark.parametrize("size", [1, 7, 10_000])
@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"null",
        b"[]",
        b'{"rev":1,"all":true}',
        b'{"rev":1,"all":true,"targets":7}',
        b'{"rev":1,"all":true,"targets":[%s' % json.dumps(ROW).encode(),
        b'{"rev":1,"all":true,"targets":[%s]' % json.dumps(ROW).encode(),
        b'{"rev":1,"all":true,"targets":[%s,]}' % json.dumps(ROW).encode(),
        b'{"rev":1,"all":true,"targets":[%s %s]}' % (json.dumps(ROW).encode(), json.dumps(ROW).encode()),
        b'{"rev":1,"all":true,"targets":[,]}',
        b'{"rev":1,"all":true,"targets":["a"]}',
        b'{"rev":1,"all":true,"targets":[],"targets":[1]}',
        b'{"rev":1,"all":true,"targets":[]}]',
        b'["targets":[],"rev":1,"all":true]',
        b'{"rev":1,"all":true,"targets":[{"a":"' + b"x" * (MAX_ENTRY_BYTES + 10) + b'"}]}',
        b'{"a":"' + b"x" * (2 * MAX_ENTRY_BYTES) + b'","rev":1,"all":true,"targets":[]}',
    ],
)
def test_text_that_is_no_list_is_refused(text: bytes, size: int) -> None:
    with pytest.raises(ValueError):
        decode_in_pieces(text, size)


def test_more_changes_than_the_memory_holds_are_refused_so_that_the_whole_list_is_requested() -> None:
    text = json.dumps({"rev": 1, "all": False, "targets": [ROW | {"uid": f"n{n}"} for n in range(9)]})
    with pytest.raises(EndpointFormatError, match="changes at once"):
        decode_list(text.encode(), 8)
    assert len(decode_list(text.encode(), 9).endpoints) == 9


def listed(number: int, dest: int, state: EndpointLifecycle = EndpointLifecycle.UP) -> ListedEndpoint:
    return ListedEndpoint(f"n{number}", "127.0.0.1:1", dest, "plain", state=state)


@REPRODUCIBLE
@given(
    dests=st.lists(st.integers(0, 20), max_size=150),
    max_endpoints=st.integers(1, 60),
)
def test_each_destination_keeps_endpoints_while_there_is_room_for_one_of_each(
    dests: list[int], max_endpoints: int
) -> None:
    selection = EndpointSelection(max_endpoints)
    for number, dest in enumerate(dests):
        selection.add(listed(number, dest))
    kept = selection.endpoints()
    assert len(kept) + selection.omitted == len(dests)
    assert len(kept) == len(dests) if len(dests) <= max_endpoints else 0 < len(kept) <= max_endpoints
    counts = Counter(endpoint.dest for endpoint in kept)
    if len(set(dests)) <= max_endpoints:
        assert set(counts) == set(dests)
    for dest, count in Counter(dests).items():
        assert counts[dest] == count or counts[dest] == max(counts.values()) or not counts[dest]


def test_destinations_that_are_wanted_are_kept_first() -> None:
    selection = EndpointSelection(5, wanted={3, 17, 99})
    for number in range(40):
        selection.add(listed(number, number))
    assert {3, 17} < {endpoint.dest for endpoint in selection.endpoints()}


def test_endpoints_that_take_no_calls_are_left_out_first() -> None:
    selection = EndpointSelection(4)
    for number in range(40):
        draining = number % 10 > 0
        selection.add(listed(number, 1, EndpointLifecycle.DRAINING if draining else EndpointLifecycle.UP))
    ups = [endpoint for endpoint in selection.endpoints() if endpoint.state is EndpointLifecycle.UP]
    assert len(ups) == len(selection.endpoints())


@REPRODUCIBLE
@given(
    changes=st.lists(
        st.lists(st.tuples(st.integers(0, 30), st.sampled_from(list(EndpointLifecycle))), max_size=8),
        max_size=20,
    ),
    max_endpoints=st.integers(1, 12),
)
def test_changes_never_make_the_list_longer_than_the_memory_holds(
    changes: list[list[tuple[int, EndpointLifecycle]]], max_endpoints: int
) -> None:
    endpoint_list = EndpointList()
    for revision, rows in enumerate(changes):
        endpoints = tuple(listed(number, number % 3, state) for number, state in dict(rows).items())
        update = EndpointListUpdate(revision, False, endpoints)
        fitting = fit_update(update, endpoint_list, max_endpoints)
        endpoint_list.apply(fitting)
        assert len(endpoint_list) <= max_endpoints
        removed = {endpoint.uid for endpoint in endpoints if endpoint.state is EndpointLifecycle.REMOVED}
        assert not removed & endpoint_list.uids()


def test_room_is_free_once_a_listed_endpoint_drains() -> None:
    endpoint_list = EndpointList()
    endpoint_list.apply(EndpointListUpdate(1, True, (listed(1, 1), listed(2, 1)), omitted=3))
    assert endpoint_list.omits_destination(2) and not endpoint_list.omits_destination(1)
    assert not endpoint_list.is_unknown_destination(2)
    for number, state, frees in [
        (1, EndpointLifecycle.DRAINING, True),
        (2, EndpointLifecycle.REMOVED, True),
        (2, EndpointLifecycle.UP, False),
        (9, EndpointLifecycle.REMOVED, False),
    ]:
        assert frees_room(EndpointListUpdate(2, False, (listed(number, 1, state),)), endpoint_list) is frees


@pytest.mark.parametrize(
    ("document", "value"),
    [
        ({"known": {"rev": 1, "targets": [{"a": "}"}]}, "b": [1]}, {"rev": 1, "targets": [{"a": "}"}]}),
        ({"a": {"known": {"x": 1}}, "b": "known"}, None),
        ({"known": None}, None),
        ({"known": 5}, None),
        ({"a": "known", "known": {}}, {}),
    ],
)
def test_the_list_in_a_configuration_is_split_off_the_rest(document: dict[str, Any], value: Any) -> None:
    rest, member = split_off_member(json.dumps(document).encode(), b"known")
    assert json.loads(rest) == (document | {"known": None} if member else document)
    assert (json.loads(member) if member else None) == value
