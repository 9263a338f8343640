"""Hot restarts between versions: recorded messages are read, and what is written has the same fields."""

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
NOTHING_KNOWN = EndpointList(0, EndpointListUpdate(ListUpdateKind.FROM_DISK), {})


def recorded(name):
    return [json.loads(line) for line in (RECORDED / name).read_text().splitlines()]


PARENT_STATE, PARENT_HANDED_OVER, *PARENT_ANSWERS = recorded("parent-0.2.0.jsonl")
CHILD_HELLO, CHILD_READY, CHILD_CALLBACK, CHILD_ANSWER = recorded("child-0.2.0.jsonl")


def later(ms=100.0):
    """The time source of a child that reads the recorded state so much later."""
    return SteppedTime(monotonic=PARENT_STATE["clock"]["monotonic"] + ms, wall=0.0)


def listed_endpoints():
    """The endpoints of the recorded state."""
    phases = ["Ready", "Ready", "Ready", "Terminating"]
    return [
        member(f"w{number}", f"127.0.0.1:{number + 1}", phase, locality="a", up_since_ms=STARTED_MS + number)
        for number, phase in enumerate(phases)
    ]


def dispatcher(stack, source, inherited=None):
    """A dispatcher like that of the recorded state, not started, and closed with the stack."""
    known = parse_endpoint_list(members(*listed_endpoints(), revision=7), ListUpdateKind.FROM_DISK)
    settings = SETTINGS | {"zone": "a", "reporting.how": "answers"}
    config = DispatcherConfig(
        "n0", ("127.0.0.1", 0), "127.0.0.1:1", 7, 64, known, settings, plan=True, clock=source.clock()
    )
    service = Service(config, inherited)
    stack.push_async_callback(service.close)
    return service


def fields(value):
    """The fields of a JSON value in their order, without what stands in them."""
    if isinstance(value, dict):
        return [(name, fields(inner)) for name, inner in value.items()]
    if isinstance(value, list):
        return [fields(inner) for inner in value]
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return "number" if is_number else type(value).__name__


# ---------------------------------------------------------------- what the version before wrote is read


def test_the_recorded_list_is_read():
    inherited = Inherited(None, None, PARENT_STATE)
    known = inherited_list(inherited, PARENT_STATE["discovery"], NOTHING_KNOWN)
    assert known.revision == 7 and known.update.kind == ListUpdateKind.FROM_DISK
    assert [(entry.endpoint_id, entry.state, entry.started_ms) for entry in known.update.entries] == [
        ("w0", EndpointState.READY, STARTED_MS),
        ("w1", EndpointState.READY, STARTED_MS + 1.0),
        ("w2", EndpointState.READY, STARTED_MS + 2.0),
        ("w3", EndpointState.DRAINING, STARTED_MS + 3.0),
    ]
    assert set(known.addresses) == {"w0", "w1", "w2", "w3"}
    assert inherited_list(inherited, "127.0.0.1:1", NOTHING_KNOWN).revision == 0


def test_the_recorded_clock_drains_and_plan_are_read():
    inherited = Inherited(None, None, PARENT_STATE)
    source = later()
    clock = inherited_clock(inherited, source.clock())
    assert clock.base == PARENT_STATE["clock"]["base"] and inherited_starts(inherited) == {}
    some = inherited_drains(inherited, clock)
    assert some.version == (5, 3) and [drain.target for drain in some.drains] == ["w1", "z"]
    assert some.drains[0].expires_ms - clock() == pytest.approx(HOUR_MS, abs=5000.0)
    assert some.drains[1].expires_ms == drains.INFINITY
    held = parse_plan(PARENT_STATE["plan"], clock)
    assert held.plan.version == (1, 2) and [zone.name for zone in held.plan.zones] == ["a"]
    assert 0.0 < held.expires_ms - clock() <= HOUR_MS


@on_loop
async def test_a_child_starts_from_the_recorded_state():
    async with contextlib.AsyncExitStack() as stack:
        child = dispatcher(stack, later(), Inherited(None, None, PARENT_STATE))
        assert child.core.clock.base == PARENT_STATE["clock"]["base"]
        assert child.config.initial_list.addresses["w0"] == PARENT_STATE["known"]["members"][0]["host_port"]
        assert child.drains_at_start().version == (5, 3)
        child.inherit_plan()
        assert child.core.endpoints.follower.has_valid_plan(child.core.clock())


@on_loop
async def test_the_recorded_warm_state_is_read():
    warm = messages.parse(PARENT_HANDED_OVER).warm_state
    async with contextlib.AsyncExitStack() as stack:
        child = dispatcher(stack, later(), Inherited(None, None, PARENT_STATE))
        router = child.core.router
        router.handle(child.core.clock(), [child.config.initial_list.update])
        warm_state.import_state(router, warm)
        again = json.loads(json.dumps(warm_state.export_state(router)))
    for name in ("rate", "queue", "busy", "heard", "run_seen", "run_due", "share"):
        assert again["workers"][name] == warm["workers"][name], name
    # What the parent has in flight counts as another dispatcher's.
    others, out = warm["workers"]["others"], warm["out"]
    assert again["workers"]["others"] == {name: others[name] + out[name] for name in others}
    assert again["kinds"] == warm["kinds"] and again["all"] == warm["all"]
    assert again["categories"]["look"] == warm["categories"]["look"]


def test_the_recorded_messages_are_read():
    parsed = [messages.parse(message) for message in (CHILD_HELLO, CHILD_READY, CHILD_CALLBACK, CHILD_ANSWER)]
    kinds = [messages.Hello, messages.Ready, messages.CallbackForwarded, messages.CallbackAnswered]
    assert [type(message) for message in parsed] == kinds
    assert parsed[:2] == [messages.Hello(messages.PROTOCOL_VERSION, "n0"), messages.Ready()]
    assert parsed[2] == messages.CallbackForwarded(CHILD_CALLBACK["callback"], 1)
    assert json.loads(parsed[2].body)["id"] == "held"
    assert parsed[3] == messages.CallbackAnswered(1, None)
    assert [messages.parse(message) for message in PARENT_ANSWERS] == [
        messages.CallbackAnswered(1, 204),
        messages.CallbackAnswered(2, None),
    ]


# ---------------------------------------------------------------- what is written has the same fields


@on_loop
async def test_a_parent_writes_the_recorded_fields():
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        parent = dispatcher(stack, source)
        core, clock = parent.core, parent.core.clock
        some = drains.set_drain(
            drains.DrainSet(5),
            drains.Drain("worker", "w1", "ana", "disk", 0.0, clock() + HOUR_MS, 0),
            clock(),
        )
        core.endpoints.drains = drains.set_drain(
            some, drains.Drain("zone", "z", "ana", "", 0.0, drains.INFINITY, 0), clock()
        )
        plan = traffic_plan.Plan(1, 2, "h1", clock(), zones=(traffic_plan.ZonePlan("a"),))
        core.endpoints.follower.accept(plan_application.PlanLease(plan, clock() + 4000.0))
        running = asyncio.create_task(core.run())
        await core.ask(WarmStateRequested)  # the router has the list once the batch of this one is over
        core.put(WarmStateReceived(PARENT_HANDED_OVER["yours"]))  # has it know what was reported there
        warm = json.loads(json.dumps(await core.ask(WarmStateRequested)))
        state = json.loads(json.dumps(parent.handover.export_state()))
        running.cancel()
    assert fields(state) == fields(PARENT_STATE)
    wanted = PARENT_HANDED_OVER["yours"]
    # Three request classes here, one there: each has the same fields.
    there, here = wanted["categories"]["look"], warm["categories"]
    assert [fields(each) for each in here.values()] == [fields(there)] * 3
    assert fields(warm | {"categories": {}}) == fields(wanted | {"categories": {}})
    assert fields(messages.HandedOver(warm).to_json())[0][0] == "yours"


def test_messages_are_written_as_recorded():
    assert messages.Hello(messages.PROTOCOL_VERSION, "n0").to_json() == CHILD_HELLO
    assert messages.Ready().to_json() == CHILD_READY
    assert messages.CallbackForwarded(CHILD_CALLBACK["callback"], 1).to_json() == CHILD_CALLBACK
    assert messages.CallbackAnswered(1, None).to_json() == CHILD_ANSWER
    assert messages.CallbackAnswered(1, 204).to_json() == PARENT_ANSWERS[0]
    for message in (CHILD_HELLO, CHILD_READY, CHILD_CALLBACK, CHILD_ANSWER, *PARENT_ANSWERS):
        assert list(messages.parse(message).to_json()) == list(message)
