"""A fleet's agents as processes, with faults between them: what the dispatchers of each host are told."""

import asyncio
import json
import resource
import signal
import time

import pytest
from support.agent_fleet import AgentFleet
from support.dispatcher_process import DispatcherHost, DispatcherProcess, free_port
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.http_messages import HEALTH_REQUEST, exchange

from dunepulley.__main__ import main
from dunepulley.agent import config
from dunepulley.control import codec, plan_application
from dunepulley.control import traffic_plan as plans
from dunepulley.load import links


def on_hosts(**hosts):
    """Run a test with a fleet of three agents."""

    def wrap(test):
        def run(tmp_path):
            async def play():
                async with asyncio.timeout(50.0), AgentFleet(tmp_path, **hosts) as fleet:
                    await test(fleet)

            asyncio.run(play())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return wrap


async def lose(fleet, zone="a", but=()):
    """A zone is lost to whoever sends there."""
    fleet.everywhere(zone, bad=1.0)
    await fleet.states(zone, "left", [name for name in fleet.names if name not in but])


# ---------------------------------------------------------------- agents that die, are cut off, stand still


@on_hosts()
async def test_the_decider_dies_right_after_it_decided(fleet):
    # Guards against a decision that some know of and that nobody takes up.
    await fleet.meet()
    fleet.everywhere("a", bad=1.0)
    await fleet.states("a", "left", ["h1"])
    await fleet.kill("h1")
    await fleet.states("a", "left", ["h2", "h3"])
    # The next decides what comes after, and no number comes twice.
    assert (await fleet.say("h2", "bar", "a"))["ok"]
    await fleet.states("a", "barred", ["h2", "h3"])
    # Back from its disk, it learns what was decided without it.
    await fleet.start("h1")
    await fleet.states("a", "barred")
    assert len(fleet.one_history()) >= 2


@on_hosts(hold_s=2.0)
async def test_a_majority_cut_off_from_a_zone_that_is_fine(fleet):
    # Guards against two parts that act on different plans for longer than the plan holds, and against a zone
    # that is closed to its own dispatchers when the others are back.
    await fleet.meet()
    for name in ("h1", "h2"):
        fleet.dispatchers[name].sees("c", bad=1.0)
    fleet.cut("h3")
    cut_at = time.monotonic()
    await fleet.states("c", "alone", ["h3"])
    assert time.monotonic() - cut_at < 2.0 + 2.0
    # While what h3 told is not old yet, its dispatchers speak for their zone.
    await fleet.states("c", "left", ["h1", "h2"])
    assert fleet.dispatchers["h3"].state("a") == "alone", "it goes by the list, not by half a plan"
    fleet.mend()
    for name in ("h1", "h2"):
        fleet.dispatchers[name].sees("c", bad=0.0)
    await fleet.states("c", "near")
    fleet.one_history()


@on_hosts()
async def test_a_cut_one_way_is_told_from_a_death_and_stops_no_decision(fleet):
    await fleet.meet()
    # What h1 says does not reach h2; what h2 says reaches h1.
    fleet.links["h1", "h2"].cut("there")
    await lose(fleet)
    stand = {one["name"]: one["stands"] for one in (await fleet.ask("h1", do="zones"))["agents"]}
    assert stand["h2"] in ("here", "one way") and stand["h3"] == "here"
    fleet.one_history()


@on_hosts(hold_s=2.0)
async def test_without_a_majority_the_plan_runs_out_and_nothing_is_decided(fleet):
    await fleet.meet()
    await lose(fleet)
    await fleet.kill("h1")
    await fleet.kill("h2")
    await fleet.states("a", "alone", ["h3"])
    told = await fleet.say("h3", "bar", "b", limit_s=1.0)
    assert not told["ok"] and "1 of 3 agents vote, 2 decide" in told["refused"]
    stand = await fleet.ask("h3", do="zones")
    assert stand["confirmed"] is None and {one["stands"] for one in stand["agents"]} == {"me", "gone"}
    # One comes back, and with it the plan that was agreed on.
    await fleet.start("h2")
    await fleet.states("a", "left", ["h2", "h3"])


@on_hosts(hold_s=2.0)
async def test_an_agent_that_stood_still_does_not_undo_what_was_decided_meanwhile(fleet):
    await fleet.meet()
    fleet.processes["h1"].send_signal(signal.SIGSTOP)
    for name in ("h2", "h3"):
        fleet.dispatchers[name].sees("a", bad=1.0)
    await fleet.states("a", "left", ["h2", "h3"])
    number = fleet.dispatchers["h2"].plan["number"]
    fleet.processes["h1"].send_signal(signal.SIGCONT)
    await fleet.states("a", "left")
    assert all([desk.plan["number"] >= number for desk in fleet.dispatchers.values()])
    fleet.one_history()


@on_hosts(older=("h3",))
async def test_agents_of_the_older_wire_are_shown_and_hold_nobody_up(fleet):
    async def older(reader, writer):
        await reader.readline()
        said = {"v": 1, "ok": False, "refused": "the tool speaks version 2 of the wire, this is version 1"}
        writer.write(json.dumps(said).encode() + b"\n")
        writer.close()

    server = await asyncio.start_server(older, "127.0.0.1", fleet.ports["h3"])
    await fleet.meet("h1", "h2")
    await lose(fleet, but=("h3",))
    told = await fleet.ask("h1", do="zones")
    row = next(one for one in told["agents"] if one["name"] == "h3")
    assert row["stands"] == "older" and not row["votes"] and "version 1" in row["detail"]
    server.close()


# ---------------------------------------------------------------- disks


@on_hosts(hold_s=2.0)
async def test_an_agent_whose_disk_is_full_does_not_vote_and_says_so(fleet):
    await fleet.meet()
    # Room for some lines of its log, and for no page of its votes.
    resource.prlimit(fleet.processes["h3"].pid, resource.RLIMIT_FSIZE, (4096, 4096))
    await lose(fleet)
    await until(lambda: "does not vote" in fleet.log("h3"))
    row = next(one for one in (await fleet.ask("h1", do="zones"))["agents"] if one["name"] == "h3")
    assert not row["votes"] and row["stands"] == "here"
    # Its dispatchers are told all the same. With one more gone there is no majority of votes.
    await fleet.states("a", "left")
    await fleet.kill("h2")
    told = await fleet.say("h1", "bar", "b", limit_s=1.0)
    assert not told["ok"] and "1 of 3 agents vote" in told["refused"]


@on_hosts(hold_s=2.0)
async def test_an_agent_with_a_torn_file_does_not_vote_and_says_so(fleet):
    await fleet.meet()
    await lose(fleet)
    await fleet.kill("h3")
    path = fleet.folder / "h3.votes"
    path.write_bytes(path.read_bytes()[:-100])
    await fleet.start("h3")
    await until(lambda: "h3 does not vote" in fleet.log("h3"))
    # It says so before it listens.
    await fleet.listens("h3")
    await fleet.states("a", "left")
    await fleet.kill("h2")
    assert "agents vote" in (await fleet.say("h3", "bar", "b", limit_s=1.0))["refused"]


# ---------------------------------------------------------------- zones


@on_hosts()
async def test_two_zones_lost_together_share_what_the_third_can_bear(fleet):
    await fleet.meet()
    for zone in "ab":
        fleet.everywhere(zone, bad=1.0)
    # The first to be seen is left first; the second then shares.
    await fleet.states("a", "left")
    await fleet.states("b", "left")
    over = {zone["name"]: zone["over"] for zone in fleet.dispatchers["h3"].plan["zones"]}
    assert {each[0] for name in "ab" for each in over[name]} <= {"c"}
    grants = sum([each[2] for name in "ab" for each in over[name]])
    assert grants <= 0.8 or all([each[2] == 1.0 for name in "ab" for each in over[name]])


@on_hosts()
async def test_an_operator_bars_a_zone_while_the_plan_returns_it(fleet):
    await fleet.meet()
    await lose(fleet)
    fleet.everywhere("a", bad=0.0)
    await fleet.states("a", "returning")
    told = await fleet.say("h2", "bar", "a", for_s=60.0)
    assert told["ok"] and told["state"] == "barred"
    await fleet.states("a", "barred")
    rows = {zone["name"]: zone for zone in (await fleet.ask("h1", do="zones"))["zones"]}
    assert rows["a"]["word"]["by"] == "ana" and rows["a"]["word"]["left"] <= 60_000.0
    assert rows["a"]["by itself"] != "barred", "both are shown"
    assert (await fleet.say("h3", "return", "a"))["ok"]
    await fleet.states("a", "returning")


@on_hosts()
async def test_a_list_that_tells_some_dispatchers_of_some_zones_only(fleet):
    # Guards against one discovery that lags behind and closes a zone for all.
    await fleet.meet()
    for name in fleet.names:
        for zone in "abc":
            fleet.dispatchers[name].sees(zone)
    del fleet.dispatchers["h1"].zones["b"]
    fleet.dispatchers["h1"].sees("c", workers=0, slots=0.0)
    assert (await fleet.say("h1", "bar", "a"))["ok"]
    await fleet.states("a", "barred")
    assert {fleet.dispatchers["h2"].state(zone) for zone in "bc"} == {"near"}


# ---------------------------------------------------------------- operators


def type_in(capsys, fleet, *words):
    capsys.readouterr()
    agents = [f"--agent=127.0.0.1:{fleet.ports[name]}" for name in fleet.names]
    code = main(["ctl", *agents, *words])
    told = capsys.readouterr()
    return code, told.out + told.err


def test_what_operators_type_and_see(tmp_path, capsys):
    async def play():
        async with asyncio.timeout(50.0), AgentFleet(tmp_path) as fleet:
            await fleet.meet()
            words = ["zone", "bar", "a", "--why", "cooling"]
            code, text = await asyncio.to_thread(type_in, capsys, fleet, *words)
            assert code == 0 and "the zone is barred" in text and "1 done" in text, text
            await fleet.states("a", "barred")
            code, text = await asyncio.to_thread(type_in, capsys, fleet, "zones")
            assert code == 0 and text.count("bar said by") == 3 and "confirmed" in text and "by plan" in text
            code, text = await asyncio.to_thread(type_in, capsys, fleet, "--json", "zones")
            assert json.loads(text)["code"] == 0
            code, text = await asyncio.to_thread(type_in, capsys, fleet, "zone", "bar", "odd")
            assert code == 1 and "no dispatcher knows zone odd" in text
            code, text = await asyncio.to_thread(type_in, capsys, fleet, "zone", "return", "b")
            assert code == 1 and "nobody has left it" in text
            # The first agent does not answer: the next is told.
            await fleet.kill("h1")
            code, text = await asyncio.to_thread(type_in, capsys, fleet, "zone", "return", "a")
            assert code == 0 and "the zone is returning" in text
            for name in fleet.names[1:]:
                await fleet.kill(name)
            assert (await asyncio.to_thread(type_in, capsys, fleet, "zone", "bar", "a"))[0] == 4

    asyncio.run(play())


FLEET = '[fleet]\nname = "h1"\nvotes = "v"\n'
MEMBER = '[[fleet.member]]\nname = "h1"\naddress = "127.0.0.1:9"\n'


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("[fleet]\n", "fleet: name is None"),
        ('[fleet]\nname = "h1"\n', "fleet: votes is no path"),
        (FLEET + "epoch = 0\n", "epoch is 0"),
        (FLEET + "hold_s = 1\n", "hold_s is 1"),
        (FLEET, "no [[fleet.member]]"),
        (FLEET + "odd = 1\n", "fleet has odd"),
        (FLEET + MEMBER.replace("h1", "h2"), "no member"),
        (FLEET + MEMBER + MEMBER, "stands there twice"),
        (FLEET + MEMBER.replace("127.0.0.1:9", "x"), "'x' is no host:port"),
        (FLEET + 'regions = "none.toml"\n' + MEMBER, "cannot read none.toml"),
    ],
)
def test_a_fleet_that_cannot_be_used_ends_with_one_line(tmp_path, capsys, text, word):
    path = tmp_path / "agent.toml"
    head = 'listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = "n"\nconsole = "127.0.0.1:2"\n'
    path.write_text(head + text)
    assert main(["agent", "--config", str(path)]) == 2
    said = capsys.readouterr().err
    assert word in said and said.count("\n") == 1


def test_new_votes_are_not_written_over_old_ones(tmp_path, capsys):
    path = tmp_path / "agent.toml"
    head = f'listen = "127.0.0.1:{free_port()}"\nstate = "x"\n'
    head += '[[dispatcher]]\nname = "n"\nconsole = "127.0.0.1:2"\n'
    path.write_text(head)
    assert main(["agent", "--config", str(path), "--new-votes"]) == 2
    assert "--new-votes goes with a [fleet]" in capsys.readouterr().err
    path.write_text(head + FLEET + MEMBER)
    (tmp_path / "v").write_bytes(b"something")
    assert main(["agent", "--config", str(path), "--new-votes"]) == 2
    assert "is there already" in capsys.readouterr().err
    assert config.read(str(path)).fleet.members == {"h1": "127.0.0.1:9"}


# ---------------------------------------------------------------- dispatchers


def told(plan, holds_ms):
    """A plan as an agent tells it."""
    return "PLAN " + json.dumps(
        {"plan": codec.encode_plan(plan), "until": time.monotonic() * 1000.0 + holds_ms}
    )


LEFT_A = plans.Plan(
    1, 2, zones=(plans.ZonePlan("a", plans.ZoneState.EVACUATED, (plans.Spillover("b", 1.0),)),)
)


@on_loop
async def test_a_dispatcher_goes_by_the_newest_plan_and_by_the_list_when_it_is_over():
    def taken(call):
        return b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

    async with DispatcherRig(taken, taken, zone="a") as rig:
        assert "calls are" in await rig.admin("PLAN {}")
        rig.core.endpoints.follower = plan_application.Follower("n0", "a")
        rig.service.admin.commands_with_argument["PLAN"] = rig.service.admin_commands.plan
        known = [member(f"w{n}", rig.endpoints[n].address, locality="ab"[n]) for n in range(2)]
        rig.discovery.announce(members(*known, revision=2))

        async def state():
            lines = (await rig.admin("WORKERS")).splitlines()[1:-1]
            seen = rig.core.endpoints.ready_ids
            return {json.loads(line)["id"] for line in lines}, set(seen)

        await until(lambda: rig.core.endpoints.revision == 2)
        assert (await state())[1] == {"w0", "w1"}
        report = json.loads((await rig.admin(told(LEFT_A, 60_000.0))).partition(" ")[2])
        assert report["plan"] == [1, 2] and (await state())[1] == {"w1"}
        # An older one changes nothing; nor does what cannot be read.
        await rig.admin(told(plans.Plan(1, 1), 90_000.0))
        assert (await state())[1] == {"w1"}
        assert (await rig.admin("PLAN []")).startswith("400 no plan")
        assert (await rig.admin('PLAN {"plan": {}, "until": "x"}')).startswith("400 no plan")
        # The last worker of the other zone drains: better a left zone than nobody.
        ends = member("w1", rig.endpoints[1].address, "Terminating", locality="b")
        rig.discovery.announce(members(ends, revision=3, complete=False))
        await until(lambda: rig.core.endpoints.ready_ids == {"w0"})
        rig.discovery.announce(members(known[1], revision=4, complete=False))
        await until(lambda: rig.core.endpoints.ready_ids == {"w1"})
        # A new plan that holds for a moment only: after it, by the list.
        await rig.admin(told(LEFT_A._replace(number=3), 300.0))
        await until(lambda: rig.core.endpoints.ready_ids == {"w0", "w1"})
        report = json.loads((await rig.admin("PLAN {}")).partition(" ")[2])
        assert report["how"] == plan_application.FollowerMode.WITHOUT_PLAN
        assert report["zones"].keys() == {"a", "b"}


def test_a_dispatcher_that_stood_still_does_not_act_on_a_plan_that_is_over(tmp_path):
    # Guards against a plan that waited on its way and gets a time of its own when it is read at last.
    async def play():
        async with asyncio.timeout(30.0), DispatcherHost(tmp_path) as site:
            node = DispatcherProcess(site)
            path = node.config()
            set_ = json.loads(path.read_text())
            set_["plan"] = True
            set_["settings"]["zone"] = "a"
            for number, each in enumerate(set_["known"]["members"]):
                each["locality"] = "ab"[number % 2]
            node.config = lambda known: path
            path.write_text(json.dumps(set_))
            site.nodes.append(node)
            await node.start(4)
            await node.serves()
            report = json.loads((await node.call(told(LEFT_A, 700.0))).partition(" ")[2])
            assert report["how"] == plan_application.FollowerMode.BY_PLAN
            node.process.send_signal(signal.SIGSTOP)
            late = asyncio.create_task(node.call(told(LEFT_A._replace(number=3), 500.0)))
            await asyncio.sleep(1.0)  # both plans are over by then
            node.process.send_signal(signal.SIGCONT)
            await late
            report = json.loads((await node.call("PLAN {}")).partition(" ")[2])
            assert report["how"] == plan_application.FollowerMode.WITHOUT_PLAN
            assert (await exchange(site.port, HEALTH_REQUEST)).target == "200"

    asyncio.run(play())


@pytest.mark.parametrize(("value", "word"), [("yes", "neither true nor false"), (True, "name no zone")])
def test_an_odd_plan_setting_is_refused(tmp_path, capsys, value, word):
    path = tmp_path / "n0.json"
    told = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}, "plan": value}
    path.write_text(json.dumps(told))
    assert main(["check", "--config", str(path)]) == 2
    assert word in capsys.readouterr().err


# ---------------------------------------------------------------- links


@on_loop
async def test_links_that_are_cut_one_way_mended_slowed_and_reset():
    async def echo(reader, writer):
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    said = []
    async with links.Link("{}:{}".format(*server.sockets[0].getsockname()), log=said.append) as link:
        host, port = link.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"one\n")
        assert await reader.readline() == b"one\n"
        for way in ("there", "back"):
            link.cut(way)
            writer.write(b"two\n")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader.readline()
            # What was held back comes once it is whole again.
            link.mend()
            assert await reader.readline() == b"two\n"
        link.slow(50.0)
        begun = asyncio.get_running_loop().time()
        writer.write(b"three\n")
        assert await reader.readline() == b"three\n"
        assert asyncio.get_running_loop().time() - begun >= 0.1
        link.refuse()
        assert await reader.read() == b""
        _, writer_of_another = await asyncio.open_connection(host, int(port))
        link.mend()
        writer.close()
        writer_of_another.close()
    assert said[:2] == ["cut there", "whole"] and "reset" in said
    server.close()


def test_a_member_that_is_not_one_is_refused(tmp_path):
    async def play():
        async with asyncio.timeout(30.0), AgentFleet(tmp_path) as fleet:
            await fleet.meet()
            for what, word in (
                ({"do": "meet", "from": "odd", "epoch": 1, "start": 1.0, "votes": True}, "no other member"),
                ({"do": "meet", "from": "h2", "epoch": 2}, "is of epoch 2"),
                ({"do": "prepare", "from": "odd", "epoch": 1, "ballot": [1, "odd"]}, "not of this fleet"),
                ({"do": "accept", "from": "h2", "epoch": 1, "ballot": [1, "x"], "value": "{"}, "unexpected"),
                ({"do": "accept", "from": "h2", "epoch": 1, "ballot": "x", "value": "{}"}, "no pair"),
                ({"do": "zone", "says": "fly", "zone": "a"}, "says is 'fly'"),
                ({"do": "zone", "says": "bar", "zone": "a", "by": "x", "for_s": -1}, "no time"),
            ):
                told = await fleet.ask("h1", **what)
                assert not told["ok"] and word in told["refused"], told

    asyncio.run(play())
