"""Dispatchers of the former and the present protocol before the same endpoints, and gossip messages."""

import asyncio
import contextlib
import json
import socket
import statistics

import pytest
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import ABORT, FakeServer
from support.http_messages import ACCEPTED, CHUNKED_HEAD, chunk, exchange, request, response
from support.router_rig import SETTINGS

from dunepulley import gossip_codec
from dunepulley.net.config import DispatcherConfig
from dunepulley.net.counters import Counters
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.peers import Peers
from dunepulley.net.service import Service
from dunepulley.routing.commands import SendGossip
from dunepulley.routing.events import GossipReceived, ListUpdateKind
from dunepulley.routing.gossip import SENDER_TIMEOUT_MS

# Of each endpoint: how many requests it runs at once, and for how long, in s.
SLOTS = 2
RUNS_S = 0.045
# Requests that each dispatcher's client sends, and the pause between two, in s: seven tenths of what the
# endpoints can do, and nearly all that three of them can once one drains.
REQUESTS_EACH = 60
REQUEST_PERIOD_S = 0.032
# How long after the list is written the drain of an endpoint may be unknown, in s.
DRAIN_KNOWN_S = 0.3
# Dispatchers of the former protocol hear of load by callbacks alone, those of the present one by gossip, too.
FORMER = {"reporting.how": "answers", "reporting.fields": ("rate", "queue", "x0"), "balancers": 4.0}
PRESENT = FORMER | {"policyLimits.peers": True, "familyInfo.tellsStart": False}


def free_addresses(count):
    """Addresses at which nothing listens, each on a loopback host from which no connection goes out."""
    with contextlib.ExitStack() as stack:
        taken = [stack.enter_context(socket.create_server((f"127.0.0.{9 + n}", 0))) for n in range(count)]
        return [one.getsockname() for one in taken]


class QueueingEndpoint:
    """An endpoint with two slots, a queue, and a callback with its load to the dispatcher of each request.

    `ran` holds the ids of the requests that ran, `accepted_at` when requests came, by the loop's clock in s.
    """

    def __init__(self, name, dispatchers):
        self.name, self.dispatchers = name, dispatchers
        self.server = FakeServer(self.take)
        self.slots = asyncio.Semaphore(SLOTS)
        self.ran, self.accepted_at, self.jobs = [], [], set()
        self.waiting = self.longest_queue = 0
        self.connections_to_break = 2 if name == "w0" else 0

    def take(self, message):
        if message.method != "POST":
            return response(204)
        self.accepted_at.append(asyncio.get_running_loop().time())
        job = asyncio.create_task(self.run(message.headers["x-call-id"]))
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)
        if not message.target.startswith("/pay"):
            return ACCEPTED
        # Some run although their connection breaks: nobody may send these again.
        self.connections_to_break -= 1
        return ABORT if self.connections_to_break >= 0 else ACCEPTED

    async def run(self, request_id):
        self.waiting += 1
        self.longest_queue = max(self.longest_queue, self.waiting)
        async with self.slots:
            self.waiting -= 1
            await asyncio.sleep(RUNS_S)
            self.ran.append(request_id)
        # The id tells the dispatcher here; an endpoint knows it by where the request came from.
        load = {"throughput": 9.0, "backlog": self.waiting, "x0": self.slots._value}
        report = {"id": request_id, "from": self.name, "state": "done", "result": request_id, "load": load}
        host, port = self.dispatchers[int(request_id[0])]
        await exchange(port, request("/v1/job-events", json.dumps(report).encode(), wi=None), host)


class MixedFleet:
    """Dispatchers of the former ("o") and the present protocol ("n") before the same four endpoints."""

    def __init__(self, shapes):
        self.shapes = shapes
        self.addresses = free_addresses(len(shapes))
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
        for number in range(len(self.shapes)):
            self.services.append(Service(self._configuration(number)))
            await self.services[-1].start()
            self.stack.push_async_callback(self.services[-1].close)
        await until(lambda: len(self.watches) == len(self.shapes))
        # Those that aggregate listen for a while before they gossip: the test is of what comes then.
        ready = self.services[-1].core.clock() + SENDER_TIMEOUT_MS / 2
        await until(lambda: self.services[-1].core.clock() > ready)
        return self

    async def __aexit__(self, *what):
        await self.stack.__aexit__(*what)

    def _configuration(self, number):
        present = self.shapes[number] == "n"
        known = members(*[member(endpoint.name, endpoint.server.address) for endpoint in self.endpoints])
        return DispatcherConfig(
            f"n{number}",
            self.addresses[number],
            self.discovery.address,
            number,
            256,
            parse_endpoint_list(known, ListUpdateKind.FROM_DISK),
            SETTINGS | (PRESENT if present else FORMER) | {"me": float(number)},
            peers=tuple(self.addresses) if present else (),
            affinity_key_in_path=present,
        )

    async def send(self, number, turn):
        """Send a client's request of a turn to a dispatcher, when it is due; the response."""
        await asyncio.sleep(REQUEST_PERIOD_S * turn)
        target = ("/look/a", "/look/b", "/pay/c")[turn % 3]
        host, port = self.addresses[number]
        return await exchange(port, request(target, wi=f"{number}-{turn}"), host)

    def announce(self, message):
        """Have discovery write a message to all dispatchers."""
        for lines in self.watches:
            lines.put_nowait(json.dumps(message).encode() + b"\n")

    def finished_by_shape(self, answers):
        """For each shape the mean of how many requests its dispatchers answered with 200."""
        finished = [0] * len(self.shapes)
        for place, answer in enumerate(answers):
            finished[place // REQUESTS_EACH] += answer.target == "200"
        return [
            statistics.mean([finished[n] for n, its in enumerate(self.shapes) if its == shape])
            for shape in set(self.shapes)
        ]


@pytest.mark.parametrize("shapes", ["ooon", "onon", "nnno", "nnnn"])
@on_loop
async def test_old_and_new_shapes_before_the_same_workers(shapes):
    async with MixedFleet(shapes) as fleet:
        turns = [(number, turn) for number in range(len(shapes)) for turn in range(REQUESTS_EACH)]
        calls = [asyncio.create_task(fleet.send(number, turn)) for number, turn in turns]
        await until(lambda: sum([len(endpoint.ran) for endpoint in fleet.endpoints]) > REQUESTS_EACH)
        drained = fleet.endpoints[3]
        entry = member("w3", drained.server.address, "Terminating")
        fleet.announce(members(entry, revision=2, complete=False))
        announced_at = asyncio.get_running_loop().time()
        answers = await asyncio.gather(*calls)
        await until(lambda: not any([endpoint.jobs for endpoint in fleet.endpoints]))

        check_answers(answers, len(turns))
        check_runs(fleet.endpoints)
        # The drain was kept.
        assert all([at < announced_at + DRAIN_KNOWN_S for at in drained.accepted_at])
        # Neither shape starves the other.
        means = fleet.finished_by_shape(answers)
        assert min(means) >= 0.5 * max(means) and max(means) >= 0.8 * REQUESTS_EACH
        check_gossip(fleet)


def check_answers(answers, count):
    """Nothing lost: each request has one answer, finished or rejected; those cut off have failed."""
    assert len(answers) == count
    assert {answer.target for answer in answers} <= {"200", "429", "500", "503"}
    assert sum([answer.target == "500" for answer in answers]) <= 2
    assert all([answer.body for answer in answers if answer.target == "200"])


def check_runs(endpoints):
    """No non-idempotent request ran twice, nor one that a client was to send again; no queue grew long."""
    ran = [wi for endpoint in endpoints for wi in endpoint.ran if int(wi[2:]) % 3 == 2]
    assert len(ran) == len(set(ran))
    assert max([endpoint.longest_queue for endpoint in endpoints]) <= REQUESTS_EACH / 2


def check_gossip(fleet):
    """Dispatchers of the present protocol gossip with each other, and those of the former one do not."""
    for shape, service in zip(fleet.shapes, fleet.services, strict=True):
        assert bool(service.counters["notes sent"]) == (shape == "n")
        assert bool(service.counters["notes taken"]) == (shape == "n" and "n" in fleet.shapes[:3])
        assert not service.counters["faults"]


@pytest.mark.parametrize(
    ("octets", "news"),
    [
        (b"\x00\x12\x34\x05", GossipReceived(1, False, ((0x1234, 5),))),
        (b"\x01", GossipReceived(1, True, ())),
        (b"", None),
        (b"\x02\x12\x34\x05", None),
        (b"\x01\x12\x34", None),
        (b"\x01" + b"abc" * 86, None),
    ],
)
def test_bad_notes_and_those_of_strangers_are_dropped_and_counted(octets, news):
    taken, counters = [], Counters()
    peers = Peers(0, (("127.0.0.1", 1), ("127.0.0.1", 2)), taken.append, counters)
    peers.datagram_received(octets, ("127.0.0.1", 2))
    peers.datagram_received(octets, ("127.0.0.1", 3))
    assert taken == ([news] if news else []) and counters["notes dropped"] == 2 - len(taken)


def test_a_note_is_as_long_as_the_wire_allows():
    note = SendGossip(-1, True, tuple([(number, 255) for number in range(200)]))
    octets = gossip_codec.encode_gossip(note)
    assert len(octets) <= gossip_codec.MAX_GOSSIP_BYTES
    assert gossip_codec.decode_gossip(3, octets) == GossipReceived(
        3, True, note.slots_held[: gossip_codec.MAX_GOSSIP_ENTRIES]
    )
