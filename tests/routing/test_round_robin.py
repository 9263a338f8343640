"""Weighted round robin: turns are evenly spread."""

import pytest
from routing_support import report
from support.router_rig import RouterRig, commands_of

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.endpoints import EndpointTable
from dunepulley.routing.events import AttemptEnded, AttemptResult, RequestArrived
from dunepulley.routing.round_robin import WeightedRoundRobin


@pytest.mark.parametrize("endpoints", [1, 3, 8])
def test_turns_are_evenly_spread(endpoints):
    rig = RouterRig(endpoints=endpoints)
    chosen = []
    for number in range(endpoints * 5):
        first = commands_of(StartAttempt, rig.feed(RequestArrived(f"a{number}", "look", 5000.0), after=30.0))[
            0
        ]
        rig.feed(
            AttemptEnded(f"a{number}", 0, AttemptResult.COMPLETED, first.endpoint_id, 5.0, True, report(5.0)),
            after=5.0,
        )
        chosen.append(first.endpoint_id)
    for start in range(0, len(chosen), endpoints):
        assert len(set(chosen[start : start + endpoints])) == endpoints


def rotation_of(*shares):
    """A rotation with one endpoint for each of these shares, all with their turn at 0."""
    table, rotation = EndpointTable(""), WeightedRoundRobin()
    for number, share in enumerate(shares):
        rotation.join(table.add(f"w{number}", 0.0), share, 0.0)
    return rotation, table.all


def test_turns_are_proportional_to_shares_and_evenly_spread():
    rotation, endpoints = rotation_of(0.5, 0.25, 0.25)
    turns = []
    for _ in range(40):
        first = min(endpoints, key=lambda each: (each.next_turn, each.index))
        rotation.take_turn(first, endpoints)
        turns.append(first.index)
    assert [turns.count(index) for index in range(3)] == [20, 10, 10]
    # Evenly spread: of any four turns in a row, the endpoint with share 0.5 has two.
    assert all(turns[start : start + 4].count(0) == 2 for start in range(0, 40, 4))


def test_skipped_endpoints_lose_their_turn():
    rotation, (first, second) = rotation_of(0.5, 0.5)
    second.next_turn = 1.0
    rotation.take_turn(second, [first, second])
    assert (first.next_turn, second.next_turn, rotation.position) == (2.0, 3.0, 1.0)


def test_a_new_endpoint_joins_within_its_first_round():
    rotation, (first,) = rotation_of(0.5)
    first.next_turn = 6.0
    rotation.take_turn(first, [first])
    new = EndpointTable("").add("new", 0.0)
    rotation.join(new, 0.25, 0.5)
    assert new.share == 0.25 and new.next_turn == 6.0 + 0.5 * 4.0


@pytest.mark.parametrize(
    ("turn", "share", "expected_turn"),
    [
        (4.0, 0.5, 2.0),  # twice the share: half the distance
        (4.0, 0.125, 8.0),
        (30.0, 0.5, 2.0),  # at most one whole round
        (-7.0, 0.5, 0.0),  # an overdue turn is next
    ],
)
def test_new_share_moves_the_next_turn_in_proportion(turn, share, expected_turn):
    rotation, (endpoint,) = rotation_of(0.25)
    endpoint.next_turn = turn
    rotation.rescale(endpoint, share, 0.0)
    assert (endpoint.next_turn, endpoint.share) == (expected_turn, share)


def test_zero_share_still_has_turns():
    rotation, (first, second) = rotation_of(1.0, 1.0)
    first.share = second.share = 0.0
    second.next_turn = 1.0
    rotation.take_turn(second, [first, second])
    assert first.next_turn == 1e6 and second.next_turn == 1e6 + 1.0
