"""Dispatchers with the old and the new protocol that share endpoints, and gossip messages."""

import asyncio
import contextlib
import json
import socket
import statistics

import pytest
from support.event_loop import until
from support.fake_discovery import member, members
from support.fake_server import ABORT, FakeServer
from support.http_messages import ACCEPTED, CHUNKED_HEAD, chunk, exchange, request, response
from support.router_rig import SETTINGS
from support.simulated_time import in_simulated_time

from dunepulley import gossip_codec
from dunepulley.net.config import DispatcherConfig
from dunepulley.net.counters import Counters
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.peers import Peers
from dunepulley.net.service import Service
from dunepulley.routing.commands import SendGossip
from dunepulley.routing.events import GossipReceived, ListUpdateKind
from dunepulley.routing.gossip import SENDER_TIMEOUT_MS

# For each endpoint: how many requests it runs at once, and the time that each takes.
SLOTS = 2
RUN_S = 0.045
# The requests that each dispatcher's client sends, and their interval: seven tenths of the capacity of the
# endpoints, and nearly the full capacity of three once one drains.
REQUESTS_PER_DISPATCHER = 60
REQUEST_PERIOD_S = 0.032
# How long after the list is sent the drain of an endpoint may still be unknown to dispatchers.
DRAIN_GRACE_S = 0.3
# With the old protocol dispatchers learn of load only from callbacks, with the new one also from gossip.
OLD_SETTINGS = {"reporting.how": "answers", "reporting.fields": ("rate", "queue", "x0"), "balancers": 4.0}
NEW_SETTINGS = OLD_SETTINGS | {"policyLimits.peers": True, "familyInfo.tellsStart": False}


def free_addresses(count):
    """Return free addresses, each on a loopback host from which no outgoing connections are made."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.create_server((f"127.0.0.{9 + n}", 0))) for n in range(count)]
        return [each.getsockname() for each in sockets]


class QueueingEndpoint:
    """An endpoint with two slots and a queue, which sends a callback with its load for each request.

    `completed` holds the ids of the requests that ran, `accepted_at` the times at which requests arrived, by
    the event loop's clock.
    """

    def __init__(self, name, dispatchers):
        self.name, self.dispatchers = name, dispatchers
        self.server = FakeServer(self.receive)
        self.slots = asyncio.Semaphore(SLOTS)
        self.completed, self.accepted_at, self.jobs = [], [], set()
        self.waiting = self.longest_queue = 0
        self.connections_to_break = 2 if name == "w0" else 0

    def receive(self, message):
        if message.method != "POST":
            return response(204)
        self.accepted_at.append(asyncio.get_running_loop().time())
        job = asyncio.create_task(self.run(message.headers["x-call-id"]))
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)
        if not message.target.startswith("/pay"):
            return ACCEPTED
        # Some run although their connection is aborted: these must not be sent again.
        self.connections_to_break -= 1
        return ABORT if self.connections_to_break >= 0 else ACCEPTED

    async def run(self, request_id):
        self.waiting += 1
        self.longest_queue = max(self.longest_queue, self.waiting)
        async with self.slots:
            self.waiting -= 1
            await asyncio.sleep(RUN_S)
            self.completed.append(request_id)
        # The id identifies the dispatcher here; a real endpoint uses the source address of the request.
        load = {"throughput": 9.0, "backlog": self.waiting, "x0": self.slots._value}
        report = {"id": request_id, "from": self.name, "state": "done", "result": request_id, "load": load}
        host, port = self.dispatchers[int(request_id[0])]
        await exchange(port, request("/v1/job-events", json.dumps(report).encode(), request_id=None), host)


class MixedFleet:
    """Dispatchers with the old ("o") and the new protocol ("n") that share four endpoints."""

    def __init__(self, protocols):
        self.protocols = protocols
        self.addresses = free_addresses(len(protocols))
        self.endpoints = [QueueingEndpoint(f"w{number}", self.addresses) for number in range(4)]
        self.discovery = FakeServer(lambda message: self._watch())
        self.watches, self.services = [], []
        self.stack = contextlib.AsyncExitStack()

    async def _watch(self):
        lines = asyncio.Queue()
        self.watches.append(lines)
        yield CHUNKED_HEAD
        while True:
            yield chunk(await lines.get())

    async def __aenter__(self):
        for server in (*[endpoint.server for endpoint in self.endpoints], self.discovery):
            await self.stack.enter_async_context(server)
        for number in range(len(self.protocols)):
            self.services.append(Service(self._configuration(number)))
            await self.services[-1].start()
            self.stack.push_async_callback(self.services[-1].close)
        await until(lambda: len(self.watches) == len(self.protocols))
        # Aggregators listen for a while before they send gossip; the test covers the time after that.
        ready = self.services[-1].core.clock() + SENDER_TIMEOUT_MS / 2
        await until(lambda: self.services[-1].core.clock() > ready)
        return self

    async def __aexit__(self, *exception):
        await self.stack.__aexit__(*exception)

    def _configuration(self, number):
        is_new = self.protocols[number] == "n"
        initial_list = members(
            *[member(endpoint.name, endpoint.server.address) for endpoint in self.endpoints]
        )
        return DispatcherConfig(
            f"n{number}",
            self.addresses[number],
            self.discovery.address,
            number,
            256,
            parse_endpoint_list(initial_list, ListUpdateKind.FROM_DISK),
            SETTINGS | (NEW_SETTINGS if is_new else OLD_SETTINGS) | {"me": float(number)},
            peers=tuple(self.addresses) if is_new else (),
            affinity_key_in_path=is_new,
        )

    async def send(self, number, turn):
        """Send a client's request of a turn to a dispatcher at its scheduled time; return the response."""
        await asyncio.sleep(REQUEST_PERIOD_S * turn)
        target = ("/look/a", "/look/b", "/pay/c")[turn % 3]
        host, port = self.addresses[number]
        return await exchange(port, request(target, request_id=f"{number}-{turn}"), host)

    def announce(self, message):
        """Send a message of discovery to all dispatchers."""
        for lines in self.watches:
            lines.put_nowait(json.dumps(message).encode() + b"\n")

    def mean_finished_by_protocol(self, answers):
        """Return, for each protocol, the mean number of requests that its dispatchers answered with 200."""
        finished = [0] * len(self.protocols)
        for index, answer in enumerate(answers):
            finished[index // REQUESTS_PER_DISPATCHER] += answer.target == "200"
        return [
            statistics.mean([finished[n] for n, other in enumerate(self.protocols) if other == protocol])
            for protocol in set(self.protocols)
        ]


@pytest.mark.parametrize("protocols", ["ooon", "onon", "nnno", "nnnn"])
@in_simulated_time
async def test_old_and_new_protocols_share_endpoints_fairly(protocols):
    async with MixedFleet(protocols) as fleet:
        turns = [
            (number, turn) for number in range(len(protocols)) for turn in range(REQUESTS_PER_DISPATCHER)
        ]
        calls = [asyncio.create_task(fleet.send(number, turn)) for number, turn in turns]
        await until(
            lambda: sum([len(endpoint.completed) for endpoint in fleet.endpoints]) > REQUESTS_PER_DISPATCHER
        )
        drained = fleet.endpoints[3]
        entry = member("w3", drained.server.address, "Terminating")
        fleet.announce(members(entry, revision=2, complete=False))
        announced_at = asyncio.get_running_loop().time()
        answers = await asyncio.gather(*calls)
        await until(lambda: not any([endpoint.jobs for endpoint in fleet.endpoints]))

        assert_answered(answers, len(turns))
        assert_no_repeated_runs(fleet.endpoints)
        # The drained endpoint got no requests after the grace period.
        assert all([at < announced_at + DRAIN_GRACE_S for at in drained.accepted_at])
        # Neither protocol starves the other.
        means = fleet.mean_finished_by_protocol(answers)
        assert min(means) >= 0.5 * max(means) and max(means) >= 0.8 * REQUESTS_PER_DISPATCHER
        assert_gossip_counts(fleet)


def assert_answered(answers, count):
    """Assert that each request has one answer, and that only requests on aborted connections failed."""
    assert len(answers) == count
    assert {answer.target for answer in answers} <= {"200", "429", "500", "503"}
    assert sum([answer.target == "500" for answer in answers]) <= 2
    assert all([answer.body for answer in answers if answer.target == "200"])


def assert_no_repeated_runs(endpoints):
    """Assert that no non-idempotent request ran twice, and that no queue grew long."""
    completed = [
        request_id
        for endpoint in endpoints
        for request_id in endpoint.completed
        if int(request_id[2:]) % 3 == 2
    ]
    assert len(completed) == len(set(completed))
    assert max([endpoint.longest_queue for endpoint in endpoints]) <= REQUESTS_PER_DISPATCHER / 2


def assert_gossip_counts(fleet):
    """Assert that dispatchers with the new protocol exchange gossip, and those with the old one do not."""
    for protocol, service in zip(fleet.protocols, fleet.services, strict=True):
        assert bool(service.counters["notes sent"]) == (protocol == "n")
        assert bool(service.counters["notes taken"]) == (protocol == "n" and "n" in fleet.protocols[:3])
        assert not service.counters["faults"]


@pytest.mark.parametrize(
    ("payload", "message"),
    [
        (b"\x00\x12\x34\x05", GossipReceived(1, False, ((0x1234, 5),))),
        (b"\x01", GossipReceived(1, True, ())),
        (b"", None),
        (b"\x02\x12\x34\x05", None),
        (b"\x01\x12\x34", None),
        (b"\x01" + b"abc" * 86, None),
    ],
)
def test_malformed_gossip_and_gossip_of_unlisted_senders_is_dropped_and_counted(payload, message):
    received, counters = [], Counters()
    peers = Peers(0, (("127.0.0.1", 1), ("127.0.0.1", 2)), received.append, counters)
    peers.datagram_received(payload, ("127.0.0.1", 2))
    peers.datagram_received(payload, ("127.0.0.1", 3))
    assert received == ([message] if message else []) and counters["notes dropped"] == 2 - len(received)


def test_gossip_is_truncated_to_the_maximum_message_size():
    gossip = SendGossip(-1, True, tuple([(number, 255) for number in range(200)]))
    payload = gossip_codec.encode_gossip(gossip)
    assert len(payload) <= gossip_codec.MAX_GOSSIP_BYTES
    assert gossip_codec.decode_gossip(3, payload) == GossipReceived(
        3, True, gossip.slots_held[: gossip_codec.MAX_GOSSIP_ENTRIES]
    )
