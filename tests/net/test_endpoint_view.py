"""The endpoints as a dispatcher uses them: the updates that lists, drains and plans cause at the router."""

import orjson
import pytest
from support.event_loop import on_loop
from support.fake_discovery import member, members
from support.router_rig import SETTINGS

from dunepulley.clocks import Clock
from dunepulley.control import drains
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.endpoint_view import EndpointView, diff_lists
from dunepulley.routing.events import EndpointEntry, EndpointState, ListUpdateKind
from dunepulley.routing.router import Router

NOW = 1000.0


class View:
    """A view of two endpoints, and the updates that it published."""

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


def test_a_diff_contains_new_changed_and_removed_entries():
    current = {name: EndpointEntry(name) for name in ("same", "moved", "left")}
    entries = (EndpointEntry("same"), EndpointEntry("moved", zone="b"), EndpointEntry("new"))
    update = diff_lists(current, entries)
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
async def test_a_full_list_is_published_as_changes_if_allowed(as_changes, kind):
    case = View()
    case.update(member("w1", "127.0.0.1:2"), as_changes=as_changes)
    assert [update.kind for update in case.updates] == [kind]
    assert case.view.ready_ids == {"w1"} and case.view.addresses == {"w1": "127.0.0.1:2"}


@on_loop
async def test_an_address_is_valid_only_while_its_endpoint_is_ready_there():
    case = View()
    assert case.view.is_ready_at("w0", "127.0.0.1:1") and not case.view.is_ready_at("w0", "127.0.0.1:9")
    case.update(member("w0", "127.0.0.1:1", "Terminating"), complete=False)
    assert not case.view.is_ready_at("w0", "127.0.0.1:1") and not case.view.is_ready_at("w2", "")


@on_loop
async def test_a_drain_is_published_once_and_so_is_its_end():
    case = View()
    assert case.view.apply_drains(drained("w0", NOW + 500.0))
    assert case.view.next_refresh_ms(NOW) == 500.0
    for _ in range(3):
        case.view.refresh(NOW, case.router)
    assert case.states() == [{"w0": EndpointState.DRAINING}]
    case.view.refresh(NOW + 500.0, case.router)
    assert case.states()[1:] == [{"w0": EndpointState.READY}]
    assert case.view.next_refresh_ms(NOW + 500.0) == drains.INFINITY


@on_loop
async def test_older_drains_are_not_applied():
    case = View()
    newer = drained("w0")
    assert case.view.apply_drains(newer) and not case.view.apply_drains(drains.DrainSet())
    assert case.view.drains is newer


@on_loop
async def test_without_a_follower_no_plan_is_applied():
    assert not View().view.apply_plan(None)


@on_loop
async def test_a_description_has_the_form_that_the_admin_interface_prints():
    case = View()
    case.view.apply_drains(drained("w0"))
    endpoints, required_kinds = case.view.describe(NOW, case.router).to_wire()
    assert list(endpoints[0]) == ["id", "zone", "kind", "listed", "state", "drains"]
    parsed = orjson.loads(orjson.dumps(endpoints))
    assert [(entry["id"], entry["listed"], entry["state"], len(entry["drains"])) for entry in parsed] == [
        ("w0", "ready", "leaving", 1),
        ("w1", "ready", "ready", 0),
    ]
    assert required_kinds == case.view.describe(NOW, case.router).required_kinds
