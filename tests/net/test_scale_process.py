"""The cost of the process around the decision module at many endpoints: operations counted, no time taken."""

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

MANY = 300


def told_members(count=MANY, **more):
    return [member(f"w{number}", f"127.0.0.1:{1 + number}", **more) for number in range(count)]


def core_of(known, **settings):
    core = Core(
        7, SETTINGS | settings, parse_endpoint_list(members(*known), ListUpdateKind.FROM_DISK), Counters()
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
    """Counts how often it is gone through."""

    passes = 0

    def __iter__(self):
        self.passes += 1
        return super().__iter__()

    def keys(self):
        self.passes += 1
        return super().keys()

    def values(self):
        self.passes += 1
        return super().values()

    def items(self):
        self.passes += 1
        return super().items()


class CountingSet(set):
    """Counts how often it is gone through."""

    passes = 0

    def __iter__(self):
        self.passes += 1
        return super().__iter__()


@on_loop
async def test_neither_a_request_nor_a_change_of_the_list_is_a_pass_over_all_endpoints():
    core = core_of(told_members())
    core.executor.attempt_sender = hands = RecordingSender()
    core.endpoints.entries, core.endpoints.addresses = (
        CountingMap(core.endpoints.entries),
        CountingMap(core.endpoints.addresses),
    )
    core.endpoints.ready_ids = CountingSet(core.endpoints.ready_ids)
    task = asyncio.create_task(core.run())
    for number in range(10):
        arrived = RequestArrived(f"r{number}", "look", 4000.0)
        job = PendingRequest(arrived, core.clock(), "/look/x", {}, b"x")
        core.put(RequestReceived(job))
        await until(lambda number=number: len(hands.sent) == number + 1)
        attempt = hands.sent[-1]
        assert core.may_begin(attempt)
        core.put(CallbackReceived(arrived.request_id, attempt.endpoint_id, "started", 0.0, b"", None))
        core.put(
            CallbackReceived(
                arrived.request_id, attempt.endpoint_id, "done", 0.0, b"made", {"queue": 0.0, "x0": 3.0}
            )
        )
        assert (await job.answer).body == b"made"
        change = member(f"w{number}", f"127.0.0.1:{1 + number}", "Terminating")
        core.put(parse_endpoint_list(members(change, revision=2 + number, complete=False)))
        await until(lambda number=number: core.endpoints.revision == 2 + number)
    assert len(core.endpoints.ready_ids) == MANY - 10
    assert (
        core.endpoints.entries.passes
        == core.endpoints.addresses.passes
        == core.endpoints.ready_ids.passes
        == 0
    )
    task.cancel()


# ---------------------------------------------------------------- lists


@on_loop
async def test_a_whole_list_on_one_line_is_not_searched_for_brackets(monkeypatch):
    searched = []
    plain = json_lines.bracket_depth
    monkeypatch.setattr(json_lines, "bracket_depth", lambda line: searched.append(len(line)) or plain(line))
    async with DispatcherRig() as rig:
        rig.discovery.announce(members(*told_members(), revision=5))
        await until(lambda: rig.core.endpoints.revision == 5)
        assert len(rig.core.endpoints.entries) == MANY and sum(searched) == 0
        # One in several lines is put together as before.
        whole = json.dumps(members(*told_members(7), revision=6), indent=1)
        rig.discovery.lines.put_nowait(whole.encode() + b"\n")
        await until(lambda: rig.core.endpoints.revision == 6)
        assert len(rig.core.endpoints.entries) == 7 and sum(searched) > 0


@on_loop
async def test_between_parsing_and_reading_a_long_list_others_have_their_turn(monkeypatch):
    order, parse, read = [], json_lines.parse_whole_line, discovery.parse_endpoint_list

    def noted_parse(line):
        if len(line) > discovery.LONG_LINE_BYTES:
            order.append("parsed")
            asyncio.get_running_loop().call_soon(order.append, "another")
        return parse(line)

    def noted_read(told):
        order.append("read")
        return read(told)

    monkeypatch.setattr(json_lines, "parse_whole_line", noted_parse)
    monkeypatch.setattr(discovery, "parse_endpoint_list", noted_read)
    async with DispatcherRig() as rig:
        rig.discovery.announce(members(*told_members(3 * MANY), revision=5))
        await until(lambda: rig.core.endpoints.revision == 5)
    assert order == ["parsed", "another", "read"]


@pytest.mark.parametrize("line", [b'  "id": "w1",', b'"a": "no {bracket} [here]",', rb'"a": "\"{",', b""])
def test_a_line_without_brackets_of_its_own_opens_none(line):
    assert json_lines.bracket_depth(line) == 0


@on_loop
async def test_of_a_whole_list_the_module_hears_what_differs():
    core = core_of(told_members())
    known = told_members()
    known[3] |= {"phase": "Terminating"}
    known[5] |= {"up_since_ms": 1234}
    del known[9]
    known.append(member("new", "127.0.0.1:9999"))
    core._on_list(parse_endpoint_list(members(*known, revision=2)))
    (news,) = take_events(core)
    assert news.kind == ListUpdateKind.CHANGES and core.endpoints.revision == 2
    assert {entry.endpoint_id: entry.state for entry in news.entries} == {
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
async def test_another_address_alone_is_taken_from_a_whole_list():
    core = core_of(told_members(4))
    known = told_members(4)
    known[1]["host_port"] = "127.0.0.1:7777"
    core._on_list(parse_endpoint_list(members(*known, revision=2)))
    assert core.endpoints.addresses["w1"] == "127.0.0.1:7777"
    assert take_events(core) == [EndpointListUpdate(ListUpdateKind.CHANGES)]


@pytest.mark.parametrize("seed", range(5))
@on_loop
async def test_what_differs_leaves_the_module_as_the_whole_list_does(seed):
    chance = Random(seed)
    core, twin = core_of(told_members(40)), core_of(told_members(40))
    twin._may_send_changes = lambda: False
    for revision in range(2, 12):
        named = chance.sample(range(50), 35)
        known = [
            member(
                f"w{number}",
                f"127.0.0.1:{1 + number}",
                chance.choice(["Ready", "Ready", "Terminating", "Gone"]),
                up_since_ms=chance.choice([0, revision]),
            )
            for number in named
        ]
        if revision % 3 == 0:
            known.append(known[0] | {"phase": "Ready"})  # one that stands there twice: the last counts
        for one in (core, twin):
            one._on_list(parse_endpoint_list(members(*known, revision=revision)))
            take_events(one)
        assert (
            core.endpoints.entries == twin.endpoints.entries
            and core.endpoints.ready_ids == twin.endpoints.ready_ids
            and core.endpoints.addresses == twin.endpoints.addresses
        )
        states = [
            {
                endpoint.endpoint_id: endpoint.state
                for endpoint in brain.endpoints.all
                if endpoint.state != EndpointState.REMOVED
            }
            for brain in (core.router, twin.router)
        ]
        assert states[0] == states[1]


@pytest.mark.parametrize("case", ["live sizes", "after a fault"])
@on_loop
async def test_the_whole_list_is_told_where_the_rest_may_be_news(case):
    core = core_of(told_members(4), **({"weightSource": "live"} if case == "live sizes" else {}))
    core.counters["faults"] += case == "after a fault"
    core._on_list(parse_endpoint_list(members(*told_members(4), revision=2)))
    (news,) = take_events(core)
    assert news.kind == ListUpdateKind.FULL and len(news.entries) == 4


@on_loop
async def test_entries_that_nothing_lies_over_are_passed_on_as_they_are():
    core = core_of([])
    message = parse_endpoint_list(members(*told_members(), revision=2))
    core._on_list(message)
    told = take_events(core)[0].entries
    assert [id(entry) for entry in told] == [id(entry) for entry in message.update.entries]
    assert len(told) == MANY


# ---------------------------------------------------------------- the plan


class CountingFollower(plan_application.Follower):
    """Counts how often the plan is laid over the list."""

    looks = 0

    def select(self, *arguments):
        self.looks += 1
        return super().select(*arguments)


LEFT_A = traffic_plan.Plan(
    1,
    2,
    zones=(
        traffic_plan.ZonePlan("a", traffic_plan.ZoneState.EVACUATED, (traffic_plan.Spillover("b", 1.0),)),
    ),
)


def core_by_plan():
    known = [one | {"locality": "ab"[number % 2]} for number, one in enumerate(told_members())]
    core = core_of(known, zone="a")
    core.endpoints.follower = CountingFollower("n0", "a")
    core.endpoints.follower.accept(plan_application.PlanLease(LEFT_A, core.now + 60_000.0))
    core._refresh_endpoints()
    take_events(core)
    return core, known


@on_loop
async def test_the_plan_is_laid_anew_only_when_something_changed():
    core, known = core_by_plan()
    looks = core.endpoints.follower.looks
    for _ in range(20):
        core.now += 250.0
        core._on_refresh_due(EndpointRefreshDue())
        # Confirmed by the agent, as twice a second.
        core.endpoints.follower.accept(plan_application.PlanLease(LEFT_A, core.now + 60_000.0))
    assert core.endpoints.follower.looks == looks and core.endpoints.ready_ids == {
        f"w{number}" for number in range(1, MANY, 2)
    }
    # One change of the list is one look.
    core._on_list(
        parse_endpoint_list(members(known[1] | {"phase": "Terminating"}, revision=2, complete=False))
    )
    assert core.endpoints.follower.looks == looks + 1 and "w1" not in core.endpoints.ready_ids
    take_events(core)
    # One that is sick, a drain, its end, and the end of the plan are seen, too.
    core.router.endpoints.find("w3").ejection_ms = 500.0
    core._on_refresh_due(EndpointRefreshDue())
    assert core.endpoints.follower.looks == looks + 2
    short = drains.Drain("worker", "w5", "me", "", 0.0, core.now + 900.0, 0)
    core.endpoints.drains = drains.set_drain(core.endpoints.drains, short, 0.0)
    core._refresh_endpoints()
    assert core.endpoints.follower.looks == looks + 3 and "w5" not in core.endpoints.ready_ids
    core.now += 1000.0
    core._refresh_endpoints()
    assert core.endpoints.follower.looks == looks + 4 and "w5" in core.endpoints.ready_ids
    core.now += 120_000.0
    core._refresh_endpoints()
    assert core.endpoints.follower.looks == looks + 5 and len(core.endpoints.ready_ids) == MANY - 1
    core.timers.refresh_timer and core.timers.refresh_timer.cancel()


@pytest.mark.parametrize("seed", range(4))
def test_what_is_remembered_of_the_plan_is_what_a_fresh_look_gives(seed):
    chance, now, revision = Random(seed), 1000.0, 2
    entries = {f"w{k}": EndpointEntry(f"w{k}", "ab"[k % 2]) for k in range(30)}
    view, remembered, fresh = (
        plan_view.PlanView(),
        plan_application.Follower("n0", "a"),
        plan_application.Follower("n0", "a"),
    )
    sick: set[str] = set()
    for _ in range(300):
        now += 250.0
        what = chance.randrange(8)
        name = f"w{chance.randrange(30)}"
        if what == 0:
            state = chance.choice([EndpointState.READY, EndpointState.DRAINING])
            entries[name] = entries[name]._replace(state=state)
            view.list_changed()
        elif what == 1:
            sick ^= {name}
        elif what == 2:
            sick = set(entries) if chance.random() < 0.5 else set()
        elif what == 3:
            revision += chance.randrange(2)
            held = plan_application.PlanLease(
                LEFT_A._replace(number=revision), now + chance.choice([300.0, 3000.0])
            )
            assert remembered.accept(held) == fresh.accept(held)
        ready = view.ready(now, entries, drains.DrainSet())
        assert ready == [entry for entry in entries.values() if entry.state == EndpointState.READY]
        seen = view.visible(now, remembered, ready, sick, {""})
        assert seen == fresh.select(now, ready, sick, {""})
        assert (remembered.mode, remembered.escapes) == (fresh.mode, fresh.escapes)
    assert fresh.escapes > 0


@on_loop
async def test_what_is_told_of_zones_takes_one_pass_and_is_the_sum_of_its_workers():
    core, known = core_by_plan()
    brain = core.router
    brain.endpoints.slots_by_kind = CountingMap({"box": 3.0, "other": 2.0})
    find = brain.endpoints.find
    find("w2").kind = "other"
    find("w4").own_slots = 2.0
    find("w6").ejection_ms, find("w6").own_slots = 500.0, 1.0
    find("w8").started_ms = brain.now - 1.0
    brain.warm_up.duration_ms = 10_000.0
    answer = asyncio.get_running_loop().create_future()
    core._on_zone_report_requested(ZoneReportRequested(answer))
    assert brain.endpoints.slots_by_kind.passes <= 1
    for zone in "ab":
        wanted = [0.0] * 7
        for number in range(MANY):
            if "ab"[number % 2] == zone:
                slots, warm, out = inspection.endpoint_slots(brain, f"w{number}")
                well = f"w{number}" not in inspection.ejected_endpoints(brain)
                added = (1, not well, slots * well, warm * well, out, 0, 0)
                wanted = [one + more for one, more in zip(wanted, added, strict=True)]
        assert answer.result().zones[zone] == pytest.approx(wanted)
    core.timers.refresh_timer and core.timers.refresh_timer.cancel()


@on_loop
async def test_with_no_drain_standing_a_view_of_all_endpoints_asks_for_none(monkeypatch):
    core, asked, plain = core_of(told_members(5)), [], drains.DrainSet.covering

    def counted(*arguments):
        asked.append(arguments)
        return plain(*arguments)

    monkeypatch.setattr(drains.DrainSet, "covering", counted)

    async def viewed():
        answer = asyncio.get_running_loop().create_future()
        core._on_endpoints_requested(EndpointsRequested(answer))
        return {view["id"]: view for view in answer.result().to_wire()[0]}

    views = await viewed()
    assert not asked and views["w3"]["state"] == views["w3"]["listed"] == EndpointState.READY
    assert views["w3"]["drains"] == [] and views["w3"]["slots"] == 1.0 and len(views) == 5
    drain = drains.Drain("worker", "w3", "me", "", 0.0, drains.INFINITY, 0)
    core.endpoints.drains = drains.set_drain(core.endpoints.drains, drain, 0.0)
    views = await viewed()
    assert asked and views["w3"]["state"] == EndpointState.DRAINING and len(views["w3"]["drains"]) == 1
    assert views["w2"]["state"] == EndpointState.READY and views["w2"]["drains"] == []


# ---------------------------------------------------------------- a successor


class CountingTable(EndpointTable):
    """Counts how often the endpoints are looked up: one by its id, or all of them."""

    lookups = 0

    def __getattribute__(self, name):
        if name in ("all", "by_id", "find"):
            CountingTable.lookups += 1
        return super().__getattribute__(name)


def test_a_successor_does_not_look_an_endpoint_up_for_each_figure_of_it():
    entries = tuple([EndpointEntry(f"w{number}") for number in range(MANY)])
    old, new = [Router(1, SETTINGS, 0.0) for _ in range(2)]
    for one in (old, new):
        one.handle(1.0, [EndpointListUpdate(ListUpdateKind.FULL, entries)])
    old.endpoints.all[7].error_score = 0.25
    told = json.loads(json.dumps(warm_state.export_state(old)))
    new.endpoints.__class__ = CountingTable
    CountingTable.lookups = 0
    warm_state.import_state(new, told)
    assert new.endpoints.find("w7").error_score == 0.25
    # Once for each figure of all endpoints together, not of each.
    assert 0 < CountingTable.lookups <= 2 * len(warm_state.ENDPOINT_FIELDS)


# ---------------------------------------------------------------- the measurement

FINE = Figures(200, 2.0, 0.4, 40.0, 100, 300, 12 * 1024, 0.9)


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
def test_each_figure_beyond_its_limit_fails(name, limit, figure):
    large = replace(FINE, endpoints=3200)
    assert all([row.passed for row in scale_limits.rows(FINE, large)])
    (failed,) = [row for row in scale_limits.rows(FINE, replace(large, **figure)) if not row.passed]
    assert failed.name == name and failed.limit == pytest.approx(limit) and "FAIL" in failed.text()


def test_a_callback_over_the_limit_fails():
    assert scale_limits.callback_row([], []).passed
    assert scale_limits.callback_row([], [Callback(0.0, 20.0, 90.0, "a")]).passed
    assert not scale_limits.callback_row([], [Callback(0.0, 20.1, 20.1, "a")]).passed


def test_nothing_served_is_no_pass():
    none = replace(FINE, share_served=0.0)
    assert [row.name for row in scale_limits.rows(none, none) if not row.passed] == ["share served"]


def test_requests_follow_from_the_seed_not_from_the_endpoints():
    base = scale.Scenario(200, 16, 30.0, 3, "pushed")
    large = scale.Scenario(3200, 1, 30.0, 3, "asked")
    assert scale.requests_of(base) == scale.requests_of(large) != scale.requests_of(base_of(4))
    assert 1000 < len(scale.requests_of(base)) < 1400


def base_of(seed):
    return scale.Scenario(200, 16, 30.0, seed, "pushed")


@on_loop
async def test_the_discovery_stub_tells_changes_after_a_revision():
    catalog = ChangingCatalog(told_members(3))
    catalog.change("w1", phase="Terminating")
    catalog.change("w2", phase="Terminating")
    catalog.change("w1", phase="Ready")
    assert catalog.after(0)["complete"] and len(catalog.after(0)["members"]) == 3
    assert catalog.after(9)["complete"]
    after = catalog.after(2)
    assert not after["complete"] and after["revision"] == 4
    assert {one["id"]: one["phase"] for one in after["members"]} == {"w1": "Ready", "w2": "Terminating"}


class BrokenConnection:
    """A watch's connection, which notes that it was reset."""

    aborted = False

    def abort(self):
        self.aborted = True


@on_loop
async def test_the_discovery_stub_breaks_watches_once():
    catalog, watch = ChangingCatalog(told_members(1)), BrokenConnection()
    catalog.watches.add(watch)
    catalog.break_watches()
    assert watch.aborted and not catalog.watches


def run_bench(*words):
    command = [sys.executable, "-m", "bench.scale", *words]
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
    told, wrong = bench.communicate(timeout=60)
    assert not wrong and bench.returncode in (0, 1), wrong
    rows = told.splitlines()[-len(NAMES) :]
    assert [row[:28].strip() for row in rows] == NAMES
    assert ("FAIL" in told) == (bench.returncode == 1)
    # Requests are served, over connections that are counted, after a list that is.
    figures = {row[:28].strip(): [float(each) for each in row[28:52].split()] for row in rows}
    for name in ("share served", "connections to endpoints", "lists from discovery, KB", "descriptors"):
        assert min(figures[name]) > 0.0, name


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
@on_loop
async def test_a_measurement_that_is_given_up_leaves_no_process(number):
    bench = run_bench("--endpoints", "5", "--times", "2", "--seconds", "60")
    try:
        # The endpoints and the dispatcher of the first run.
        await until(lambda: len(children_of(bench.pid)) == 2)
        children = children_of(bench.pid)
        bench.send_signal(number)
        told, wrong = await asyncio.to_thread(bench.communicate, None, 20)
        assert bench.returncode == 2 and "given up" in wrong
        assert not [child for child in children if exists(child)]
    finally:
        bench.kill()
        bench.communicate()


@pytest.mark.parametrize("words", [["--times", "1"], ["--seconds", "0"], ["--endpoints", "0"], ["--fly"]])
def test_odd_words_are_refused(words, capsys):
    with pytest.raises(SystemExit) as ended:
        scale.main(words)
    assert ended.value.code == 2 and capsys.readouterr().err
