"""Discovery, configuration, the command line, and the life of the process from start to SIGTERM."""

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
from dunepulley.net import config, discovery, list_polling, log
from dunepulley.net.counters import Counters
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.net.list_polling import PollBackoff
from dunepulley.net.settings_document import flatten_settings
from dunepulley.routing.events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind
from dunepulley.routing.settings import Idempotency

TOLD = {
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


def test_settings_become_the_plain_map_of_the_other_front():
    assert flatten_settings(TOLD["settings"]) == {
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


def test_what_a_dispatcher_is_told(tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(TOLD))
    start = config.read({"ROUTER_CONFIG": str(path), "ROUTER_LISTEN": "127.0.0.2:80", "ROUTER_NAME": "n4"})
    assert (start.name, start.listen, start.discovery) == ("n4", ("127.0.0.2", 80), "127.0.0.1:8500")
    assert (start.seed, start.max_descriptors, start.initial_list.revision) == (0x8C1F30D27A5BE964, 512, 41)
    w0 = EndpointEntry("w0", "here", "box", "1", EndpointState.READY, 1.0, 1700000000000.0)
    assert start.initial_list.update == EndpointListUpdate(ListUpdateKind.FROM_DISK, (w0,))
    assert main(["check", "--config", str(path)]) == 0
    assert "categories: look, store" in capsys.readouterr().out
    assert main(["version"]) == 0 and capsys.readouterr().out.startswith("dunepulley ")


@pytest.mark.parametrize(
    ("text", "word"),
    [
        (None, "cannot read"),
        ("{", "no JSON"),
        ("[1]", "object"),
        (json.dumps({**TOLD, "listen": "nowhere"}), "nowhere"),
        (json.dumps({**TOLD, "discovery": "127.0.0.1:0"}), "127.0.0.1:0"),
        (json.dumps({**TOLD, "settings": []}), "settings"),
        (json.dumps({**TOLD, "seed": "xyz"}), "xyz"),
        (json.dumps({**TOLD, "limits": {"sockets": "many"}}), "many"),
        (json.dumps({**TOLD, "known": {"members": [1]}}), "list of workers"),
        (json.dumps({**TOLD, "by_key": "yes"}), "by_key"),
        (json.dumps({**TOLD, "peers": "all"}), "peers"),
        (json.dumps({**TOLD, "peers": ["127.0.0.1:1", "127.0.0.1:2"]}), "lists 2 dispatchers"),
        (json.dumps({**TOLD, "peers": ["nowhere"]}), "nowhere"),
        (json.dumps({**TOLD, "settings": {"weightSource": "lively"}}), "weightSource"),
        (json.dumps({**TOLD, "settings": {"policyLimits": {"peers": 1}}}), "policyLimits.peers"),
        (json.dumps({**TOLD, "settings": {"familyInfo": {"progressUs": "soon"}}}), "progressMs"),
        (json.dumps({**TOLD, "settings": {"prices": {"handshake": -1}}}), "handshake"),
        (json.dumps({**TOLD, "settings": {"balancers": 0}}), "balancers"),
        (json.dumps({name: TOLD[name] for name in ("listen", "discovery")}), "settings"),
    ],
)
def test_a_bad_configuration_ends_with_one_plain_line(tmp_path, capsys, text, word):
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    assert main(["serve", "--config", str(path)]) == 2
    said = capsys.readouterr().err
    assert word in said and said.count("\n") == 1 and said.startswith("dunepulley: ")


@pytest.mark.parametrize(
    ("more", "peers", "notes"),
    [
        ({}, (), False),
        ({"peers": ["127.0.0.1:1", "127.0.0.1:2"]}, (("127.0.0.1", 1), ("127.0.0.1", 2)), True),
    ],
)
def test_no_notes_unless_dispatchers_are_listed(tmp_path, more, peers, notes):
    path = tmp_path / "config.json"
    settings = {"balancers": 2, "me": 1, "policyLimits": {"peers": True}}
    path.write_text(json.dumps(TOLD | more | {"settings": settings}))
    start = config.read({"ROUTER_CONFIG": str(path)})
    # Guards against a module that tells notes which nobody carries, and waits for none to come.
    assert (
        start.peers == peers
        and start.settings["policyLimits.peers"] is notes
        and not start.affinity_key_in_path
    )


def test_an_address_in_use_ends_with_a_plain_line(tmp_path, capfd):
    taken = socket.create_server(("127.0.0.1", 0))
    path = tmp_path / "config.json"
    path.write_text(json.dumps(TOLD | {"listen": f"127.0.0.1:{taken.getsockname()[1]}"}))
    assert main(["serve", "--config", str(path)]) == 2
    assert "dunepulley: cannot listen at 127.0.0.1:" in capfd.readouterr().err
    taken.close()


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
def test_entries(entry, state, addresses):
    listed = parse_endpoint_list(members(entry, complete=False))
    assert listed.update.kind == ListUpdateKind.CHANGES and listed.addresses == addresses
    assert [each.state for each in listed.update.entries] == [state]


# ---------------------------------------------------------------- discovery


def line_of(revision, **more):
    return json.dumps(members(member("w0", "127.0.0.1:9"), revision=revision, **more)).encode() + b"\n"


def indented(revision):
    told = members(member('w{"[', "127.0.0.1:9"), revision=revision)
    return json.dumps(told, indent=2).encode() + b"\n"


@pytest.mark.parametrize(
    ("watches", "revisions", "asked"),
    [
        # A watch that ends is opened again after what it told; empty lines tell nothing.
        ([[chunk(line_of(5)), chunk(b"\n"), chunk(line_of(6))], [chunk(line_of(7))]], [5, 6, 7], [3, 6, 7]),
        # Cut mid-line: the half is no news, the next watch brings it whole.
        ([[chunk(line_of(5) + line_of(6)[:40])], [chunk(line_of(6))]], [5, 6], [3, 5, 6]),
        # One line over several chunks, several lines in one.
        ([[chunk(line_of(5)[:9]), chunk(line_of(5)[9:] + line_of(6))]], [5, 6], [3, 6]),
        # Indented, over many lines.
        ([[chunk(indented(5) + line_of(6) + indented(7))]], [5, 6, 7], [3, 7]),
        ([[chunk(indented(5)[:60]), chunk(indented(5)[60:] + b"\n")]], [5], [3, 5]),
        # Indented and broken off: the empty line that comes each 2 s shows it.
        ([[chunk(indented(5)[:60] + b"\n\n" + line_of(6))], [chunk(line_of(8))]], [8], [3, 0, 8]),
        # Not a list: nothing is known of what it said, so the whole list is asked for.
        ([[chunk(line_of(5)), chunk(b'{"members":5}\n')], [chunk(line_of(8))]], [5, 8], [3, 0, 8]),
        ([[chunk(b"nonsense\n")], [chunk(line_of(8))]], [8], [3, 0, 8]),
        # A whole list after a gap, even an older one, is what holds.
        ([[chunk(line_of(9)), chunk(line_of(2))]], [9, 2], [3, 2]),
        # Turned away: what discovery said before still stands, and of all calls a whole list costs it most.
        ([ABORT, CLOSE, response(503), [chunk(line_of(5))]], [5], [3, 3, 3, 3, 5]),
        ([response(410), [chunk(line_of(5))]], [5], [3, 0, 5]),
    ],
)
@on_loop
async def test_a_watch_is_kept_up_whatever_becomes_of_it(watches, revisions, asked):
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
        said = watches[number]
        return stream(said) if isinstance(said, list) else said

    told = []
    async with FakeServer(script) as peer:
        watch = discovery.Discovery(peer.address, 3, told.append, Counters(), PollBackoff(Random(1)))
        task = asyncio.create_task(watch.run())
        await until(lambda: len(peer.seen) == len(asked))
        assert [news.revision for news in told] == revisions
        assert [call.target for call in peer.seen] == [
            f"/catalog/members?stream=1&index={revision}" for revision in asked
        ]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@on_loop
async def test_a_silent_watch_is_given_up_and_opened_anew():
    async def silent():
        yield CHUNKED_HEAD + chunk(line_of(5))
        await asyncio.Event().wait()

    list_polling.IDLE_TIMEOUT_S, usual = 0.05, list_polling.IDLE_TIMEOUT_S
    try:
        async with FakeServer(lambda call: silent()) as peer:
            watch = discovery.Discovery(
                peer.address, 3, lambda news: None, Counters(), PollBackoff(Random(1))
            )
            task = asyncio.create_task(watch.run())
            await until(lambda: len(peer.seen) == 3)
            assert not task.done() and peer.seen[1].target.endswith("index=5")
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    finally:
        list_polling.IDLE_TIMEOUT_S = usual


class Asked(PollBackoff):
    """Notes what it is asked, and has the next call go out at once."""

    def __init__(self):
        super().__init__(Random(1))
        self.asked = []

    def next_delay_s(self, end, heard, passed=0.0):
        self.asked.append((end, heard, passed))
        return 0.0


@pytest.mark.parametrize(
    ("says", "end", "heard", "least"),
    [
        ([], list_polling.WatchEnd.CUT, False, 0.1),  # a call that is not answered
        ([CHUNKED_HEAD], list_polling.WatchEnd.CUT, False, 0.15),  # nor a line after the head
        ([CHUNKED_HEAD + chunk(line_of(5))], list_polling.WatchEnd.CUT, True, 0.15),
        (ABORT, list_polling.WatchEnd.CUT, False, 0.0),
        (response(503), list_polling.WatchEnd.REFUSED, False, 0.0),
    ],
)
@on_loop
async def test_the_backoff_is_told_how_old_the_list_is(monkeypatch, says, end, heard, least):
    # What has passed since the list was current is part of the bound on how long an old one is acted on.
    monkeypatch.setattr(list_polling, "RESPONSE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(list_polling, "IDLE_TIMEOUT_S", 0.15)

    async def stream():
        for part in says:
            yield part
        await asyncio.Event().wait()

    backoff = Asked()
    async with FakeServer(lambda call: stream() if isinstance(says, list) else says) as peer:
        watch = discovery.Discovery(peer.address, 3, lambda news: None, Counters(), backoff)
        task = asyncio.create_task(watch.run())
        await until(lambda: len(backoff.asked) >= 3)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    assert [(one[0], one[1]) for one in backoff.asked[:3]] == [(end, heard)] * 3
    assert all(passed >= 0.99 * least for _, _, passed in backoff.asked)


class Since(Asked):
    """Notes since when what has passed is counted, and waits a little."""

    def next_delay_s(self, end, heard, passed=0.0):
        super().next_delay_s(end, heard, asyncio.get_running_loop().time() - passed)
        return 0.05


@pytest.mark.parametrize(
    ("says", "counts_on"),
    [(response(503), True), (ABORT, True), (b"HTTP/1.1 200 OK\r\n\r\nnonsense\n", True), (None, False)],
)
@on_loop
async def test_a_call_that_discovery_turns_away_puts_nothing_off_but_one_that_does_not_reach_it_does(
    monkeypatch, says, counts_on
):
    # Guards against an old list that is acted on for 6 s from the last of several calls: a change counts as
    # told 6 s after discovery had it and could be reached, whatever became of the calls.
    monkeypatch.setattr(list_polling, "RESPONSE_TIMEOUT_S", 0.1)

    async def once():
        yield CHUNKED_HEAD + chunk(line_of(5))

    async def nothing():
        yield b""
        await asyncio.Event().wait()

    backoff = Since()
    async with FakeServer(lambda call: once() if len(peer.seen) == 1 else says or nothing()) as peer:
        watch = discovery.Discovery(peer.address, 3, lambda news: None, Counters(), backoff)
        task = asyncio.create_task(watch.run())
        await until(lambda: len(backoff.asked) >= 4)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    first, *others = [since for _, _, since in backoff.asked[:4]]
    if counts_on:
        assert all([abs(since - first) < 0.02 for since in others])
    else:
        assert all([later - before > 0.1 for before, later in zip(others, others[1:], strict=False)])


@pytest.mark.parametrize("speaks", [True, False])
@on_loop
async def test_a_start_serves_from_the_agents_first_word_on(monkeypatch, speaks):
    # Guards against work that goes to a worker which the old list of the configuration holds ready: what the
    # agent has counts as told from the first moment. A silent agent must not keep the start for ever.
    monkeypatch.setattr(list_polling, "STARTUP_TIMEOUT_S", 10.0 if speaks else 0.05)
    rig = DispatcherRig(None, discovery="pushed")
    entering = asyncio.create_task(rig.__aenter__())
    await until(lambda: rig.discovery.seen)
    if speaks:
        assert not rig.service.frontend.listener.accepting
        rig.discovery.announce(
            members(member("w0", rig.endpoints[0].address, phase="Terminating"), revision=9)
        )
        await until(lambda: rig.service.watch.first_message.is_set())
    await until(lambda: rig.service.frontend.listener.accepting)
    assert rig.service.frontend.accepts_clients() is not speaks
    entering.cancel()
    await asyncio.gather(entering, return_exceptions=True)
    await rig.__aexit__()


@on_loop
async def test_a_call_that_is_not_answered_is_made_again():
    # Guards against waiting for an agent that took the call and says nothing, not even a head.
    async def nothing():
        yield b""
        await asyncio.Event().wait()

    list_polling.RESPONSE_TIMEOUT_S, usual = 0.05, list_polling.RESPONSE_TIMEOUT_S
    try:
        async with FakeServer(lambda call: nothing()) as peer:
            backoff = PollBackoff(Random(1), 200.0, True)
            watch = discovery.Discovery(peer.address, 3, lambda news: None, Counters(), backoff)
            task = asyncio.create_task(watch.run())
            await until(lambda: len(peer.seen) == 3)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
    finally:
        list_polling.RESPONSE_TIMEOUT_S = usual


# ---------------------------------------------------------------- the process


class Process:
    """A dispatcher in a process of its own."""

    def __init__(self, folder, worker, watch, **settings):
        self.path = folder / "config.json"
        self.environment = os.environ | {"ROUTER_DISCOVERY": watch.address}
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        categories = [dict(TOLD["settings"]["categories"][0], **settings)]
        told = TOLD | {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": watch.address,
            "known": members(*[member(f"w{number}", worker.address) for number in range(4)]),
            "settings": TOLD["settings"] | {"categories": categories},
        }
        self.path.write_text(json.dumps(told))

    async def __aenter__(self):
        command = [sys.executable, "-m", "dunepulley", "serve", "--config", str(self.path)]
        pipe = asyncio.subprocess.PIPE
        self.process = await asyncio.create_subprocess_exec(*command, stderr=pipe, env=self.environment)
        async with asyncio.timeout(8.0):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.say(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "200":
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

    async def say(self, raw):
        return await exchange(self.port, raw)

    async def event(self, wi, state):
        """A callback from each worker; only one has the work item, and the process may end after that."""
        for worker in range(4):
            body = json.dumps({"id": wi, "from": f"w{worker}", "state": state, "result": wi}).encode()
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.say(request("/v1/job-events", body, wi=None))


@on_loop
async def test_sigterm_finishes_what_was_taken_and_ends_well(tmp_path):
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: CLOSE) as watch,
        Process(tmp_path, worker, watch) as node,
    ):
        loop = asyncio.get_running_loop()
        idle, idle_writer = await node.open(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await read_message(idle)).target == "200"
        unused, unused_writer = await node.open(b"")
        before, before_writer = await node.open(request("/look/1", wi="before"))
        await until(lambda: worker.seen)
        await node.event("before", "started")
        node.process.send_signal(signal.SIGUSR1)
        node.process.send_signal(signal.SIGTERM)
        begun = loop.time()
        assert (await node.say(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target == "503"
        # Connections still come, and so do work items over those that there are, which stay open: until the
        # next dispatcher is up their clients may have nowhere else to go.
        idle_writer.write(request("/look/1", wi="kept"))
        late, late_writer = await node.open(request("/look/1", wi="late"))
        await until(lambda: len([call for call in worker.seen if call.method == "POST"]) == 3)
        await node.event("late", "started")
        await node.event("kept", "done")
        told = await read_message(idle)
        assert told.target == "200" and "connection" not in told.headers
        idle_writer.write(request("/look/1", wi="again"))
        await until(lambda: len([call for call in worker.seen if call.method == "POST"]) == 4)
        await node.event("again", "done")
        told = await read_message(idle)
        assert told.target == "200" and "connection" not in told.headers and not await unused.read()
        # Near the end nothing new is taken and what is idle is closed, but callbacks are taken.
        assert not await idle.read() and 2.0 < loop.time() - begun < 3.0
        assert (await node.say(request("/look/1", wi="too late"))).target == "400"
        assert (await node.say(request("/look/1", wi="too-late"))).target == "503"
        for wi, reader in (("before", before), ("late", late)):
            assert node.process.returncode is None
            await node.event(wi, "done")
            told = await read_message(reader)
            assert (told.target, told.body, told.headers["connection"]) == ("200", wi.encode(), "close")
        assert await node.process.wait() == 0 and loop.time() - begun < 3.5
        for writer in (unused_writer, idle_writer, before_writer, late_writer):
            writer.close()
        said = (await node.process.stderr.read()).decode()
        assert said.count("dunepulley counters: ") == 2 and "taken=4" in said and "fault" not in said


@on_loop
async def test_what_no_worker_answers_is_written_off_before_sigkill(tmp_path):
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: CLOSE) as watch,
        Process(tmp_path, worker, watch, expiryUs=600000) as node,
    ):
        reader, writer = await node.open(request("/look/1", wi="a", budget=60000))
        await until(lambda: worker.seen)
        await node.event("a", "started")
        begun = asyncio.get_running_loop().time()
        node.process.send_signal(signal.SIGTERM)
        assert (await read_message(reader)).target == "500"
        # SIGKILL would come no sooner than the longest expiry and 0.7 s after SIGTERM.
        assert await node.process.wait() == 0 and asyncio.get_running_loop().time() - begun < 1.3
        writer.close()


@on_loop
async def test_a_request_that_is_half_here_at_the_end_has_its_answer(tmp_path):
    # Guards against an end as soon as no item waits: the rest of a request may be on its way.
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: SILENT) as watch,
        Process(tmp_path, worker, watch, expiryUs=600000) as node,
    ):
        raw = request("/look/1", b"x" * 100)
        idle, idle_writer = await node.open(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await read_message(idle)).target == "200"
        half, half_writer = await node.open(raw[:-40])
        never, never_writer = await node.open(raw[:-40])
        node.process.send_signal(signal.SIGTERM)
        assert not await idle.read()  # from here on no work item is taken
        half_writer.write(raw[-40:])
        told = await read_message(half)
        assert (told.target, told.headers["connection"]) == ("503", "close")
        # Who never sends the rest keeps no process beyond its time, and is told so.
        assert (await read_message(never)).target == "503"
        assert not await never.read() and await node.process.wait() == 0
        for writer in (idle_writer, half_writer, never_writer):
            writer.close()
        assert not worker.seen


@on_loop
async def test_sighup_before_anybody_hears_it_waits(tmp_path):
    # Guards against a start that a reload ends: the start is held where it reads its configuration.
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: SILENT) as watch,
        FakeServer(lambda call: SILENT) as moved,
    ):
        node = Process(tmp_path, worker, watch)
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
            new.write_text(text.replace(watch.address, moved.address))
            new.rename(node.path)
            for number in (signal.SIGHUP, signal.SIGUSR1):
                node.process.send_signal(number)
            os.write(pipe, text.encode())
            os.close(pipe)
            await entering
            await until(lambda: moved.seen)
            # Versions of the discovery before mean nothing here.
            assert {call.target for call in moved.seen} == {"/catalog/members?stream=1&index=0"}
            assert node.process.returncode is None
        finally:
            entering.cancel()
            await node.__aexit__()


@on_loop
async def test_sighup_watches_the_new_discovery_and_disturbs_nothing(tmp_path):
    async def told():
        yield CHUNKED_HEAD
        for now in (members(), members(member("w0", other.address))):
            yield chunk(json.dumps(now).encode() + b"\n")
            await more.wait()
        await asyncio.Event().wait()

    async def health():
        return (await node.say(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")).target

    more = asyncio.Event()
    async with (
        FakeServer(lambda call: ACCEPTED) as worker,
        FakeServer(lambda call: ACCEPTED) as other,
        FakeServer(lambda call: SILENT) as watch,
        FakeServer(lambda call: told()) as moved,
        Process(tmp_path, worker, watch) as node,
    ):
        before, before_writer = await node.open(request("/look/1", wi="before"))
        await until(lambda: worker.seen)
        text = node.path.read_text()
        # Missing, half written, naming nothing: each is one line, and the old discovery stays.
        for bad in (None, text[:200], "{}"):
            node.path.unlink() if bad is None else node.path.write_text(bad)
            node.process.send_signal(signal.SIGHUP)
            while b"the old configuration goes on" not in await node.process.stderr.readline():
                pass
        assert watch.connections == 1 and not watch.closed and not moved.seen
        node.path.write_text(text.replace(watch.address, moved.address))
        node.process.send_signal(signal.SIGHUP)
        await until(lambda: moved.seen and watch.closed == watch.connections == 1)
        # A version of the old one means nothing here.
        assert moved.seen[0].target == "/catalog/members?stream=1&index=0"
        while await health() != "503":
            pass
        more.set()
        while await health() != "200":
            pass
        after, after_writer = await node.open(request("/look/1", wi="after"))
        await until(lambda: other.seen)
        # The same file again changes nothing.
        node.process.send_signal(signal.SIGHUP)
        for wi, reader in (("before", before), ("after", after)):
            await node.event(wi, "done")
            assert (await read_message(reader)).target == "200"
        assert moved.connections == 1 and node.process.returncode is None
        for writer in (before_writer, after_writer):
            writer.close()


def test_the_log_is_limited_by_kind(capsys, monkeypatch):
    monkeypatch.setattr(log, "_periods", {})
    now = [100.0]
    monkeypatch.setattr(log.time, "monotonic", lambda: now[0])
    for _ in range(50):
        log.write("one", "a\nb")
    log.write("two", "c")
    now[0] += log.PERIOD_S
    log.write("one", "d")
    said = capsys.readouterr().err.splitlines()
    assert said == [
        *["dunepulley one: a | b"] * 5,
        "dunepulley two: c",
        "dunepulley one: 45 more lines were left out",
        "dunepulley one: d",
    ]


def test_a_start_loads_no_more_than_serving_needs():
    # Guards against a start that takes long for forty at once: certificates, the tool, the model.
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
