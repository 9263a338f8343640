"""The slow-start budget: the share of each dispatcher, and the sum over all of them."""

from heapq import heappop, heappush
from itertools import pairwise
from random import Random

import pytest
from routing_support import endpoints_of, feed_report, large_fleet, release_slots, report, serve_request
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    ListUpdateKind,
    RequestArrived,
)


@pytest.mark.parametrize(("age", "max_sent"), [(0.0, 0), (4000.0, 1), (19000.0, 4), (21000.0, 9)])
def test_warming_endpoint_receives_this_dispatchers_share_of_the_budget(age, max_sent):
    rig = RouterRig(endpoints=0, now=48000.0)
    rig.feed(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=50000.0 - age),)), after=2000.0)
    sent = 0
    for number in range(9):
        # Two dispatchers share the budget of one slot, four times the capacity of a second: each may send
        # 400 ms of work at first and 2 s to a warm endpoint.
        arrived = RequestArrived(f"a{number}", "look", 5000.0, expected_ms=450.0)
        sent += len(commands_of(StartAttempt, rig.feed(arrived)))
        release_slots(rig.router, endpoints_of(rig)[0])
    assert sent <= max_sent and bool(sent) == bool(max_sent)


@pytest.mark.parametrize(("after", "sends"), [(0.0, False), (950.0, False), (1050.0, True)])
def test_a_restarted_dispatcher_sends_nothing_to_warming_endpoints_for_one_window(after, sends):
    # A restarted process does not know what its predecessor sent, so it waits for one window.
    rig = RouterRig(endpoints=0, now=50000.0)
    rig.feed(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=40000.0),)), after=after)
    assert (
        bool(commands_of(StartAttempt, rig.feed(RequestArrived("a", "look", 5000.0, expected_ms=450.0))))
        is sends
    )


@pytest.mark.parametrize(("dispatchers", "slots"), [(40, 2.0), (150, 4.0), (785, 4.0)])
def test_a_slow_start_budget_is_shared_in_turns_by_many_dispatchers(dispatchers, slots):
    """Dispatchers without gossip, and one endpoint that has just started."""
    rigs = []
    for number in range(dispatchers):
        fleet = {"me": float(number), "balancers": float(dispatchers)}
        rigs.append(RouterRig(endpoints=0, now=50000.0, seed=number, **fleet))
        rigs[-1].router.endpoints.slots_by_kind["box"] = slots
        rigs[-1].feed(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0, since=50000.0),)))
    sent = []
    for step in range(80):
        for rig in rigs:
            rig.now = 50000.0 + 250.0 * step
            arrived = RequestArrived(f"{step}", "look", 240.0, expected_ms=200.0)
            for request_id, endpoint, *_ in commands_of(StartAttempt, rig.feed(arrived)):
                sent.append(rig.now)
                rig.feed(AttemptEnded(request_id, 0, AttemptResult.COMPLETED, endpoint, answered=True))
    # Guards against starving a new endpoint because an equal share fits no request, and against overload.
    assert sum(when < 60000.0 for when in sent) >= 5
    for when in sent:
        allowed_ms = (0.2 + 0.8 * (when - 50000.0) / 20000.0) * slots * 4.0 * 1000.0
        assert 200.0 * sum(when - 1000.0 < other <= when for other in sent) <= allowed_ms


def budget_ms(settings, age_ms, warm_up_ms, slots):
    """The work in slot-ms that all dispatchers together may send within one window."""
    initial = settings["rules.coldFrom"]
    capacity = initial + (1.0 - initial) * age_ms / warm_up_ms
    return settings["rules.fallMultiple"] * capacity * settings["rules.tipAfterMs"] * slots


def sent_within(sent, start, window_ms):
    """The work sent within the window that begins at `start`; `sent` holds (time, work in ms)."""
    return sum(work_ms for when, work_ms in sent if start <= when < start + window_ms)


START_MS = 100_000.0


def fleet_with_warming_endpoints():
    """Forty dispatchers without gossip; thirty of the sixty endpoints have just started."""
    entries = [endpoint_entry(k, since=START_MS if k < 30 else 0.0) for k in range(60)]
    return [large_fleet(number, entries=entries, now=START_MS) for number in range(40)]


def send_requests(rigs, rounds, step_ms, work_ms):
    """Send one request per dispatcher and round.

    Returns the attempts at each warming endpoint, as (age in ms, work in ms).
    """
    sent = {}
    for number in range(rounds):
        for dispatcher, rig in enumerate(rigs):
            work = work_ms(number, dispatcher)
            endpoint = serve_request(rig, f"{dispatcher}-{number}", work, after=step_ms)
            if endpoint and int(endpoint[1:]) < 30:
                sent.setdefault(endpoint, []).append((rig.now - START_MS, work))
    return sent


def test_restarted_endpoints_are_used_within_the_budget_of_all_dispatchers():
    # Guards against forty dispatchers that each skip warming endpoints, which would then never warm up.
    rigs = fleet_with_warming_endpoints()
    sent = send_requests(rigs, 60, 100.0, lambda number, dispatcher: 300.0)
    assert len(sent) == 30 and sum(map(len, sent.values())) > 60
    settings = rigs[0].settings
    for received in sent.values():
        for age_ms, _ in received:
            # A warm-up of 24 s, stricter than the 20 s of the settings.
            allowed = budget_ms(settings, age_ms, 24_000.0, slots=4.0)
            assert sent_within(received, age_ms, settings["rules.tipAfterMs"]) <= allowed


def test_long_requests_go_to_warming_endpoints_within_the_budget_of_all():
    # Guards against shares that fit short requests only: the endpoint would stay idle while others have
    # queues.
    rigs = fleet_with_warming_endpoints()
    sent = send_requests(
        rigs, 50, 200.0, lambda number, dispatcher: 900.0 if (number + dispatcher) % 3 else 60.0
    )
    settings = rigs[0].settings
    for received in sent.values():
        for age_ms, _ in received:
            allowed = budget_ms(settings, age_ms, settings["rules.coldMs"], slots=4.0)
            assert sent_within(received, age_ms, settings["rules.tipAfterMs"]) <= allowed
    assert sum(work_ms for received in sent.values() for _, work_ms in received) > 200_000.0


def test_a_kind_with_unknown_slots_counts_as_the_smallest_known_kind_in_the_budget():
    # Guards against a process that starts under load, assumes one slot for half of the endpoints, and uses
    # only a quarter of their budget. Apart from the budget, one slot is assumed for an unknown kind.
    rig = large_fleet(
        entries=[endpoint_entry(k, kind=("box", "old", "new")[k % 3], since=900.0) for k in range(6)]
    )
    rig.router.slow_start.dispatcher_count = 1.0
    feed_report(rig, "w0", report(5.0, 4.0))
    feed_report(rig, "w1", report(5.0, 3.0))
    endpoints = endpoints_of(rig)
    assert [endpoint.slots for endpoint in endpoints] == [4.0, 3.0, 1.0] * 2
    shares = [rig.router.slow_start.share_of(endpoint, rig.router.now) for endpoint in endpoints[:3]]
    assert shares[2] == shares[1] == 0.75 * shares[0]


@pytest.mark.parametrize("dispatchers", [30, 200])
@pytest.mark.parametrize("endpoint", [0, 1, 2])
def test_the_shares_of_all_dispatchers_fit_the_budget_of_each_window(dispatchers, endpoint):
    # With one slot an equal share fits no request, so dispatchers take turns of four windows.
    entries = [endpoint_entry(k, since=START_MS) for k in range(3)]
    rigs = [large_fleet(number, dispatchers, entries, START_MS) for number in range(dispatchers)]
    settings = rigs[0].settings
    window_ms = settings["rules.tipAfterMs"]
    unused, holders = [], set()
    for window in range(20):
        now = START_MS + window * window_ms
        shares = [rig.router.slow_start.share_of(endpoints_of(rig)[endpoint], now) for rig in rigs]
        allowed = budget_ms(settings, now - START_MS, settings["rules.coldMs"], slots=1.0)
        assert sum(shares) <= 0.8 * allowed * 1.000001
        if any(shares):
            assert 1 <= sum(share > 0.0 for share in shares) <= 6
        else:
            unused.append(window)
        holders |= {number for number, share in enumerate(shares) if share > 0.0}
    # The first window of each turn stays unused, so that no window contains requests of two turns.
    assert len(unused) == 5 and {later - earlier for earlier, later in pairwise(unused)} == {4}
    assert len(holders) >= 5


MEAN_WORK_MS = 90.0


class SeededTraffic:
    """Uneven traffic with requests of all sizes, at dispatchers that restart at random."""

    def __init__(self, seed, dispatchers, endpoints, restarts):
        self.random, self.now = Random(seed), START_MS
        self.dispatchers, self.endpoints, self.warming = dispatchers, endpoints, endpoints // 4
        self.requests = 150 * endpoints
        # The probability that the receiving process restarts, per request.
        self.restart_probability = restarts * dispatchers / self.requests
        self.entries = [
            endpoint_entry(k, since=START_MS if k < self.warming else 0.0) for k in range(endpoints)
        ]
        self.rigs = [self.start_dispatcher(number) for number in range(dispatchers)]
        self.traffic = [self.random.expovariate(1.0) for _ in self.rigs]
        # A heap of the attempts in flight: end in ms, dispatcher, request, endpoint, work in ms.
        self.running = []
        # The attempts sent to each warming endpoint, by its number, as (age in ms, work in ms).
        self.sent = {}

    def start_dispatcher(self, number):
        """A dispatcher that starts now and receives a report of each endpoint."""
        rig = large_fleet(number, self.dispatchers, self.entries, self.now)
        for endpoint in range(self.endpoints):
            feed_report(rig, f"w{endpoint}", report(5.0))
        return rig

    def end_attempts(self):
        """End attempts whose time has come, except those of a process that has restarted since."""
        while self.running and self.running[0][0] <= self.now:
            _, number, request_id, endpoint, work_ms = heappop(self.running)
            rig = self.rigs[number]
            if request_id in rig.sent:
                ended = AttemptEnded(request_id, 0, AttemptResult.COMPLETED, endpoint, work_ms, True)
                rig.feed(ended, after=self.now - rig.now)

    def run(self):
        """Send all requests: twice what four slots per endpoint can serve, so that the warm ones are full."""
        for request in range(self.requests):
            self.now += self.random.expovariate(2.0 * 4 * self.endpoints / MEAN_WORK_MS)
            number = self.random.choices(range(self.dispatchers), self.traffic)[0]
            self.end_attempts()
            if self.random.random() < self.restart_probability:
                self.rigs[number] = self.start_dispatcher(number)
            self.arrive(number, str(request), MEAN_WORK_MS * self.random.lognormvariate(-0.5, 1.0))

    def arrive(self, number, request_id, work_ms):
        """Send one request to a dispatcher; a warming endpoint takes three times as long for it."""
        rig = self.rigs[number]
        arrived = RequestArrived(request_id, "look", 5000.0, expected_ms=work_ms)
        for command in commands_of(StartAttempt, rig.feed(arrived, after=self.now - rig.now)):
            endpoint = int(command.endpoint_id[1:])
            is_warming = endpoint < self.warming
            end = self.now + work_ms * (3.0 if is_warming else 1.0)
            heappush(self.running, (end, number, command.request_id, command.endpoint_id, work_ms))
            if is_warming:
                self.sent.setdefault(endpoint, []).append((self.now - START_MS, work_ms))


@pytest.mark.parametrize("restarts", [0.0, 1.0, 3.0])  # of each process, on average
@pytest.mark.parametrize(("dispatchers", "endpoints"), [(20, 15), (30, 15), (200, 60)])
@pytest.mark.parametrize("seed", [1, 2])
def test_warming_endpoints_receive_at_most_the_budget_plus_random_variation(
    dispatchers, endpoints, seed, restarts
):
    # The budget must hold with uneven traffic, requests of all sizes, and processes that restart and do not
    # know what they sent. Any window may contain N mean requests, plus 2 * sqrt(N) + 2 for random variation.
    traffic = SeededTraffic(seed, dispatchers, endpoints, restarts)
    traffic.run()
    settings = traffic.rigs[0].settings
    assert len(traffic.sent) >= 0.8 * traffic.warming or restarts > 1.0, "too few warming endpoints got work"
    for received in traffic.sent.values():
        for number, (age_ms, _) in enumerate(received):
            allowed = budget_ms(settings, age_ms, settings["rules.coldMs"], slots=4.0) / MEAN_WORK_MS
            window_ms = settings["rules.tipAfterMs"]
            requests = sent_within(received[number:], age_ms, window_ms) / MEAN_WORK_MS
            assert requests <= allowed + 2.0 * allowed**0.5 + 2.0
