"""The subset of a large fleet that a dispatcher uses: small and stable, while all subsets cover the fleet."""

from dataclasses import replace
from random import Random

import pytest
from support.router_rig import RouterRig, endpoint_entry

from bench import scale_decisions as scale
from bench.decision_trace import Fleet
from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
)
from dunepulley.routing.router import Router
from dunepulley.routing.size_classes import MIN_SUBSET, POOL_COUNT

# The limit on new connections to endpoints: a multiple of those at the usual size, plus a constant.
MAX_CONNECTION_RATIO, MAX_EXTRA_CONNECTIONS = 2.5, 40
# An idle connection is reused for up to four fifths of the endpoints' idle timeout of 15 s.
REUSE_MS = 12_000.0
DISPATCHERS = 200.0
SETTINGS = {"balancers": DISPATCHERS, "me": 7.0, "policyLimits.connIdleMs": 15_000.0}


def entry_of(number):
    return EndpointEntry(f"w{number}", zone="a", kind="box", capacity=1.0, started_ms=-1.0)


def dispatcher_of(endpoints=scale.LARGE, **settings):
    """A dispatcher with this many listed endpoints, after one control period."""
    dispatcher = Router(3, SETTINGS | settings, 0.0)
    entries = tuple([entry_of(number) for number in range(endpoints)])
    dispatcher.handle(0.0, [EndpointListUpdate(ListUpdateKind.FULL, entries)])
    dispatcher.handle(4000.0, [])
    return dispatcher


def ids_in_pools(dispatcher):
    return {endpoint.endpoint_id for pool in dispatcher.size_classes.pools for endpoint in pool}


def indexes_in_use(rig):
    """The indexes of the endpoints in use."""
    return {endpoint.index for endpoint in rig.router.subset.in_use}


def connections(endpoints):
    """How many connections the attempts of the first scenario of `scale.DAYS` need."""
    settings = scale.DAYS[0].settings | SETTINGS
    fleet = Fleet(replace(scale.DAYS[0], endpoints=endpoints, settings=settings))
    opened, last = 0, {}
    for now, _, commands in fleet.batches():
        for command in commands:
            if type(command) is StartAttempt:
                opened += now - last.get(command.endpoint_id, -REUSE_MS) >= REUSE_MS
                last[command.endpoint_id] = now
    return opened


def test_sixteen_times_as_many_endpoints_need_few_more_connections():
    assert connections(scale.LARGE) <= MAX_CONNECTION_RATIO * connections(scale.USUAL) + MAX_EXTRA_CONNECTIONS


def test_all_endpoints_of_a_small_fleet_are_in_use():
    dispatcher = dispatcher_of(POOL_COUNT * MIN_SUBSET // 2)
    assert (
        len(dispatcher.size_classes.pools) == POOL_COUNT
        and len(ids_in_pools(dispatcher)) == POOL_COUNT * MIN_SUBSET // 2
    )


def test_subset_is_stable_over_time_and_list_changes():
    dispatcher, random = dispatcher_of(), Random(5)
    before = ids_in_pools(dispatcher)
    assert 0.8 * POOL_COUNT * MIN_SUBSET <= len(before) <= 1.2 * POOL_COUNT * MIN_SUBSET
    removed = set(random.sample(range(scale.LARGE), scale.LARGE // 10))
    changes = [entry_of(number)._replace(state=EndpointState.REMOVED) for number in removed]
    changes += [entry_of(number) for number in range(scale.LARGE, scale.LARGE + len(removed))]
    dispatcher.handle(5000.0, [EndpointListUpdate(ListUpdateKind.CHANGES, tuple(changes))])
    remaining = before - {f"w{number}" for number in removed}
    # A tenth of the list is replaced; nearly all remaining endpoints stay in use.
    assert len(remaining & ids_in_pools(dispatcher)) >= 0.95 * len(remaining)
    for seconds in range(6, 60, 2):
        dispatcher.handle(1000.0 * seconds, [])
    assert len(remaining & ids_in_pools(dispatcher)) >= 0.95 * len(remaining)


def test_every_endpoint_is_used_by_at_least_one_dispatcher():
    for count in (12.0, 40.0):
        used = set()
        for number in range(int(count)):
            used |= ids_in_pools(dispatcher_of(balancers=count, me=float(number)))
        assert len(used) == scale.LARGE


def test_a_dispatcher_with_much_traffic_uses_a_larger_subset():
    dispatcher = dispatcher_of()
    dispatcher.subset.target_size = 4000.0
    dispatcher.list_updates.choose_subset(dispatcher.now)
    assert len(ids_in_pools(dispatcher)) >= 0.9 * 4000.0 / 2


@pytest.mark.parametrize(("endpoints", "removed_count"), [(60, 3), (300, 40)])
def test_subset_is_small_and_changes_little(endpoints, removed_count):
    subsets = []
    counts = dict.fromkeys(range(endpoints), 0)
    removed = tuple(endpoint_entry(number, EndpointState.REMOVED) for number in range(removed_count))
    for dispatcher in range(40):
        rig = RouterRig(endpoints=endpoints, me=float(dispatcher), policyLimits__connIdleMs=10000.0)
        before = indexes_in_use(rig)
        for index in before:
            counts[index] += 1
        rig.feed(EndpointListUpdate(ListUpdateKind.CHANGES, removed))
        # A removed endpoint is replaced, the others stay in use.
        assert len(before) == len(rig.router.subset.in_use) == 8
        assert {index for index in before if index >= removed_count} <= indexes_in_use(rig)
        subsets.append(before)
    assert len({frozenset(subset) for subset in subsets}) == 40
    assert max(counts.values()) <= 4 + 4 * 320 / endpoints


@pytest.mark.parametrize("result", [AttemptResult.CONNECT_FAILED, AttemptResult.REJECTED])
def test_endpoints_in_use_that_are_ejected_or_full_are_replaced_by_others(result):
    rig = RouterRig(endpoints=20, policyLimits__connIdleMs=10000.0)
    first = indexes_in_use(rig)
    sent = set()
    for number in range(12):
        rig.feed(RequestArrived(f"a{number}", "pay", 5000.0), after=1.0)
        for endpoint, _, _ in rig.sent[f"a{number}"]:
            sent.add(rig.router.endpoints.find(endpoint).index)
            rig.feed(AttemptEnded(f"a{number}", len(rig.sent[f"a{number}"]) - 1, result, endpoint))
    assert len(sent) > len(first) and sent - first


def test_next_endpoint_in_rank_replaces_an_ejected_one():
    rig = RouterRig(endpoints=20, policyLimits__connIdleMs=10000.0)
    subset, by_rank = rig.router.subset, rig.router.endpoints.by_rank
    assert indexes_in_use(rig) == {endpoint.index for endpoint in by_rank[:8]}
    by_rank[2].ejected_until_ms = rig.now + 1.0
    subset.choose(rig.now)
    assert indexes_in_use(rig) == {endpoint.index for endpoint in by_rank[:9]} - {by_rank[2].index}
    assert by_rank[2] in subset.standby() and by_rank[8] not in subset.standby()
    subset.choose(rig.now + 1.0)
    assert indexes_in_use(rig) == {endpoint.index for endpoint in by_rank[:8]}


def test_a_subset_grows_with_the_traffic_at_once_and_shrinks_slowly():
    rig = RouterRig(endpoints=100, policyLimits__connIdleMs=10000.0)
    subset = rig.router.subset
    for _ in range(10):
        subset.record_arrival()
    subset.measure_traffic(2000.0)
    # Ten requests in two seconds, with connections that stay open for ten seconds.
    assert subset.target_size == 50.0 and subset.arrivals_per_endpoint_s == 10 / 2 / 100
    subset.choose(rig.now)
    assert len(indexes_in_use(rig)) == 50 and not subset.includes_all()
    subset.measure_traffic(2000.0)
    assert subset.target_size == 45.0 and subset.arrivals_per_endpoint_s == 0.0
