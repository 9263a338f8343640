"""Gossip between dispatchers about the slots that they hold."""

from routing_support import (
    GOSSIP,
    endpoints_of,
    feed_report,
    gossip,
    gossip_of,
    other_slots,
    report,
    set_slots,
)
from support.router_rig import RouterRig, commands_of

from dunepulley.routing.commands import BROADCAST, SendGossip, StartAttempt
from dunepulley.routing.events import GossipReceived, RequestArrived, TimerFired
from dunepulley.routing.rng import RandomGenerator


def test_aggregates_set_the_slots_held_by_other_dispatchers():
    rig = RouterRig(endpoints=3, me=4.0, **GOSSIP)
    set_slots(rig, 4.0)
    # Guards against full endpoints that seem available between two reports, and queues missing from reports.
    gossip(rig, {0: 4, 1: 9, 2: 3})
    assert other_slots(rig) == [4.0, 9.0, 3.0]
    sent = commands_of(StartAttempt, rig.feed(RequestArrived("a", "look", 5000.0, expected_ms=10.0)))
    assert [first.endpoint_id for first in sent] == ["w2"]
    rig.feed(TimerFired(rig.router.timers.token), after=250.0)
    gossip(rig, {2: 4})
    assert other_slots(rig)[2] == 3.0  # one of these four is the router's own
    # An unknown short id is ignored.
    rig.feed(GossipReceived(9, True, ((endpoints_of(rig)[0].short_id ^ 1, 200),)))


def test_dispatchers_announce_slots_to_three_aggregators():
    rigs = [RouterRig(endpoints=2, me=float(number), seed=number, **GOSSIP) for number in range(9)]
    aggregators = sorted({message.recipient for rig in rigs for message in gossip_of(rig, "a")})
    assert aggregators == [0, 3, 6]
    aggregator = rigs[3]
    gossip(aggregator, {0: 2, 1: 1}, is_aggregate=False, sender=5)
    gossip(aggregator, {0: 1}, is_aggregate=False, sender=7)
    # An announcement replaces the previous one: dispatcher 5 holds nothing at w1 any more.
    gossip(aggregator, {0: 1}, is_aggregate=False, sender=5)
    sent = []
    for _ in range(70):
        sent += commands_of(
            SendGossip, aggregator.feed(TimerFired(aggregator.router.timers.token), after=100.0)
        )
    aggregates = [dict(message.slots_held) for message in sent if message.recipient == BROADCAST]
    own = [endpoint.own_slots for endpoint in endpoints_of(aggregator)]
    short = [endpoint.short_id for endpoint in endpoints_of(aggregator)]
    first = aggregates[0]
    assert first[short[0]] == own[0] + 2 and first.get(short[1], 0) == own[1]
    # Dispatchers 5 and 7 have been silent for too long: their slots are no longer counted.
    last = {short_id: slots for aggregate in aggregates for short_id, slots in aggregate.items()}
    assert last[short[0]] == own[0] and last.get(short[1], 0) == own[1]


def test_reported_load_missing_from_aggregates_is_added():
    rig = RouterRig(endpoints=2, me=4.0, **GOSSIP)
    rig.router.endpoints.slots_by_kind["box"] = 4.0
    set_slots(rig, 4.0)
    for number in range(12):
        gossip(rig, {0: 1, 1: 1})
        feed_report(rig, "w0", report(5.0 + number, 0.0))
    gossip(rig, {0: 1, 1: 1})
    # Guards against treating slots as available that are held by dispatchers without gossip.
    assert other_slots(rig)[0] > 3.5 and other_slots(rig)[1] == 1.0


def test_reports_are_used_when_gossip_is_stale():
    rig = RouterRig(endpoints=2, me=4.0, **GOSSIP)
    rig.router.endpoints.slots_by_kind["box"] = 4.0
    set_slots(rig, 4.0)
    gossip(rig, {0: 0, 1: 0})
    rig.feed(after=2500.0)
    for number in range(9):
        feed_report(rig, "w0", report(5.0 + number, 0.0))
    assert other_slots(rig)[0] > 3.0


def test_invalid_gossip_breaks_no_rule():
    rig = RouterRig(endpoints=4, me=0.0, **GOSSIP)
    random = RandomGenerator(5)
    for number in range(300):
        entries = tuple([(int(random.random() * 65536), int(random.random() * 256)) for _ in range(3)])
        own = tuple([(each.short_id, int(random.random() * 256)) for each in endpoints_of(rig)])
        message = GossipReceived(int(random.random() * 999), random.random() < 0.5, entries + own)
        request_class = ("look", "store", "pay")[number % 3]
        rig.feed(message, RequestArrived(f"a{number}", request_class, 900.0), after=40.0)
        rig.feed(TimerFired(rig.router.timers.token), after=10.0)
    for _ in range(60):
        rig.feed(TimerFired(rig.router.timers.token), after=100.0)
    # Each request is attempted or answered, whatever the messages contain.
    assert all(request_id in rig.answer or rig.sent[request_id] for request_id in rig.arrived)
