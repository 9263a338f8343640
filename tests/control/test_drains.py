"""Drains that operators intend: who may change them, what they cover, and what a dispatcher makes of them."""

import json

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.fake_server import FakeServer
from support.http_messages import ACCEPTED, read_message, request
from support.router_rig import endpoint_entry

from dunepulley.control import drain_json, drains
from dunepulley.net import config
from dunepulley.net.endpoint_list import parse_endpoint_list
from dunepulley.routing.events import EndpointState, ListUpdateKind

NOW = 1_000_000.0


def drain(what="zone", name="here", by="ana", until=drains.INFINITY, why=""):
    return drains.Drain(what, name, by, why, 0.0, until, 0)


def stands(some, now=NOW):
    return [(each.target_kind, each.target, each.operator) for each in some.in_force(now)]


@pytest.mark.parametrize(
    ("by", "over", "refused"),
    [
        ("ana", 0, ""),  # one's own
        ("bo", 0, "another's stands: zone here, by ana at revision 1: storm; --over 1 replaces it"),
        ("bo", 1, ""),
        ("bo", 2, "nothing of revision 2 is there to go: there is zone here, by ana"),
        ("ana", 2, "nothing of revision 2 is there to go"),
    ],
)
def test_who_may_change_a_drain(by, over, refused):
    """The later one does not win by being later, and both names stay in the record."""
    first = drains.set_drain(drains.DrainSet(), drain(why="storm"), NOW)
    again = drain(by=by, until=NOW + 50.0)
    for change, how in (
        (lambda: drains.set_drain(first, again, NOW + 1.0, over), "replaced"),
        (lambda: drains.restore(first, "zone", "here", by, NOW + 1.0, over), "restored"),
    ):
        if refused:
            with pytest.raises(drains.DrainRefusedError) as problem:
                change()
            assert str(problem.value).startswith(refused)
            continue
        then = change()
        assert then.revision == 2 and stands(then) == ([("zone", "here", by)] if how == "replaced" else [])
        assert [(e.drain.operator, e.operator, e.reason, e.ended_ms) for e in then.ended] == [
            ("ana", by, how, NOW + 1.0)
        ]


def test_what_ran_out_stands_in_nobodys_way():
    first = drains.set_drain(drains.DrainSet(), drain(until=NOW + 10.0), NOW)
    with pytest.raises(drains.DrainRefusedError, match="no drain of zone here stands"):
        drains.restore(first, "zone", "here", "ana", NOW + 10.0)
    then = drains.set_drain(first, drain(by="bo"), NOW + 20.0)
    assert stands(then) == [("zone", "here", "bo")]
    assert [(ended.reason, ended.ended_ms) for ended in then.ended] == [("ran out", NOW + 10.0)]


def test_the_record_and_the_set_are_bounded():
    some = drains.DrainSet()
    for number in range(drains.MAX_DRAINS):
        some = drains.set_drain(some, drain("worker", f"w{number}"), NOW)
    with pytest.raises(drains.DrainRefusedError, match="100 drains already"):
        drains.set_drain(some, drain("worker", "one more"), NOW)
    some = drains.set_drain(some, drain("worker", "w0", until=NOW + 5.0), NOW)  # a change takes no more room
    for _ in range(2 * drains.MAX_ENDED):
        some = drains.set_drain(some, drain("worker", "w1"), NOW)
    assert len(some.ended) == drains.MAX_ENDED


@pytest.mark.parametrize(
    ("drained", "states"),
    [
        ([], [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING]),
        ([drain("worker", "w0")], [EndpointState.DRAINING, EndpointState.READY, EndpointState.DRAINING]),
        ([drain("zone", "here")], [EndpointState.DRAINING] * 3),
        ([drain("kind", "other")], [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING]),
        (
            [drain("zone", "here", until=NOW)],
            [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING],
        ),  # its time is up
        (
            [drain("worker", "w1"), drain("zone", "nowhere")],
            [EndpointState.READY, EndpointState.DRAINING, EndpointState.DRAINING],
        ),
    ],
)
def test_what_a_drain_covers(drained, states):
    some = drains.DrainSet(drains=tuple(drained))
    listed = [endpoint_entry(0), endpoint_entry(1), endpoint_entry(2, EndpointState.DRAINING)]
    assert [some.state_of(each, NOW) for each in listed] == states


@pytest.mark.parametrize(
    ("drained", "needs", "left_without"),
    [
        ([drain("kind", "big")], {"pay": "big", "look": ""}, ["pay"]),
        ([drain("kind", "big")], {"pay": "small", "look": ""}, []),
        ([drain("worker", "w1")], {"pay": "big", "look": ""}, ["pay"]),
        ([drain("zone", "here")], {"pay": "big"}, ["any work"]),
        ([], {"pay": "huge"}, ["pay"]),
    ],
)
def test_what_would_be_left_without_a_worker(drained, needs, left_without):
    listed = [
        endpoint_entry(0, kind="small"),
        endpoint_entry(1, kind="big"),
        endpoint_entry(2, EndpointState.DRAINING, kind="big"),
    ]
    some = drains.DrainSet(drains=tuple(drained))
    assert drains.unserved_classes(some, listed, needs, NOW) == left_without


def test_a_set_goes_over_the_wire_as_it_is():
    some = drains.set_drain(drains.DrainSet(5.0), drain(why="a: \u00e9 | %"), NOW)
    some = drains.set_drain(some, drain("kind", "box", until=NOW + 9.5), NOW)
    some = drains.restore(some, "zone", "here", "ana", NOW)
    assert drain_json.decode_drain_set(json.loads(json.dumps(drain_json.encode_drain_set(some)))) == some


GOOD = drain_json.encode_drain_set(drains.set_drain(drains.DrainSet(5.0), drain(), NOW))


@pytest.mark.parametrize(
    "odd",
    [
        None,
        [],
        {},
        GOOD | {"epoch": -1},
        GOOD | {"revision": True},
        GOOD | {"drains": {}},
        GOOD | {"drains": [None]},
        GOOD | {"drains": GOOD["drains"] * 300},
        GOOD | {"drains": [GOOD["drains"][0] | {"what": "cell"}]},
        GOOD | {"drains": [GOOD["drains"][0] | {"name": ""}]},
        GOOD | {"drains": [GOOD["drains"][0] | {"name": "a\nb"}]},
        GOOD | {"drains": [GOOD["drains"][0] | {"why": "x" * 500}]},
        GOOD | {"drains": [GOOD["drains"][0] | {"until": "noon"}]},
        GOOD | {"drains": [GOOD["drains"][0] | {"until": 1e400}]},
        GOOD | {"ended": [{"how": "lost"}]},
    ],
)
def test_what_is_no_set_is_refused(odd):
    with pytest.raises(ValueError):
        drain_json.decode_drain_set(odd)


# ---------------------------------------------------------------- at a dispatcher


def taken(call):
    return ACCEPTED


def line(epoch, revision, *some):
    return "DRAINS " + json.dumps(drain_json.encode_drain_set(drains.DrainSet(epoch, revision, some))) + "\n"


async def workers(rig):
    first, *lines, last = (await rig.admin("WORKERS\n")).splitlines()
    assert first.startswith("200 ") and last == "EOF"
    return {worker["id"]: worker for worker in map(json.loads, lines)}


async def given(rig, wi):
    """Which worker a new work item goes to."""
    reader, writer = await rig.connect()
    writer.write(request("/look/1", wi=wi))

    def who():
        return [n for n, p in enumerate(rig.endpoints) if wi in [c.headers.get("x-call-id") for c in p.seen]]

    await until(who)
    for number in range(len(rig.endpoints)):
        await rig.callback(f"w{number}", "done", wi, result="made")
    assert (await read_message(reader)).target == "200"
    writer.close()
    return who()[0]


@on_loop
async def test_a_drained_worker_gets_nothing_new_until_it_is_restored():
    async with DispatcherRig(taken, taken) as rig:
        noisy = line(1, 1, drain("worker", "w0", why="noisy"))
        assert await rig.admin(noisy) == "200 revision 1 is in hand\n"
        told = (await workers(rig))["w0"]
        assert (told["listed"], told["state"]) == (EndpointState.READY, EndpointState.DRAINING)
        assert told["drains"] == ["worker w0, by ana at revision 0: noisy"]
        assert {await given(rig, f"a{number}") for number in range(6)} == {1}
        assert (await rig.metrics())["cluster_unhealthy"] == "1|g"
        # News of the list does not undo it, and it does not undo the list.
        addresses = [peer.address for peer in rig.endpoints]
        rig.discovery.announce(members(*[member(f"w{n}", a) for n, a in enumerate(addresses)], revision=2))
        await until(lambda: rig.core.endpoints.revision == 2)
        assert {await given(rig, f"b{number}") for number in range(4)} == {1}
        rig.discovery.announce(members(member("w1", addresses[1], "Terminating"), revision=3, complete=False))
        await until(lambda: rig.core.endpoints.revision == 3)
        assert await rig.admin("HEALTH\n") == "400 no worker is known that takes work\n"
        # An older set changes nothing, whoever sends it; the same one again does no harm.
        assert await rig.admin(line(1, 0)) == "400 revision 1 is in hand\n"
        assert await rig.admin(line(0, 9)) == "400 revision 1 is in hand\n"
        assert (await rig.admin("DRAINS nonsense\n")).startswith("400 no set of drains: ")
        assert json.loads((await rig.admin("DRAINS\n"))[4:])["revision"] == 1
        assert await rig.admin(line(2, 0)) == "200 revision 0 is in hand\n"
        assert await given(rig, "c") == 0
        told = json.loads((await rig.admin("WHO\n"))[4:])
        assert told["name"] == "n0" and told["drains"] == [2, 0] and not told["leaving"]


@on_loop
async def test_a_drain_ends_by_itself_when_its_time_is_up():
    async with DispatcherRig(taken) as rig:
        soon = rig.core.clock() + 150.0
        await rig.admin(line(1, 1, drain("kind", "box", until=soon)))
        assert not rig.core.can_serve()
        await until(rig.core.can_serve)
        assert rig.core.clock() >= soon and await given(rig, "a") == 0
        # One that ends in years sets no alarm for years.
        await rig.admin(line(1, 2, drain("zone", "nowhere", until=soon + 1e12)))
        assert rig.core.timers.refresh_timer is not None


@on_loop
async def test_a_dispatcher_that_starts_knows_the_drains_before_it_serves(tmp_path):
    some = drains.set_drain(drains.DrainSet(1.0), drain("worker", "w0"), NOW)
    path = tmp_path / "drains.json"
    assert config.read_drains(str(path)) == drains.DrainSet() == config.read_drains(None)
    path.write_text(json.dumps(drain_json.encode_drain_set(some)))
    async with FakeServer(taken) as worker, DispatcherRig() as rig:
        start = rig.service.config._replace(
            initial_list=parse_endpoint_list(members(member("w0", worker.address)), ListUpdateKind.FROM_DISK),
            drains=config.read_drains(str(path)),
        )
        service = type(rig.service)(start)
        await service.start()
        await until(lambda: service.core.endpoints.entries)
        assert not service.core.can_serve() and service.core.endpoints.drains == some
        await service.close()
    path.write_text("{")
    with pytest.raises(ValueError, match="drains in"):
        config.read_drains(str(path))
    with pytest.raises(ValueError, match="no path"):
        config.read_drains(7)
