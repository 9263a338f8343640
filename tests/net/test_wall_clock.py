"""Steps of the wall clock at any time: every duration is the same as without the step."""

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


def create_drain_set(clock, lasts, epoch=5.0):
    """Return a set with a drain of w0 of this duration, and a drain of w1 without an end."""
    drain_set = drains.set_drain(drains.DrainSet(epoch), drain(name="w1"), clock())
    return drains.set_drain(drain_set, drain(clock() + lasts), clock())


def time_left_ms(drain_set, clock):
    """Return the remaining duration of the drain of w0, rounded to ms."""
    (until,) = [each.expires_ms for each in drain_set.drains if each.target == "w0"]
    return round(until - clock())


# ---------------------------------------------------------------- the clock


@stepped
def test_a_clock_ignores_steps_and_reports_the_offset_of_the_wall_clock(step):
    source = SteppedTime()
    clock = source.clock()
    assert clock() == UNIX and clock.wall_offset_ms() == 0.0
    source.step(step)
    source.run(250.0)
    assert clock() == UNIX + 250.0 and clock.wall_offset_ms() == step
    assert clock.wall_ms() == clock.to_wall_ms(clock()) == UNIX + 250.0 + step
    source.step(-step)
    assert clock.wall_offset_ms() == 0.0


def test_a_pause_between_two_readings_is_not_a_step():
    source = SteppedTime()
    clock = source.clock()
    pauses = [2000.0, 1000.0]

    def paused():
        source.run(pauses.pop() if pauses else 0.0)
        return source.wall

    source.wall_ms = paused
    assert clock.wall_offset_ms() == 0.0 and not pauses
    # Neither is a small gradual correction of the wall clock.
    source.wall += 0.9 * clocks.STEP_MS
    assert clock.wall_offset_ms() == 0.0


def test_the_system_clocks_are_read_in_ms():
    clock = clocks.Clock()
    assert abs(clock() - time.time() * 1000.0) < 1000.0 and clock.wall_offset_ms() == 0.0
    stamp = clock.stamp()
    assert drain_json.parse_stamp(json.loads(json.dumps(drain_json.encode_stamp(stamp)))) == stamp
    assert 0.0 <= clock.elapsed_since(stamp) < 1000.0


@pytest.mark.parametrize(
    "invalid",
    [None, [], {}, {"boot": "one"}, {"boot": 1, "monotonic": 1.0, "wall": 1.0}]
    + [{"boot": "one", "monotonic": invalid, "wall": 1.0} for invalid in ("x", True, -1.0, 1e400)],
)
def test_an_invalid_stamp_is_parsed_as_none(invalid):
    assert drain_json.parse_stamp(invalid) is None


# ---------------------------------------------------------------- encoded drains


@stepped
@pytest.mark.parametrize("at", ["before it is written", "in between", "before it is read"])
def test_a_drain_keeps_its_duration_however_it_is_passed_on(step, at):
    # The same form is used from agent to dispatcher, in files, and from parent to child.
    source = SteppedTime()
    sender_clock = source.clock()
    drain_set = create_drain_set(sender_clock, 10 * MINUTE)
    reader = source.clock()
    source.step(step if at == "before it is written" else 0.0)
    source.run(MINUTE)
    written = json.dumps(drain_json.encode_drain_set(drain_set, sender_clock))
    source.step(step if at == "in between" else 0.0)
    source.run(MINUTE)
    reported_start = source.clock()
    source.step(step if at == "before it is read" else 0.0)
    for clock in (reader, reported_start):
        read = drain_json.decode_drain_set(json.loads(written), clock)
        assert time_left_ms(read, clock) == 8 * MINUTE
        # Encoding the set again must not add up errors.
        reencoded = drain_json.decode_drain_set(
            json.loads(json.dumps(drain_json.encode_drain_set(read, clock))), reported_start
        )
        assert time_left_ms(reencoded, reported_start) == 8 * MINUTE
        assert [each.expires_ms for each in read.drains if each.target == "w1"] == [drains.INFINITY]


@pytest.mark.parametrize("step", [0.0, *STEPS])
def test_a_drain_is_never_shortened_by_a_boot(step):
    source = SteppedTime()
    written = drain_json.encode_drain_set(create_drain_set(source.clock(), 10 * MINUTE), source.clock())
    source.reboot(after=MINUTE, step=step)
    clock = source.clock()
    assert time_left_ms(drain_json.decode_drain_set(written, clock), clock) == 10 * MINUTE


def test_reads_the_form_of_the_previous_version_and_never_shortens_a_drain():
    source = SteppedTime()
    clock = source.clock()
    before = drain_json.encode_drain_set(create_drain_set(clock, 10 * MINUTE))
    assert "stamp" not in before and before["drains"][1].keys() == set(FIELDS)
    assert drain_json.decode_drain_set(before, clock) == create_drain_set(clock, 10 * MINUTE)
    for step in STEPS:
        source = SteppedTime()
        clock = source.clock()
        by_old_reading = drain_json.encode_drain_set(create_drain_set(clock, 10 * MINUTE))
        source.step(step)
        by_new_reading = drain_json.encode_drain_set(create_drain_set(source.clock(), 10 * MINUTE))
        for encoded in (by_old_reading, by_new_reading):
            assert time_left_ms(drain_json.decode_drain_set(encoded, clock), clock) >= 10 * MINUTE


def test_the_previous_version_can_read_the_present_form():
    # It uses `until` in Unix time, and ignores unknown keys.
    source = SteppedTime()
    clock = source.clock()
    drain_set = create_drain_set(clock, 10 * MINUTE)
    encoded = drain_json.encode_drain_set(drain_set, clock)
    assert drain_json.decode_drain_set(encoded) == drain_set
    assert [
        {name: each[name] for name in FIELDS} for each in encoded["drains"]
    ] == drain_json.encode_drain_set(drain_set)["drains"]
    source.step(3_600_000.0)
    until = drain_json.encode_drain_set(drain_set, clock)["drains"][1]["until"]
    assert until == source.wall + 10 * MINUTE


@pytest.mark.parametrize(
    "invalid", [{"left": "soon"}, {"left": -1}, {"left": 1e400}, {"left": True}, {"until": "noon"}]
)
def test_a_drain_with_an_invalid_end_is_rejected(invalid):
    source = SteppedTime()
    encoded = drain_json.encode_drain_set(create_drain_set(source.clock(), MINUTE), source.clock())
    encoded["drains"][1] |= invalid
    with pytest.raises(ValueError):
        drain_json.decode_drain_set(encoded, source.clock())


# ---------------------------------------------------------------- an agent


def create_agent(folder, source, port=1):
    """Return an agent with a simulated clock that runs no tasks; its dispatcher is at this port."""
    path = folder / "agent.toml"
    lines = ['listen = "127.0.0.1:1"', 'state = "drains.json"', "answer_s = 0.5"]
    path.write_text("\n".join([*lines, "[[dispatcher]]", 'name = "n0"', f'console = "127.0.0.1:{port}"']))
    return agent.Agent(config.read(str(path)), clock=source.clock())


async def set_drain(local_agent, name="w0", **more):
    command = {"do": "drain", "what": "worker", "name": name, "by": "ana", "force": True, "limit_s": 0.01}
    await local_agent.handlers["drain"](command | more)


async def drains_in_force(local_agent):
    """Return the drains that an operator is shown, with their end times."""
    reply = await local_agent.handlers["drains"]({"do": "drains"})
    return {each["name"]: each["until"] for each in reply["drains"]}


@stepped
@on_loop
async def test_a_drain_in_an_agent_ends_after_its_time(tmp_path, step):
    source = SteppedTime()
    local_agent = create_agent(tmp_path, source)
    await set_drain(local_agent, for_s=600)
    source.step(step)
    source.run(10 * MINUTE - 1.0)
    # Operators are shown its end by the present wall clock.
    assert await drains_in_force(local_agent) == {"w0": source.wall + 1.0}
    # A new drain has the present wall clock time as its start.
    await set_drain(local_agent, "w1")
    assert local_agent.drains.drains[-1].started_ms == source.wall
    source.run(1.0)
    assert await drains_in_force(local_agent) == {"w1": None}
    await set_drain(local_agent, "w2")
    assert (local_agent.drains.ended[-1].reason, local_agent.drains.ended[-1].ended_ms) == (
        "ran out",
        source.wall,
    )


@stepped
@on_loop
async def test_a_drain_lasts_over_two_starts_of_an_agent(tmp_path, step):
    source = SteppedTime()
    await set_drain(create_agent(tmp_path, source), for_s=600)
    source.run(MINUTE)
    source.step(step)
    local_agent = create_agent(tmp_path, source)
    source.run(9 * MINUTE - 1.0)
    assert list(await drains_in_force(local_agent)) == ["w0"]
    # A dispatcher that starts reads the same file.
    clock = source.clock()
    assert time_left_ms(net_config.read_drains(str(tmp_path / "drains.json"), clock), clock) == 1.0
    source.run(1.0)
    assert not await drains_in_force(local_agent)


@on_loop
async def test_the_remaining_time_of_a_drain_is_rewritten_periodically(tmp_path, monkeypatch):
    # After a boot of the host a duration counts from when it was last written.
    monkeypatch.setattr(drain_store, "TIME_LEFT_REFRESH_S", 0.005)
    source = SteppedTime()
    local_agent = create_agent(tmp_path, source)
    path = local_agent.config.drains_path
    writes, expiry_queries = [], []
    save, next_end = drain_file.save, drains.DrainSet.next_expiry_ms
    monkeypatch.setattr(drain_file, "save", lambda *args: writes.append(args) or save(*args))
    monkeypatch.setattr(
        drains.DrainSet, "next_expiry_ms", lambda *args: expiry_queries.append(args) or next_end(*args)
    )
    task = asyncio.create_task(local_agent.drain_store.refresh_time_left())
    await set_drain(local_agent, "w1")  # a drain without an end needs no rewriting
    expiry_queries.clear()
    await until(lambda: len(expiry_queries) > 2)
    assert len(writes) == 1
    await set_drain(local_agent, for_s=600)
    source.run(9 * MINUTE)
    await until(lambda: orjson.loads(open(path, "rb").read())["drains"][-1]["left"] == MINUTE)
    task.cancel()
    source.reboot(after=MINUTE)
    assert time_left_ms(drain_file.load(path, source.wall, source.clock()), source.clock()) == MINUTE


@on_loop
async def test_an_agent_sends_dispatchers_the_remaining_time_of_drains(tmp_path):
    # The agent's clock is years behind the dispatcher's, but durations are the same by both.
    async with DispatcherRig(lambda call: b"") as rig:
        local_agent = create_agent(tmp_path, SteppedTime(), rig.service.admin_port)
        await set_drain(local_agent, for_s=600)
        supervising = asyncio.create_task(local_agent.supervisor.watch(local_agent.dispatchers["n0"]))
        await until(lambda: rig.core.endpoints.drains.revision == 1)
        assert time_left_ms(rig.core.endpoints.drains, rig.core.clock) == pytest.approx(
            10 * MINUTE, abs=5000.0
        )
        supervising.cancel()


@on_loop
async def test_an_epoch_that_begins_after_a_step_back_replaces_a_later_one(tmp_path):
    # The agent's file is lost; the dispatcher has a set whose epoch began by a wall clock that was ahead.
    async with DispatcherRig(lambda call: b"") as rig:
        drain_set = drain_json.decode_drain_set(
            drain_json.encode_drain_set(drains.DrainSet(UNIX + 3_600_000.0, 7, (drain(),)))
        )
        await rig.core.ask(DrainsChanged, drain_set)
        assert not rig.core.can_serve()
        local_agent = create_agent(tmp_path, SteppedTime(), rig.service.admin_port)
        drain_file.save(local_agent.config.drains_path, local_agent.drains, local_agent.clock)
        supervising = asyncio.create_task(local_agent.supervisor.watch(local_agent.dispatchers["n0"]))
        await until(rig.core.can_serve)
        assert rig.core.endpoints.drains.version == local_agent.drains.version == (UNIX + 3_600_001.0, 0)
        assert drain_file.load(local_agent.config.drains_path, 0.0) == local_agent.drains
        supervising.cancel()


# ---------------------------------------------------------------- a dispatcher


class Case:
    """A `Core` with a real router and a simulated clock."""

    def __init__(self, *entries, **settings):
        self.source = SteppedTime()
        self.clock = self.source.clock()
        initial_list = parse_endpoint_list(members(*(entries or (member("w0", "127.0.0.1:1"),))))
        all_settings = SETTINGS | {name.replace("__", "."): value for name, value in settings.items()}
        self.core = Core(7, all_settings, initial_list, Counters(), self.clock)
        self.core.executor.attempt_sender = self.attempt_sender = RecordingSender()

    async def __aenter__(self):
        self.task = asyncio.create_task(self.core.run())
        await self.process_batch()
        return self

    async def __aexit__(self, *_):
        assert not self.core.counters["faults"] and not self.task.done()
        self.task.cancel()

    async def process_batch(self):
        """Wait until the task has processed the queued messages at the present time."""
        await self.core.ask(DrainsChanged, self.core.endpoints.drains)

    async def put_messages(self, *messages):
        for message in messages:
            self.core.put(message)
        await self.process_batch()

    def receive_request(self, request_class, timeout_ms):
        pending = PendingRequest(
            RequestArrived("a", request_class, timeout_ms), self.clock(), "/look/1", {}, b"x"
        )
        self.core.put(RequestReceived(pending))
        return pending


@stepped
@on_loop
async def test_a_drain_in_a_dispatcher_ends_after_its_time(step):
    async with Case() as case:
        sender_clock = case.source.clock()
        encoded = drain_json.encode_drain_set(create_drain_set(sender_clock, 10 * MINUTE), sender_clock)
        case.source.step(step)
        await case.core.ask(DrainsChanged, drain_json.decode_drain_set(encoded, case.clock))
        assert not case.core.can_serve()
        refresh_delay_s = case.core.timers.refresh_timer.when() - asyncio.get_running_loop().time()
        assert refresh_delay_s == pytest.approx(600.0, abs=5.0)
        case.source.step(-2.0 * step)
        case.source.run(10 * MINUTE - 1.0)
        await case.put_messages(EndpointRefreshDue())
        assert not case.core.can_serve()
        case.source.run(1.0)
        await case.put_messages(EndpointRefreshDue())
        assert case.core.can_serve()


@stepped
@on_loop
async def test_a_timeout_is_neither_extended_nor_shortened(step):
    async with Case() as case:
        case.receive_request("look", 4000.0)
        case.source.step(step)
        case.source.run(500.0)  # the request waits for its batch
        await case.process_batch()
        (attempt,) = case.attempt_sender.sent
        assert attempt.timeout_ms == 3500.0
        case.source.step(-2.0 * step)
        case.source.run(attempt.start_before_ms - case.clock() - 1.0)
        assert case.core.may_begin(attempt)
        case.source.run(1.0)
        assert not case.core.may_begin(attempt)


@stepped
@pytest.mark.parametrize(("after", "is_retried"), [(2500.0, True), (3500.0, False)])
@on_loop
async def test_a_retry_window_keeps_its_duration(step, after, is_retried):
    workers = [member(f"w{n}", f"127.0.0.1:{n + 1}") for n in range(2)]
    async with Case(*workers, categories__1__dueTimeMs=4900.0) as case:
        case.receive_request("store", 4900.0)
        await case.process_batch()
        case.source.step(step)
        case.source.run(after)
        await case.put_messages(AttemptFinished(case.attempt_sender.sent[0], AttemptResult.CONNECTION_LOST))
        assert len(case.attempt_sender.sent) == 1 + is_retried


@stepped
@on_loop
async def test_the_admin_interface_keeps_the_duration_of_drains(step):
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        dispatcher = create_service(stack, source)
        task = asyncio.create_task(dispatcher.core.run())
        source.step(step)
        sender_clock = source.clock()
        accepted, _ = await dispatcher.admin_commands.drains(
            json.dumps(drain_json.encode_drain_set(create_drain_set(sender_clock, 10 * MINUTE), sender_clock))
        )
        assert (
            accepted and time_left_ms(dispatcher.core.endpoints.drains, dispatcher.core.clock) == 10 * MINUTE
        )
        _, text = await dispatcher.admin_commands.drains("")
        assert (
            time_left_ms(drain_json.decode_drain_set(json.loads(text), sender_clock), sender_clock)
            == 10 * MINUTE
        )
        task.cancel()


def test_configured_drains_are_read_with_their_duration(tmp_path):
    # The file was written before the wall clock was stepped: its Unix time `until` has passed long ago.
    clock = clocks.Clock()
    encoded = drain_json.encode_drain_set(create_drain_set(clock, 10 * MINUTE), clock)
    encoded["drains"][1]["until"] = 1000.0
    (tmp_path / "drains.json").write_text(json.dumps(encoded))
    path = tmp_path / "config.json"
    configuration = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}}
    path.write_text(json.dumps(configuration | {"drains": str(tmp_path / "drains.json")}))
    parsed = net_config.read({}, str(path))
    assert time_left_ms(parsed.drains, parsed.clock) == pytest.approx(10 * MINUTE, abs=5000.0)


# ---------------------------------------------------------------- warming up


START_AGE_MS = 2000.0


def reported_start(source, reporter_step):
    """Return the start, `START_AGE_MS` ago, as a reporter with a clock that was stepped reports it."""
    true_wall = UNIX + (source.monotonic - 500_000.0)
    return true_wall - START_AGE_MS + reporter_step


@pytest.mark.parametrize("reporter_is_stepped", [True, False])
@stepped
def test_an_endpoint_warms_up_in_full_after_a_step(step, reporter_is_stepped):
    """With a reporter whose clock was stepped in the same way, and with one whose clock was not."""
    source = SteppedTime()
    clock = source.clock()
    starts = EndpointStarts(clock)
    source.run(MINUTE)
    old = endpoint_entry(0, since=UNIX - 1000.0)
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (old, endpoint_entry(1))))
    source.step(step)
    source.run(MINUTE)
    new = endpoint_entry(0, since=reported_start(source, step if reporter_is_stepped else 0.0))
    starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (new,)))
    age = clock() - starts.start_of(new)
    # The age counts from the start or from when it was first listed, never from before the start.
    assert 0.0 <= age <= START_AGE_MS
    started_ms = starts.start_of(new)
    # It stays the same in a full list and once the clock is corrected; the other endpoint stays warm.
    source.step(-step)
    source.run(MINUTE)
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (new, endpoint_entry(1))))
    assert starts.start_of(new) == started_ms and starts.start_of(endpoint_entry(1)) == 0.0


@stepped
def test_a_warm_endpoint_stays_warm(step):
    source = SteppedTime()
    clock = source.clock()
    starts = EndpointStarts(clock)
    warm = endpoint_entry(0, since=UNIX - 30 * MINUTE)
    starts.update(EndpointListUpdate(ListUpdateKind.FROM_DISK, (warm,)))
    source.step(step)
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (warm,)))
    assert starts.start_of(warm) == warm.started_ms
    # It also does in a child process, which uses the same clock.
    child_starts = EndpointStarts(clock)
    child_starts.inherit((warm,), starts.corrected_starts())
    child_starts.update(EndpointListUpdate(ListUpdateKind.FULL, (warm,)))
    assert child_starts.start_of(warm) == warm.started_ms


def test_a_start_reported_after_the_wall_clock_was_set_back_and_corrected():
    source = SteppedTime()
    clock = source.clock()
    starts = EndpointStarts(clock)
    source.step(-3_600_000.0)
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(1),)))
    new = endpoint_entry(0, since=reported_start(source, -3_600_000.0))
    source.step(3_600_000.0)
    starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (new,)))
    assert clock() - starts.start_of(new) == START_AGE_MS


def test_a_dispatcher_whose_clock_was_wrong_at_its_start():
    """The error is detected only when a list contradicts the clock."""
    ahead, behind = SteppedTime(wall=UNIX + 3_600_000.0), SteppedTime(wall=UNIX - 3_600_000.0)
    for source in (ahead, behind):
        clock = source.clock()
        starts = EndpointStarts(clock)
        starts.update(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=UNIX - 10 * MINUTE),)))
        source.run(MINUTE)
        new = endpoint_entry(0, since=UNIX + MINUTE - START_AGE_MS)
        starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (new,)))
        assert starts.start_of(new) == clock()


@pytest.mark.parametrize("delay_ms", [0.0, 6000.0, LATE_LIST_MS - 2 * START_AGE_MS])
def test_while_clocks_agree_a_start_is_used_as_reported(delay_ms):
    source = SteppedTime()
    starts = EndpointStarts(source.clock())
    starts.update(
        EndpointListUpdate(
            ListUpdateKind.FULL,
            (endpoint_entry(0, since=UNIX - 10_000.0), endpoint_entry(1, since=UNIX + 20.0)),
        )
    )
    new = endpoint_entry(0, since=UNIX - delay_ms + 1000.0)
    source.run(START_AGE_MS)
    starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (new, endpoint_entry(2))))
    assert (
        starts.start_of(new) == new.started_ms
        and starts.start_of(endpoint_entry(1, since=UNIX + 20.0)) == UNIX + 20.0
    )
    assert not starts.corrected_starts()
    # An older start, reported by a discovery that lags, is used as reported.
    starts.update(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=UNIX - 10_000.0),)))
    assert starts.start_of(endpoint_entry(0)) == UNIX - 10_000.0 and list(starts.by_endpoint) == ["w0"]
    starts.update(EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(0, EndpointState.REMOVED),)))
    assert not starts.by_endpoint


@stepped
@on_loop
async def test_the_router_gets_starts_that_no_step_makes_older(step):
    warm = member("w1", "127.0.0.1:2", up_since_ms=UNIX - 30 * MINUTE)
    async with Case(member("w0", "127.0.0.1:1", up_since_ms=UNIX - 60_000.0), warm) as case:
        case.source.step(step)
        case.source.run(START_AGE_MS)
        new = member("w0", "127.0.0.1:1", up_since_ms=reported_start(case.source, step))
        await case.put_messages(parse_endpoint_list(members(new, complete=False)))
        router = case.core.router
        endpoints = [router.endpoints.find(name) for name in ("w0", "w1")]
        ages = [router.warm_up.age_ms(endpoint, router.now) for endpoint in endpoints]
        assert 0.0 <= ages[0] <= START_AGE_MS and ages[1] == 30 * MINUTE + START_AGE_MS
        assert router.warm_up.capacity_fraction(endpoints[0], router.now) < 0.5


# ---------------------------------------------------------------- a hot restart


def create_service(stack, source, inherited=None, **more):
    """Create a dispatcher with a simulated clock; it is not started, and closed with the stack."""
    initial_list = parse_endpoint_list(
        members(member("w0", "127.0.0.1:1"), member("w1", "127.0.0.1:2")), ListUpdateKind.FROM_DISK
    )
    configuration = DispatcherConfig(
        "n0",
        ("127.0.0.1", 0),
        "127.0.0.1:1",
        7,
        64,
        initial_list,
        SETTINGS | {"zone": "a"},
        follows_plan=True,
    )
    service = Service(configuration._replace(clock=source.clock(), **more), inherited)
    stack.push_async_callback(service.close)
    return service


def inherit_from(parent):
    """Return what a parent passes to its child."""
    return hot_restart.Inherited(
        None, None, json.loads(json.dumps(parent.hot_restart_actions.export_state()))
    )


PLAN = plans.Plan(1, 2, zones=(plans.ZonePlan("a"),))


@stepped
@pytest.mark.parametrize("at", ["before the child starts", "before the child reads the state"])
@on_loop
async def test_parent_and_child_of_a_hot_restart_use_one_clock(step, at):
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        parent = create_service(stack, source)
        parent.core.endpoints.drains = create_drain_set(parent.core.clock, 10 * MINUTE)
        parent.core.endpoints.follower.accept(plan_application.PlanLease(PLAN, parent.core.clock() + 4000.0))
        source.run(1000.0)
        inherited = inherit_from(parent)
        if at == "before the child starts":
            source.step(step)
        child = create_service(stack, source, inherited)
        source.step(step)
        assert child.core.clock() == parent.core.clock()
        assert child.drains_at_start() == parent.core.endpoints.drains
        child.inherit_plan()
        source.run(2999.0)
        assert child.core.endpoints.follower.has_valid_plan(child.core.clock())
        source.run(1.0)
        assert not child.core.endpoints.follower.has_valid_plan(child.core.clock())
        # Warm state contains times, too.
        ejected_until_ms = parent.core.clock() + 5000.0
        for router in (parent.core.router, child.core.router):
            router.handle(
                parent.core.clock(),
                [EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0), endpoint_entry(1)))],
            )
        parent.core.router.endpoints.all[0].ejected_until_ms = ejected_until_ms
        warm_state.import_state(
            child.core.router, json.loads(json.dumps(warm_state.export_state(parent.core.router)))
        )
        source.run(4999.0)
        assert child.core.clock() < child.core.router.endpoints.all[0].ejected_until_ms
        source.run(1.0)
        assert child.core.clock() >= child.core.router.endpoints.all[0].ejected_until_ms


@stepped
@on_loop
async def test_a_child_converts_its_configured_drains_to_the_parents_clock(step):
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        parent = create_service(stack, source)
        source.step(step)
        read = create_drain_set(source.clock(), 10 * MINUTE, epoch=9.0)
        child = create_service(stack, source, inherit_from(parent), drains=read)
        assert time_left_ms(child.drains_at_start(), child.core.clock) == 10 * MINUTE


@stepped
@on_loop
async def test_a_child_has_the_same_endpoint_starts_as_its_parent(step):
    async with contextlib.AsyncExitStack() as stack:
        source = SteppedTime()
        parent = create_service(stack, source)
        tasks = [asyncio.create_task(parent.core.run())]
        warm = member("w1", "127.0.0.1:2", up_since_ms=UNIX - 30 * MINUTE)
        parent.core.put(parse_endpoint_list(members(member("w0", "127.0.0.1:1"), warm)))
        await parent.core.ask(DrainsChanged, parent.core.endpoints.drains)
        source.step(step)
        source.run(MINUTE)
        new = member("w0", "127.0.0.1:1", up_since_ms=reported_start(source, step))
        parent.core.put(parse_endpoint_list(members(new, complete=False)))
        await parent.core.ask(DrainsChanged, parent.core.endpoints.drains)
        source.run(5000.0)
        child = create_service(stack, source, inherit_from(parent))
        tasks.append(asyncio.create_task(child.core.run()))
        await child.core.ask(DrainsChanged, child.core.endpoints.drains)
        since = [
            [process.core.router.endpoints.find(name).started_ms for name in ("w0", "w1")]
            for process in (parent, child)
        ]
        assert since[0] == since[1] and since[1][1] == warm["up_since_ms"]
        for task in tasks:
            task.cancel()


@pytest.mark.parametrize(
    "invalid",
    [None, [], {}, {"base": "x", "monotonic": 1.0}, {"base": 1e300, "monotonic": 500_000.0}]
    + [{"base": 1.0, "monotonic": invalid} for invalid in (True, 500_001.0, 400_000.0)],
)
def test_a_child_that_cannot_read_the_parents_clock_uses_its_own(invalid):
    own_clock = SteppedTime().clock()
    inherited = hot_restart.Inherited(None, None, {"clock": invalid} if invalid is not None else {})
    assert inherited_clock(inherited, own_clock) is own_clock and inherited_starts(inherited) == {}


async def endpoint_states(node):
    """Return the states of a process's endpoints."""
    lines = (await node.call("WORKERS")).splitlines()[1:-1]
    return {entry["id"]: entry["state"] for entry in map(json.loads, lines)}


@pytest.mark.parametrize("step", [3_600_000.0, -3_600_000.0])
@on_loop
async def test_drains_in_real_processes_survive_a_step_and_a_hot_restart(tmp_path, step):
    wall = SteppedProcesses(tmp_path / "time")
    clock = clocks.Clock()  # the clock of an agent on the same host
    async with DispatcherHost(tmp_path) as site:
        site.environment["PYTHONPATH"] = os.pathsep.join([str(wall.folder), os.getcwd()])
        parent = await site.start_healthy()
        drain_set = drains.set_drain(
            create_drain_set(clock, 60_000.0), drain(clock() + 2500.0, "w2"), clock()
        )
        assert (
            await parent.call("DRAINS " + json.dumps(drain_json.encode_drain_set(drain_set, clock)))
        ).startswith("200")
        wall.step(step)
        child = await site.start_healthy()
        assert not (await parent.call("HEALTH")).startswith("200")  # it is handing over, or has ended
        wall.step(-step)
        while clock() < drain_set.drains[-1].expires_ms - 100.0:
            states = [
                await endpoint_states(node) for node in (parent, child) if node.process.returncode is None
            ]
            for state_by_name in [each for each in states if each]:
                drained_names = {
                    name for name, state in state_by_name.items() if state == EndpointState.DRAINING
                }
                before_expiry = clock() < drain_set.drains[-1].expires_ms
                assert drained_names == {"w0", "w1", "w2"} or not before_expiry
            await asyncio.sleep(0.05)
        async with asyncio.timeout(8.0):
            while (await endpoint_states(child))["w2"] != EndpointState.READY:
                await asyncio.sleep(0.02)
        assert clock() >= drain_set.drains[-1].expires_ms - 1.0
        assert (
            (await endpoint_states(child))["w0"]
            == (await endpoint_states(child))["w1"]
            == EndpointState.DRAINING
        )


# ---------------------------------------------------------------- a fleet


@stepped
@on_loop
async def test_a_plan_stays_in_force_for_its_duration(step):
    async with Case() as case:
        case.core.endpoints.follower = plan_application.Follower("n0", "here")
        case.core.endpoints.follower.accept(plan_application.PlanLease(PLAN, case.clock() + 4000.0))
        case.source.step(step)
        case.source.run(3999.0)
        await case.process_batch()
        assert case.core.endpoints.follower.has_valid_plan(case.core.now)
        case.source.run(1.0)
        await case.process_batch()
        assert not case.core.endpoints.follower.has_valid_plan(case.core.now)


@stepped
def test_heartbeats_of_an_agent_that_restarted_after_a_step_count_within_the_timeout(step):
    members_ = membership.Membership("a", ("a", "b"))
    assert members_.record_heartbeat("b", 1000.0, UNIX, {"a": 10.0})
    # Heartbeats are sent every half second; once one is accepted, all later ones are.
    accepted_at = [
        at for at in range(1500, 5000, 500) if members_.record_heartbeat("b", at, UNIX + step, {"a": 10.0})
    ]
    assert accepted_at[0] <= 1000.0 + membership.HEARTBEAT_TIMEOUT_MS and len(accepted_at) == len(
        range(accepted_at[0], 5000, 500)
    )


@stepped
def test_a_plan_is_decided_without_the_wall_clock(step):
    override = plans.OperatorOverride("a", plans.OverrideAction.EVACUATE, "ana", remaining_ms=10_000.0)
    decided = []
    for wall in (UNIX, UNIX + step):
        planner = Planner("h1", Regions())
        planner.learn(plans.Plan(1, 1, created_ms=wall, overrides=(override,)), 1000.0)
        assert planner.overrides(10_999.0) and not planner.overrides(11_000.0)
        decided.append(planner.decide({}, 6000.0, wall)._replace(created_ms=0.0))
    assert decided[0] == decided[1] and decided[0].overrides[0].remaining_ms == 5000.0


def test_real_agents_decide_and_confirm_plans_despite_steps(tmp_path, monkeypatch):
    wall = SteppedProcesses(tmp_path / "time")
    monkeypatch.syspath_prepend(str(wall.folder))

    async def run_fleet():
        async with asyncio.timeout(40.0), AgentFleet(tmp_path) as fleet:
            await fleet.wait_until_connected()
            wall.step(3_600_000.0)
            fleet.set_reports("a", bad=1.0)
            await fleet.wait_for_state("a", "left")
            for dispatcher in fleet.dispatchers.values():
                # By the host's monotonic clock, the plan is in force, for no longer than its duration.
                assert 0.0 < dispatcher.until / 1000.0 - time.monotonic() <= fleet.hold_s
            # One agent restarts, an hour before its end by its clock.
            wall.step(-3_600_000.0)
            await fleet.kill("h2")
            await fleet.start("h2")
            await fleet.wait_until_connected()
            fleet.set_reports("a")
            await fleet.wait_for_state("a", "near")
            numbers = fleet.check_plan_numbers()
            assert numbers == sorted(numbers) and len(numbers) >= 2

    asyncio.run(run_fleet())
