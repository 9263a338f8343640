"""Operator drains: who may change them, which endpoints they cover, and how a dispatcher applies them."""

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


def drain(target_kind="zone", name="here", by="ana", until=drains.INFINITY, why=""):
    return drains.Drain(target_kind, name, by, why, 0.0, until, 0)


def targets_in_force(drain_set, now=NOW):
    return [(each.target_kind, each.target, each.operator) for each in drain_set.in_force(now)]


@pytest.mark.parametrize(
    ("by", "over", "expected_error"),
    [
        ("ana", 0, ""),  # the operator's own drain
        ("bo", 0, "another's stands: zone here, by ana at revision 1: storm; --over 1 replaces it"),
        ("bo", 1, ""),
        ("bo", 2, "no drain of revision 2 to replace: in force is zone here, by ana"),
        ("ana", 2, "no drain of revision 2 to replace"),
    ],
)
def test_only_its_operator_or_its_revision_may_change_a_drain(by, over, expected_error):
    """Another operator has to name the revision; the record of ended drains has both operators."""
    first = drains.set_drain(drains.DrainSet(), drain(why="storm"), NOW)
    replacement = drain(by=by, until=NOW + 50.0)
    for change, expected_reason in (
        (lambda: drains.set_drain(first, replacement, NOW + 1.0, over), "replaced"),
        (lambda: drains.restore(first, "zone", "here", by, NOW + 1.0, over), "restored"),
    ):
        if expected_error:
            with pytest.raises(drains.DrainRefusedError) as raised:
                change()
            assert str(raised.value).startswith(expected_error)
            continue
        result = change()
        assert result.revision == 2 and targets_in_force(result) == (
            [("zone", "here", by)] if expected_reason == "replaced" else []
        )
        assert [(e.drain.operator, e.operator, e.reason, e.ended_ms) for e in result.ended] == [
            ("ana", by, expected_reason, NOW + 1.0)
        ]


def test_expired_drain_does_not_block_a_new_one():
    first = drains.set_drain(drains.DrainSet(), drain(until=NOW + 10.0), NOW)
    with pytest.raises(drains.DrainRefusedError, match="no drain of zone here stands"):
        drains.restore(first, "zone", "here", "ana", NOW + 10.0)
    result = drains.set_drain(first, drain(by="bo"), NOW + 20.0)
    assert targets_in_force(result) == [("zone", "here", "bo")]
    assert [(ended.reason, ended.ended_ms) for ended in result.ended] == [("ran out", NOW + 10.0)]


def test_drains_in_force_and_ended_drains_are_bounded():
    drain_set = drains.DrainSet()
    for number in range(drains.MAX_DRAINS):
        drain_set = drains.set_drain(drain_set, drain("worker", f"w{number}"), NOW)
    with pytest.raises(drains.DrainRefusedError, match="100 drains are in force already"):
        drains.set_drain(drain_set, drain("worker", "one more"), NOW)
    # A replacement does not add to the number of drains.
    drain_set = drains.set_drain(drain_set, drain("worker", "w0", until=NOW + 5.0), NOW)
    for _ in range(2 * drains.MAX_ENDED):
        drain_set = drains.set_drain(drain_set, drain("worker", "w1"), NOW)
    assert len(drain_set.ended) == drains.MAX_ENDED


@pytest.mark.parametrize(
    ("active_drains", "states"),
    [
        ([], [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING]),
        ([drain("worker", "w0")], [EndpointState.DRAINING, EndpointState.READY, EndpointState.DRAINING]),
        ([drain("zone", "here")], [EndpointState.DRAINING] * 3),
        ([drain("kind", "other")], [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING]),
        (
            [drain("zone", "here", until=NOW)],
            [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING],
        ),  # expired
        (
            [drain("worker", "w1"), drain("zone", "nowhere")],
            [EndpointState.READY, EndpointState.DRAINING, EndpointState.DRAINING],
        ),
    ],
)
def test_drains_change_ready_endpoints_to_draining(active_drains, states):
    drain_set = drains.DrainSet(drains=tuple(active_drains))
    entries = [endpoint_entry(0), endpoint_entry(1), endpoint_entry(2, EndpointState.DRAINING)]
    assert [drain_set.state_of(each, NOW) for each in entries] == states


@pytest.mark.parametrize(
    ("active_drains", "kind_by_class", "unserved"),
    [
        ([drain("kind", "big")], {"pay": "big", "look": ""}, ["pay"]),
        ([drain("kind", "big")], {"pay": "small", "look": ""}, []),
        ([drain("worker", "w1")], {"pay": "big", "look": ""}, ["pay"]),
        ([drain("zone", "here")], {"pay": "big"}, ["any work"]),
        ([], {"pay": "huge"}, ["pay"]),
    ],
)
def test_unserved_request_classes(active_drains, kind_by_class, unserved):
    entries = [
        endpoint_entry(0, kind="small"),
        endpoint_entry(1, kind="big"),
        endpoint_entry(2, EndpointState.DRAINING, kind="big"),
    ]
    drain_set = drains.DrainSet(drains=tuple(active_drains))
    assert drains.unserved_classes(drain_set, entries, kind_by_class, NOW) == unserved


def test_drain_set_survives_encoding_and_decoding():
    drain_set = drains.set_drain(drains.DrainSet(5.0), drain(why="a: \u00e9 | %"), NOW)
    drain_set = drains.set_drain(drain_set, drain("kind", "box", until=NOW + 9.5), NOW)
    drain_set = drains.restore(drain_set, "zone", "here", "ana", NOW)
    assert (
        drain_json.decode_drain_set(json.loads(json.dumps(drain_json.encode_drain_set(drain_set))))
        == drain_set
    )


GOOD = drain_json.encode_drain_set(drains.set_drain(drains.DrainSet(5.0), drain(), NOW))


@pytest.mark.parametrize(
    "malformed",
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
def test_malformed_drain_set_is_rejected(malformed):
    with pytest.raises(ValueError):
        drain_json.decode_drain_set(malformed)


# ---------------------------------------------------------------- at a dispatcher


def accept_request(call):
    return ACCEPTED


def drains_command(epoch, revision, *active):
    return (
        "DRAINS " + json.dumps(drain_json.encode_drain_set(drains.DrainSet(epoch, revision, active))) + "\n"
    )


async def shown_endpoints(rig):
    first, *lines, last = (await rig.admin("WORKERS\n")).splitlines()
    assert first.startswith("200 ") and last == "EOF"
    return {worker["id"]: worker for worker in map(json.loads, lines)}


async def endpoint_of_request(rig, request_id):
    """The number of the endpoint that receives a new request."""
    reader, writer = await rig.connect()
    writer.write(request("/look/1", request_id=request_id))

    def receivers():
        return [
            number
            for number, endpoint in enumerate(rig.endpoints)
            if request_id in [call.headers.get("x-call-id") for call in endpoint.seen]
        ]

    await until(receivers)
    for number in range(len(rig.endpoints)):
        await rig.callback(f"w{number}", "done", request_id, result="made")
    assert (await read_message(reader)).target == "200"
    writer.close()
    return receivers()[0]


@on_loop
async def test_drained_endpoint_gets_no_new_requests_until_restored():
    async with DispatcherRig(accept_request, accept_request) as rig:
        noisy = drains_command(1, 1, drain("worker", "w0", why="noisy"))
        assert await rig.admin(noisy) == "200 revision 1 is in hand\n"
        shown = (await shown_endpoints(rig))["w0"]
        assert (shown["listed"], shown["state"]) == (EndpointState.READY, EndpointState.DRAINING)
        assert shown["drains"] == ["worker w0, by ana at revision 0: noisy"]
        assert {await endpoint_of_request(rig, f"a{number}") for number in range(6)} == {1}
        assert (await rig.metrics())["cluster_unhealthy"] == "1|g"
        # Updates of the endpoint list do not end the drain, and the drain does not override the list.
        addresses = [peer.address for peer in rig.endpoints]
        rig.discovery.announce(members(*[member(f"w{n}", a) for n, a in enumerate(addresses)], revision=2))
        await until(lambda: rig.core.endpoints.revision == 2)
        assert {await endpoint_of_request(rig, f"b{number}") for number in range(4)} == {1}
        rig.discovery.announce(members(member("w1", addresses[1], "Terminating"), revision=3, complete=False))
        await until(lambda: rig.core.endpoints.revision == 3)
        assert await rig.admin("HEALTH\n") == "400 no worker is known that takes work\n"
        # A set with an older epoch or revision is rejected.
        assert await rig.admin(drains_command(1, 0)) == "400 revision 1 is in hand\n"
        assert await rig.admin(drains_command(0, 9)) == "400 revision 1 is in hand\n"
        assert (await rig.admin("DRAINS nonsense\n")).startswith("400 no set of drains: ")
        assert json.loads((await rig.admin("DRAINS\n"))[4:])["revision"] == 1
        assert await rig.admin(drains_command(2, 0)) == "200 revision 0 is in hand\n"
        assert await endpoint_of_request(rig, "c") == 0
        identity = json.loads((await rig.admin("WHO\n"))[4:])
        assert identity["name"] == "n0" and identity["drains"] == [2, 0] and not identity["leaving"]


@on_loop
async def test_drain_expires_at_a_dispatcher():
    async with DispatcherRig(accept_request) as rig:
        expires_ms = rig.core.clock() + 150.0
        await rig.admin(drains_command(1, 1, drain("kind", "box", until=expires_ms)))
        assert not rig.core.can_serve()
        await until(rig.core.can_serve)
        assert rig.core.clock() >= expires_ms and await endpoint_of_request(rig, "a") == 0
        # A drain that expires in years has a refresh timer, too, which is not set years ahead.
        await rig.admin(drains_command(1, 2, drain("zone", "nowhere", until=expires_ms + 1e12)))
        assert rig.core.timers.refresh_timer is not None


@on_loop
async def test_starting_dispatcher_applies_drains_before_it_serves(tmp_path):
    drain_set = drains.set_drain(drains.DrainSet(1.0), drain("worker", "w0"), NOW)
    path = tmp_path / "drains.json"
    assert config.read_drains(str(path)) == drains.DrainSet() == config.read_drains(None)
    path.write_text(json.dumps(drain_json.encode_drain_set(drain_set)))
    async with FakeServer(accept_request) as worker, DispatcherRig() as rig:
        start = rig.service.config._replace(
            initial_list=parse_endpoint_list(members(member("w0", worker.address)), ListUpdateKind.FROM_DISK),
            drains=config.read_drains(str(path)),
        )
        service = type(rig.service)(start)
        await service.start()
        await until(lambda: service.core.endpoints.entries)
        assert not service.core.can_serve() and service.core.endpoints.drains == drain_set
        await service.close()
    path.write_text("{")
    with pytest.raises(ValueError, match="drains in"):
        config.read_drains(str(path))
    with pytest.raises(ValueError, match="drains: expected a path, got 7"):
        config.read_drains(7)
