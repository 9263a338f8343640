"""What a fleet decides in common, without I/O: the register, who is there, the plan, and how it is laid."""

import itertools
from typing import NamedTuple

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as some

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

# The same cases each time, and no folder of examples left behind.
fixed = settings(
    max_examples=60, derandomize=True, database=None, deadline=None, phases=[Phase.generate, Phase.shrink]
)


# ---------------------------------------------------------------- the register


class Proposer(NamedTuple):
    """A proposer in the search: its round as plain values, so that states can be compared."""

    ballot: Ballot
    state: str = RoundState.PREPARING
    value: bytes = b""
    promises: frozenset = frozenset()
    accepts: frozenset = frozenset()


def answered(proposer, voters, phase, voter, answer):
    """The proposer after an answer; its change adds its name to what is there."""
    made = ProposerRound(voters, proposer.ballot, lambda value: value + proposer.ballot.proposer.encode())
    made.state, made.value = proposer.state, proposer.value
    made.promises, made.acceptances = dict(proposer.promises), set(proposer.accepts)
    (made.on_promise if phase == "prepare" else made.on_accepted)(voter, answer)
    promises = frozenset(made.promises.items()) if made.state == RoundState.PREPARING else frozenset()
    return Proposer(made.ballot, made.state, made.value, promises, frozenset(made.acceptances))


def search(ballots, count):
    """Every order in which the calls of these proposers can come, be lost, come late or twice.

    A call can be delivered at any time from its sending on, whether or not its answer is heard. Returns how
    many states there were; asserts that whatever was acknowledged is one growing history.
    """
    names = [f"v{number}" for number in range(count)]
    voters = frozenset(names)
    start = (tuple([AcceptorState()] * count), tuple([Proposer(ballot) for ballot in ballots]), frozenset())
    seen, left = {start}, [start]
    while left:
        stores, proposers, done = left.pop()
        for number, proposer in enumerate(proposers):
            phases = ["prepare"] + ["accept"] * (
                proposer.state in (RoundState.ACCEPTING, RoundState.COMMITTED)
            )
            for phase, (at, voter) in itertools.product(phases, enumerate(names)):
                if phase == "prepare":
                    after, answer = caspaxos.prepare(stores[at], proposer.ballot)
                else:
                    after, answer = caspaxos.accept(stores[at], proposer.ballot, proposer.value)
                kept = stores[:at] + (after,) + stores[at + 1 :]
                told = answered(proposer, voters, phase, voter, answer)
                acked = done | {told.value} if told.state == RoundState.COMMITTED else done
                # The call has its effect, and its answer is heard or lost.
                for other, known in ((told, acked), (proposer, done)):
                    following = (kept, proposers[:number] + (other,) + proposers[number + 1 :], known)
                    if following in seen:
                        continue
                    for one, two in itertools.combinations(known, 2):
                        assert one.startswith(two) or two.startswith(one), (one, two)
                        assert len(one) != len(two), "two values of one number"
                    seen.add(following)
                    left.append(following)
    return len(seen)


def test_every_order_of_two_proposers_and_three_voters_keeps_one_history():
    # Guards against two plans of one number, and against an acknowledged plan that is lost.
    assert search([Ballot(1, "a"), Ballot(1, "b")], 3) > 1000


def test_the_search_finds_a_voter_that_forgets_its_promise(monkeypatch):
    # The search itself: a voter that accepts what is older than its promise is found out.
    def careless(voter, ballot, value):
        return AcceptorState(max(ballot, voter.promised), ballot, value), AcceptorReply(True, ballot)

    monkeypatch.setattr(caspaxos, "accept", careless)
    with pytest.raises(AssertionError):
        search([Ballot(1, "a"), Ballot(1, "b")], 3)


@fixed
@given(
    some.lists(
        some.tuples(some.integers(0, 2), some.sets(some.integers(0, 4)), some.integers(0, 3)), max_size=30
    )
)
def test_rounds_by_chance_over_five_voters_never_lose_what_was_acknowledged(rounds):
    # Three proposers, rounds that reach any of the voters, and some that go on late.
    names = [f"v{number}" for number in range(5)]
    stores = dict.fromkeys(names, AcceptorState())
    counter, acked = dict.fromkeys("abc", 0), []
    open_ = []
    for who, away, steps in rounds:
        by = "abc"[who]
        counter[by] = max(counter[by], *[store.promised.counter for store in stores.values()]) + 1
        ballot = Ballot(counter[by], by)
        one = ProposerRound(frozenset(names), ballot, lambda value, by=by: value + by.encode())
        open_.append(one)
        there = [name for number, name in enumerate(names) if number not in away]
        for name in there:
            stores[name], answer = caspaxos.prepare(stores[name], one.ballot)
            one.on_promise(name, answer)
        # Some rounds stop here for a while, and go on when others have been.
        for late in open_[-1 - steps :]:
            for name in there:
                if late.state == RoundState.ACCEPTING:
                    stores[name], answer = caspaxos.accept(stores[name], late.ballot, late.value)
                    late.on_accepted(name, answer)
                    if late.state == RoundState.COMMITTED:
                        acked.append(late.value)
    for one, two in itertools.combinations(acked, 2):
        assert one.startswith(two) or two.startswith(one)
        assert one == two or len(one) != len(two)


def test_a_round_is_beaten_by_a_newer_ballot_and_refused_by_its_change():
    voters = frozenset("xyz")
    one = ProposerRound(voters, Ballot(1, "a"), lambda value: value)
    assert one.on_promise("x", AcceptorReply(False, Ballot(5, "b"))) == RoundState.PREEMPTED
    assert one.newest_ballot.counter == 5

    def refuse(value):
        raise ChangeRefusedError("not for this one")

    two = ProposerRound(voters, Ballot(1, "a"), refuse)
    two.on_promise("x", AcceptorReply(True, Ballot(1, "a")))
    two.on_promise("odd", AcceptorReply(True, Ballot(1, "a")))
    assert two.state == RoundState.PREPARING, "one that is no voter counts for nothing"
    assert two.on_promise("y", AcceptorReply(True, Ballot(1, "a"))) == RoundState.REFUSED
    assert two.refusal == "not for this one"


@pytest.mark.parametrize("value", [None, [], [1], [1, 2], ["1", "a"], [1.5, "a"], [-1, "a"], [2**60, "a"]])
def test_odd_ballots_are_refused(value):
    with pytest.raises(ValueError):
        codec.decode_ballot(value)


# ---------------------------------------------------------------- regions and plans as they are told


@pytest.mark.parametrize(
    ("told", "word"),
    [
        ({"zone": 1}, "zone, which means nothing"),
        ({"limit": 0}, "limit is 0"),
        ({"limit": True}, "limit is True"),
        ({"region": {}}, "no list of tables"),
        ({"region": [{"name": "", "zones": ["a"]}]}, "name is ''"),
        ({"region": [{"name": "e", "zones": []}]}, "e has no zones"),
        ({"region": [{"name": "e", "zones": ["a"], "far": []}]}, "e has far"),
        ({"region": [{"name": "e", "zones": ["a", "a"]}]}, "a stands there twice"),
        ({"region": [{"name": "e", "zones": ["a"]}, {"name": "e", "zones": ["b"]}]}, "e stands there twice"),
        ({"region": [{"name": "e", "zones": ["a"], "near": ["w"]}]}, "near names w"),
        ({"region": [{"name": "e", "zones": ["a"], "near": ["e"]}]}, "near names e"),
        ({"region": [{"name": "e", "zones": [f"z{n}" for n in range(65)]}]}, "65 zones"),
    ],
)
def test_odd_regions_are_refused(told, word):
    with pytest.raises(ValueError, match=word):
        parse_regions(told)


def test_zones_take_over_in_the_order_of_regions():
    told = {"region": [{"name": "e", "zones": ["a", "b"], "near": ["w"]}, {"name": "w", "zones": ["c"]}]}
    regions = parse_regions(told)
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


def test_a_plan_is_told_and_read_as_it_is():
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
def test_odd_plans_are_refused(path, value):
    with pytest.raises(ValueError):
        codec.decode_plan(codec.encode_plan(PLAN) | {path: value})


# ---------------------------------------------------------------- what a dispatcher sees


def entries(**zones):
    """Ready workers of these zones, alike in size."""
    return [EndpointEntry(f"{zone}{n}", zone, "box") for zone, count in zones.items() for n in range(count)]


def parts(plan, home, ready, count=40):
    """Which part of what dispatchers of a zone see lies in each zone, over many of them."""
    zone_of = {entry.endpoint_id: entry.zone for entry in ready}
    seen = [
        zone_of[worker]
        for me in range(count)
        for worker in apply_plan(plan, Placement(f"n{me}", home), ready).endpoint_ids
    ]
    return {zone: seen.count(zone) / len(seen) for zone in sorted(set(seen))}


@pytest.mark.parametrize(
    ("zone", "wanted"),
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
def test_as_much_goes_over_as_the_plan_says(zone, wanted):
    found = parts(Plan(1, 1, zones=(zone,)), "a", entries(a=20, b=20, c=20))
    assert found.keys() == wanted.keys()
    for name, part in wanted.items():
        assert found[name] == pytest.approx(part, abs=0.04)


def test_what_has_no_room_elsewhere_gets_only_what_is_granted():
    # Guards against a lost zone's dispatchers that push over the zones that remain.
    ready = entries(a=20, b=20, c=20)
    plan = Plan(
        1,
        1,
        zones=(ZonePlan("a", EVACUATED, (Spillover("b", 0.3, 0.25), Spillover("c", 0.3, 0.25))),),
    )
    seen = apply_plan(plan, Placement("n0", "a"), ready).endpoint_ids
    assert len(seen) == 10 and {worker[0] for worker in seen} == {"b", "c"}
    # Others see others, so together they use all.
    assert (
        len(
            {
                worker
                for me in range(40)
                for worker in apply_plan(plan, Placement(f"n{me}", "a"), ready).endpoint_ids
            }
        )
        == 40
    )


def test_a_plan_that_leaves_a_dispatcher_nobody_is_not_gone_by():
    closed = Plan(1, 1, zones=(ZonePlan("a", EVACUATED), ZonePlan("b")))
    assert apply_plan(closed, Placement("n0", "a"), entries(a=2, b=2)) == plan_application.Selection(
        frozenset({"b0", "b1"}), FollowerMode.NO_ENDPOINTS
    )
    assert apply_plan(closed, Placement("n0", "a"), entries(a=2)) == plan_application.Selection(
        frozenset({"a0", "a1"}), FollowerMode.NO_ENDPOINTS
    )
    assert apply_plan(closed, Placement("n0", "a"), []).endpoint_ids == frozenset()


def test_a_kind_that_a_category_needs_is_seen_somewhere():
    ready = [*entries(a=4), EndpointEntry("b9", "b", "gpu"), EndpointEntry("c9", "c", "gpu")]
    near = Plan(1, 1, zones=(ZonePlan("a"), ZonePlan("c", EVACUATED)))
    assert "b9" in apply_plan(near, Placement("n0", "a"), ready, ["gpu", ""]).endpoint_ids
    assert "c9" not in apply_plan(near, Placement("n0", "a"), ready, ["gpu"]).endpoint_ids


def test_plans_come_late_twice_and_out_of_order():
    # Guards against a dispatcher that goes back to an older plan, or to less of its time.
    one, two = Plan(1, 1), Plan(1, 2, zones=(ZonePlan("a", EVACUATED, (Spillover("b", 1.0),)),))
    follower = plan_application.Follower("n0", "a")
    ready = entries(a=3, b=3)
    assert (
        follower.select(0.0, ready, ()) == {entry.endpoint_id for entry in ready}
        and follower.mode == FollowerMode.WITHOUT_PLAN
    )
    assert follower.accept(PlanLease(two, 1000.0)) and not follower.accept(PlanLease(one, 9000.0))
    assert follower.select(1.0, ready, ()) == {"b0", "b1", "b2"} and follower.mode == FollowerMode.BY_PLAN
    assert not follower.accept(PlanLease(two, 500.0)) and follower.accept(PlanLease(two, 2000.0))
    assert not follower.accept(PlanLease(two._replace(author="odd"), 5000.0)), (
        "another plan of the same number"
    )
    assert follower.accept(PlanLease(Plan(2, 0), 1500.0)), "a new epoch counts all the same"
    # Its time is up: by the list alone, which needs nobody.
    assert (
        follower.select(1500.0, ready, ()) == {entry.endpoint_id for entry in ready}
        and follower.mode == FollowerMode.WITHOUT_PLAN
    )


def test_a_dispatcher_whose_zone_is_sick_looks_elsewhere_at_once_and_comes_back():
    # Guards against the seconds between a zone's loss and the fleet's word of it.
    follower = plan_application.Follower("n0", "a")
    ready = entries(a=3, b=3, c=3)
    follower.accept(PlanLease(Plan(1, 1, zones=(ZonePlan("a"), ZonePlan("c", EVACUATED))), 1e9))
    assert follower.select(0.0, ready, {"a0"}) == {"a0", "a1", "a2"}
    assert follower.select(1.0, ready, {"a0", "a1"}) == {"a0", "a1", "a2", "b0", "b1", "b2"}
    assert follower.mode == FollowerMode.ESCAPED and follower.escapes == 1
    assert follower.select(2.0, ready, ()) == {"a0", "a1", "a2", "b0", "b1", "b2"}
    assert follower.select(1.0 + plan_application.ESCAPE_MS, ready, ()) == {"a0", "a1", "a2"}
    # The fleet's word ends it sooner.
    follower.select(2.0 + plan_application.ESCAPE_MS, ready, {"a0", "a1"})
    follower.accept(PlanLease(Plan(1, 2, zones=(ZonePlan("a", EVACUATED, (Spillover("b", 1.0),)),)), 1e9))
    assert follower.select(3.0 + plan_application.ESCAPE_MS, ready, {"a0", "a1"}) == {"b0", "b1", "b2"}


# ---------------------------------------------------------------- who is there


def heard(members, now, **sees):
    """These members tell how long ago they heard of the others."""
    for name, ages in sees.items():
        assert members.record_heartbeat(name, now, 1.0, ages)


def test_a_member_that_is_cut_off_is_told_from_one_that_is_gone():
    members = membership.Membership("a", ("a", "b", "c", "d"))
    assert set(members.statuses(0.0).values()) == {MemberStatus.SELF, MemberStatus.GONE}
    heard(members, 0.0, b={"a": 10.0, "c": 50.0, "d": 9000.0})
    assert members.statuses(100.0) == {"a": "me", "b": "here", "c": "cut", "d": "gone"}
    # It calls, but what we say does not reach it.
    heard(members, 1000.0, c={"b": 10.0})
    assert members.status("c", 1000.0) == MemberStatus.ONE_WAY
    members.older_version.add("d")
    assert members.status("d", 1000.0) == MemberStatus.OLDER_VERSION
    # c heard of it 10 ms before it told, so it is cut off from here; once c is gone too, nobody knows of it.
    assert members.status("b", membership.HEARTBEAT_TIMEOUT_MS + 500.0) == MemberStatus.UNREACHABLE
    assert members.status("b", 2.0 * membership.HEARTBEAT_TIMEOUT_MS) == MemberStatus.GONE


def test_words_of_an_earlier_start_and_of_strangers_count_for_nothing():
    members = membership.Membership("a", ("a", "b"))
    assert members.record_heartbeat(
        "b", 0.0, 5.0, codec.decode_heartbeat_ages({"a": 1.0, "stranger": 1.0, "b": "x"})
    )
    assert members.heartbeats["b"].ages == {"a": 1.0}
    assert not members.record_heartbeat("b", 100.0, 4.0, {}) and not members.record_heartbeat(
        "odd", 0.0, 1.0, {}
    )
    assert not members.record_heartbeat("a", 0.0, 1.0, {})
    # A clock that was set back is no reason to be deaf for long.
    assert members.record_heartbeat("b", 3000.0, 4.0, {})


def test_one_decides_and_the_next_waits_longer():
    names = ("a", "b", "c")
    a, b = membership.Membership("a", names), membership.Membership("b", names)
    assert not a.may_lead(0.0), "alone there is no majority"
    heard(a, 0.0, b={"a": 0.0}, c={"a": 0.0})
    heard(b, 0.0, a={"b": 0.0}, c={"b": 0.0})
    assert a.may_lead(0.0) and not b.may_lead(0.0)
    # The first dies: the second waits for it a while, then decides.
    later = membership.HEARTBEAT_TIMEOUT_MS + 1.0
    heard(b, later, c={"b": 0.0, "a": 9000.0})
    assert not b.may_lead(later)
    heard(b, later + membership.TAKEOVER_DELAY_MS, c={"b": 0.0})
    assert b.may_lead(later + membership.TAKEOVER_DELAY_MS)


# ---------------------------------------------------------------- what was seen


def report(name="n0", home="a", process=1, work=0.0, **zones):
    """A dispatcher's report; zones as workers, sick, slots, warm, out, sent, lost."""
    seen = {zone: fleet_view.ZoneCounters(*figures) for zone, figures in zones.items()}
    return fleet_view.DispatcherReport(name, home, process, FollowerMode.BY_PLAN, (1, 1), 0, work, 0.0, seen)


def test_counts_are_compared_over_a_window_and_a_new_process_counts_from_nothing():
    watch = fleet_view.ReportWindow()
    watch.add(0.0, report(work=100.0, a=(3, 0, 12, 12, 2, 50, 10)))
    assert watch.placements(0.0)["a"].demand == 0.0
    watch.add(1000.0, report(work=5100.0, a=(3, 0, 12, 12, 2, 60, 16)))
    watch.add(1000.0, report("n1", work=5.0, a=(4, 2, 8, 8, 1, 5, 0)))
    home = watch.placements(1000.0)["a"]
    assert home.demand == pytest.approx(5.0) and home.dispatchers == 2.0
    assert home.zones["a"] == Observation(4, 12, 12, 0.5, 2.0, 3.0, 10.0, 6.0)
    watch.add(1100.0, report(process=2, work=1.0, a=(3, 0, 12, 12, 0, 1, 0)))
    assert watch.placements(1100.0)["a"].zones["a"].attempts == 0.0
    assert not watch.placements(1100.0 + fleet_view.STALE_MS + 1.0)
    watch.discard("n1")
    assert watch.placements(1100.0)["a"].dispatchers == 1.0


def test_reports_and_homes_are_told_and_read_as_they_are():
    one = report(a=(3, 0, 12, 12, 2, 50, 10))
    told = codec.encode_report(one) | {"plan": [1, 1]}
    assert codec.decode_report(told) == one
    homes = {"a": fleet_view.PlacementReport(1.0, 2.0, 0.5, {"b": Observation(1, 2, 3, 0.5, 1, 4, 5, 2)})}
    assert codec.decode_placements(codec.encode_placements(homes)) == homes
    odds = ({"plan": 1}, {"plan": [1, -1]}, {"home": ""}, {"zones": []}, {"zones": {"a": [1]}})
    for odd in odds:
        with pytest.raises(ValueError):
            codec.decode_report(told | odd)
    for odd in ([], {"a": 1}, {"a": {}}, {"": {}}, {f"z{n}": {} for n in range(65)}):
        with pytest.raises(ValueError):
            codec.decode_placements(odd)


def test_who_is_cut_off_from_a_zone_does_not_speak_for_it():
    # Guards against a majority outside that leaves a zone which is fine inside.
    inside, outside = Observation(4, 16, 16, 0.0, 2, 2, 20, 0), Observation(4, 0, 0, 3.0, 3, 0, 30, 30)
    assert not ZoneView("a", inside=inside, outside=outside).authoritative().looks_lost()
    assert ZoneView("a", outside=outside).authoritative().looks_lost()


# ---------------------------------------------------------------- the planner

REGIONS = Regions(0.8, (Region("e", ("a", "b"), ("w",)), Region("w", ("c",), ("e",))))


def zone(name, demand=4.0, slots=10.0, warm=None, lost=0.0, workers=4.0, outside=None, sent=20.0):
    """A zone in the picture; `lost` is the part of the last hand-offs inside that found nobody."""
    look = Observation(workers, slots, slots if warm is None else warm, 0.0, 1.0, demand, sent, sent * lost)
    return name, ZoneView(name, demand, 0.0, 2.0, look, outside or Observation())


def picture(*zones):
    return dict(zones)


ALL_WELL = picture(zone("a"), zone("b"), zone("c"))
# Nobody sends to a zone that was left.
QUIET = picture(zone("a", sent=0.0), zone("b"), zone("c"))


class Desk:
    """A planner, its picture, and time that goes by."""

    def __init__(self, regions=REGIONS):
        self.planner = Planner("h1", regions)
        self.now = 0.0
        self.plans = []

    def look(self, picture, after=500.0, times=1):
        """Let time pass in meetings of agents; the plan in force after them."""
        for _ in range(times):
            self.now += after
            self.planner.observe(picture, self.now)
            made = self.planner.decide(picture, self.now, 0.0)
            if made is not None:
                assert made.number == self.planner.plan.number + 1
                self.planner.learn(made, self.now)
                self.plans.append((self.now, made))
        return self.planner.plan

    def say(self, picture, what, word, force=False):
        made = self.planner.plan_with_override(picture, self.now, 0.0, word._replace(action=what), force)
        self.planner.learn(made, self.now)
        return made


def test_a_calm_fleet_needs_no_plan():
    desk = Desk()
    assert desk.look(ALL_WELL, times=20).number == 0
    assert desk.planner.plan.zone("a").state == LOCAL


def test_a_lost_zone_is_left_once_it_has_been_lost_for_a_second_to_its_own_region_first():
    desk = Desk()
    desk.look(ALL_WELL, times=4)
    lost = picture(zone("a", lost=1.0), zone("b", demand=1.0), zone("c"))
    assert desk.look(lost, times=2).number == 0, "half a second may be a burst"
    plan = desk.look(lost)
    assert plan.zone("a").state == EVACUATED and [over.zone for over in plan.zone("a").spillover] == ["b"]
    assert plan.zone("b").state == LOCAL


def test_what_the_region_cannot_bear_goes_further_and_the_rest_is_granted_sparingly():
    desk = Desk()
    lost = picture(zone("a", demand=8.0, lost=1.0), zone("b", demand=4.0), zone("c", demand=6.0))
    over = desk.look(lost, times=4).zone("a").spillover
    # 4 slots are spare at b and 2 at c, for 8 that are asked for.
    assert [each.zone for each in over] == ["b", "c"]
    assert [each.fraction for each in over] == pytest.approx([0.67, 0.33], abs=0.01)
    assert [each.grant for each in over] == pytest.approx([0.4, 0.2])


def test_two_zones_lost_together_share_what_remains():
    desk = Desk()
    lost = picture(zone("a", lost=1.0), zone("b", lost=1.0), zone("c", demand=4.0))
    plan = desk.look(lost, times=4)
    grants = [plan.zone(name).spillover[0].grant for name in "ab"]
    assert sum(grants) * 10.0 <= 0.8 * 10.0 - 4.0 + 0.01 and grants[0] == grants[1]


def test_a_zone_that_works_in_part_is_not_left_if_the_others_cannot_bear_it():
    # Guards against a plan that pushes over what is well for the sake of what is half well.
    desk = Desk()
    half = picture(zone("a", demand=8.0, slots=6.0, lost=0.6), zone("b", demand=7.0), zone("c", demand=7.5))
    plan = desk.look(half, times=4)
    assert plan.zone("a").state == SPILLING
    assert plan.zone("a").spilled_fraction() * 8.0 <= 2 * 8.0 - 14.5 + FRACTION_STEP * 8.0


def test_a_zone_without_workers_is_left_and_taken_up_again_by_steps():
    desk = Desk()
    gone = picture(zone("a", workers=0.0, slots=0.0), zone("b"), zone("c"))
    assert desk.look(gone, times=4).zone("a").state == EVACUATED
    # Back, cold: a tenth at first, then no more than the warm part bears, a step each two seconds.
    cold = picture(zone("a", warm=2.0, sent=0.0), zone("b"), zone("c"))
    plan = desk.look(cold, times=20)
    assert plan.zone("a").state == RETURNING
    assert plan.zone("a").local_fraction() * 4.0 <= 0.8 * 2.0 + FRACTION_STEP * 4.0 + 0.01
    assert desk.look(ALL_WELL, times=40).zone("a").state == LOCAL
    moves = [
        (at, plan.zone("a").local_fraction()) for at, plan in desk.plans if plan.zone("a").state != EVACUATED
    ]
    for (at, before), (then, after) in itertools.pairwise(moves):
        assert after - before <= MAX_FRACTION_CHANGE + FRACTION_STEP and (
            then - at >= FRACTION_CHANGE_INTERVAL_MS or after <= before
        )


def test_a_zone_that_flaps_is_tried_less_and_less_often():
    desk = Desk()
    lost = picture(zone("a", lost=1.0), zone("b"), zone("c"))
    tries = []
    for _ in range(400):
        state = desk.planner.plan.zone("a").state
        # Well for as long as nobody sends there; lost as soon as somebody does.
        plan = desk.look(QUIET if state == EVACUATED else lost)
        if plan.zone("a").state == RETURNING and state == EVACUATED:
            tries.append(desk.now)
    waits = [two - one for one, two in itertools.pairwise(tries)]
    assert len(waits) >= 3 and all([two > 1.5 * one for one, two in itertools.pairwise(waits)])


def test_a_zone_that_only_the_fleet_was_cut_off_from_is_near_again_at_once():
    # Guards against a plan that closes a zone to its own dispatchers, which served it by the list meanwhile.
    desk = Desk()
    outside = Observation(4, 0, 0, 2.0, 2, 0, 20, 20)
    cut = picture(("a", ZoneView("a", outside=outside)), zone("b"), zone("c"))
    assert desk.look(cut, times=8).zone("a").state == EVACUATED
    assert desk.look(ALL_WELL, times=3).zone("a").state == LOCAL


def test_a_part_goes_over_after_a_while_and_comes_back_when_it_is_calm():
    desk = Desk()
    full = picture(zone("a", demand=12.0), zone("b", demand=2.0), zone("c"))
    assert desk.look(full, times=4).number == 0, "a burst is shorter"
    plan = desk.look(full, times=8)
    assert plan.zone("a").state == SPILLING and plan.zone("a").spillover[0].zone == "b"
    assert 1.0 - 0.8 * 10.0 / 12.0 - FRACTION_STEP <= plan.zone("a").spilled_fraction() <= 0.4
    assert desk.look(ALL_WELL, times=12).zone("a").state == LOCAL


def test_a_zone_that_is_not_reached_from_outside_takes_nothing():
    outside = Observation(4, 0, 0, 2.0, 2, 0, 20, 20)
    desk = Desk()
    cut = picture(zone("a", lost=1.0), zone("b", outside=outside), zone("c", demand=1.0))
    plan = desk.look(cut, times=4)
    assert [over.zone for over in plan.zone("a").spillover] == ["c"] and plan.zone("b").state == LOCAL


def test_where_nobody_knows_how_many_slots_workers_have_only_loss_moves_work():
    unknown = [zone(name, demand=50.0, slots=0.0) for name in "abc"]
    desk = Desk()
    assert desk.look(picture(*unknown), times=12).number == 0
    lost = picture(zone("a", demand=50.0, slots=0.0, lost=1.0), *unknown[1:])
    assert desk.look(lost, times=4).zone("a").spillover == (Spillover("b", 1.0),)


def test_an_operators_word_goes_before_the_plan_and_ends_by_itself():
    desk = Desk()
    desk.look(ALL_WELL, times=4)
    plan = desk.say(ALL_WELL, BAR, OperatorOverride("a", BAR, "ana", "cooling", 3000.0))
    assert plan.zone("a").state == BARRED and plan.zone("a").spillover
    plan = desk.look(ALL_WELL, times=4)
    assert plan.override("a").action == BAR and desk.planner.overrides(desk.now)[
        0
    ].remaining_ms == pytest.approx(1000.0)
    # An agent that learned it only now counts from what was left when the plan was made.
    assert desk.look(ALL_WELL, times=4).zone("a").state == RETURNING
    assert desk.look(ALL_WELL, times=40).zone("a").state == LOCAL and not desk.planner.plan.overrides


def test_a_bar_stands_while_the_plan_would_return_the_zone():
    desk = Desk()
    lost = picture(zone("a", lost=1.0), zone("b"), zone("c"))
    desk.look(lost, times=4)
    desk.say(lost, BAR, OperatorOverride("a", BAR, "ana"))
    assert desk.look(ALL_WELL, times=60).zone("a").state == BARRED
    plan = desk.say(ALL_WELL, RETURN, OperatorOverride("a", EVACUATE, "ana"))
    assert plan.zone("a").state == RETURNING and not plan.overrides


@pytest.mark.parametrize(
    ("what", "name", "picture_then", "word"),
    [
        (BAR, "odd", ALL_WELL, "no dispatcher knows zone odd"),
        (
            EVACUATE,
            "a",
            picture(zone("a", 8.0), zone("b", 7.0), zone("c", 7.0)),
            "for 22 of 16 slots",
        ),
        (BAR, "a", picture(zone("a")), "no zone would remain"),
        (RETURN, "a", ALL_WELL, "nobody has left it"),
    ],
)
def test_a_word_that_would_do_harm_is_refused_unless_forced(what, name, picture_then, word):
    desk = Desk()
    desk.look(picture_then, times=2)
    said = OperatorOverride(name, EVACUATE if what == RETURN else what, "ana")
    with pytest.raises(ChangeRefusedError, match=word):
        desk.say(picture_then, what, said)
    if what != RETURN:
        assert desk.say(picture_then, what, said, force=True).zone(name).state in CLOSED_STATES


figures = some.floats(0.0, 20.0, allow_nan=False)
of_a_zone = some.tuples(figures, figures, some.sampled_from([0.0, 0.0, 0.4, 1.0]))


@fixed
@given(some.lists(some.lists(of_a_zone, min_size=3, max_size=3), min_size=1, max_size=25))
def test_whatever_is_seen_nobody_is_asked_for_more_than_the_limit(seen):
    # Guards against plans that push over survivors, jump, or send work to a zone that is closed.
    desk = Desk()
    for step in seen:
        zones = zip("abc", step, strict=True)
        now = picture(*[zone(name, demand, slots, lost=lost) for name, (demand, slots, lost) in zones])
        before = desk.planner.plan
        plan = desk.look(now, after=700.0)
        if plan is before:
            continue
        took = dict.fromkeys("abc", 0.0)
        for each in plan.zones:
            assert each.spilled_fraction() <= 1.0001
            for over in each.spillover:
                assert plan.zone(over.zone).state == LOCAL and over.zone != each.name
                demand = max(0.5, now[each.name].demand)
                took[over.zone] += min(over.fraction * demand, over.grant * (now[over.zone].capacity or 0.0))
            slow = before.zone(each.name).state not in CLOSED_STATES and each.state not in CLOSED_STATES
            if slow and each.state != SPILLING:
                assert (
                    each.spilled_fraction() - before.zone(each.name).spilled_fraction()
                    <= MAX_FRACTION_CHANGE + FRACTION_STEP
                )
        for name, slots in took.items():
            if slots:
                spare = (
                    0.8 * (now[name].capacity or 0.0) - now[name].demand * plan.zone(name).local_fraction()
                )
                assert slots <= max(0.0, spare) + FRACTION_STEP * 25.0


@fixed
@given(
    some.dictionaries(some.sampled_from("abcd"), some.floats(0.0, 10.0), min_size=1),
    some.dictionaries(some.sampled_from("wxyz"), some.floats(0.0, 10.0)),
)
def test_no_more_room_is_dealt_out_than_there_is(asked, spare):
    tiers = {home: [sorted(spare)[:2], sorted(spare)[2:]] for home in asked}
    dealt = allocate_spare(asked, spare, tiers)
    for name, slots in spare.items():
        assert sum([share.slots.get(name, 0.0) for share in dealt.values()]) <= slots + 1e-6
    for home, want in asked.items():
        assert sum(dealt[home].slots.values()) + dealt[home].unplaced == pytest.approx(want)
    if sum(asked.values()) <= sum(spare.values()) * 0.1:
        assert sum([share.unplaced for share in dealt.values()]) == pytest.approx(0.0, abs=1e-4)


def test_room_near_nothing_is_none():
    # Guards against a division by what is left of a zone after its last share.
    assert allocate_spare({"a": 1.0}, {"b": 1e-183, "c": 0.5}, {"a": [["b", "c"]]})["a"].slots == {"c": 0.5}
