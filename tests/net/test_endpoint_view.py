"""The endpoints as a dispatcher uses them: what the router is told of a list, of drains and of a plan."""

import orjson
import pytest
from support.event_loop import on_loop
from support.fake_discovery import member, members
from support.router_rig import SETTINGS

from dunepulley.clocks import Clock
from dunepulley.control import drains
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.endpoint_view import EndpointView, list_changes
from dunepulley.routing.events import EndpointEntry, EndpointState, ListUpdateKind
from dunepulley.routing.router import Router

NOW = 1000.0


class View:
    """A view of two endpoints, and the updates that its router was told."""

    def __init__(self):
        self.updates = []
        self.router = Router(1, SETTINGS, NOW)
        self.view = EndpointView(Clock(), self.updates.append)
        self.update(member("w0", "127.0.0.1:1"), member("w1", "127.0.0.1:2"))
        self.updates.clear()

    def update(self, *entries, complete=True, as_changes=True):
        message = parse_endpoint_list(members(*entries, complete=complete))
        self.view.update_list(message, NOW, self.router, as_changes)

    def states(self):
        return [{entry.endpoint_id: entry.state for entry in update.entries} for update in self.updates]


def drained(endpoint_id, until=drains.INFINITY):
    return drains.set_drain(
        drains.DrainSet(), drains.Drain("worker", endpoint_id, "me", "", 0.0, until, 0), 0.0
    )


def test_changes_are_what_is_new_differs_or_left():
    known = {name: EndpointEntry(name) for name in ("same", "moved", "left")}
    entries = (EndpointEntry("same"), EndpointEntry("moved", zone="b"), EndpointEntry("new"))
    update = list_changes(known, entries)
    assert update.kind == ListUpdateKind.CHANGES
    assert update.entries == (
        EndpointEntry("moved", zone="b"),
        EndpointEntry("new"),
        EndpointEntry("left", state=EndpointState.REMOVED),
    )


@pytest.mark.parametrize(
    ("as_changes", "kind"), [(True, ListUpdateKind.CHANGES), (False, ListUpdateKind.FULL)]
)
@on_loop
async def test_a_full_list_is_told_as_changes_where_it_may_be(as_changes, kind):
    case = View()
    case.update(member("w1", "127.0.0.1:2"), as_changes=as_changes)
    assert [update.kind for update in case.updates] == [kind]
    assert case.view.ready_ids == {"w1"} and case.view.addresses == {"w1": "127.0.0.1:2"}


@on_loop
async def test_an_address_is_right_only_while_its_endpoint_is_ready_there():
    case = View()
    assert case.view.is_ready_at("w0", "127.0.0.1:1") and not case.view.is_ready_at("w0", "127.0.0.1:9")
    case.update(member("w0", "127.0.0.1:1", "Terminating"), complete=False)
    assert not case.view.is_ready_at("w0", "127.0.0.1:1") and not case.view.is_ready_at("w2", "")


@on_loop
async def test_a_drain_is_told_once_and_so_is_its_end():
    case = View()
    assert case.view.take_drains(drained("w0", NOW + 500.0))
    assert case.view.next_refresh_ms(NOW) == 500.0
    for _ in range(3):
        case.view.refresh(NOW, case.router)
    assert case.states() == [{"w0": EndpointState.DRAINING}]
    case.view.refresh(NOW + 500.0, case.router)
    assert case.states()[1:] == [{"w0": EndpointState.READY}]
    assert case.view.next_refresh_ms(NOW + 500.0) == drains.INFINITY


@on_loop
async def test_older_drains_are_not_taken():
    case = View()
    newer = drained("w0")
    assert case.view.take_drains(newer) and not case.view.take_drains(drains.DrainSet())
    assert case.view.drains is newer


@on_loop
async def test_without_a_follower_no_plan_is_taken():
    assert not View().view.take_plan(None)


@on_loop
async def test_a_description_has_the_form_that_operators_read():
    case = View()
    case.view.take_drains(drained("w0"))
    endpoints, required_kinds = case.view.describe(NOW, case.router).to_wire()
    assert list(endpoints[0]) == ["id", "zone", "kind", "listed", "state", "drains"]
    told = orjson.loads(orjson.dumps(endpoints))
    assert [(one["id"], one["listed"], one["state"], len(one["drains"])) for one in told] == [
        ("w0", "ready", "leaving", 1),
        ("w1", "ready", "ready", 0),
    ]
    assert required_kinds == case.view.describe(NOW, case.router).required_kinds
