"""Hot restarts between versions: recorded messages are read, and written messages have the same fields."""

import asyncio
import contextlib
import json
from pathlib import Path

import pytest
from support.event_loop import on_loop
from support.fake_discovery import member, members
from support.router_rig import SETTINGS
from support.stepped_time import SteppedTime

from dunepulley.control import drains, plan_application, traffic_plan
from dunepulley.net.config import DispatcherConfig
from dunepulley.net.endpoint_list import EndpointList, parse_endpoint_list
from dunepulley.net.hot_restart import Inherited, messages
from dunepulley.net.hot_restart.state import (
    inherited_clock,
    inherited_drains,
    inherited_list,
    inherited_starts,
)
from dunepulley.net.messages import WarmStateReceived, WarmStateRequested
from dunepulley.net.plan_message import parse_plan
from dunepulley.net.service import Service
from dunepulley.routing import warm_state
from dunepulley.routing.events import EndpointListUpdate, EndpointState, ListUpdateKind

RECORDED = Path(__file__).parents[1] / "data" / "hot_restart"
STARTED_MS = 1_700_000_000_000.0
HOUR_MS = 3_600_000.0
EMPTY_LIST = EndpointList(0, EndpointListUpdate(ListUpdateKind.FROM_DISK), {})


def recorded(name):
    return [json.loads(line) for line in (RECORDED / name).read_text().splitlines()]


PARENT_STATE, PARENT_HANDED_OVER, *PARENT_ANSWERS = recorded("parent-0.2.0.jsonl")
CHILD_HELLO, CHILD_READY, CHILD_CALLBACK, CHILD_ANSWER = recorded("child-0.2.0.jsonl")


def delayed_time(delay_ms=100.0):
    """Return the time source of a child that reads the recorded state after this delay."""
    return SteppedTime(monotonic=PARENT_STATE["clock"]["monotonic"] + delay_ms, wall=0.0)


def listed_endpoints():
    """Return the endpoints of the recorded state."""
    phases = ["Ready", "Ready", "Ready", "Terminating"]
    return [
        member(f"w{number}", f"127.0.0.1:{number + 1}", phase, locality="a", up_since_ms=STARTED_MS + number)
        for number, phase in enumerate(phases)
    ]


def create_service(stack, source, inherited=None):
    """Create a dispatcher like that of the recorded state; it is not started, and closed with the stack."""
    endpoint_list = parse_endpoint_list(members(*listed_endpoints(), revision=7), ListUpdateKind.FROM_DISK)
    settings = SETTINGS | {"zone": "a", "reporting.how": "answers"}
    config = DispatcherConfig(
        "n0",
        ("127.0.0.1", 0),
        "127.0.0.1:1",
        7,
        64,
        endpoint_list,
        settings,
        follows_plan=True,
        clock=source.clock(),
    )
    service = Service(config, inherited)
    stack.push_async_callback(service.close)
    return service


def shape_of(value):
    """Return the names and types of a JSON value's fields in their order, without the values."""
    if isinstance(value, dict):
        return [(name, shape_of(inner)) for name, inner in value.items()]
    if isinstance(value, list):
        return [shape_of(inner) for inner in value]
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return "number" if is_number else type(value).__name__


# ---------------------------------------------------------------- reading messages of the previous version


def test_the_recorded_list_is_read():
    inherited = Inherited(None, None, PARENT_STATE)
    endpoint_list = inherited_list(inherited, PARENT_STATE["discovery"], EMPTY_LIST)
    assert endpoint_list.revision == 7 and endpoint_list.update.kind == ListUpdateKind.FROM_DISK
    assert [(entry.endpoint_id, entry.state, entry.started_ms) for entry in endpoint_list.update.entries] == [
        ("w0", EndpointState.READY, STARTED_MS),
        ("w1", EndpointState.READY, STARTED_MS + 1.0),
        ("w2", EndpointState.READY, STARTED_MS + 2.0),
        ("w3", EndpointState.DRAINING, STARTED_MS + 3.0),
    ]
    assert set(endpoint_list.addresses) == {"w0", "w1", "w2", "w3"}
    assert inherited_list(inherited, "127.0.0.1:1", EMPTY_LIST).revision == 0


def test_the_recorded_clock_drains_and_plan_are_read():
    inherited = Inherited(None, None, PARENT_STATE)
    source = delayed_time()
    clock = inherited_clock(inherited, source.clock())
    assert clock.base == PARENT_STATE["clock"]["base"] and inherited_starts(inherited) == {}
    drain_set = inherited_drains(inherited, clock)
    assert drain_set.version == (5, 3) and [drain.target for drain in drain_set.drains] == ["w1", "z"]
    assert drain_set.drains[0].expires_ms - clock() == pytest.approx(HOUR_MS, abs=5000.0)
    assert drain_set.drains[1].expires_ms == drains.INFINITY
    lease = parse_plan(PARENT_STATE["plan"], clock)
    assert lease.plan.version == (1, 2) and [zone.name for zone in lease.plan.zones] == ["a"]
    assert 0.0 < lease.expires_ms - clock() <= HOUR_MS


@on_loop
async def test_a_child_starts_from_the_recorded_state():
    async with contextlib.AsyncExitStack() as stack:
        child = create_service(stack, delayed_time(), Inherited(None, None, PARENT_STATE))
        assert child.core.clock.base == PARENT_STATE["clock"]["base"]
        assert child.config.initial_list.addresses["w0"] == PARENT_STATE["known"]["members"][0]["host_port"]
        assert child.drains_at_start().version == (5, 3)
        child.inherit_plan()
        assert child.core.endpoints.follower.has_valid_plan(child.core.clock())


@on_loop
async def test_the_recorded_warm_state_is_read():
    warm_map = messages.parse(PARENT_HANDED_OVER).warm_state
    async with contextlib.AsyncExitStack() as stack:
        child = create_service(stack, delayed_time(), Inherited(None, None, PARENT_STATE))
        router = child.core.router
        router.handle(child.core.clock(), [child.config.initial_list.update])
        warm_state.import_state(router, warm_map)
        exported = json.loads(json.dumps(warm_state.export_state(router)))
    for name in ("rate", "queue", "busy", "heard", "run_seen", "run_due", "share"):
        assert exported["workers"][name] == warm_map["workers"][name], name
    # The parent's attempts in flight count as another dispatcher's.
    others, in_flight = warm_map["workers"]["others"], warm_map["out"]
    assert exported["workers"]["others"] == {name: others[name] + in_flight[name] for name in others}
    assert exported["kinds"] == warm_map["kinds"] and exported["all"] == warm_map["all"]
    assert exported["categories"]["look"] == warm_map["categories"]["look"]


def test_the_recorded_messages_are_read():
    parsed = [messages.parse(message) for message in (CHILD_HELLO, CHILD_READY, CHILD_CALLBACK, CHILD_ANSWER)]
    kinds = [messages.Hello, messages.Ready, messages.CallbackForwarded, messages.Answered]
    assert [type(message) for message in parsed] == kinds
    assert parsed[:2] == [messages.Hello(messages.PROTOCOL_VERSION, "n0"), messages.Ready()]
    assert parsed[2] == messages.CallbackForwarded(CHILD_CALLBACK["callback"], 1)
    assert json.loads(parsed[2].body)["id"] == "held"
    assert parsed[3] == messages.Answered(1, None)
    assert [messages.parse(message) for message in PARENT_ANSWERS] == [
        messages.Answered(1, 204),
        messages.Answered(2, None),
    ]


# ---------------------------------------------------------------- the fields of written messages


@on_loop
async def test_a_parent_writes_the_recorded_fields():
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        parent = create_service(stack, source)
        core, clock = parent.core, parent.core.clock
        drain_set = drains.set_drain(
            drains.DrainSet(5),
            drains.Drain("worker", "w1", "ana", "disk", 0.0, clock() + HOUR_MS, 0),
            clock(),
        )
        core.endpoints.drains = drains.set_drain(
            drain_set, drains.Drain("zone", "z", "ana", "", 0.0, drains.INFINITY, 0), clock()
        )
        plan = traffic_plan.Plan(1, 2, "h1", clock(), zones=(traffic_plan.ZonePlan("a"),))
        core.endpoints.follower.accept(plan_application.PlanLease(plan, clock() + 4000.0))
        running = asyncio.create_task(core.run())
        await core.ask(WarmStateRequested)  # the router has the list once the batch of this query is done
        core.put(WarmStateReceived(PARENT_HANDED_OVER["yours"]))  # imports the recorded load reports
        warm_map = json.loads(json.dumps(await core.ask(WarmStateRequested)))
        state = json.loads(json.dumps(parent.hot_restart_actions.export_state()))
        running.cancel()
    assert shape_of(state) == shape_of(PARENT_STATE)
    expected = PARENT_HANDED_OVER["yours"]
    # Three request classes here, one in the recording: each has the same fields.
    expected_class, classes = expected["categories"]["look"], warm_map["categories"]
    assert [shape_of(actual_class) for actual_class in classes.values()] == [shape_of(expected_class)] * 3
    assert shape_of(warm_map | {"categories": {}}) == shape_of(expected | {"categories": {}})
    assert shape_of(messages.HandedOver(warm_map).to_json())[0][0] == "yours"


def test_messages_are_written_as_recorded():
    assert messages.Hello(messages.PROTOCOL_VERSION, "n0").to_json() == CHILD_HELLO
    assert messages.Ready().to_json() == CHILD_READY
    assert messages.CallbackForwarded(CHILD_CALLBACK["callback"], 1).to_json() == CHILD_CALLBACK
    assert messages.Answered(1, None).to_json() == CHILD_ANSWER
    assert messages.Answered(1, 204).to_json() == PARENT_ANSWERS[0]
    for message in (CHILD_HELLO, CHILD_READY, CHILD_CALLBACK, CHILD_ANSWER, *PARENT_ANSWERS):
        assert list(messages.parse(message).to_json()) == list(message)
