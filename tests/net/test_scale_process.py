"""The cost of the process around the router at many endpoints, as counted operations; and `bench.scale`."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.recording_sender import RecordingSender
from support.router_rig import SETTINGS

from bench import scale, scale_limits
from bench.scale_discovery import ChangingCatalog
from bench.scale_limits import Callback, Figures
from dunepulley.control import drains, plan_application, traffic_plan
from dunepulley.load.processes import ROOT
from dunepulley.net import discovery, json_lines, plan_view
from dunepulley.net.core import Core
from dunepulley.net.counters import Counters
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.messages import (
    CallbackReceived,
    EndpointRefreshDue,
    EndpointsRequested,
    PendingRequest,
    RequestReceived,
    ZoneReportRequested,
)
from dunepulley.routing import inspection, warm_state
from dunepulley.routing.endpoints import EndpointTable
from dunepulley.routing.events import (
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
)
from dunepulley.routing.router import Router

ENDPOINT_COUNT = 300


def list_members(count=ENDPOINT_COUNT, **more):
    return [member(f"w{number}", f"127.0.0.1:{1 + number}", **more) for number in range(count)]


def create_core(entries, **settings):
    core = Core(
        7, SETTINGS | settings, parse_endpoint_list(members(*entries), ListUpdateKind.FROM_DISK), Counters()
    )
    core._on_list(core.queue.get_nowait())
    take_events(core)
    return core


def take_events(core):
    events, core.events = core.events, []
    core.router.handle(core.now, events)
    return events


# ---------------------------------------------------------------- requests


class CountingMap(dict):
    """A dict that counts how often it is iterated over."""

    iterations = 0

    def __iter__(self):
        self.iterations += 1
        return super().__iter__()

    def keys(self):
        self.iterations += 1
        return super().keys()

    def values(self):
        self.iterations += 1
        return super().values()

    def items(self):
        self.iterations += 1
        return super().items()


class CountingSet(set):
    """A set that counts how often it is iterated over."""

    iterations = 0

    def __iter__(self):
        self.iterations += 1
        return super().__iter__()


@on_loop
async def test_neither_a_request_nor_a_list_change_iterates_over_all_endpoints():
    core = create_core(list_members())
    core.executor.attempt_sender = attempt_sender = RecordingSender()
    core.endpoints.entries, core.endpoints.addresses = (
        CountingMap(core.endpoints.entries),
        CountingMap(core.endpoints.addresses),
    )
    core.endpoints.ready_ids = CountingSet(core.endpoints.ready_ids)
    task = asyncio.create_task(core.run())
    for number in range(10):
        arrived = RequestArrived(f"r{number}", "look", 4000.0)
        pending = PendingRequest(arrived, core.clock(), "/look/x", {}, b"x")
        core.put(RequestReceived(pending))
        await until(lambda number=number: len(attempt_sender.sent) == number + 1)
        attempt = attempt_sender.sent[-1]
        assert core.may_begin(attempt)
        core.put(CallbackReceived(arrived.request_id, attempt.endpoint_id, "started", 0.0, b"", None))
        core.put(
            CallbackReceived(
                arrived.request_id, attempt.endpoint_id, "done", 0.0, b"made", {"queue": 0.0, "x0": 3.0}
            )
        )
        assert (await pending.answer).body == b"made"
        change = member(f"w{number}", f"127.0.0.1:{1 + number}", "Terminating")
        core.put(parse_endpoint_list(members(change, revision=2 + number, complete=False)))
        await until(lambda number=number: core.endpoints.revision == 2 + number)
    assert len(core.endpoints.ready_ids) == ENDPOINT_COUNT - 10
    assert (
        core.endpoints.entries.iterations
        == core.endpoints.addresses.iterations
        == core.endpoints.ready_ids.iterations
        == 0
    )
    task.cancel()


# ---------------------------------------------------------------- lists


@on_loop
async def test_a_list_on_one_line_is_not_searched_for_brackets(monkeypatch):
    searched = []
    original = json_lines.bracket_depth
    monkeypatch.setattr(
        json_lines, "bracket_depth", lambda line: searched.append(len(line)) or original(line)
    )
    async with DispatcherRig() as rig:
        rig.discovery.announce(members(*list_members(), revision=5))
        await until(lambda: rig.core.endpoints.revision == 5)
        assert len(rig.core.endpoints.entries) == ENDPOINT_COUNT and sum(searched) == 0
        # A list on several lines is assembled by counting brackets.
        indented = json.dumps(members(*list_members(7), revision=6), indent=1)
        rig.discovery.lines.put_nowait(indented.encode() + b"\n")
        await until(lambda: rig.core.endpoints.revision == 6)
        assert len(rig.core.endpoints.entries) == 7 and sum(searched) > 0


@on_loop
async def test_other_tasks_run_between_parsing_and_processing_a_long_list(monkeypatch):
    order, parse, read = [], json_lines.parse_whole_line, discovery.parse_endpoint_list

    def recorded_parse(line):
        if len(line) > discovery.LONG_LINE_BYTES:
            order.append("parsed")
            asyncio.get_running_loop().call_soon(order.append, "another")
        return parse(line)

    def recorded_read(message):
        order.append("read")
        return read(message)

    monkeypatch.setattr(json_lines, "parse_whole_line", recorded_parse)
    monkeypatch.setattr(discovery, "parse_endpoint_list", recorded_read)
    async with DispatcherRig() as rig:
        rig.discovery.announce(members(*list_members(3 * ENDPOINT_COUNT), revision=5))
        await until(lambda: rig.core.endpoints.revision == 5)
    assert order == ["parsed", "another", "read"]


@pytest.mark.parametrize("line", [b'  "id": "w1",', b'"a": "no {bracket} [here]",', rb'"a": "\"{",', b""])
def test_brackets_inside_strings_are_not_counted(line):
    assert json_lines.bracket_depth(line) == 0


@on_loop
async def test_a_full_list_is_passed_to_the_router_as_its_differences():
    core = create_core(list_members())
    entries = list_members()
    entries[3] |= {"phase": "Terminating"}
    entries[5] |= {"up_since_ms": 1234}
    del entries[9]
    entries.append(member("new", "127.0.0.1:9999"))
    core._on_list(parse_endpoint_list(members(*entries, revision=2)))
    (update,) = take_events(core)
    assert update.kind == ListUpdateKind.CHANGES and core.endpoints.revision == 2
    assert {entry.endpoint_id: entry.state for entry in update.entries} == {
        "w3": EndpointState.DRAINING,
        "w5": EndpointState.READY,
        "w9": EndpointState.REMOVED,
        "new": EndpointState.READY,
    }
    assert "w9" not in core.endpoints.addresses and core.endpoints.addresses["new"] == "127.0.0.1:9999"
    assert (
        "w9" not in core.endpoints.entries
        and not core.endpoints.ready_ids & {"w3", "w9"}
        and "new" in core.endpoints.ready_ids
    )


@on_loop
async def test_an_address_change_in_a_full_list_is_applied():
    core = create_core(list_members(4))
    entries = list_members(4)
    entries[1]["host_port"] = "127.0.0.1:7777"
    core._on_list(parse_endpoint_list(members(*entries, revision=2)))
    assert core.endpoints.addresses["w1"] == "127.0.0.1:7777"
    assert take_events(core) == [EndpointListUpdate(ListUpdateKind.CHANGES)]


@pytest.mark.parametrize("seed", range(5))
@on_loop
async def test_differences_leave_the_router_in_the_same_state_as_full_lists(seed):
    random = Random(seed)
    core, reference_core = create_core(list_members(40)), create_core(list_members(40))
    reference_core._may_send_changes = lambda: False
    for revision in range(2, 12):
        named = random.sample(range(50), 35)
        entries = [
            member(
                f"w{number}",
                f"127.0.0.1:{1 + number}",
                random.choice(["Ready", "Ready", "Terminating", "Gone"]),
                up_since_ms=random.choice([0, revision]),
            )
            for number in named
        ]
        if revision % 3 == 0:
            entries.append(entries[0] | {"phase": "Ready"})  # a duplicate id: the last entry counts
        for each in (core, reference_core):
            each._on_list(parse_endpoint_list(members(*entries, revision=revision)))
            take_events(each)
        assert (
            core.endpoints.entries == reference_core.endpoints.entries
            and core.endpoints.ready_ids == reference_core.endpoints.ready_ids
            and core.endpoints.addresses == reference_core.endpoints.addresses
        )
        states = [
            {
                endpoint.endpoint_id: endpoint.state
                for endpoint in router.endpoints.all
                if endpoint.state != EndpointState.REMOVED
            }
            for router in (core.router, reference_core.router)
        ]
        assert states[0] == states[1]


@pytest.mark.parametrize("case", ["live sizes", "after a fault"])
@on_loop
async def test_the_full_list_is_passed_on_if_unchanged_entries_may_matter(case):
    core = create_core(list_members(4), **({"weightSource": "live"} if case == "live sizes" else {}))
    core.counters["faults"] += case == "after a fault"
    core._on_list(parse_endpoint_list(members(*list_members(4), revision=2)))
    (update,) = take_events(core)
    assert update.kind == ListUpdateKind.FULL and len(update.entries) == 4


@on_loop
async def test_entries_without_drain_or_correction_are_passed_on_without_a_copy():
    core = create_core([])
    message = parse_endpoint_list(members(*list_members(), revision=2))
    core._on_list(message)
    published = take_events(core)[0].entries
    assert [id(entry) for entry in published] == [id(entry) for entry in message.update.entries]
    assert len(published) == ENDPOINT_COUNT


# ---------------------------------------------------------------- traffic plan


class CountingFollower(plan_application.Follower):
    """Counts how often endpoints are selected by the plan."""

    selections = 0

    def select(self, *arguments):
        self.selections += 1
        return super().select(*arguments)


EVACUATED_PLAN = traffic_plan.Plan(
    1,
    2,
    zones=(
        traffic_plan.ZonePlan("a", traffic_plan.ZoneState.EVACUATED, (traffic_plan.Spillover("b", 1.0),)),
    ),
)


def create_core_with_plan():
    entries = [entry | {"locality": "ab"[number % 2]} for number, entry in enumerate(list_members())]
    core = create_core(entries, zone="a")
    core.endpoints.follower = CountingFollower("n0", "a")
    core.endpoints.follower.accept(plan_application.PlanLease(EVACUATED_PLAN, core.now + 60_000.0))
    core._refresh_endpoints()
    take_events(core)
    return core, entries


@on_loop
async def test_endpoints_are_selected_again_only_when_an_input_changed():
    core, entries = create_core_with_plan()
    selections = core.endpoints.follower.selections
    for _ in range(20):
        core.now += 250.0
        core._on_refresh_due(EndpointRefreshDue())
        # The agent confirms the plan twice a second.
        core.endpoints.follower.accept(plan_application.PlanLease(EVACUATED_PLAN, core.now + 60_000.0))
    assert core.endpoints.follower.selections == selections and core.endpoints.ready_ids == {
        f"w{number}" for number in range(1, ENDPOINT_COUNT, 2)
    }
    # One change of the list causes one selection.
    core._on_list(
        parse_endpoint_list(members(entries[1] | {"phase": "Terminating"}, revision=2, complete=False))
    )
    assert core.endpoints.follower.selections == selections + 1 and "w1" not in core.endpoints.ready_ids
    take_events(core)
    # So do an ejection, a drain, its end, and the end of the plan.
    core.router.endpoints.find("w3").ejection_ms = 500.0
    core._on_refresh_due(EndpointRefreshDue())
    assert core.endpoints.follower.selections == selections + 2
    short = drains.Drain("worker", "w5", "me", "", 0.0, core.now + 900.0, 0)
    core.endpoints.drains = drains.set_drain(core.endpoints.drains, short, 0.0)
    core._refresh_endpoints()
    assert core.endpoints.follower.selections == selections + 3 and "w5" not in core.endpoints.ready_ids
    core.now += 1000.0
    core._refresh_endpoints()
    assert core.endpoints.follower.selections == selections + 4 and "w5" in core.endpoints.ready_ids
    core.now += 120_000.0
    core._refresh_endpoints()
    assert (
        core.endpoints.follower.selections == selections + 5
        and len(core.endpoints.ready_ids) == ENDPOINT_COUNT - 1
    )
    core.timers.refresh_timer and core.timers.refresh_timer.cancel()


@pytest.mark.parametrize("seed", range(4))
def test_the_cached_selection_equals_a_new_one(seed):
    random, now, revision = Random(seed), 1000.0, 2
    entries = {f"w{k}": EndpointEntry(f"w{k}", "ab"[k % 2]) for k in range(30)}
    view, cached_follower, reference = (
        plan_view.PlanView(),
        plan_application.Follower("n0", "a"),
        plan_application.Follower("n0", "a"),
    )
    ejected: set[str] = set()
    for _ in range(300):
        now += 250.0
        action = random.randrange(8)
        name = f"w{random.randrange(30)}"
        if action == 0:
            state = random.choice([EndpointState.READY, EndpointState.DRAINING])
            entries[name] = entries[name]._replace(state=state)
            view.invalidate()
        elif action == 1:
            ejected ^= {name}
        elif action == 2:
            ejected = set(entries) if random.random() < 0.5 else set()
        elif action == 3:
            revision += random.randrange(2)
            lease = plan_application.PlanLease(
                EVACUATED_PLAN._replace(number=revision), now + random.choice([300.0, 3000.0])
            )
            assert cached_follower.accept(lease) == reference.accept(lease)
        ready = view.ready_entries(now, entries, drains.DrainSet())
        assert ready == [entry for entry in entries.values() if entry.state == EndpointState.READY]
        usable = view.usable_ids(now, cached_follower, ready, ejected, {""})
        assert usable == reference.select(now, ready, ejected, {""})
        assert (cached_follower.mode, cached_follower.escapes) == (reference.mode, reference.escapes)
    assert reference.escapes > 0


@on_loop
async def test_a_zone_report_iterates_once_and_adds_up_the_endpoints():
    core, entries = create_core_with_plan()
    router = core.router
    router.endpoints.slots_by_kind = CountingMap({"box": 3.0, "other": 2.0})
    find = router.endpoints.find
    find("w2").kind = "other"
    find("w4").own_slots = 2.0
    find("w6").ejection_ms, find("w6").own_slots = 500.0, 1.0
    find("w8").started_ms = router.now - 1.0
    router.warm_up.duration_ms = 10_000.0
    answer = asyncio.get_running_loop().create_future()
    core._on_zone_report_requested(ZoneReportRequested(answer))
    assert router.endpoints.slots_by_kind.iterations <= 1
    for zone in "ab":
        expected = [0.0] * 7
        for number in range(ENDPOINT_COUNT):
            if "ab"[number % 2] == zone:
                slots, warm, in_flight = inspection.endpoint_slots(router, f"w{number}")
                is_healthy = f"w{number}" not in inspection.ejected_endpoints(router)
                added = (1, not is_healthy, slots * is_healthy, warm * is_healthy, in_flight, 0, 0)
                expected = [total + value for total, value in zip(expected, added, strict=True)]
        assert answer.result().zones[zone] == pytest.approx(expected)
    core.timers.refresh_timer and core.timers.refresh_timer.cancel()


@on_loop
async def test_without_drains_a_description_of_all_endpoints_looks_none_up(monkeypatch):
    core, calls, original = create_core(list_members(5)), [], drains.DrainSet.covering

    def counted(*arguments):
        calls.append(arguments)
        return original(*arguments)

    monkeypatch.setattr(drains.DrainSet, "covering", counted)

    async def describe():
        answer = asyncio.get_running_loop().create_future()
        core._on_endpoints_requested(EndpointsRequested(answer))
        return {view["id"]: view for view in answer.result().to_wire()[0]}

    views = await describe()
    assert not calls and views["w3"]["state"] == views["w3"]["listed"] == EndpointState.READY
    assert views["w3"]["drains"] == [] and views["w3"]["slots"] == 1.0 and len(views) == 5
    drain = drains.Drain("worker", "w3", "me", "", 0.0, drains.INFINITY, 0)
    core.endpoints.drains = drains.set_drain(core.endpoints.drains, drain, 0.0)
    views = await describe()
    assert calls and views["w3"]["state"] == EndpointState.DRAINING and len(views["w3"]["drains"]) == 1
    assert views["w2"]["state"] == EndpointState.READY and views["w2"]["drains"] == []


# ---------------------------------------------------------------- warm state


class CountingTable(EndpointTable):
    """Counts how often the endpoints are looked up: one by its id, or all of them."""

    lookups = 0

    def __getattribute__(self, name):
        if name in ("all", "by_id", "find"):
            CountingTable.lookups += 1
        return super().__getattribute__(name)


def test_importing_warm_state_does_not_look_up_an_endpoint_for_each_value():
    entries = tuple([EndpointEntry(f"w{number}") for number in range(ENDPOINT_COUNT)])
    old, new = [Router(1, SETTINGS, 0.0) for _ in range(2)]
    for router in (old, new):
        router.handle(1.0, [EndpointListUpdate(ListUpdateKind.FULL, entries)])
    old.endpoints.all[7].error_score = 0.25
    state = json.loads(json.dumps(warm_state.export_state(old)))
    new.endpoints.__class__ = CountingTable
    CountingTable.lookups = 0
    warm_state.import_state(new, state)
    assert new.endpoints.find("w7").error_score == 0.25
    # One look-up per field for all endpoints together, not one per endpoint and field.
    assert 0 < CountingTable.lookups <= 2 * len(warm_state.ENDPOINT_FIELDS)


# ---------------------------------------------------------------- bench.scale

BASELINE = Figures(200, 2.0, 0.4, 40.0, 100, 300, 12 * 1024, 0.9)


@pytest.mark.parametrize(
    ("name", "limit", "figure"),
    [
        ("CPU seconds", 1.4 * 2.0 + 0.02 + 0.12 * 3.2, {"cpu_s": 3.21}),
        ("peak memory, MB", 1.5 * 40.0 + 8.0 + 4.0 * 3.2, {"peak_memory_mb": 80.9}),
        ("descriptors", 240.0, {"peak_descriptors": 241}),
        ("connections to endpoints", 790.0, {"connections": 791}),
        ("lists from discovery, KB", 24.0 + 64.0 + 1600.0, {"list_bytes": 1689 * 1024}),
        ("share served", 0.85 * 0.9, {"share_served": 0.76}),
    ],
)
def test_each_value_over_its_limit_fails(name, limit, figure):
    large = replace(BASELINE, endpoints=3200)
    assert all([row.passed for row in scale_limits.rows(BASELINE, large)])
    (failed,) = [row for row in scale_limits.rows(BASELINE, replace(large, **figure)) if not row.passed]
    assert failed.name == name and failed.limit == pytest.approx(limit) and "FAIL" in failed.text()


def test_a_callback_over_the_limit_fails():
    assert scale_limits.callback_row([], []).passed
    assert scale_limits.callback_row([], [Callback(0.0, 20.0, 90.0, "a")]).passed
    assert not scale_limits.callback_row([], [Callback(0.0, 20.1, 20.1, "a")]).passed


def test_fails_if_nothing_is_served():
    unserved = replace(BASELINE, share_served=0.0)
    assert [row.name for row in scale_limits.rows(unserved, unserved) if not row.passed] == ["share served"]


def test_requests_depend_on_the_seed_but_not_on_the_endpoints():
    base = scale.Scenario(200, 16, 30.0, 3, "pushed")
    large = scale.Scenario(3200, 1, 30.0, 3, "asked")
    assert scale.requests_of(base) == scale.requests_of(large) != scale.requests_of(base_scenario(4))
    assert 1000 < len(scale.requests_of(base)) < 1400


def base_scenario(seed):
    return scale.Scenario(200, 16, 30.0, seed, "pushed")


@on_loop
async def test_the_discovery_stub_returns_changes_after_a_revision():
    catalog = ChangingCatalog(list_members(3))
    catalog.change("w1", phase="Terminating")
    catalog.change("w2", phase="Terminating")
    catalog.change("w1", phase="Ready")
    assert catalog.after(0)["complete"] and len(catalog.after(0)["members"]) == 3
    assert catalog.after(9)["complete"]
    after = catalog.after(2)
    assert not after["complete"] and after["revision"] == 4
    assert {entry["id"]: entry["phase"] for entry in after["members"]} == {"w1": "Ready", "w2": "Terminating"}


class BrokenConnection:
    """A fake connection of a watch, which records that it was reset."""

    aborted = False

    def abort(self):
        self.aborted = True


@on_loop
async def test_the_discovery_stub_breaks_watches_once():
    catalog, watch = ChangingCatalog(list_members(1)), BrokenConnection()
    catalog.watches.add(watch)
    catalog.break_watches()
    assert watch.aborted and not catalog.watches


def run_bench(*arguments):
    command = [sys.executable, "-m", "bench.scale", *arguments]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def children_of(pid):
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def exists(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


NAMES = [
    *("CPU seconds", "peak memory, MB", "descriptors", "connections to endpoints"),
    *("lists from discovery, KB", "share served", "longest callback, CPU ms"),
]


def test_the_measurement_has_a_row_for_each_limit():
    bench = run_bench(*["--endpoints", "20", "--times", "3", "--seconds", "1.5", "--together"])
    output, errors = bench.communicate(timeout=60)
    assert not errors and bench.returncode in (0, 1), errors
    rows = output.splitlines()[-len(NAMES) :]
    assert [row[:28].strip() for row in rows] == NAMES
    assert ("FAIL" in output) == (bench.returncode == 1)
    # Requests are served, and connections and lists are counted.
    figures = {row[:28].strip(): [float(each) for each in row[28:52].split()] for row in rows}
    for name in ("share served", "connections to endpoints", "lists from discovery, KB", "descriptors"):
        assert min(figures[name]) > 0.0, name


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
@on_loop
async def test_an_interrupted_measurement_leaves_no_process(number):
    bench = run_bench("--endpoints", "5", "--times", "2", "--seconds", "60")
    try:
        # The processes of the endpoints and of the dispatcher in the first run.
        await until(lambda: len(children_of(bench.pid)) == 2)
        children = children_of(bench.pid)
        bench.send_signal(number)
        output, errors = await asyncio.to_thread(bench.communicate, None, 20)
        assert bench.returncode == 2 and "given up" in errors
        assert not [child for child in children if exists(child)]
    finally:
        bench.kill()
        bench.communicate()


@pytest.mark.parametrize("arguments", [["--times", "1"], ["--seconds", "0"], ["--endpoints", "0"], ["--fly"]])
def test_invalid_arguments_are_rejected(arguments, capsys):
    with pytest.raises(SystemExit) as error:
        scale.main(arguments)
    assert error.value.code == 2 and capsys.readouterr().err
