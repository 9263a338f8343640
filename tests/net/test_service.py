"""The configuration, the command line, discovery, and the process from its start to SIGTERM."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from random import Random

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import ABORT, CLOSE, SILENT, FakeServer
from support.http_messages import ACCEPTED, CHUNKED_HEAD, chunk, exchange, read_message, request, response

from dunepulley.__main__ import main
from dunepulley.load.ports import free_port
from dunepulley.net import config, discovery, list_polling, log
from dunepulley.net.counters import Counters
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.list_polling import PollBackoff
from dunepulley.net.settings_document import flatten_settings
from dunepulley.routing.events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind
from dunepulley.routing.settings import Idempotency

CONFIG = {
    "name": "n3",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
    "known": members(member("w0", "127.0.0.1:9", up_since_ms=1700000000000), revision=41),
    "settings": {
        "areas": ["a", "12"],
        "zone": "12",
        "categories": [
            {"name": "look", "effect": "read_like", "dueTimeUs": 3000000, "payoff": 5.0, "expiryUs": 4000000},
            {"name": "store", "effect": "idempotency_key", "keyScope": "cell", "windowUs": 12000000},
        ],
        "parties": [],
        "discovery": "automatic",
        "familyInfo": {"classStretch": [2.0, 1.75], "tellsStart": True, "note": None},
        "policyLimits": {"mostHandOffs": 5, "connIdleUs": 10000000, "cancel": True},
        "reporting": {"fields": ["throughput", "backlog", "x0"], "how": "answers"},
    },
}


def test_settings_are_flattened_and_translated():
    assert flatten_settings(CONFIG["settings"]) == {
        "areas": ("a", "12"),
        "zone": "12",
        "categories.count": 2.0,
        "categories.0.name": "look",
        "categories.0.effect": Idempotency.IDEMPOTENT,
        "categories.0.dueTimeMs": 3000.0,
        "categories.0.expiryMs": 4000.0,
        "categories.0.payoff": 5.0,
        "categories.1.name": "store",
        "categories.1.effect": Idempotency.KEYED,
        "categories.1.keyScope": "cell",
        "categories.1.windowMs": 12000.0,
        "parties": (),
        "discovery": "pushed",
        "familyInfo.classStretch": (2.0, 1.75),
        "familyInfo.tellsStart": True,
        "policyLimits.mostHandOffs": 5.0,
        "policyLimits.connIdleMs": 10000.0,
        "policyLimits.cancel": True,
        "reporting.fields": ("rate", "queue", "x0"),
        "reporting.how": "answers",
    }


def test_reads_the_configuration_and_prints_its_summary(tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG))
    parsed = config.read({"ROUTER_CONFIG": str(path), "ROUTER_LISTEN": "127.0.0.2:80", "ROUTER_NAME": "n4"})
    assert (parsed.name, parsed.listen, parsed.discovery) == ("n4", ("127.0.0.2", 80), "127.0.0.1:8500")
    assert (parsed.seed, parsed.max_descriptors, parsed.initial_list.revision) == (
        0x8C1F30D27A5BE964,
        512,
        41,
    )
    w0 = EndpointEntry("w0", "here", "box", "1", EndpointState.READY, 1.0, 1700000000000.0)
    assert parsed.initial_list.update == EndpointListUpdate(ListUpdateKind.FROM_DISK, (w0,))
    assert main(["check", "--config", str(path)]) == 0
    assert "categories: look, store" in capsys.readouterr().out
    assert main(["version"]) == 0 and capsys.readouterr().out.startswith("dunepulley ")


@pytest.mark.parametrize(
    ("text", "fragment"),
    [
        (None, "cannot read"),
        ("{", "not valid JSON"),
        ("[1]", "object"),
        (json.dumps({**CONFIG, "listen": "nowhere"}), "nowhere"),
        (json.dumps({**CONFIG, "discovery": "127.0.0.1:0"}), "127.0.0.1:0"),
        (json.dumps({**CONFIG, "settings": []}), "settings"),
        (json.dumps({**CONFIG, "seed": "xyz"}), "xyz"),
        (json.dumps({**CONFIG, "limits": {"sockets": "many"}}), "many"),
        (json.dumps({**CONFIG, "known": {"members": [1]}}), "endpoint list"),
        (json.dumps({**CONFIG, "by_key": "yes"}), "by_key"),
        (json.dumps({**CONFIG, "peers": "all"}), "peers"),
        (
            json.dumps({**CONFIG, "peers": ["127.0.0.1:1", "127.0.0.1:2"]}),
            "peers: expected 1 addresses (settings.balancers) and settings.me below 1, got 2 addresses",
        ),
        (json.dumps({**CONFIG, "peers": ["nowhere"]}), "nowhere"),
        (json.dumps({**CONFIG, "settings": {"weightSource": "lively"}}), "weightSource"),
        (json.dumps({**CONFIG, "settings": {"policyLimits": {"peers": 1}}}), "policyLimits.peers"),
        (json.dumps({**CONFIG, "settings": {"familyInfo": {"progressUs": "soon"}}}), "progressMs"),
        (json.dumps({**CONFIG, "settings": {"prices": {"handshake": -1}}}), "handshake"),
        (json.dumps({**CONFIG, "settings": {"balancers": 0}}), "balancers"),
        (json.dumps({name: CONFIG[name] for name in ("listen", "discovery")}), "settings"),
    ],
)
def test_an_invalid_configuration_ends_the_start_with_one_line(tmp_path, capsys, text, fragment):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    assert main(["serve", "--config", str(path)]) == 2
    output = capsys.readouterr().err
    assert fragment in output and output.count("\n") == 1 and output.startswith("dunepulley: ")


@pytest.mark.parametrize(
    ("more", "peers", "enabled"),
    [
        ({}, (), False),
        ({"peers": ["127.0.0.1:1", "127.0.0.1:2"]}, (("127.0.0.1", 1), ("127.0.0.1", 2)), True),
    ],
)
def test_gossip_is_disabled_unless_peers_are_configured(tmp_path, more, peers, enabled):
    path = tmp_path / "config.json"
    settings = {"balancers": 2, "me": 1, "policyLimits": {"peers": True}}
    path.write_text(json.dumps(CONFIG | more | {"settings": settings}))
    parsed = config.read({"ROUTER_CONFIG": str(path)})
    # Guards against a router that sends gossip which is not delivered, and waits for gossip that never comes.
    assert (
        parsed.peers == peers
        and parsed.settings["policyLimits.peers"] is enabled
        and not parsed.affinity_key_in_path
    )


def test_an_address_in_use_ends_the_start_with_one_line(tmp_path, capfd):
    occupied = socket.create_server(("127.0.0.1", 0))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONFIG | {"listen": f"127.0.0.1:{occupied.getsockname()[1]}"}))
    assert main(["serve", "--config", str(path)]) == 2
    assert "dunepulley: cannot listen at 127.0.0.1:" in capfd.readouterr().err
    occupied.close()


@pytest.mark.parametrize(
    ("entry", "state", "addresses"),
    [
        (member("w", "127.0.0.1:1"), EndpointState.READY, {"w": "127.0.0.1:1"}),
        (member("w", "127.0.0.1:1", "Terminating"), EndpointState.DRAINING, {"w": "127.0.0.1:1"}),
        (member("w", "127.0.0.1:1", "Sleeping"), EndpointState.DRAINING, {"w": "127.0.0.1:1"}),
        (member("w", "nowhere"), EndpointState.DRAINING, {}),
        ({"id": "w", "phase": "Gone"}, EndpointState.REMOVED, {}),
        ({"id": "w", "phase": "Ready"}, EndpointState.DRAINING, {}),
    ],
)
def test_parses_the_state_and_address_of_list_entries(entry, state, addresses):
    listed = parse_endpoint_list(members(entry, complete=False))
    assert listed.update.kind == ListUpdateKind.CHANGES and listed.addresses == addresses
    assert [each.state for each in listed.update.entries] == [state]


# ---------------------------------------------------------------- discovery


def list_line(revision, **more):
    return json.dumps(members(member("w0", "127.0.0.1:9"), revision=revision, **more)).encode() + b"\n"


def indented_list(revision):
    message = members(member('w{"[', "127.0.0.1:9"), revision=revision)
    return json.dumps(message, indent=2).encode() + b"\n"


@pytest.mark.parametrize(
    ("watches", "revisions", "requested"),
    [
        # A watch that ends is reopened from the last received revision; empty lines carry no message.
        (
            [[chunk(list_line(5)), chunk(b"\n"), chunk(list_line(6))], [chunk(list_line(7))]],
            [5, 6, 7],
            [3, 6, 7],
        ),
        # Cut in the middle of a line: the partial line is ignored, and the next watch sends it again.
        ([[chunk(list_line(5) + list_line(6)[:40])], [chunk(list_line(6))]], [5, 6], [3, 5, 6]),
        # One line over several chunks, several lines in one.
        ([[chunk(list_line(5)[:9]), chunk(list_line(5)[9:] + list_line(6))]], [5, 6], [3, 6]),
        # Indented, over many lines.
        ([[chunk(indented_list(5) + list_line(6) + indented_list(7))]], [5, 6, 7], [3, 7]),
        ([[chunk(indented_list(5)[:60]), chunk(indented_list(5)[60:] + b"\n")]], [5], [3, 5]),
        # An indented document that breaks off: detected at the next empty line.
        ([[chunk(indented_list(5)[:60] + b"\n\n" + list_line(6))], [chunk(list_line(8))]], [8], [3, 0, 8]),
        # An invalid message: its content is lost, so the full list is requested.
        ([[chunk(list_line(5)), chunk(b'{"members":5}\n')], [chunk(list_line(8))]], [5, 8], [3, 0, 8]),
        ([[chunk(b"nonsense\n")], [chunk(list_line(8))]], [8], [3, 0, 8]),
        # A full list replaces the current one, even if its revision is older.
        ([[chunk(list_line(9)), chunk(list_line(2))]], [9, 2], [3, 2]),
        # Refused: the current list stays valid, and requesting a full list would cost discovery the most.
        ([ABORT, CLOSE, response(503), [chunk(list_line(5))]], [5], [3, 3, 3, 3, 5]),
        ([response(410), [chunk(list_line(5))]], [5], [3, 0, 5]),
    ],
)
@on_loop
async def test_a_watch_is_reopened_after_any_failure(watches, revisions, requested):
    async def stream(parts):
        yield CHUNKED_HEAD
        for part in parts:
            yield part

    async def silent():
        yield CHUNKED_HEAD
        await asyncio.Event().wait()

    def script(call):
        number = len(peer.seen) - 1
        if number >= len(watches):
            return silent()
        reply = watches[number]
        return stream(reply) if isinstance(reply, list) else reply

    received = []
    async with FakeServer(script) as peer:
        client = discovery.Discovery(peer.address, 3, received.append, Counters(), PollBackoff(Random(1)))
        task = asyncio.create_task(client.run())
        await until(lambda: len(peer.seen) == len(requested))
        assert [message.revision for message in received] == revisions
        assert [call.target for call in peer.seen] == [
            f"/catalog/members?stream=1&index={revision}" for revision in requested
        ]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@on_loop
async def test_an_idle_watch_is_closed_and_reopened():
    async def silent():
        yield CHUNKED_HEAD + chunk(list_line(5))
        await asyncio.Event().wait()

    list_polling.IDLE_TIMEOUT_S, previous = 0.05, list_polling.IDLE_TIMEOUT_S
    try:
        async with FakeServer(lambda call: silent()) as peer:
            client = discovery.Discovery(
                peer.address, 3, lambda message: None, Counters(), PollBackoff(Random(1))
            )
            task = asyncio.create_task(client.run())
            await until(lambda: len(peer.seen) == 3)
            assert not task.done() and peer.seen[1].target.endswith("index=5")
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    finally:
        list_polling.IDLE_TIMEOUT_S = previous


class RecordingBackoff(PollBackoff):
    """Records its arguments, and lets the next call be made at once."""

    def __init__(self):
        super().__init__(Random(1))
        self.calls = []

    def next_delay_s(self, end, received, age_s=0.0):
        self.calls.append((end, received, age_s))
        return 0.0


@pytest.mark.parametrize(
    ("reply", "end", "received", "min_age_s"),
    [
        ([], list_polling.WatchEnd.INTERRUPTED, False, 0.1),  # no response
        ([CHUNKED_HEAD], list_polling.WatchEnd.INTERRUPTED, False, 0.15),  # no line after the head
        ([CHUNKED_HEAD + chunk(list_line(5))], list_polling.WatchEnd.INTERRUPTED, True, 0.15),
        (ABORT, list_polling.WatchEnd.INTERRUPTED, False, 0.0),
        (response(503), list_polling.WatchEnd.REFUSED, False, 0.0),
    ],
)
@on_loop
async def test_the_backoff_gets_the_age_of_the_list(monkeypatch, reply, end, received, min_age_s):
    # The age of the list counts towards the staleness bound.
    monkeypatch.setattr(list_polling, "RESPONSE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(list_polling, "IDLE_TIMEOUT_S", 0.15)

    async def stream():
        for part in reply:
            yield part
        await asyncio.Event().wait()

    backoff = RecordingBackoff()
    async with FakeServer(lambda call: stream() if isinstance(reply, list) else reply) as peer:
        client = discovery.Discovery(peer.address, 3, lambda message: None, Counters(), backoff)
        task = asyncio.create_task(client.run())
        await until(lambda: len(backoff.calls) >= 3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert [(arguments[0], arguments[1]) for arguments in backoff.calls[:3]] == [(end, received)] * 3
    assert all(age_s >= 0.99 * min_age_s for _, _, age_s in backoff.calls)


class RecordingSinceBackoff(RecordingBackoff):
    """Records the time from which the age is counted, and waits a little."""

    def next_delay_s(self, end, received, age_s=0.0):
        super().next_delay_s(end, received, asyncio.get_running_loop().time() - age_s)
        return 0.05


@pytest.mark.parametrize(
    ("reply", "age_grows"),
    [(response(503), True), (ABORT, True), (b"HTTP/1.1 200 OK\r\n\r\nnonsense\n", True), (None, False)],
)
@on_loop
async def test_a_refused_call_keeps_the_age_and_an_unanswered_one_restarts_it(monkeypatch, reply, age_grows):
    # Guards against counting the staleness bound of 6 s from the last of several calls: it runs from when
    # discovery had a change and could be reached, whatever the result of the calls.
    monkeypatch.setattr(list_polling, "RESPONSE_TIMEOUT_S", 0.1)

    async def once():
        yield CHUNKED_HEAD + chunk(list_line(5))

    async def nothing():
        yield b""
        await asyncio.Event().wait()

    backoff = RecordingSinceBackoff()
    async with FakeServer(lambda call: once() if len(peer.seen) == 1 else reply or nothing()) as peer:
        client = discovery.Discovery(peer.address, 3, lambda message: None, Counters(), backoff)
        task = asyncio.create_task(client.run())
        await until(lambda: len(backoff.calls) >= 4)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    first, *others = [since_s for _, _, since_s in backoff.calls[:4]]
    if age_grows:
        assert all([abs(since_s - first) < 0.02 for since_s in others])
    else:
        assert all([later - before > 0.1 for before, later in zip(others, others[1:], strict=False)])


@pytest.mark.parametrize("agent_responds", [True, False])
@on_loop
async def test_a_start_waits_for_the_agents_first_message(monkeypatch, agent_responds):
    # Guards against sending requests to an endpoint that only the outdated configured list has as ready: the
    # dispatcher must act on the agent's list from the start. A silent agent must not block the start.
    monkeypatch.setattr(list_polling, "STARTUP_TIMEOUT_S", 10.0 if agent_responds else 0.05)
    rig = DispatcherRig(None, discovery="pushed")
    entering = asyncio.create_task(rig.__aenter__())
    await until(lambda: rig.discovery.seen)
    if agent_responds:
        assert not rig.service.frontend.listener.accepting
        rig.discovery.announce(
            members(member("w0", rig.endpoints[0].address, phase="Terminating"), revision=9)
        )
        await until(lambda: rig.service.watch.first_message.is_set())
    await until(lambda: rig.service.frontend.listener.accepting)
    assert rig.service.frontend.accepts_clients() is not agent_responds
    entering.cancel()
    await asyncio.gather(entering, return_exceptions=True)
    await rig.__aexit__()


@on_loop
async def test_an_unanswered_call_is_repeated():
    # Guards against waiting forever for an agent that accepts the call but sends no response head.
    async def nothing():
        yield b""
        await asyncio.Event().wait()

    list_polling.RESPONSE_TIMEOUT_S, previous = 0.05, list_polling.RESPONSE_TIMEOUT_S
    try:
        async with FakeServer(lambda call: nothing()) as peer:
            backoff = PollBackoff(Random(1), 200.0, True)
            client = discovery.Discovery(peer.address, 3, lambda message: None, Counters(), backoff)
            task = asyncio.create_task(client.run())
            await until(lambda: len(peer.seen) == 3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    finally:
        list_polling.RESPONSE_TIMEOUT_S = previous


# ---------------------------------------------------------------- the process


class Process:
    """A dispatcher in its own process."""

    def __init__(self, folder, worker, discovery_server, **settings):
        self.path = folder / "config.json"
        self.environment = os.environ | {"ROUTER_DISCOVERY": discovery_server.address}
        self.port = free_port()
        categories = [dict(CONFIG["settings"]["categories"][0], **settings)]
        configuration = CONFIG | {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery_server.address,
            "known": members(*[member(f"w{number}", worker.address) for number in range(4)]),
            "settings": CONFIG["settings"] | {"categories": categories},
        }
        self.path.write_text(json.dumps(configuration))

    async def __aenter__(self):
        command = [sys.executable, "-m", "dunepulley", "serve", "--config", str(self.path)]
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(*command, stderr=pipe, env=self.environment)
        async with asyncio.timeout(8.0):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "200":
                        return self
                await asyncio.sleep(0.02)

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def open(self, raw):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(raw)
        return reader, writer

    async def exchange(self, raw):
        return await exchange(self.port, raw)

    async def send_callbacks(self, request_id, state):
        """Send a callback from each endpoint; only one runs the request, and the process may end after it."""
        for worker in range(4):
            body = json.dumps(
                {"id": request_id, "from": f"w{worker}", "state": state, "result": request_id}
            ).encode()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.exchange(request("/v1/job-events", body, request_id=None))


@on_loop
async def test_sigterm_finishes_the_accepted_requests(tmp_path):
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: CLOSE) as discovery_server,
        Process(tmp_path, worker, discovery_server) as node,
    ):
        loop = asyncio.get_running_loop()
        idle, idle_writer = await node.open(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await read_message(idle)).target == "200"
        unused, unused_writer = await node.open(b"")
        before, before_writer = await node.open(request("/look/1", request_id="before"))
        await until(lambda: worker.seen)
        await node.send_callbacks("before", "started")
        node.process.send_signal(signal.SIGUSR1)
        node.process.send_signal(signal.SIGTERM)
        started_s = loop.time()
        assert (await node.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "503"
        # New connections are still accepted, and so are requests over the existing ones, which stay open:
        # until the next dispatcher is up, their clients may have no other one.
        idle_writer.write(request("/look/1", request_id="kept"))
        late, late_writer = await node.open(request("/look/1", request_id="late"))
        await until(lambda: len([call for call in worker.seen if call.method == "POST"]) == 3)
        await node.send_callbacks("late", "started")
        await node.send_callbacks("kept", "done")
        reply = await read_message(idle)
        assert reply.target == "200" and "connection" not in reply.headers
        idle_writer.write(request("/look/1", request_id="again"))
        await until(lambda: len([call for call in worker.seen if call.method == "POST"]) == 4)
        await node.send_callbacks("again", "done")
        reply = await read_message(idle)
        assert reply.target == "200" and "connection" not in reply.headers and not await unused.read()
        # Near the end no new request is accepted and idle connections are closed, but callbacks still work.
        assert not await idle.read() and 2.0 < loop.time() - started_s < 3.0
        assert (await node.exchange(request("/look/1", request_id="too late"))).target == "400"
        assert (await node.exchange(request("/look/1", request_id="too-late"))).target == "503"
        for request_id, reader in (("before", before), ("late", late)):
            assert node.process.returncode is None
            await node.send_callbacks(request_id, "done")
            reply = await read_message(reader)
            assert (reply.target, reply.body, reply.headers["connection"]) == (
                "200",
                request_id.encode(),
                "close",
            )
        assert await node.process.wait() == 0 and loop.time() - started_s < 3.5
        for writer in (unused_writer, idle_writer, before_writer, late_writer):
            writer.close()
        output = (await node.process.stderr.read()).decode()
        assert output.count("dunepulley counters: ") == 2 and "taken=4" in output and "fault" not in output


@on_loop
async def test_unanswered_requests_are_failed_before_sigkill(tmp_path):
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: CLOSE) as discovery_server,
        Process(tmp_path, worker, discovery_server, expiryUs=600000) as node,
    ):
        reader, writer = await node.open(request("/look/1", request_id="a", budget=60000))
        await until(lambda: worker.seen)
        await node.send_callbacks("a", "started")
        started_s = asyncio.get_running_loop().time()
        node.process.send_signal(signal.SIGTERM)
        assert (await read_message(reader)).target == "500"
        # SIGKILL would follow SIGTERM no sooner than after the longest timeout and 0.7 s.
        assert await node.process.wait() == 0 and asyncio.get_running_loop().time() - started_s < 1.3
        writer.close()


@on_loop
async def test_a_partly_received_request_at_the_end_gets_a_response(tmp_path):
    # Guards against exiting once no request is open: the rest of a request may be on its way.
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: SILENT) as discovery_server,
        Process(tmp_path, worker, discovery_server, expiryUs=600000) as node,
    ):
        raw = request("/look/1", b"x" * 100)
        idle, idle_writer = await node.open(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await read_message(idle)).target == "200"
        partial, partial_writer = await node.open(raw[:-40])
        stalled, stalled_writer = await node.open(raw[:-40])
        node.process.send_signal(signal.SIGTERM)
        assert not await idle.read()  # from here on no request is accepted
        partial_writer.write(raw[-40:])
        reply = await read_message(partial)
        assert (reply.target, reply.headers["connection"]) == ("503", "close")
        # A client that never sends the rest does not delay the exit, and gets a response.
        assert (await read_message(stalled)).target == "503"
        assert not await stalled.read() and await node.process.wait() == 0
        for writer in (idle_writer, partial_writer, stalled_writer):
            writer.close()
        assert not worker.seen


@on_loop
async def test_sighup_during_the_start_takes_effect_after_it(tmp_path):
    # Guards against a reload that kills a starting process: the start is blocked while it reads its
    # configuration.
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: SILENT) as discovery_server,
        FakeServer(lambda call: SILENT) as new_discovery,
    ):
        node = Process(tmp_path, worker, discovery_server)
        text = node.path.read_text()
        node.path.unlink()
        os.mkfifo(node.path)
        entering = asyncio.create_task(node.__aenter__())
        try:
            pipe = -1
            while pipe < 0:
                with contextlib.suppress(OSError):  # until the process has opened its end
                    pipe = os.open(node.path, os.O_WRONLY | os.O_NONBLOCK)
                await asyncio.sleep(0.01)
            new = tmp_path / "new.json"
            new.write_text(text.replace(discovery_server.address, new_discovery.address))
            new.rename(node.path)
            for number in (signal.SIGHUP, signal.SIGUSR1):
                node.process.send_signal(number)
            os.write(pipe, text.encode())
            os.close(pipe)
            await entering
            await until(lambda: new_discovery.seen)
            # The revision from the previous discovery is not used with the new one.
            assert {call.target for call in new_discovery.seen} == {"/catalog/members?stream=1&index=0"}
            assert node.process.returncode is None
        finally:
            entering.cancel()
            await node.__aexit__()


class OpenWatchServer(FakeServer):
    """A discovery that has no change to tell, and keeps its watches open."""

    def __init__(self):
        super().__init__(lambda call: None)

    async def _respond(self, reply, reader, writer):
        writer.write(CHUNKED_HEAD + chunk(b"\n"))
        await reader.read()
        return False


@on_loop
async def test_sighup_watches_the_new_discovery_and_affects_no_request(tmp_path):
    async def lists():
        yield CHUNKED_HEAD
        for message in (members(), members(member("w0", other.address))):
            yield chunk(json.dumps(message).encode() + b"\n")
            await more.wait()
        await asyncio.Event().wait()

    async def health():
        return (await node.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target

    more = asyncio.Event()
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: ACCEPTED) as other,
        OpenWatchServer() as discovery_server,
        FakeServer(lambda call: lists()) as new_discovery,
        Process(tmp_path, worker, discovery_server) as node,
    ):
        before, before_writer = await node.open(request("/look/1", request_id="before"))
        await until(lambda: worker.seen)
        text = node.path.read_text()
        # A file that is missing, incomplete or empty: each is logged, and the old discovery is kept.
        for invalid in (None, text[:200], "{}"):
            node.path.unlink() if invalid is None else node.path.write_text(invalid)
            node.process.send_signal(signal.SIGHUP)
            while b"the old configuration stays in force" not in await node.process.stderr.readline():
                pass
        assert discovery_server.connections == 1 and not discovery_server.closed and not new_discovery.seen
        node.path.write_text(text.replace(discovery_server.address, new_discovery.address))
        node.process.send_signal(signal.SIGHUP)
        await until(
            lambda: new_discovery.seen and discovery_server.closed == discovery_server.connections == 1
        )
        # The revision from the old discovery is not used with the new one.
        assert new_discovery.seen[0].target == "/catalog/members?stream=1&index=0"
        while await health() != "503":
            pass
        more.set()
        while await health() != "200":
            pass
        after, after_writer = await node.open(request("/look/1", request_id="after"))
        await until(lambda: other.seen)
        # Reloading the same file changes nothing.
        node.process.send_signal(signal.SIGHUP)
        for request_id, reader in (("before", before), ("after", after)):
            await node.send_callbacks(request_id, "done")
            assert (await read_message(reader)).target == "200"
        assert new_discovery.connections == 1 and node.process.returncode is None
        for writer in (before_writer, after_writer):
            writer.close()


def test_the_log_is_rate_limited_by_event(capsys, monkeypatch):
    monkeypatch.setattr(log, "_periods", {})
    now = [100.0]
    monkeypatch.setattr(log.time, "monotonic", lambda: now[0])
    for _ in range(50):
        log.write("one", "a\nb")
    log.write("two", "c")
    now[0] += log.PERIOD_S
    log.write("one", "d")
    output = capsys.readouterr().err.splitlines()
    assert output == [
        *["dunepulley one: a | b"] * 5,
        "dunepulley two: c",
        "dunepulley one: 45 more lines were suppressed",
        "dunepulley one: d",
    ]


def test_a_start_imports_only_what_serving_needs():
    # Guards against a slow start when forty processes start at once: certificates, the tool, the model.
    code = """
import _ssl, ssl, sys
from dunepulley.__main__ import main
assert main(["serve", "--config", "/nowhere"]) == 2
from dunepulley.net import process
loaded = [name for name in sys.modules if name.startswith(("dunepulley.agent", "dunepulley.model", "numpy"))]
assert set(loaded) <= {"dunepulley.agent", "dunepulley.agent.wire"}, loaded
import aiohttp.connector
assert not aiohttp.connector._SSL_CONTEXT_VERIFIED.cert_store_stats()["x509"]
assert ssl.SSLContext.set_default_verify_paths is _ssl._SSLContext.set_default_verify_paths
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
