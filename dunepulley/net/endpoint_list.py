"""The endpoint list in discovery's JSON form: parsing and formatting of one message of a watch.

The same form is used under the key `known` of the configuration, and between parent and child in a hot
restart.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from dunepulley.net.addresses import parse_address
from dunepulley.routing.events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind

STATE_BY_PHASE = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}
PHASE_BY_STATE = {state: phase for phase, state in STATE_BY_PHASE.items()}
DEFAULT_CAPACITY = 1.0


class EndpointList(NamedTuple):
    """A full list, or changes to it, as discovery sent them.

    `revision` numbers the lists of one discovery service, `update` is the router's event, and `addresses`
    holds `host:port` by endpoint id, for the endpoints with a valid address.
    """

    revision: int
    update: EndpointListUpdate
    addresses: dict[str, str]


def parse_endpoint_list(message: dict[str, Any], kind: ListUpdateKind | None = None) -> EndpointList:
    """Return the endpoint list in a message; without `kind`, the message determines the kind of update.

    Raises ValueError if the message is malformed. An endpoint with an unknown phase or without a valid
    address counts as draining, and the rest of the list stays usable.
    """
    entries: list[EndpointEntry] = []
    addresses: dict[str, str] = {}
    try:
        for member in message["members"]:
            entry = _parse_member(member, addresses)
            entries.append(entry)
        kind = kind or (ListUpdateKind.FULL if message.get("complete") else ListUpdateKind.CHANGES)
        revision = int(message.get("revision", 0))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed endpoint list: {error!r}") from error
    return EndpointList(revision, EndpointListUpdate(kind, tuple(entries)), addresses)


def _parse_member(member: dict[str, Any], addresses: dict[str, str]) -> EndpointEntry:
    """Return the entry of one member, and add its address to `addresses` if it is valid."""
    endpoint_id, address = member["id"], member.get("host_port")
    if not isinstance(endpoint_id, str):
        raise ValueError(f"members: expected a string as id, got {endpoint_id!r:.60}")
    state = STATE_BY_PHASE.get(member.get("phase"), EndpointState.DRAINING)
    try:
        parse_address(address)
        addresses[endpoint_id] = address
    except (AttributeError, ValueError):
        if state != EndpointState.REMOVED:
            state = EndpointState.DRAINING
    return EndpointEntry(
        endpoint_id,
        str(member.get("locality", "")),
        str(member.get("flavor", "")),
        str(member.get("cell", "")),
        state,
        float(member.get("size", DEFAULT_CAPACITY)),
        float(member.get("up_since_ms") or 0.0),
    )


def format_endpoint_list(
    entries: Iterable[EndpointEntry], addresses: Mapping[str, str], revision: int
) -> dict[str, Any]:
    """Return a full list in discovery's form, as `parse_endpoint_list` reads it."""
    return {
        "revision": revision,
        "complete": True,
        "members": [
            {
                "id": entry.endpoint_id,
                "host_port": addresses.get(entry.endpoint_id),
                "locality": entry.zone,
                "flavor": entry.kind,
                "cell": entry.cell,
                "phase": PHASE_BY_STATE[entry.state],
                "size": entry.capacity,
                "up_since_ms": entry.started_ms,
            }
            for entry in entries
        ],
    }
