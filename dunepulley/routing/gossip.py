"""What dispatchers tell each other: the slots that each holds at the endpoints, summed up by a few of them.

Every dispatcher tells the few aggregators what it holds, soon after that changes; the aggregators take turns
in telling all others the sums. Any message may be lost, and no rule rests on them: a lost one is made good by
the next.
"""

from __future__ import annotations

from .commands import BROADCAST, MAX_GOSSIP_ENTRIES, SendGossip
from .endpoints import EndpointTable
from .events import GossipReceived
from .in_flight import InFlight
from .load_estimates import AGGREGATE_MAX_AGE_MS, LoadEstimator
from .outbox import Outbox
from .request_queue import RequestQueue
from .rng import RandomGenerator
from .settings import RouterSettings
from .timers import TimerQueue

# Few aggregate, so that messages are few, but more than one, and far apart in number.
_AGGREGATORS = 3
# Messages wait for more to go with them, and aggregators take turns of so long.
_COLLECT_MS, _TURN_MS = 60.0, 160.0
# A dispatcher that is silent for twice as long as sums are believed is gone.
SENDER_TIMEOUT_MS = 2.0 * AGGREGATE_MAX_AGE_MS
# A dispatcher that holds slots says so again after this part of the silence.
_REMIND_PART = 0.4
# Slots are counted in one byte.
_MOST_SLOTS = 255

Holdings = tuple[tuple[int, int], ...]


class GossipExchange:
    """Tells what this dispatcher holds, aggregates if it is one of the few, and takes in the sums."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        in_flight: InFlight,
        queue: RequestQueue,
        load: LoadEstimator,
        timers: TimerQueue,
        outbox: Outbox,
        random: RandomGenerator,
    ) -> None:
        self._number = settings.dispatcher_number
        is_on = settings.gossip and settings.dispatcher_count > 1.0
        count = int(settings.dispatcher_count) if is_on else 0
        self.aggregators = (
            sorted({each * count // _AGGREGATORS for each in range(_AGGREGATORS)}) if count else []
        )
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._queue = queue
        self._load = load
        self._timers = timers
        self._outbox = outbox
        self._random = random
        # Whether own slots are to be told soon, and when they were told last.
        self._is_collecting, self._told_ms = False, 0.0
        # As an aggregator: what each dispatcher told last, the sums of it, and where the next message begins.
        self._holdings: dict[int, tuple[float, Holdings]] = {}
        self._aggregates: dict[int, int] = {}
        self._next_entry = 0

    def start(self, now: float) -> None:
        """Begin to aggregate, once all others have told theirs to one that has just started."""
        if self._is_aggregator():
            self._timers.schedule(now + SENDER_TIMEOUT_MS / 2, self._send_sums)

    def schedule_announcement(self, now: float) -> None:
        """Tell soon what this dispatcher holds, with what changes until then."""
        if self.aggregators and not self._is_collecting:
            self._is_collecting = True
            self._timers.schedule(now + _COLLECT_MS, self._send_own)

    def receive(self, message: GossipReceived, now: float) -> None:
        """Take in a message: the sums for some endpoints or, as an aggregator, all that another holds."""
        if message.is_aggregate:
            self._receive_sums(message.slots_held, now)
        elif self._is_aggregator():
            self._receive_holdings(message.sender, message.slots_held, now)

    def _is_aggregator(self) -> bool:
        return self._number in self.aggregators

    def _receive_sums(self, sums: Holdings, now: float) -> None:
        self._load.record_aggregates_received(now)
        for short_id, held in sums:
            endpoint = self._endpoints.by_short_id.get(short_id)
            if endpoint is not None:
                self._load.record_aggregate(endpoint, held)
        if self._queue.waiting:
            # All hear at once of an endpoint that has a slot available: they look one after the other.
            wait_ms = 2.0 * _TURN_MS * self._random.random()
            self._timers.schedule(now + wait_ms, self._queue.serve)

    def _receive_holdings(self, sender: int, holdings: Holdings, now: float) -> None:
        _, before = self._holdings.get(sender, (0.0, ()))
        self._holdings[sender] = (now, holdings)
        for sign, entries in ((-1, before), (1, holdings)):
            for short_id, held in entries:
                self._aggregates[short_id] = self._aggregates.get(short_id, 0) + sign * held

    def _send_own(self, now: float) -> None:
        """Tell the aggregators all that this dispatcher holds."""
        self._is_collecting = False
        held = self._own_holdings()
        for number in self.aggregators:
            if number == self._number:
                self._receive_holdings(number, held, now)
            else:
                self._outbox.send(SendGossip(number, False, held))
        if held:
            # Silence would be taken for a dispatcher that is gone.
            self._told_ms = now
            self._timers.schedule(now + _REMIND_PART * SENDER_TIMEOUT_MS, self._remind)

    def _own_holdings(self) -> Holdings:
        holders = sorted(self._in_flight.endpoints, key=lambda endpoint: endpoint.index)
        self._load.record_own_slots_announced(holders)
        return tuple(
            [(endpoint.short_id, min(_MOST_SLOTS, int(endpoint.own_slots + 0.5))) for endpoint in holders]
        )

    def _remind(self, now: float) -> None:
        if now >= self._told_ms + _REMIND_PART * SENDER_TIMEOUT_MS:
            self._send_own(now)

    def _send_sums(self, now: float) -> None:
        """Tell all others what all hold together, where that is not what was told last."""
        # Aggregators take turns, so that one that hangs or is gone is missed for a turn only.
        turns = len(self.aggregators)
        turn = int(now / _TURN_MS + 0.5)
        wait = (self.aggregators.index(self._number) - turn) % turns or turns
        self._timers.schedule((turn + wait) * _TURN_MS, self._send_sums)
        self._forget_silent(now)
        news = self._next_news()
        if news:
            self._outbox.send(SendGossip(BROADCAST, True, news))
            self._receive_sums(news, now)

    def _forget_silent(self, now: float) -> None:
        for number, (when, _) in list(self._holdings.items()):
            if now - when > SENDER_TIMEOUT_MS:
                self._receive_holdings(number, (), now)
                del self._holdings[number]

    def _next_news(self) -> Holdings:
        """The sums that differ from what was told last, as many as a message holds."""
        # Begin further on each time, and tell the first though it has not changed, as messages may be lost.
        sums = [(short_id, min(_MOST_SLOTS, held)) for short_id, held in self._aggregates.items()]
        start = self._next_entry % max(1, len(sums))
        sums = sums[start:] + sums[:start]
        news = sums[:1] + [each for each in sums[1:] if each[1] != self._load.aggregate_of(each[0])]
        if news:
            self._next_entry += 1 if len(news) <= MAX_GOSSIP_ENTRIES else MAX_GOSSIP_ENTRIES
        return tuple(news[:MAX_GOSSIP_ENTRIES])
