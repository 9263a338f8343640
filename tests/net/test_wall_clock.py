"""The wall clock is stepped at any moment: every span lasts as long as it would have lasted."""

import asyncio
import contextlib
import json
import os
import time

import orjson
import pytest
from support.agent_fleet import AgentFleet
from support.dispatcher_process import DispatcherHost
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.recording_sender import RecordingSender
from support.router_rig import SETTINGS, endpoint_entry
from support.stepped_time import STEPS, UNIX, SteppedProcesses, SteppedTime

from dunepulley import clocks
from dunepulley.agent import agent, config, drain_file, drain_store
from dunepulley.control import drain_json, drains, membership, plan_application
from dunepulley.control import traffic_plan as plans
from dunepulley.control.planner import Planner
from dunepulley.control.regions import Regions
from dunepulley.net import config as net_config
from dunepulley.net import hot_restart
from dunepulley.net.config import DispatcherConfig
from dunepulley.net.core import Core
from dunepulley.net.counters import Counters
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.endpoint_starts import LATE_LIST_MS, EndpointStarts
from dunepulley.net.hot_restart.state import inherited_clock, inherited_starts
from dunepulley.net.messages import (
    AttemptFinished,
    DrainsChanged,
    EndpointRefreshDue,
    PendingRequest,
    RequestReceived,
)
from dunepulley.net.service import Service
from dunepulley.routing import warm_state
from dunepulley.routing.events import (
    AttemptResult,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
)

MINUTE = 60_000.0
FIELDS = ("what", "name", "by", "why", "since", "until", "revision")
stepped = pytest.mark.parametrize("step", STEPS)


def drain(until=drains.INFINITY, name="w0"):
    return drains.Drain("worker", name, "ana", "", 0.0, until, 0)


def drained(clock, lasts, epoch=5.0):
    """A set with a drain of w0 that lasts so long, and one without an end."""
    some = drains.set_drain(drains.DrainSet(epoch), drain(name="w1"), clock())
    return drains.set_drain(some, drain(clock() + lasts), clock())


def left(some, clock):
    """How long the drain of w0 lasts yet, to the ms."""
    (until,) = [each.expires_ms for each in some.drains if each.target == "w0"]
    return round(until - clock())


# ---------------------------------------------------------------- the clock


@stepped
def test_a_clock_is_not_stepped_and_says_by_how_much_the_wall_clock_was(step):
    source = SteppedTime()
    clock = source.clock()
    assert clock() == UNIX and clock.wall_offset_ms() == 0.0
    source.step(step)
    source.run(250.0)
    assert clock() == UNIX + 250.0 and clock.wall_offset_ms() == step
    assert clock.wall_ms() == clock.to_wall_ms(clock()) == UNIX + 250.0 + step
    source.step(-step)
    assert clock.wall_offset_ms() == 0.0


def test_a_pause_between_two_readings_is_no_step():
    source = SteppedTime()
    clock = source.clock()
    pauses = [2000.0, 1000.0]

    def paused():
        source.run(pauses.pop() if pauses else 0.0)
        return source.wall

    source.wall_ms = paused
    assert clock.wall_offset_ms() == 0.0 and not pauses
    # A clock that is corrected bit by bit is no step either.
    source.wall += 0.9 * clocks.STEP_MS
    assert clock.wall_offset_ms() == 0.0


def test_the_system_clocks_are_read_in_ms():
    clock = clocks.Clock()
    assert abs(clock() - time.time() * 1000.0) < 1000.0 and clock.wall_offset_ms() == 0.0
    stamp = clock.stamp()
    assert drain_json.parse_stamp(json.loads(json.dumps(drain_json.encode_stamp(stamp)))) == stamp
    assert 0.0 <= clock.elapsed_since(stamp) < 1000.0


@pytest.mark.parametrize(
    "odd",
    [None, [], {}, {"boot": "one"}, {"boot": 1, "monotonic": 1.0, "wall": 1.0}]
    + [{"boot": "one", "monotonic": odd, "wall": 1.0} for odd in ("x", True, -1.0, 1e400)],
)
def test_an_odd_stamp_is_none(odd):
    assert drain_json.parse_stamp(odd) is None


# ---------------------------------------------------------------- drains, told and written


@stepped
@pytest.mark.parametrize("at", ["before it is written", "in between", "before it is read"])
def test_a_drain_lasts_its_span_however_it_is_passed_on(step, at):
    # From agent to dispatcher, to a file and back, to a successor: the same form.
    source = SteppedTime()
    teller = source.clock()
    some = drained(teller, 10 * MINUTE)
    reader = source.clock()
    source.step(step if at == "before it is written" else 0.0)
    source.run(MINUTE)
    written = json.dumps(drain_json.encode_drain_set(some, teller))
    source.step(step if at == "in between" else 0.0)
    source.run(MINUTE)
    started = source.clock()
    source.step(step if at == "before it is read" else 0.0)
    for clock in (reader, started):
        read = drain_json.decode_drain_set(json.loads(written), clock)
        assert left(read, clock) == 8 * MINUTE
        # And once more, so that doubt does not add up.
        again = drain_json.decode_drain_set(
            json.loads(json.dumps(drain_json.encode_drain_set(read, clock))), started
        )
        assert left(again, started) == 8 * MINUTE
        assert [each.expires_ms for each in read.drains if each.target == "w1"] == [drains.INFINITY]


@pytest.mark.parametrize("step", [0.0, *STEPS])
def test_a_drain_lasts_longer_rather_than_shorter_over_a_boot(step):
    source = SteppedTime()
    written = drain_json.encode_drain_set(drained(source.clock(), 10 * MINUTE), source.clock())
    source.boots(after=MINUTE, step=step)
    clock = source.clock()
    assert left(drain_json.decode_drain_set(written, clock), clock) == 10 * MINUTE


def test_what_the_version_before_tells_is_read_as_before_and_in_doubt_lasts_longer():
    source = SteppedTime()
    clock = source.clock()
    before = drain_json.encode_drain_set(drained(clock, 10 * MINUTE))
    assert "stamp" not in before and before["drains"][1].keys() == set(FIELDS)
    assert drain_json.decode_drain_set(before, clock) == drained(clock, 10 * MINUTE)
    for step in STEPS:
        source = SteppedTime()
        clock = source.clock()
        by_the_old_reading = drain_json.encode_drain_set(drained(clock, 10 * MINUTE))
        source.step(step)
        by_the_new_one = drain_json.encode_drain_set(drained(source.clock(), 10 * MINUTE))
        for told in (by_the_old_reading, by_the_new_one):
            assert left(drain_json.decode_drain_set(told, clock), clock) >= 10 * MINUTE


def test_the_version_before_reads_what_is_told_now():
    # It goes by `until` in Unix time, and by names alone: what it does not know it passes over.
    source = SteppedTime()
    clock = source.clock()
    some = drained(clock, 10 * MINUTE)
    told = drain_json.encode_drain_set(some, clock)
    assert drain_json.decode_drain_set(told) == some
    assert [{name: each[name] for name in FIELDS} for each in told["drains"]] == drain_json.encode_drain_set(
        some
    )["drains"]
    source.step(3_600_000.0)
    until = drain_json.encode_drain_set(some, clock)["drains"][1]["until"]
    assert until == source.wall + 10 * MINUTE


@pytest.mark.parametrize(
    "odd", [{"left": "soon"}, {"left": -1}, {"left": 1e400}, {"left": True}, {"until": "noon"}]
)
def test_a_drain_with_an_odd_end_is_refused(odd):
    source = SteppedTime()
    told = drain_json.encode_drain_set(drained(source.clock(), MINUTE), source.clock())
    told["drains"][1] |= odd
    with pytest.raises(ValueError):
        drain_json.decode_drain_set(told, source.clock())


# ---------------------------------------------------------------- an agent


def agent_on(folder, source, port=1):
    """An agent by a told clock that does nothing by itself; its dispatcher is at this port."""
    path = folder / "agent.toml"
    lines = ['listen = "127.0.0.1:1"', 'state = "drains.json"', "answer_s = 0.5"]
    path.write_text("\n".join([*lines, "[[dispatcher]]", 'name = "n0"', f'console = "127.0.0.1:{port}"']))
    return agent.Agent(config.read(str(path)), clock=source.clock())


async def set_drain(here, name="w0", **more):
    told = {"do": "drain", "what": "worker", "name": name, "by": "ana", "force": True, "limit_s": 0.01}
    await here.handlers["drain"](told | more)


async def stands(here):
    """What an operator is shown: the drains that stand, and when they end."""
    told = await here.handlers["drains"]({"do": "drains"})
    return {each["name"]: each["until"] for each in told["drains"]}


@stepped
@on_loop
async def test_a_drain_in_an_agent_ends_after_its_time(tmp_path, step):
    source = SteppedTime()
    here = agent_on(tmp_path, source)
    await set_drain(here, for_s=600)
    source.step(step)
    source.run(10 * MINUTE - 1.0)
    # People are told its end as their clocks show it now.
    assert await stands(here) == {"w0": source.wall + 1.0}
    # What is set now is set at the moment that the wall clock shows.
    await set_drain(here, "w1")
    assert here.drains.drains[-1].started_ms == source.wall
    source.run(1.0)
    assert await stands(here) == {"w1": None}
    await set_drain(here, "w2")
    assert (here.drains.ended[-1].reason, here.drains.ended[-1].ended_ms) == ("ran out", source.wall)


@stepped
@on_loop
async def test_a_drain_lasts_over_two_starts_of_an_agent(tmp_path, step):
    source = SteppedTime()
    await set_drain(agent_on(tmp_path, source), for_s=600)
    source.run(MINUTE)
    source.step(step)
    here = agent_on(tmp_path, source)
    source.run(9 * MINUTE - 1.0)
    assert list(await stands(here)) == ["w0"]
    # A dispatcher that starts reads the same file.
    clock = source.clock()
    assert left(net_config.read_drains(str(tmp_path / "drains.json"), clock), clock) == 1.0
    source.run(1.0)
    assert not await stands(here)


@on_loop
async def test_what_is_left_of_a_drain_is_written_anew(tmp_path, monkeypatch):
    # Over a boot of the host a span counts from when it was last written.
    monkeypatch.setattr(drain_store, "TIME_LEFT_REFRESH_S", 0.005)
    source = SteppedTime()
    here = agent_on(tmp_path, source)
    path = here.config.drains_path
    writes, looks = [], []
    save, next_end = drain_file.save, drains.DrainSet.next_expiry_ms
    monkeypatch.setattr(drain_file, "save", lambda *what: writes.append(what) or save(*what))
    monkeypatch.setattr(
        drains.DrainSet, "next_expiry_ms", lambda *what: looks.append(what) or next_end(*what)
    )
    task = asyncio.create_task(here.drain_store.refresh_time_left())
    await set_drain(here, "w1")  # one without an end needs none
    looks.clear()
    await until(lambda: len(looks) > 2)
    assert len(writes) == 1
    await set_drain(here, for_s=600)
    source.run(9 * MINUTE)
    await until(lambda: orjson.loads(open(path, "rb").read())["drains"][-1]["left"] == MINUTE)
    task.cancel()
    source.boots(after=MINUTE)
    assert left(drain_file.load(path, source.wall, source.clock()), source.clock()) == MINUTE


@on_loop
async def test_an_agent_tells_dispatchers_what_is_left(tmp_path):
    # The agent's clock is years behind the dispatcher's, and both are right about spans.
    async with DispatcherRig(lambda call: b"") as rig:
        here = agent_on(tmp_path, SteppedTime(), rig.service.admin_port)
        await set_drain(here, for_s=600)
        look = asyncio.create_task(here.supervisor.watch(here.dispatchers["n0"]))
        await until(lambda: rig.core.endpoints.drains.revision == 1)
        assert left(rig.core.endpoints.drains, rig.core.clock) == pytest.approx(10 * MINUTE, abs=5000.0)
        look.cancel()


@on_loop
async def test_an_epoch_that_begins_after_a_step_back_counts_all_the_same(tmp_path):
    # The file is lost; the dispatcher has a set whose epoch began by a wall clock that was ahead.
    async with DispatcherRig(lambda call: b"") as rig:
        held = drain_json.decode_drain_set(
            drain_json.encode_drain_set(drains.DrainSet(UNIX + 3_600_000.0, 7, (drain(),)))
        )
        await rig.core.ask(DrainsChanged, held)
        assert not rig.core.can_serve()
        here = agent_on(tmp_path, SteppedTime(), rig.service.admin_port)
        drain_file.save(here.config.drains_path, here.drains, here.clock)
        look = asyncio.create_task(here.supervisor.watch(here.dispatchers["n0"]))
        await until(rig.core.can_serve)
        assert rig.core.endpoints.drains.version == here.drains.version == (UNIX + 3_600_001.0, 0)
        assert drain_file.load(here.config.drains_path, 0.0) == here.drains
        look.cancel()


# ---------------------------------------------------------------- a dispatcher


class Case:
    """The module's task with the real module, by a told clock."""

    def __init__(self, *entries, **settings):
        self.source = SteppedTime()
        self.clock = self.source.clock()
        known = parse_endpoint_list(members(*(entries or (member("w0", "127.0.0.1:1"),))))
        told = SETTINGS | {name.replace("__", "."): value for name, value in settings.items()}
        self.core = Core(7, told, known, Counters(), self.clock)
        self.core.executor.attempt_sender = self.hands = RecordingSender()

    async def __aenter__(self):
        self.task = asyncio.create_task(self.core.run())
        await self.settle()
        return self

    async def __aexit__(self, *_):
        assert not self.core.counters["faults"] and not self.task.done()
        self.task.cancel()

    async def settle(self):
        """Have the task take what waits, and look at the time."""
        await self.core.ask(DrainsChanged, self.core.endpoints.drains)

    async def say(self, *messages):
        for message in messages:
            self.core.put(message)
        await self.settle()

    def accept(self, category, budget):
        job = PendingRequest(RequestArrived("a", category, budget), self.clock(), "/look/1", {}, b"x")
        self.core.put(RequestReceived(job))
        return job


@stepped
@on_loop
async def test_a_drain_in_a_dispatcher_ends_after_its_time(step):
    async with Case() as case:
        teller = case.source.clock()
        told = drain_json.encode_drain_set(drained(teller, 10 * MINUTE), teller)
        case.source.step(step)
        await case.core.ask(DrainsChanged, drain_json.decode_drain_set(told, case.clock))
        assert not case.core.can_serve()
        alarm = case.core.timers.refresh_timer.when() - asyncio.get_running_loop().time()
        assert alarm == pytest.approx(600.0, abs=5.0)
        case.source.step(-2.0 * step)
        case.source.run(10 * MINUTE - 1.0)
        await case.say(EndpointRefreshDue())
        assert not case.core.can_serve()
        case.source.run(1.0)
        await case.say(EndpointRefreshDue())
        assert case.core.can_serve()


@stepped
@on_loop
async def test_a_deadline_is_neither_prolonged_nor_cut(step):
    async with Case() as case:
        case.accept("look", 4000.0)
        case.source.step(step)
        case.source.run(500.0)  # waits for its batch
        await case.settle()
        (attempt,) = case.hands.sent
        assert attempt.timeout_ms == 3500.0
        case.source.step(-2.0 * step)
        case.source.run(attempt.start_before_ms - case.clock() - 1.0)
        assert case.core.may_begin(attempt)
        case.source.run(1.0)
        assert not case.core.may_begin(attempt)


@stepped
@pytest.mark.parametrize(("after", "again"), [(2500.0, True), (3500.0, False)])
@on_loop
async def test_a_window_for_repeats_lasts_its_time(step, after, again):
    workers = [member(f"w{n}", f"127.0.0.1:{n + 1}") for n in range(2)]
    async with Case(*workers, categories__1__dueTimeMs=4900.0) as case:
        case.accept("store", 4900.0)
        await case.settle()
        case.source.step(step)
        case.source.run(after)
        await case.say(AttemptFinished(case.hands.sent[0], AttemptResult.CONNECTION_LOST))
        assert len(case.hands.sent) == 1 + again


@stepped
@on_loop
async def test_drains_are_told_and_taken_over_the_console_by_their_span(step):
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        here = service(stack, source)
        task = asyncio.create_task(here.core.run())
        source.step(step)
        teller = source.clock()
        taken, _ = await here.admin_commands.drains(
            json.dumps(drain_json.encode_drain_set(drained(teller, 10 * MINUTE), teller))
        )
        assert taken and left(here.core.endpoints.drains, here.core.clock) == 10 * MINUTE
        _, told = await here.admin_commands.drains("")
        assert left(drain_json.decode_drain_set(json.loads(told), teller), teller) == 10 * MINUTE
        task.cancel()


def test_a_configuration_that_names_drains_is_read_by_their_span(tmp_path):
    # Written before the wall clock was stepped: what stands there in Unix time has passed long ago.
    clock = clocks.Clock()
    told = drain_json.encode_drain_set(drained(clock, 10 * MINUTE), clock)
    told["drains"][1]["until"] = 1000.0
    (tmp_path / "drains.json").write_text(json.dumps(told))
    path = tmp_path / "config.json"
    known = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}}
    path.write_text(json.dumps(known | {"drains": str(tmp_path / "drains.json")}))
    start = net_config.read({}, str(path))
    assert left(start.drains, start.clock) == pytest.approx(10 * MINUTE, abs=5000.0)


# ---------------------------------------------------------------- endpoints that warm up


STARTED = 2000.0


def started(source, tellers_step):
    """The start, 2 s ago, as a teller whose clock was stepped so writes it."""
    true_wall = UNIX + (source.monotonic - 500_000.0)
    return true_wall - STARTED + tellers_step


@pytest.mark.parametrize("along", [True, False])
@stepped
def test_an_endpoint_warms_up_for_its_time_after_a_step(step, along):
    """Whether the teller's clock was stepped along or not."""
    source = SteppedTime()
    clock = source.clock()
    starts = EndpointStarts(clock)
    source.run(MINUTE)
    old = endpoint_entry(0, since=UNIX - 1000.0)
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (old, endpoint_entry(1))))
    source.step(step)
    source.run(MINUTE)
    new = endpoint_entry(0, since=started(source, step if along else 0.0))
    starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (new,)))
    age = clock() - starts.start_of(new)
    # It counts from its start or from when it was first listed, never from before its start.
    assert 0.0 <= age <= STARTED
    moment = starts.start_of(new)
    # That stays, also in a whole list and once the clock is set right; one that is there for long stays so.
    source.step(-step)
    source.run(MINUTE)
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (new, endpoint_entry(1))))
    assert starts.start_of(new) == moment and starts.start_of(endpoint_entry(1)) == 0.0


@stepped
def test_an_endpoint_that_is_known_to_be_warm_stays_so(step):
    source = SteppedTime()
    clock = source.clock()
    starts = EndpointStarts(clock)
    warm = endpoint_entry(0, since=UNIX - 30 * MINUTE)
    starts.update(EndpointListUpdate(ListUpdateKind.FROM_DISK, (warm,)))
    source.step(step)
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (warm,)))
    assert starts.start_of(warm) == warm.started_ms
    # So it does at a successor, by the same clock.
    heir = EndpointStarts(clock)
    heir.inherit((warm,), starts.corrected_starts())
    heir.update(EndpointListUpdate(ListUpdateKind.FULL, (warm,)))
    assert heir.start_of(warm) == warm.started_ms


def test_a_start_told_after_the_wall_clock_was_set_back_and_right_again():
    source = SteppedTime()
    clock = source.clock()
    starts = EndpointStarts(clock)
    source.step(-3_600_000.0)
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(1),)))
    new = endpoint_entry(0, since=started(source, -3_600_000.0))
    source.step(3_600_000.0)
    starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (new,)))
    assert clock() - starts.start_of(new) == STARTED


def test_a_dispatcher_whose_own_clock_was_wrong_when_it_started():
    """Seen by itself only where a list contradicts it."""
    ahead, behind = SteppedTime(wall=UNIX + 3_600_000.0), SteppedTime(wall=UNIX - 3_600_000.0)
    for source in (ahead, behind):
        clock = source.clock()
        starts = EndpointStarts(clock)
        starts.update(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=UNIX - 10 * MINUTE),)))
        source.run(MINUTE)
        new = endpoint_entry(0, since=UNIX + MINUTE - STARTED)
        starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (new,)))
        assert starts.start_of(new) == clock()


@pytest.mark.parametrize("late", [0.0, 6000.0, LATE_LIST_MS - 2 * STARTED])
def test_while_clocks_agree_a_start_is_as_told(late):
    source = SteppedTime()
    starts = EndpointStarts(source.clock())
    starts.update(
        EndpointListUpdate(
            ListUpdateKind.FULL,
            (endpoint_entry(0, since=UNIX - 10_000.0), endpoint_entry(1, since=UNIX + 20.0)),
        )
    )
    new = endpoint_entry(0, since=UNIX - late + 1000.0)
    source.run(STARTED)
    starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (new, endpoint_entry(2))))
    assert (
        starts.start_of(new) == new.started_ms
        and starts.start_of(endpoint_entry(1, since=UNIX + 20.0)) == UNIX + 20.0
    )
    assert not starts.corrected_starts()
    # An older start, told by a discovery that lags, is taken as it was.
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=UNIX - 10_000.0),)))
    assert starts.start_of(endpoint_entry(0)) == UNIX - 10_000.0 and list(starts.by_endpoint) == ["w0"]
    starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(0, EndpointState.REMOVED),)))
    assert not starts.by_endpoint


@stepped
@on_loop
async def test_the_module_is_told_starts_that_no_step_makes_older(step):
    warm = member("w1", "127.0.0.1:2", up_since_ms=UNIX - 30 * MINUTE)
    async with Case(member("w0", "127.0.0.1:1", up_since_ms=UNIX - 60_000.0), warm) as case:
        case.source.step(step)
        case.source.run(STARTED)
        new = member("w0", "127.0.0.1:1", up_since_ms=started(case.source, step))
        await case.say(parse_endpoint_list(members(new, complete=False)))
        module = case.core.router
        endpoints = [module.endpoints.find(name) for name in ("w0", "w1")]
        ages = [module.warm_up.age_ms(endpoint, module.now) for endpoint in endpoints]
        assert 0.0 <= ages[0] <= STARTED and ages[1] == 30 * MINUTE + STARTED
        assert module.warm_up.capacity_fraction(endpoints[0], module.now) < 0.5


# ---------------------------------------------------------------- a hot restart


def service(stack, source, inherited=None, **more):
    """A dispatcher by a told clock, not started, and closed with the stack."""
    known = parse_endpoint_list(
        members(member("w0", "127.0.0.1:1"), member("w1", "127.0.0.1:2")), ListUpdateKind.FROM_DISK
    )
    start = DispatcherConfig(
        "n0", ("127.0.0.1", 0), "127.0.0.1:1", 7, 64, known, SETTINGS | {"zone": "a"}, plan=True
    )
    one = Service(start._replace(clock=source.clock(), **more), inherited)
    stack.push_async_callback(one.close)
    return one


def passed(old):
    """What a successor hears."""
    return hot_restart.Inherited(None, None, json.loads(json.dumps(old.handover.export_state())))


PLAN = plans.Plan(1, 2, zones=(plans.ZonePlan("a"),))


@stepped
@pytest.mark.parametrize("at", ["before the child starts", "before it reads what is passed on"])
@on_loop
async def test_parent_and_child_of_a_hot_restart_go_by_one_clock(step, at):
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        old = service(stack, source)
        old.core.endpoints.drains = drained(old.core.clock, 10 * MINUTE)
        old.core.endpoints.follower.accept(plan_application.PlanLease(PLAN, old.core.clock() + 4000.0))
        source.run(1000.0)
        inherited = passed(old)
        if at == "before the child starts":
            source.step(step)
        new = service(stack, source, inherited)
        source.step(step)
        assert new.core.clock() == old.core.clock()
        assert new.drains_at_start() == old.core.endpoints.drains
        new.inherit_plan()
        source.run(2999.0)
        assert new.core.endpoints.follower.has_valid_plan(new.core.clock())
        source.run(1.0)
        assert not new.core.endpoints.follower.has_valid_plan(new.core.clock())
        # What was learned holds moments, too.
        until_then = old.core.clock() + 5000.0
        for module in (old.core.router, new.core.router):
            module.handle(
                old.core.clock(),
                [EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0), endpoint_entry(1)))],
            )
        old.core.router.endpoints.all[0].ejected_until_ms = until_then
        warm_state.import_state(
            new.core.router, json.loads(json.dumps(warm_state.export_state(old.core.router)))
        )
        source.run(4999.0)
        assert new.core.clock() < new.core.router.endpoints.all[0].ejected_until_ms
        source.run(1.0)
        assert new.core.clock() >= new.core.router.endpoints.all[0].ejected_until_ms


@stepped
@on_loop
async def test_a_child_moves_the_drains_of_its_configuration_to_the_clock_of_its_parent(step):
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        old = service(stack, source)
        source.step(step)
        read = drained(source.clock(), 10 * MINUTE, epoch=9.0)
        new = service(stack, source, passed(old), drains=read)
        assert left(new.drains_at_start(), new.core.clock) == 10 * MINUTE


@stepped
@on_loop
async def test_a_child_knows_how_warm_endpoints_are_as_its_parent_does(step):
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        old = service(stack, source)
        tasks = [asyncio.create_task(old.core.run())]
        warm = member("w1", "127.0.0.1:2", up_since_ms=UNIX - 30 * MINUTE)
        old.core.put(parse_endpoint_list(members(member("w0", "127.0.0.1:1"), warm)))
        await old.core.ask(DrainsChanged, old.core.endpoints.drains)
        source.step(step)
        source.run(MINUTE)
        new = member("w0", "127.0.0.1:1", up_since_ms=started(source, step))
        old.core.put(parse_endpoint_list(members(new, complete=False)))
        await old.core.ask(DrainsChanged, old.core.endpoints.drains)
        source.run(5000.0)
        child = service(stack, source, passed(old))
        tasks.append(asyncio.create_task(child.core.run()))
        await child.core.ask(DrainsChanged, child.core.endpoints.drains)
        since = [
            [one.core.router.endpoints.find(name).started_ms for name in ("w0", "w1")] for one in (old, child)
        ]
        assert since[0] == since[1] and since[1][1] == warm["up_since_ms"]
        for task in tasks:
            task.cancel()


@pytest.mark.parametrize(
    "odd",
    [None, [], {}, {"base": "x", "monotonic": 1.0}, {"base": 1e300, "monotonic": 500_000.0}]
    + [{"base": 1.0, "monotonic": odd} for odd in (True, 500_001.0, 400_000.0)],
)
def test_a_child_of_another_version_goes_by_its_own_clock(odd):
    mine = SteppedTime().clock()
    told = hot_restart.Inherited(None, None, {"clock": odd} if odd is not None else {})
    assert inherited_clock(told, mine) is mine and inherited_starts(told) == {}


async def listed_as(node):
    """The states of a process's workers."""
    lines = (await node.call("WORKERS")).splitlines()[1:-1]
    return {told["id"]: told["state"] for told in map(json.loads, lines)}


@pytest.mark.parametrize("step", [3_600_000.0, -3_600_000.0])
@on_loop
async def test_drains_of_real_processes_through_a_step_and_a_hot_restart(tmp_path, step):
    wall = SteppedProcesses(tmp_path / "time")
    clock = clocks.Clock()  # that of an agent on the same host
    async with DispatcherHost(tmp_path) as site:
        site.environment["PYTHONPATH"] = os.pathsep.join([str(wall.folder), os.getcwd()])
        old = await site.serving()
        told = drains.set_drain(drained(clock, 60_000.0), drain(clock() + 2500.0, "w2"), clock())
        assert (await old.call("DRAINS " + json.dumps(drain_json.encode_drain_set(told, clock)))).startswith(
            "200"
        )
        wall.step(step)
        new = await site.serving()
        assert not (await old.call("HEALTH")).startswith("200")  # it hands over, or has ended
        wall.step(-step)
        while clock() < told.drains[-1].expires_ms - 100.0:
            states = [await listed_as(node) for node in (old, new) if node.process.returncode is None]
            for each in [each for each in states if each]:
                drained_now = {name for name, state in each.items() if state == EndpointState.DRAINING}
                early = clock() < told.drains[-1].expires_ms
                assert drained_now == {"w0", "w1", "w2"} or not early
            await asyncio.sleep(0.05)
        async with asyncio.timeout(8.0):
            while (await listed_as(new))["w2"] != EndpointState.READY:
                await asyncio.sleep(0.02)
        assert clock() >= told.drains[-1].expires_ms - 1.0
        assert (await listed_as(new))["w0"] == (await listed_as(new))["w1"] == EndpointState.DRAINING


# ---------------------------------------------------------------- a fleet


@stepped
@on_loop
async def test_a_plan_holds_for_its_time(step):
    async with Case() as case:
        case.core.endpoints.follower = plan_application.Follower("n0", "here")
        case.core.endpoints.follower.accept(plan_application.PlanLease(PLAN, case.clock() + 4000.0))
        case.source.step(step)
        case.source.run(3999.0)
        await case.settle()
        assert case.core.endpoints.follower.has_valid_plan(case.core.now)
        case.source.run(1.0)
        await case.settle()
        assert not case.core.endpoints.follower.has_valid_plan(case.core.now)


@stepped
def test_an_agent_that_starts_again_after_a_step_is_heard_within_the_time_of_a_silent_one(step):
    members_ = membership.Membership("a", ("a", "b"))
    assert members_.record_heartbeat("b", 1000.0, UNIX, {"a": 10.0})
    # Meetings go on each half second; the first that counts, counts again from then on.
    heard = [
        at for at in range(1500, 5000, 500) if members_.record_heartbeat("b", at, UNIX + step, {"a": 10.0})
    ]
    assert heard[0] <= 1000.0 + membership.HEARTBEAT_TIMEOUT_MS and len(heard) == len(
        range(heard[0], 5000, 500)
    )


@stepped
def test_a_plan_is_decided_on_without_the_wall_clock(step):
    word = plans.OperatorOverride("a", plans.OverrideAction.EVACUATE, "ana", remaining_ms=10_000.0)
    made = []
    for wall in (UNIX, UNIX + step):
        planner = Planner("h1", Regions())
        planner.learn(plans.Plan(1, 1, created_ms=wall, overrides=(word,)), 1000.0)
        assert planner.overrides(10_999.0) and not planner.overrides(11_000.0)
        made.append(planner.decide({}, 6000.0, wall)._replace(created_ms=0.0))
    assert made[0] == made[1] and made[0].overrides[0].remaining_ms == 5000.0


def test_a_fleet_of_real_agents_decides_and_confirms_through_steps(tmp_path, monkeypatch):
    wall = SteppedProcesses(tmp_path / "time")
    monkeypatch.syspath_prepend(str(wall.folder))

    async def play():
        async with asyncio.timeout(40.0), AgentFleet(tmp_path) as fleet:
            await fleet.meet()
            wall.step(3_600_000.0)
            fleet.everywhere("a", bad=1.0)
            await fleet.states("a", "left")
            for desk in fleet.dispatchers.values():
                # By the monotonic clock of the host: neither over, nor for longer than a plan holds.
                assert 0.0 < desk.until / 1000.0 - time.monotonic() <= fleet.hold_s
            # One agent starts again, by its clock an hour before it ended.
            wall.step(-3_600_000.0)
            await fleet.kill("h2")
            await fleet.start("h2")
            await fleet.meet()
            fleet.everywhere("a")
            await fleet.states("a", "near")
            numbers = fleet.one_history()
            assert numbers == sorted(numbers) and len(numbers) >= 2

    asyncio.run(play())
