"""The shared decisions of a fleet, without I/O: the register, membership, the plan, and its application."""

import itertools
from typing import NamedTuple

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from dunepulley.control import caspaxos, codec, fleet_view, membership, plan_application
from dunepulley.control.caspaxos import (
    AcceptorReply,
    AcceptorState,
    Ballot,
    ChangeRefusedError,
    ProposerRound,
    RoundState,
)
from dunepulley.control.fleet_view import Observation, ZoneView
from dunepulley.control.membership import MemberStatus
from dunepulley.control.plan_application import FollowerMode, Placement, PlanLease, apply_plan
from dunepulley.control.planner import Planner
from dunepulley.control.regions import Region, Regions, parse_regions
from dunepulley.control.spare_capacity import allocate_spare
from dunepulley.control.traffic_plan import (
    CLOSED_STATES,
    INFINITY,
    OperatorOverride,
    OverrideAction,
    Plan,
    Spillover,
    ZonePlan,
    ZoneState,
)
from dunepulley.control.zone_history import FRACTION_STEP
from dunepulley.control.zone_transitions import FRACTION_CHANGE_INTERVAL_MS, MAX_FRACTION_CHANGE
from dunepulley.routing.events import EndpointEntry

LOCAL, SPILLING, EVACUATED, RETURNING, BARRED = ZoneState
EVACUATE, BAR, RETURN = OverrideAction

# The same cases in each run, without a database of examples on disk.
deterministic = settings(
    max_examples=60, derandomize=True, database=None, deadline=None, phases=[Phase.generate, Phase.shrink]
)


# ---------------------------------------------------------------- the register


class Proposer(NamedTuple):
    """A proposer in the search: its round as immutable values, so that states can be compared."""

    ballot: Ballot
    state: str = RoundState.PREPARING
    value: bytes = b""
    promises: frozenset = frozenset()
    accepts: frozenset = frozenset()


def proposer_after_reply(proposer, acceptors, phase, acceptor, reply):
    """The proposer after a reply; its change appends its name to the value in the register."""
    round_ = ProposerRound(
        acceptors, proposer.ballot, lambda value: value + proposer.ballot.proposer.encode()
    )
    round_.state, round_.value = proposer.state, proposer.value
    round_.promises, round_.acceptances = dict(proposer.promises), set(proposer.accepts)
    (round_.on_promise if phase == "prepare" else round_.on_accepted)(acceptor, reply)
    promises = frozenset(round_.promises.items()) if round_.state == RoundState.PREPARING else frozenset()
    return Proposer(round_.ballot, round_.state, round_.value, promises, frozenset(round_.acceptances))


def explore_all_orders(ballots, count):
    """Explore every order in which the calls of these proposers can arrive, be lost, delayed or repeated.

    A call can be delivered at any time after it was sent, whether or not its reply is received. Returns the
    number of states; asserts that the committed values form one growing history.
    """
    names = [f"v{number}" for number in range(count)]
    acceptors = frozenset(names)
    start = (tuple([AcceptorState()] * count), tuple([Proposer(ballot) for ballot in ballots]), frozenset())
    visited, pending = {start}, [start]
    while pending:
        stores, proposers, committed = pending.pop()
        for number, proposer in enumerate(proposers):
            phases = ["prepare"] + ["accept"] * (
                proposer.state in (RoundState.ACCEPTING, RoundState.COMMITTED)
            )
            for phase, (index, acceptor) in itertools.product(phases, enumerate(names)):
                if phase == "prepare":
                    after, reply = caspaxos.prepare(stores[index], proposer.ballot)
                else:
                    after, reply = caspaxos.accept(stores[index], proposer.ballot, proposer.value)
                stores_after = stores[:index] + (after,) + stores[index + 1 :]
                proposer_after = proposer_after_reply(proposer, acceptors, phase, acceptor, reply)
                committed_after = (
                    committed | {proposer_after.value}
                    if proposer_after.state == RoundState.COMMITTED
                    else committed
                )
                # The call takes effect, and its reply is received or lost.
                for new_proposer, committed_values in (
                    (proposer_after, committed_after),
                    (proposer, committed),
                ):
                    following = (
                        stores_after,
                        proposers[:number] + (new_proposer,) + proposers[number + 1 :],
                        committed_values,
                    )
                    if following in visited:
                        continue
                    for first, second in itertools.combinations(committed_values, 2):
                        assert first.startswith(second) or second.startswith(first), (first, second)
                        assert len(first) != len(second), "two values with the same number"
                    visited.add(following)
                    pending.append(following)
    return len(visited)


def test_all_orders_of_two_proposers_and_three_acceptors_keep_one_history():
    # Guards against two plans with the same number, and against the loss of a committed plan.
    assert explore_all_orders([Ballot(1, "a"), Ballot(1, "b")], 3) > 1000


def test_search_detects_an_acceptor_that_forgets_its_promise(monkeypatch):
    # Checks the search: it must detect an acceptor that accepts a ballot older than its promise.
    def accept_without_promise(state, ballot, value):
        return AcceptorState(max(ballot, state.promised), ballot, value), AcceptorReply(True, ballot)

    monkeypatch.setattr(caspaxos, "accept", accept_without_promise)
    with pytest.raises(AssertionError):
        explore_all_orders([Ballot(1, "a"), Ballot(1, "b")], 3)


@deterministic
@given(st.lists(st.tuples(st.integers(0, 2), st.sets(st.integers(0, 4)), st.integers(0, 3)), max_size=30))
def test_random_rounds_over_five_acceptors_never_lose_a_committed_value(rounds):
    # Three proposers run rounds that reach a subset of the acceptors; some of the rounds resume later.
    names = [f"v{number}" for number in range(5)]
    stores = dict.fromkeys(names, AcceptorState())
    counters, committed = dict.fromkeys("abc", 0), []
    rounds_so_far = []
    for proposer_number, unreachable, resumed_count in rounds:
        proposer = "abc"[proposer_number]
        counters[proposer] = (
            max(counters[proposer], *[store.promised.counter for store in stores.values()]) + 1
        )
        ballot = Ballot(counters[proposer], proposer)
        round_ = ProposerRound(
            frozenset(names), ballot, lambda value, proposer=proposer: value + proposer.encode()
        )
        rounds_so_far.append(round_)
        reachable = [name for number, name in enumerate(names) if number not in unreachable]
        for name in reachable:
            stores[name], reply = caspaxos.prepare(stores[name], round_.ballot)
            round_.on_promise(name, reply)
        # Some rounds pause here, and resume after other rounds.
        for resumed in rounds_so_far[-1 - resumed_count :]:
            for name in reachable:
                if resumed.state == RoundState.ACCEPTING:
                    stores[name], reply = caspaxos.accept(stores[name], resumed.ballot, resumed.value)
                    resumed.on_accepted(name, reply)
                    if resumed.state == RoundState.COMMITTED:
                        committed.append(resumed.value)
    for first, second in itertools.combinations(committed, 2):
        assert first.startswith(second) or second.startswith(first)
        assert first == second or len(first) != len(second)


def test_round_is_preempted_by_a_newer_ballot_and_refused_by_its_change():
    acceptors = frozenset("xyz")
    preempted = ProposerRound(acceptors, Ballot(1, "a"), lambda value: value)
    assert preempted.on_promise("x", AcceptorReply(False, Ballot(5, "b"))) == RoundState.PREEMPTED
    assert preempted.newest_ballot.counter == 5

    def refuse(value):
        raise ChangeRefusedError("does not apply")

    refused = ProposerRound(acceptors, Ballot(1, "a"), refuse)
    refused.on_promise("x", AcceptorReply(True, Ballot(1, "a")))
    refused.on_promise("odd", AcceptorReply(True, Ballot(1, "a")))
    assert refused.state == RoundState.PREPARING, "a reply from an unknown acceptor is ignored"
    assert refused.on_promise("y", AcceptorReply(True, Ballot(1, "a"))) == RoundState.REFUSED
    assert refused.refusal == "does not apply"


@pytest.mark.parametrize("value", [None, [], [1], [1, 2], ["1", "a"], [1.5, "a"], [-1, "a"], [2**60, "a"]])
def test_malformed_ballots_are_rejected(value):
    with pytest.raises(ValueError):
        codec.decode_ballot(value)


# ---------------------------------------------------------------- decoding of regions and plans


@pytest.mark.parametrize(
    ("document", "message"),
    [
        ({"zone": 1}, "the file: unknown key zone"),
        ({"limit": 0}, "limit: expected a number from 0.1 to 1, got 0"),
        ({"limit": True}, "limit: expected a number from 0.1 to 1, got True"),
        ({"region": {}}, "region: expected an array of tables"),
        ({"region": [{"name": "", "zones": ["a"]}]}, "name: expected a printable name .* got ''"),
        ({"region": [{"name": "e", "zones": []}]}, "e: zones: expected at least one zone"),
        ({"region": [{"name": "e", "zones": ["a"], "far": []}]}, "e: unknown key far"),
        ({"region": [{"name": "e", "zones": ["a", "a"]}]}, "a is listed twice"),
        ({"region": [{"name": "e", "zones": ["a"]}, {"name": "e", "zones": ["b"]}]}, "e is listed twice"),
        ({"region": [{"name": "e", "zones": ["a"], "near": ["w"]}]}, "e: near: w is not"),
        ({"region": [{"name": "e", "zones": ["a"], "near": ["e"]}]}, "e: near: e is not"),
        ({"region": [{"name": "e", "zones": [f"z{n}" for n in range(65)]}]}, "65 zones"),
    ],
)
def test_invalid_regions_are_rejected(document, message):
    with pytest.raises(ValueError, match=message):
        parse_regions(document)


def test_tiers_follow_the_order_of_regions():
    document = {"region": [{"name": "e", "zones": ["a", "b"], "near": ["w"]}, {"name": "w", "zones": ["c"]}]}
    regions = parse_regions(document)
    assert regions.tiers("a", ["a", "b", "c", "d"]) == [["b"], ["c"], ["d"]]
    assert regions.tiers("d", ["a", "d"]) == [["a"]]


PLAN = Plan(
    2,
    7,
    "h1",
    5.0,
    (
        ZonePlan("a", EVACUATED, (Spillover("b", 0.6, 0.5), Spillover("c", 0.4)), "lost"),
        ZonePlan("b"),
    ),
    (
        OperatorOverride("a", BAR, "ana", "cooling", 5000.0),
        OperatorOverride("c", EVACUATE, "bo"),
    ),
)


def test_plan_survives_encoding_and_decoding():
    assert codec.decode_plan(codec.encode_plan(PLAN)) == PLAN
    assert (
        PLAN.closed_zones() == {"a"}
        and PLAN.zone("odd").state == LOCAL
        and PLAN.override("c").remaining_ms == INFINITY
    )


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("number", -1),
        ("number", 1.5),
        ("epoch", None),
        ("at", "x"),
        ("by", "x\ny"),
        ("zones", {}),
        ("zones", [1]),
        ("zones", [{"name": "a"}, {"name": "a"}]),
        ("zones", [{"name": "a", "state": "gone"}]),
        ("zones", [{"name": "a", "state": LOCAL, "over": [["a", 0.5, 1.0]]}]),
        ("zones", [{"name": "a", "state": LOCAL, "over": [["b", 0.6, 1.0], ["c", 0.6, 1.0]]}]),
        ("zones", [{"name": "a", "state": LOCAL, "over": [["b", 2.0, 1.0]]}]),
        ("zones", [{"name": "a", "state": LOCAL, "over": [["b", 0.5]]}]),
        ("zones", [{"name": f"z{n}", "state": LOCAL} for n in range(65)]),
        ("words", [{"zone": "a", "what": "return", "by": "x"}]),
        ("words", [{"zone": "a", "what": "bar", "by": "x" * 65}]),
        ("words", [{"zone": "a", "what": "bar", "by": "x", "left": -1}]),
    ],
)
def test_malformed_plans_are_rejected(path, value):
    with pytest.raises(ValueError):
        codec.decode_plan(codec.encode_plan(PLAN) | {path: value})


# ---------------------------------------------------------------- endpoints that a dispatcher uses


def entries(**zones):
    """Ready endpoints of these zones, all with the same capacity."""
    return [EndpointEntry(f"{zone}{n}", zone, "box") for zone, count in zones.items() for n in range(count)]


def selected_fractions(plan, home_zone, ready, count=40):
    """The fraction of selected endpoints in each zone, over `count` dispatchers of one zone."""
    zone_of = {entry.endpoint_id: entry.zone for entry in ready}
    selected = [
        zone_of[endpoint_id]
        for number in range(count)
        for endpoint_id in apply_plan(plan, Placement(f"n{number}", home_zone), ready).endpoint_ids
    ]
    return {zone: selected.count(zone) / len(selected) for zone in sorted(set(selected))}


@pytest.mark.parametrize(
    ("zone", "expected"),
    [
        (ZonePlan("a"), {"a": 1.0}),
        (ZonePlan("a", SPILLING, (Spillover("b", 0.2),)), {"a": 0.8, "b": 0.2}),
        (
            ZonePlan("a", SPILLING, (Spillover("b", 0.1), Spillover("c", 0.3))),
            {"a": 0.6, "b": 0.1, "c": 0.3},
        ),
        (ZonePlan("a", RETURNING, (Spillover("b", 0.9),)), {"a": 0.1, "b": 0.9}),
        (
            ZonePlan("a", EVACUATED, (Spillover("b", 0.5), Spillover("c", 0.5))),
            {"b": 0.5, "c": 0.5},
        ),
        (ZonePlan("a", BARRED, (Spillover("b", 1.0),)), {"b": 1.0}),
    ],
)
def test_selected_endpoints_match_the_planned_fractions(zone, expected):
    found = selected_fractions(Plan(1, 1, zones=(zone,)), "a", entries(a=20, b=20, c=20))
    assert found.keys() == expected.keys()
    for name, fraction in expected.items():
        assert found[name] == pytest.approx(fraction, abs=0.04)


def test_dispatchers_use_only_the_granted_fraction_of_other_zones():
    # Guards against dispatchers of a lost zone that overload the remaining zones.
    ready = entries(a=20, b=20, c=20)
    plan = Plan(
        1,
        1,
        zones=(ZonePlan("a", EVACUATED, (Spillover("b", 0.3, 0.25), Spillover("c", 0.3, 0.25))),),
    )
    selected = apply_plan(plan, Placement("n0", "a"), ready).endpoint_ids
    assert len(selected) == 10 and {endpoint_id[0] for endpoint_id in selected} == {"b", "c"}
    # Dispatchers select different endpoints, so that together they use all of them.
    assert (
        len(
            {
                endpoint_id
                for number in range(40)
                for endpoint_id in apply_plan(plan, Placement(f"n{number}", "a"), ready).endpoint_ids
            }
        )
        == 40
    )


def test_plan_that_selects_no_endpoint_is_not_followed():
    closed = Plan(1, 1, zones=(ZonePlan("a", EVACUATED), ZonePlan("b")))
    assert apply_plan(closed, Placement("n0", "a"), entries(a=2, b=2)) == plan_application.Selection(
        frozenset({"b0", "b1"}), FollowerMode.NO_ENDPOINTS
    )
    assert apply_plan(closed, Placement("n0", "a"), entries(a=2)) == plan_application.Selection(
        frozenset({"a0", "a1"}), FollowerMode.NO_ENDPOINTS
    )
    assert apply_plan(closed, Placement("n0", "a"), []).endpoint_ids == frozenset()


def test_one_endpoint_of_each_required_kind_is_selected():
    ready = [*entries(a=4), EndpointEntry("b9", "b", "gpu"), EndpointEntry("c9", "c", "gpu")]
    plan = Plan(1, 1, zones=(ZonePlan("a"), ZonePlan("c", EVACUATED)))
    assert "b9" in apply_plan(plan, Placement("n0", "a"), ready, ["gpu", ""]).endpoint_ids
    assert "c9" not in apply_plan(plan, Placement("n0", "a"), ready, ["gpu"]).endpoint_ids


def test_follower_ignores_older_plans_and_shorter_leases():
    # Guards against a dispatcher that returns to an older plan or to an earlier expiry when messages arrive
    # late, twice or out of order.
    older, newer = Plan(1, 1), Plan(1, 2, zones=(ZonePlan("a", EVACUATED, (Spillover("b", 1.0),)),))
    follower = plan_application.Follower("n0", "a")
    ready = entries(a=3, b=3)
    assert (
        follower.select(0.0, ready, ()) == {entry.endpoint_id for entry in ready}
        and follower.mode == FollowerMode.WITHOUT_PLAN
    )
    assert follower.accept(PlanLease(newer, 1000.0)) and not follower.accept(PlanLease(older, 9000.0))
    assert follower.select(1.0, ready, ()) == {"b0", "b1", "b2"} and follower.mode == FollowerMode.BY_PLAN
    assert not follower.accept(PlanLease(newer, 500.0)) and follower.accept(PlanLease(newer, 2000.0))
    assert not follower.accept(PlanLease(newer._replace(author="odd"), 5000.0)), (
        "a different plan, same number"
    )
    assert follower.accept(PlanLease(Plan(2, 0), 1500.0)), "a plan of a newer epoch is newer"
    # After the expiry of the lease all endpoints of the list are used.
    assert (
        follower.select(1500.0, ready, ()) == {entry.endpoint_id for entry in ready}
        and follower.mode == FollowerMode.WITHOUT_PLAN
    )


def test_dispatcher_escapes_from_the_plan_when_most_endpoints_are_ejected():
    # Guards against lost requests in the seconds between the loss of a zone and the fleet's new plan.
    follower = plan_application.Follower("n0", "a")
    ready = entries(a=3, b=3, c=3)
    follower.accept(PlanLease(Plan(1, 1, zones=(ZonePlan("a"), ZonePlan("c", EVACUATED))), 1e9))
    assert follower.select(0.0, ready, {"a0"}) == {"a0", "a1", "a2"}
    assert follower.select(1.0, ready, {"a0", "a1"}) == {"a0", "a1", "a2", "b0", "b1", "b2"}
    assert follower.mode == FollowerMode.ESCAPED and follower.escapes == 1
    assert follower.select(2.0, ready, ()) == {"a0", "a1", "a2", "b0", "b1", "b2"}
    assert follower.select(1.0 + plan_application.ESCAPE_MS, ready, ()) == {"a0", "a1", "a2"}
    # A new plan ends the escape early.
    follower.select(2.0 + plan_application.ESCAPE_MS, ready, {"a0", "a1"})
    follower.accept(PlanLease(Plan(1, 2, zones=(ZonePlan("a", EVACUATED, (Spillover("b", 1.0),)),)), 1e9))
    assert follower.select(3.0 + plan_application.ESCAPE_MS, ready, {"a0", "a1"}) == {"b0", "b1", "b2"}


# ---------------------------------------------------------------- membership


def record_heartbeats(members, now, **ages_by_sender):
    """Record a heartbeat of each of these members, with the ages of the heartbeats that it received."""
    for name, ages in ages_by_sender.items():
        assert members.record_heartbeat(name, now, 1.0, ages)


def test_unreachable_member_is_distinguished_from_one_that_is_gone():
    members = membership.Membership("a", ("a", "b", "c", "d"))
    assert set(members.statuses(0.0).values()) == {MemberStatus.SELF, MemberStatus.GONE}
    record_heartbeats(members, 0.0, b={"a": 10.0, "c": 50.0, "d": 9000.0})
    assert members.statuses(100.0) == {"a": "me", "b": "here", "c": "cut", "d": "gone"}
    # Heartbeats of c arrive, but it does not receive those of this agent.
    record_heartbeats(members, 1000.0, c={"b": 10.0})
    assert members.status("c", 1000.0) == MemberStatus.ONE_WAY
    members.older_version.add("d")
    assert members.status("d", 1000.0) == MemberStatus.OLDER_VERSION
    # c received a heartbeat of b shortly before its own, so b is unreachable from here only. Once c is gone,
    # too, no member has received heartbeats of b.
    assert members.status("b", membership.HEARTBEAT_TIMEOUT_MS + 500.0) == MemberStatus.UNREACHABLE
    assert members.status("b", 2.0 * membership.HEARTBEAT_TIMEOUT_MS) == MemberStatus.GONE


def test_heartbeats_of_earlier_incarnations_and_strangers_are_ignored():
    members = membership.Membership("a", ("a", "b"))
    assert members.record_heartbeat(
        "b", 0.0, 5.0, codec.decode_heartbeat_ages({"a": 1.0, "stranger": 1.0, "b": "x"})
    )
    assert members.heartbeats["b"].ages == {"a": 1.0}
    assert not members.record_heartbeat("b", 100.0, 4.0, {}) and not members.record_heartbeat(
        "odd", 0.0, 1.0, {}
    )
    assert not members.record_heartbeat("a", 0.0, 1.0, {})
    # After the timeout an earlier incarnation is accepted, as the member's clock may have been set back.
    assert members.record_heartbeat("b", 3000.0, 4.0, {})


def test_first_reachable_member_leads_and_the_next_takes_over_after_a_delay():
    names = ("a", "b", "c")
    a, b = membership.Membership("a", names), membership.Membership("b", names)
    assert not a.may_lead(0.0), "a member without a majority does not lead"
    record_heartbeats(a, 0.0, b={"a": 0.0}, c={"a": 0.0})
    record_heartbeats(b, 0.0, a={"b": 0.0}, c={"b": 0.0})
    assert a.may_lead(0.0) and not b.may_lead(0.0)
    # The first member fails: the second waits for the takeover delay, and then leads.
    later = membership.HEARTBEAT_TIMEOUT_MS + 1.0
    record_heartbeats(b, later, c={"b": 0.0, "a": 9000.0})
    assert not b.may_lead(later)
    record_heartbeats(b, later + membership.TAKEOVER_DELAY_MS, c={"b": 0.0})
    assert b.may_lead(later + membership.TAKEOVER_DELAY_MS)


# ---------------------------------------------------------------- observations


def report(name="n0", home_zone="a", process=1, work=0.0, **zones):
    """A dispatcher's report; each zone is given by the fields of `ZoneCounters` in their order."""
    counters = {zone: fleet_view.ZoneCounters(*values) for zone, values in zones.items()}
    return fleet_view.DispatcherReport(
        name, home_zone, process, FollowerMode.BY_PLAN, (1, 1), 0, work, 0.0, counters
    )


def test_report_window_compares_counters_and_restarts_with_a_new_process():
    window = fleet_view.ReportWindow()
    window.add(0.0, report(work=100.0, a=(3, 0, 12, 12, 2, 50, 10)))
    assert window.placements(0.0)["a"].demand == 0.0
    window.add(1000.0, report(work=5100.0, a=(3, 0, 12, 12, 2, 60, 16)))
    window.add(1000.0, report("n1", work=5.0, a=(4, 2, 8, 8, 1, 5, 0)))
    placement = window.placements(1000.0)["a"]
    assert placement.demand == pytest.approx(5.0) and placement.dispatchers == 2.0
    assert placement.zones["a"] == Observation(4, 12, 12, 0.5, 2.0, 3.0, 10.0, 6.0)
    window.add(1100.0, report(process=2, work=1.0, a=(3, 0, 12, 12, 0, 1, 0)))
    assert window.placements(1100.0)["a"].zones["a"].attempts == 0.0
    assert not window.placements(1100.0 + fleet_view.STALE_MS + 1.0)
    window.discard("n1")
    assert window.placements(1100.0)["a"].dispatchers == 1.0


def test_reports_and_placements_survive_encoding_and_decoding():
    original = report(a=(3, 0, 12, 12, 2, 50, 10))
    encoded = codec.encode_report(original) | {"plan": [1, 1]}
    assert codec.decode_report(encoded) == original
    placements = {
        "a": fleet_view.PlacementReport(1.0, 2.0, 0.5, {"b": Observation(1, 2, 3, 0.5, 1, 4, 5, 2)})
    }
    assert codec.decode_placements(codec.encode_placements(placements)) == placements
    malformed_fields = ({"plan": 1}, {"plan": [1, -1]}, {"home": ""}, {"zones": []}, {"zones": {"a": [1]}})
    for malformed in malformed_fields:
        with pytest.raises(ValueError):
            codec.decode_report(encoded | malformed)
    for malformed in ([], {"a": 1}, {"a": {}}, {"": {}}, {f"z{n}": {} for n in range(65)}):
        with pytest.raises(ValueError):
            codec.decode_placements(malformed)


def test_dispatchers_inside_a_zone_decide_whether_it_works():
    # Guards against the evacuation of a working zone by a majority that is cut off from it.
    inside, outside = Observation(4, 16, 16, 0.0, 2, 2, 20, 0), Observation(4, 0, 0, 3.0, 3, 0, 30, 30)
    assert not ZoneView("a", inside=inside, outside=outside).authoritative().looks_lost()
    assert ZoneView("a", outside=outside).authoritative().looks_lost()


# ---------------------------------------------------------------- the planner

REGIONS = Regions(0.8, (Region("e", ("a", "b"), ("w",)), Region("w", ("c",), ("e",))))


def zone(name, demand=4.0, slots=10.0, warm_slots=None, lost=0.0, endpoints=4.0, outside=None, attempts=20.0):
    """A zone of a fleet view; `lost` is the fraction of recent attempts inside that got no answer."""
    observation = Observation(
        endpoints,
        slots,
        slots if warm_slots is None else warm_slots,
        0.0,
        1.0,
        demand,
        attempts,
        attempts * lost,
    )
    return name, ZoneView(name, demand, 0.0, 2.0, observation, outside or Observation())


def fleet_view_of(*zones):
    return dict(zones)


ALL_HEALTHY = fleet_view_of(zone("a"), zone("b"), zone("c"))
# No attempts are made at an evacuated zone.
ZONE_A_IDLE = fleet_view_of(zone("a", attempts=0.0), zone("b"), zone("c"))


class PlannerRun:
    """A planner in simulated time, and the plans that it made."""

    def __init__(self, regions=REGIONS):
        self.planner = Planner("h1", regions)
        self.now = 0.0
        self.plans = []

    def advance(self, view, after=500.0, times=1):
        """Observe a view `times` times, each after a delay in ms; returns the plan in force afterwards."""
        for _ in range(times):
            self.now += after
            self.planner.observe(view, self.now)
            plan = self.planner.decide(view, self.now, 0.0)
            if plan is not None:
                assert plan.number == self.planner.plan.number + 1
                self.planner.learn(plan, self.now)
                self.plans.append((self.now, plan))
        return self.planner.plan

    def set_override(self, view, action, override, force=False):
        plan = self.planner.plan_with_override(view, self.now, 0.0, override._replace(action=action), force)
        self.planner.learn(plan, self.now)
        return plan


def test_healthy_fleet_needs_no_plan():
    run = PlannerRun()
    assert run.advance(ALL_HEALTHY, times=20).number == 0
    assert run.planner.plan.zone("a").state == LOCAL


def test_lost_zone_is_evacuated_after_a_second_to_its_own_region():
    run = PlannerRun()
    run.advance(ALL_HEALTHY, times=4)
    lost = fleet_view_of(zone("a", lost=1.0), zone("b", demand=1.0), zone("c"))
    assert run.advance(lost, times=2).number == 0, "half a second may be a burst"
    plan = run.advance(lost)
    assert plan.zone("a").state == EVACUATED and [each.zone for each in plan.zone("a").spillover] == ["b"]
    assert plan.zone("b").state == LOCAL


def test_spillover_beyond_the_regions_capacity_goes_to_the_next_region():
    run = PlannerRun()
    lost = fleet_view_of(zone("a", demand=8.0, lost=1.0), zone("b", demand=4.0), zone("c", demand=6.0))
    spillover = run.advance(lost, times=4).zone("a").spillover
    # 4 slots are spare at b and 2 at c, and 8 are requested.
    assert [each.zone for each in spillover] == ["b", "c"]
    assert [each.fraction for each in spillover] == pytest.approx([0.67, 0.33], abs=0.01)
    assert [each.grant for each in spillover] == pytest.approx([0.4, 0.2])


def test_two_zones_lost_together_share_the_remaining_capacity():
    run = PlannerRun()
    lost = fleet_view_of(zone("a", lost=1.0), zone("b", lost=1.0), zone("c", demand=4.0))
    plan = run.advance(lost, times=4)
    grants = [plan.zone(name).spillover[0].grant for name in "ab"]
    assert sum(grants) * 10.0 <= 0.8 * 10.0 - 4.0 + 0.01 and grants[0] == grants[1]


def test_partly_working_zone_is_not_evacuated_if_the_others_lack_capacity():
    # Guards against a plan that overloads healthy zones to relieve one that still works in part.
    run = PlannerRun()
    half = fleet_view_of(
        zone("a", demand=8.0, slots=6.0, lost=0.6), zone("b", demand=7.0), zone("c", demand=7.5)
    )
    plan = run.advance(half, times=4)
    assert plan.zone("a").state == SPILLING
    assert plan.zone("a").spilled_fraction() * 8.0 <= 2 * 8.0 - 14.5 + FRACTION_STEP * 8.0


def test_zone_without_endpoints_is_evacuated_and_returns_in_steps():
    run = PlannerRun()
    gone = fleet_view_of(zone("a", endpoints=0.0, slots=0.0), zone("b"), zone("c"))
    assert run.advance(gone, times=4).zone("a").state == EVACUATED
    # The endpoints are back and warming up: the zone gets a tenth of its traffic at first, then at most what
    # its warm slots can serve, in a step every two seconds.
    cold = fleet_view_of(zone("a", warm_slots=2.0, attempts=0.0), zone("b"), zone("c"))
    plan = run.advance(cold, times=20)
    assert plan.zone("a").state == RETURNING
    assert plan.zone("a").local_fraction() * 4.0 <= 0.8 * 2.0 + FRACTION_STEP * 4.0 + 0.01
    assert run.advance(ALL_HEALTHY, times=40).zone("a").state == LOCAL
    local_fractions = [
        (at, plan.zone("a").local_fraction()) for at, plan in run.plans if plan.zone("a").state != EVACUATED
    ]
    for (at, before), (next_at, after) in itertools.pairwise(local_fractions):
        assert after - before <= MAX_FRACTION_CHANGE + FRACTION_STEP and (
            next_at - at >= FRACTION_CHANGE_INTERVAL_MS or after <= before
        )


def test_flapping_zone_returns_after_increasing_delays():
    run = PlannerRun()
    lost = fleet_view_of(zone("a", lost=1.0), zone("b"), zone("c"))
    return_times = []
    for _ in range(400):
        state = run.planner.plan.zone("a").state
        # The zone appears healthy while it gets no attempts, and loses them as soon as it gets some.
        plan = run.advance(ZONE_A_IDLE if state == EVACUATED else lost)
        if plan.zone("a").state == RETURNING and state == EVACUATED:
            return_times.append(run.now)
    intervals = [later - earlier for earlier, later in itertools.pairwise(return_times)]
    assert len(intervals) >= 3 and all(
        [later > 1.5 * earlier for earlier, later in itertools.pairwise(intervals)]
    )


def test_zone_that_worked_inside_returns_at_once_after_a_partition():
    # Guards against a plan that closes a zone to its own dispatchers, which kept using its endpoints while
    # they were cut off from the fleet.
    run = PlannerRun()
    outside = Observation(4, 0, 0, 2.0, 2, 0, 20, 20)
    cut = fleet_view_of(("a", ZoneView("a", outside=outside)), zone("b"), zone("c"))
    assert run.advance(cut, times=8).zone("a").state == EVACUATED
    assert run.advance(ALL_HEALTHY, times=3).zone("a").state == LOCAL


def test_overloaded_zone_spills_after_a_delay_and_stops_when_load_drops():
    run = PlannerRun()
    full = fleet_view_of(zone("a", demand=12.0), zone("b", demand=2.0), zone("c"))
    assert run.advance(full, times=4).number == 0, "it may be a burst"
    plan = run.advance(full, times=8)
    assert plan.zone("a").state == SPILLING and plan.zone("a").spillover[0].zone == "b"
    assert 1.0 - 0.8 * 10.0 / 12.0 - FRACTION_STEP <= plan.zone("a").spilled_fraction() <= 0.4
    assert run.advance(ALL_HEALTHY, times=12).zone("a").state == LOCAL


def test_zone_unreachable_from_outside_receives_no_spillover():
    outside = Observation(4, 0, 0, 2.0, 2, 0, 20, 20)
    run = PlannerRun()
    cut = fleet_view_of(zone("a", lost=1.0), zone("b", outside=outside), zone("c", demand=1.0))
    plan = run.advance(cut, times=4)
    assert [spillover.zone for spillover in plan.zone("a").spillover] == ["c"] and plan.zone(
        "b"
    ).state == LOCAL


def test_with_unknown_slots_only_a_loss_moves_traffic():
    unknown = [zone(name, demand=50.0, slots=0.0) for name in "abc"]
    run = PlannerRun()
    assert run.advance(fleet_view_of(*unknown), times=12).number == 0
    lost = fleet_view_of(zone("a", demand=50.0, slots=0.0, lost=1.0), *unknown[1:])
    assert run.advance(lost, times=4).zone("a").spillover == (Spillover("b", 1.0),)


def test_operator_override_takes_precedence_and_expires():
    run = PlannerRun()
    run.advance(ALL_HEALTHY, times=4)
    plan = run.set_override(ALL_HEALTHY, BAR, OperatorOverride("a", BAR, "ana", "cooling", 3000.0))
    assert plan.zone("a").state == BARRED and plan.zone("a").spillover
    plan = run.advance(ALL_HEALTHY, times=4)
    assert plan.override("a").action == BAR and run.planner.overrides(run.now)[
        0
    ].remaining_ms == pytest.approx(1000.0)
    # The override has expired: its remaining time counts from when the plan was created.
    assert run.advance(ALL_HEALTHY, times=4).zone("a").state == RETURNING
    assert run.advance(ALL_HEALTHY, times=40).zone("a").state == LOCAL and not run.planner.plan.overrides


def test_bar_stays_in_force_while_the_plan_would_return_the_zone():
    run = PlannerRun()
    lost = fleet_view_of(zone("a", lost=1.0), zone("b"), zone("c"))
    run.advance(lost, times=4)
    run.set_override(lost, BAR, OperatorOverride("a", BAR, "ana"))
    assert run.advance(ALL_HEALTHY, times=60).zone("a").state == BARRED
    plan = run.set_override(ALL_HEALTHY, RETURN, OperatorOverride("a", EVACUATE, "ana"))
    assert plan.zone("a").state == RETURNING and not plan.overrides


@pytest.mark.parametrize(
    ("action", "name", "view", "message"),
    [
        (BAR, "odd", ALL_HEALTHY, "no dispatcher knows zone odd"),
        (
            EVACUATE,
            "a",
            fleet_view_of(zone("a", 8.0), zone("b", 7.0), zone("c", 7.0)),
            "22 slots, over the limit of 16",
        ),
        (BAR, "a", fleet_view_of(zone("a")), "no open zone would remain"),
        (RETURN, "a", ALL_HEALTHY, "neither evacuated nor barred"),
    ],
)
def test_harmful_override_is_refused_unless_forced(action, name, view, message):
    run = PlannerRun()
    run.advance(view, times=2)
    override = OperatorOverride(name, EVACUATE if action == RETURN else action, "ana")
    with pytest.raises(ChangeRefusedError, match=message):
        run.set_override(view, action, override)
    if action != RETURN:
        assert run.set_override(view, action, override, force=True).zone(name).state in CLOSED_STATES


slot_counts = st.floats(0.0, 20.0, allow_nan=False)
zone_samples = st.tuples(slot_counts, slot_counts, st.sampled_from([0.0, 0.0, 0.4, 1.0]))


@deterministic
@given(st.lists(st.lists(zone_samples, min_size=3, max_size=3), min_size=1, max_size=25))
def test_no_zone_is_loaded_beyond_the_limit_whatever_is_observed(steps):
    # Guards against plans that overload healthy zones, change in large steps, or spill to a closed zone.
    run = PlannerRun()
    for step in steps:
        zones = zip("abc", step, strict=True)
        view = fleet_view_of(*[zone(name, demand, slots, lost=lost) for name, (demand, slots, lost) in zones])
        before = run.planner.plan
        plan = run.advance(view, after=700.0)
        if plan is before:
            continue
        placed = dict.fromkeys("abc", 0.0)
        for each in plan.zones:
            assert each.spilled_fraction() <= 1.0001
            for spillover in each.spillover:
                assert plan.zone(spillover.zone).state == LOCAL and spillover.zone != each.name
                demand = max(0.5, view[each.name].demand)
                placed[spillover.zone] += min(
                    spillover.fraction * demand, spillover.grant * (view[spillover.zone].capacity or 0.0)
                )
            was_open = before.zone(each.name).state not in CLOSED_STATES and each.state not in CLOSED_STATES
            if was_open and each.state != SPILLING:
                assert (
                    each.spilled_fraction() - before.zone(each.name).spilled_fraction()
                    <= MAX_FRACTION_CHANGE + FRACTION_STEP
                )
        for name, slots in placed.items():
            if slots:
                spare = (
                    0.8 * (view[name].capacity or 0.0) - view[name].demand * plan.zone(name).local_fraction()
                )
                assert slots <= max(0.0, spare) + FRACTION_STEP * 25.0


@deterministic
@given(
    st.dictionaries(st.sampled_from("abcd"), st.floats(0.0, 10.0), min_size=1),
    st.dictionaries(st.sampled_from("wxyz"), st.floats(0.0, 10.0)),
)
def test_allocated_slots_never_exceed_spare_slots(requested, spare):
    tiers = {source: [sorted(spare)[:2], sorted(spare)[2:]] for source in requested}
    allocations = allocate_spare(requested, spare, tiers)
    for name, slots in spare.items():
        assert sum([allocation.slots.get(name, 0.0) for allocation in allocations.values()]) <= slots + 1e-6
    for source, expected in requested.items():
        assert sum(allocations[source].slots.values()) + allocations[source].unplaced == pytest.approx(
            expected
        )
    if sum(requested.values()) <= sum(spare.values()) * 0.1:
        assert sum([allocation.unplaced for allocation in allocations.values()]) == pytest.approx(
            0.0, abs=1e-4
        )


def test_negligible_spare_slots_are_not_allocated():
    # Guards against a division by the tiny remainder of a zone's spare slots.
    assert allocate_spare({"a": 1.0}, {"b": 1e-183, "c": 0.5}, {"a": [["b", "c"]]})["a"].slots == {"c": 0.5}
