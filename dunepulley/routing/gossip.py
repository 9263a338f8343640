"""Gossip between dispatchers: the slots that each holds at the endpoints, and the totals over all of them.

Each dispatcher announces the slots that it holds to a few aggregators, soon after they change. The
aggregators take turns in broadcasting the totals. Messages may be lost: the next one replaces a lost one, and
correctness does not depend on gossip, only the quality of load estimates does.
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

# Few aggregators keep the number of messages low, and more than one tolerates failures. Their numbers are
# spread evenly over those of all dispatchers.
_AGGREGATOR_COUNT = 3
# How long an announcement is delayed to include further changes, and the length of an aggregator's turn.
_BATCH_DELAY_MS, _TURN_MS = 60.0, 160.0
# A dispatcher that has sent nothing for this long counts as gone: twice the maximum age of an aggregate.
SENDER_TIMEOUT_MS = 2.0 * AGGREGATE_MAX_AGE_MS
# A dispatcher that holds slots repeats its announcement after this fraction of that timeout.
_REMIND_FRACTION = 0.4
# A slot count is one byte in a message.
_MAX_SLOTS = 255

# For each endpoint its short id and the number of slots held there.
Holdings = tuple[tuple[int, int], ...]


class GossipExchange:
    """Announces this dispatcher's slots, handles received aggregates and, as an aggregator, sends them."""

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
            sorted({each * count // _AGGREGATOR_COUNT for each in range(_AGGREGATOR_COUNT)}) if count else []
        )
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._queue = queue
        self._load = load
        self._timers = timers
        self._outbox = outbox
        self._random = random
        # Whether an announcement is scheduled, and when the last one was sent.
        self._is_announcement_scheduled, self._announced_ms = False, 0.0
        # Used by aggregators: the latest announcement of each dispatcher with its time of receipt, the totals
        # by short id, and the entry with which the next broadcast begins.
        self._holdings: dict[int, tuple[float, Holdings]] = {}
        self._aggregates: dict[int, int] = {}
        self._next_entry = 0

    def start(self, now: float) -> None:
        """Schedule the broadcasts of an aggregator; by the first, all others have announced their slots."""
        if self._is_aggregator():
            self._timers.schedule(now + SENDER_TIMEOUT_MS / 2, self._broadcast_aggregates)

    def schedule_announcement(self, now: float) -> None:
        """Schedule an announcement of this dispatcher's slots, unless one is scheduled already."""
        if self.aggregators and not self._is_announcement_scheduled:
            self._is_announcement_scheduled = True
            self._timers.schedule(now + _BATCH_DELAY_MS, self._announce_own_slots)

    def receive(self, message: GossipReceived, now: float) -> None:
        """Handle a message: aggregates or, at an aggregator, the announcement of one dispatcher."""
        if message.is_aggregate:
            self._receive_aggregates(message.slots_held, now)
        elif self._is_aggregator():
            self._receive_holdings(message.sender, message.slots_held, now)

    def _is_aggregator(self) -> bool:
        return self._number in self.aggregators

    def _receive_aggregates(self, aggregates: Holdings, now: float) -> None:
        self._load.record_aggregates_received(now)
        for short_id, slots_held in aggregates:
            endpoint = self._endpoints.by_short_id.get(short_id)
            if endpoint is not None:
                self._load.record_aggregate(endpoint, slots_held)
        if self._queue.waiting:
            # All dispatchers learn of an available slot at once: a random delay keeps them from all using it.
            wait_ms = 2.0 * _TURN_MS * self._random.random()
            self._timers.schedule(now + wait_ms, self._queue.serve)

    def _receive_holdings(self, sender: int, holdings: Holdings, now: float) -> None:
        _, before = self._holdings.get(sender, (0.0, ()))
        self._holdings[sender] = (now, holdings)
        for sign, entries in ((-1, before), (1, holdings)):
            for short_id, slots_held in entries:
                self._aggregates[short_id] = self._aggregates.get(short_id, 0) + sign * slots_held

    def _announce_own_slots(self, now: float) -> None:
        """Send the aggregators all slots that this dispatcher holds."""
        self._is_announcement_scheduled = False
        slots_held = self._own_holdings()
        for number in self.aggregators:
            if number == self._number:
                self._receive_holdings(number, slots_held, now)
            else:
                self._outbox.send(SendGossip(number, False, slots_held))
        if slots_held:
            # Without a reminder the aggregators would take this dispatcher to be gone.
            self._announced_ms = now
            self._timers.schedule(now + _REMIND_FRACTION * SENDER_TIMEOUT_MS, self._remind)

    def _own_holdings(self) -> Holdings:
        holders = sorted(self._in_flight.endpoints, key=lambda endpoint: endpoint.index)
        self._load.record_own_slots_announced(holders)
        return tuple(
            [(endpoint.short_id, min(_MAX_SLOTS, int(endpoint.own_slots + 0.5))) for endpoint in holders]
        )

    def _remind(self, now: float) -> None:
        if now >= self._announced_ms + _REMIND_FRACTION * SENDER_TIMEOUT_MS:
            self._announce_own_slots(now)

    def _broadcast_aggregates(self, now: float) -> None:
        """Broadcast the aggregates that have changed since they were last broadcast."""
        # Aggregators take turns, so that one that fails is missed for one turn only.
        aggregator_count = len(self.aggregators)
        turn = int(now / _TURN_MS + 0.5)
        wait = (self.aggregators.index(self._number) - turn) % aggregator_count or aggregator_count
        self._timers.schedule((turn + wait) * _TURN_MS, self._broadcast_aggregates)
        self._remove_silent(now)
        changed = self._next_changed_aggregates()
        if changed:
            self._outbox.send(SendGossip(BROADCAST, True, changed))
            self._receive_aggregates(changed, now)

    def _remove_silent(self, now: float) -> None:
        for number, (received_ms, _) in list(self._holdings.items()):
            if now - received_ms > SENDER_TIMEOUT_MS:
                self._receive_holdings(number, (), now)
                del self._holdings[number]

    def _next_changed_aggregates(self) -> Holdings:
        """The aggregates that differ from the latest broadcast, as many as fit into a message."""
        # Start at another entry each time, and send the first even if unchanged, as messages may be lost.
        aggregates = [
            (short_id, min(_MAX_SLOTS, slots_held)) for short_id, slots_held in self._aggregates.items()
        ]
        start = self._next_entry % max(1, len(aggregates))
        aggregates = aggregates[start:] + aggregates[:start]
        changed = aggregates[:1] + [
            each for each in aggregates[1:] if each[1] != self._load.aggregate_of(each[0])
        ]
        if changed:
            self._next_entry += 1 if len(changed) <= MAX_GOSSIP_ENTRIES else MAX_GOSSIP_ENTRIES
        return tuple(changed[:MAX_GOSSIP_ENTRIES])
