"""The agents of a fleet as processes, with faults between them: which plan each host's dispatcher gets."""

import asyncio
import json
import resource
import signal
import time

import pytest
from support.agent_fleet import AgentFleet
from support.dispatcher_process import DispatcherHost, DispatcherProcess
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.fake_discovery import member, members
from support.http_messages import HEALTH_REQUEST, exchange

from dunepulley.__main__ import main
from dunepulley.agent import config
from dunepulley.control import codec, plan_application
from dunepulley.control import traffic_plan as plans
from dunepulley.load import links
from dunepulley.load.ports import free_port


def with_fleet(**fleet_options):
    """Run a test with a fleet of three agents; options are those of `AgentFleet`."""

    def decorate(test):
        def run_test(tmp_path):
            async def scenario():
                async with asyncio.timeout(50.0), AgentFleet(tmp_path, **fleet_options) as fleet:
                    await test(fleet)

            asyncio.run(scenario())

        run_test.__name__, run_test.__doc__ = test.__name__, test.__doc__
        return run_test

    return decorate


async def lose_zone(fleet, zone="a", except_hosts=()):
    """Make all attempts at a zone fail, and wait until it is evacuated."""
    fleet.set_reports(zone, bad=1.0)
    await fleet.wait_for_state(zone, "left", [name for name in fleet.names if name not in except_hosts])


# ---------------------------------------------------------------- killed, cut off and suspended agents


@with_fleet()
async def test_leader_is_killed_right_after_a_decision(fleet):
    # Guards against a decision that is known to some agents only, and that no agent completes.
    await fleet.wait_until_connected()
    fleet.set_reports("a", bad=1.0)
    await fleet.wait_for_state("a", "left", ["h1"])
    await fleet.kill("h1")
    await fleet.wait_for_state("a", "left", ["h2", "h3"])
    # The next leader makes the next plan, and no plan number is used twice.
    assert (await fleet.override_zone("h2", "bar", "a"))["ok"]
    await fleet.wait_for_state("a", "barred", ["h2", "h3"])
    # After its restart the first agent learns what was decided without it.
    await fleet.start("h1")
    await fleet.wait_for_state("a", "barred")
    assert len(fleet.check_plan_numbers()) >= 2


@with_fleet(hold_s=2.0)
async def test_majority_is_cut_off_from_a_working_zone(fleet):
    # Guards against two partitions that follow different plans for longer than the lease, and against a zone
    # that stays closed to its own dispatchers after the partition.
    await fleet.wait_until_connected()
    # Without a first lease a dispatcher is "alone" already, and would follow the plan once the lease arrives.
    await fleet.wait_for_state("c", "near")
    for name in ("h1", "h2"):
        fleet.dispatchers[name].set_zone_report("c", bad=1.0)
    fleet.cut("h3")
    cut_at = time.monotonic()
    await fleet.wait_for_state("c", "alone", ["h3"])
    assert time.monotonic() - cut_at < 2.0 + 2.0
    # The zone is evacuated only once the report of h3, whose dispatchers are inside the zone, is stale.
    await fleet.wait_for_state("c", "left", ["h1", "h2"])
    assert fleet.dispatchers["h3"].state("a") == "alone", "without a lease it uses all endpoints of the list"
    fleet.mend()
    for name in ("h1", "h2"):
        fleet.dispatchers[name].set_zone_report("c", bad=0.0)
    await fleet.wait_for_state("c", "near")
    fleet.check_plan_numbers()


@with_fleet()
async def test_link_cut_in_one_direction_does_not_prevent_decisions(fleet):
    await fleet.wait_until_connected()
    # Messages of h1 do not reach h2; those of h2 reach h1.
    fleet.links["h1", "h2"].cut("there")
    await lose_zone(fleet)
    statuses = {row["name"]: row["stands"] for row in (await fleet.ask("h1", do="zones"))["agents"]}
    assert statuses["h2"] in ("here", "one way") and statuses["h3"] == "here"
    fleet.check_plan_numbers()


@with_fleet(hold_s=2.0)
async def test_without_a_majority_the_plan_expires_and_nothing_is_decided(fleet):
    await fleet.wait_until_connected()
    await lose_zone(fleet)
    await fleet.kill("h1")
    await fleet.kill("h2")
    await fleet.wait_for_state("a", "alone", ["h3"])
    reply = await fleet.override_zone("h3", "bar", "b", limit_s=1.0)
    assert not reply["ok"] and "1 of 3 acceptors promised, 2 are required" in reply["refused"]
    zones_reply = await fleet.ask("h3", do="zones")
    assert zones_reply["confirmed"] is None and {row["stands"] for row in zones_reply["agents"]} == {
        "me",
        "gone",
    }
    # After the restart of one agent there is a majority again, and the agreed plan returns.
    await fleet.start("h2")
    await fleet.wait_for_state("a", "left", ["h2", "h3"])


@with_fleet(hold_s=2.0)
async def test_suspended_agent_does_not_undo_decisions_made_meanwhile(fleet):
    await fleet.wait_until_connected()
    fleet.processes["h1"].send_signal(signal.SIGSTOP)
    for name in ("h2", "h3"):
        fleet.dispatchers[name].set_zone_report("a", bad=1.0)
    await fleet.wait_for_state("a", "left", ["h2", "h3"])
    number = fleet.dispatchers["h2"].plan["number"]
    fleet.processes["h1"].send_signal(signal.SIGCONT)
    await fleet.wait_for_state("a", "left")
    assert all([dispatcher.plan["number"] >= number for dispatcher in fleet.dispatchers.values()])
    fleet.check_plan_numbers()


@with_fleet(older=("h3",))
async def test_agent_of_an_older_protocol_version_is_shown_and_does_not_block(fleet):
    async def older_agent(reader, writer):
        await reader.readline()
        answer = {"v": 1, "ok": False, "refused": "the tool speaks version 2 of the wire, this is version 1"}
        writer.write(json.dumps(answer).encode() + b"\n")
        writer.close()

    server = await asyncio.start_server(older_agent, "127.0.0.1", fleet.ports["h3"])
    await fleet.wait_until_connected("h1", "h2")
    await lose_zone(fleet, except_hosts=("h3",))
    reply = await fleet.ask("h1", do="zones")
    row = next(row for row in reply["agents"] if row["name"] == "h3")
    assert row["stands"] == "older" and not row["votes"] and "version 1" in row["detail"]
    server.close()


# ---------------------------------------------------------------- disks


@with_fleet(hold_s=2.0)
async def test_agent_with_a_full_disk_reports_that_it_does_not_vote(fleet):
    await fleet.wait_until_connected()
    # The limit allows some lines of its log, but no page of its acceptor's file.
    resource.prlimit(fleet.processes["h3"].pid, resource.RLIMIT_FSIZE, (4096, 4096))
    await lose_zone(fleet)
    await until(lambda: "does not vote" in fleet.log("h3"))
    row = next(row for row in (await fleet.ask("h1", do="zones"))["agents"] if row["name"] == "h3")
    assert not row["votes"] and row["stands"] == "here"
    # Its dispatchers get the plan nevertheless. Without one more agent there is no majority of acceptors.
    await fleet.wait_for_state("a", "left")
    await fleet.kill("h2")
    reply = await fleet.override_zone("h1", "bar", "b", limit_s=1.0)
    assert not reply["ok"] and "1 of 3 acceptors promised" in reply["refused"]


@with_fleet(hold_s=2.0)
async def test_agent_with_a_truncated_file_reports_that_it_does_not_vote(fleet):
    await fleet.wait_until_connected()
    await lose_zone(fleet)
    await fleet.kill("h3")
    path = fleet.folder / "h3.votes"
    path.write_bytes(path.read_bytes()[:-100])
    await fleet.start("h3")
    await until(lambda: "h3 does not vote" in fleet.log("h3"))
    # The agent logs this before it listens.
    await fleet.wait_until_answering("h3")
    await fleet.wait_for_state("a", "left")
    await fleet.kill("h2")
    assert "acceptors promised" in (await fleet.override_zone("h3", "bar", "b", limit_s=1.0))["refused"]


# ---------------------------------------------------------------- zones


@with_fleet()
async def test_two_zones_lost_together_share_the_capacity_of_the_third(fleet):
    await fleet.wait_until_connected()
    for zone in "ab":
        fleet.set_reports(zone, bad=1.0)
    # The zone that is detected first is evacuated first; the other one then shares the capacity.
    await fleet.wait_for_state("a", "left")
    await fleet.wait_for_state("b", "left")
    spillover_by_zone = {zone["name"]: zone["over"] for zone in fleet.dispatchers["h3"].plan["zones"]}
    assert {each[0] for name in "ab" for each in spillover_by_zone[name]} <= {"c"}
    grants = sum([each[2] for name in "ab" for each in spillover_by_zone[name]])
    assert grants <= 0.8 or all([each[2] == 1.0 for name in "ab" for each in spillover_by_zone[name]])


@with_fleet()
async def test_operator_bars_a_zone_while_the_plan_returns_it(fleet):
    await fleet.wait_until_connected()
    await lose_zone(fleet)
    fleet.set_reports("a", bad=0.0)
    await fleet.wait_for_state("a", "returning")
    reply = await fleet.override_zone("h2", "bar", "a", for_s=60.0)
    assert reply["ok"] and reply["state"] == "barred"
    await fleet.wait_for_state("a", "barred")
    rows = {zone["name"]: zone for zone in (await fleet.ask("h1", do="zones"))["zones"]}
    assert rows["a"]["word"]["by"] == "ana" and rows["a"]["word"]["left"] <= 60_000.0
    assert rows["a"]["by itself"] != "barred", "the state without the override is shown, too"
    assert (await fleet.override_zone("h3", "return", "a"))["ok"]
    await fleet.wait_for_state("a", "returning")


@with_fleet()
async def test_incomplete_endpoint_list_of_one_dispatcher_closes_no_zone(fleet):
    # Guards against one dispatcher's outdated endpoint list that closes a zone for the whole fleet.
    await fleet.wait_until_connected()
    for name in fleet.names:
        for zone in "abc":
            fleet.dispatchers[name].set_zone_report(zone)
    del fleet.dispatchers["h1"].zones["b"]
    fleet.dispatchers["h1"].set_zone_report("c", workers=0, slots=0.0)
    assert (await fleet.override_zone("h1", "bar", "a"))["ok"]
    await fleet.wait_for_state("a", "barred")
    assert {fleet.dispatchers["h2"].state(zone) for zone in "bc"} == {"near"}


# ---------------------------------------------------------------- operators


def run_ctl(capsys, fleet, *arguments):
    capsys.readouterr()
    agents = [f"--agent=127.0.0.1:{fleet.ports[name]}" for name in fleet.names]
    code = main(["ctl", *agents, *arguments])
    output = capsys.readouterr()
    return code, output.out + output.err


def test_ctl_commands_on_a_fleet(tmp_path, capsys):
    async def scenario():
        async with asyncio.timeout(50.0), AgentFleet(tmp_path) as fleet:
            await fleet.wait_until_connected()
            arguments = ["zone", "bar", "a", "--why", "cooling"]
            code, text = await asyncio.to_thread(run_ctl, capsys, fleet, *arguments)
            assert code == 0 and "the zone is barred" in text and "1 done" in text, text
            await fleet.wait_for_state("a", "barred")
            code, text = await asyncio.to_thread(run_ctl, capsys, fleet, "zones")
            assert code == 0 and text.count("bar said by") == 3 and "confirmed" in text and "by plan" in text
            code, text = await asyncio.to_thread(run_ctl, capsys, fleet, "--json", "zones")
            assert json.loads(text)["code"] == 0
            code, text = await asyncio.to_thread(run_ctl, capsys, fleet, "zone", "bar", "odd")
            assert code == 1 and "no dispatcher knows zone odd" in text
            code, text = await asyncio.to_thread(run_ctl, capsys, fleet, "zone", "return", "b")
            assert code == 1 and "neither evacuated nor barred" in text
            # The first agent does not answer, so the next one gets the command.
            await fleet.kill("h1")
            code, text = await asyncio.to_thread(run_ctl, capsys, fleet, "zone", "return", "a")
            assert code == 0 and "the zone is returning" in text
            for name in fleet.names[1:]:
                await fleet.kill(name)
            assert (await asyncio.to_thread(run_ctl, capsys, fleet, "zone", "bar", "a"))[0] == 4

    asyncio.run(scenario())


FLEET = '[fleet]\nname = "h1"\nvotes = "v"\n'
MEMBER = '[[fleet.member]]\nname = "h1"\naddress = "127.0.0.1:9"\n'


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[fleet]\n", "fleet: name: expected a printable name of 1 to 64 characters, got None"),
        ('[fleet]\nname = "h1"\n', "fleet: votes: expected a path, got None"),
        (FLEET + "epoch = 0\n", "fleet: epoch: expected an integer from 1 to 2147483647, got 0"),
        (FLEET + "hold_s = 1\n", "fleet: hold_s: expected 2 to 300 s, got 1"),
        (FLEET, "fleet: member: expected 1 to 15 [[fleet.member]] tables"),
        (FLEET + "odd = 1\n", "fleet: unknown key odd"),
        (FLEET + MEMBER.replace("h1", "h2"), "fleet: name: expected the name of a member, got h1"),
        (FLEET + MEMBER + MEMBER, "fleet: member h1: its name or address is listed twice"),
        (FLEET + MEMBER.replace("127.0.0.1:9", "x"), "expected an address host:port, got 'x'"),
        (FLEET + 'regions = "none.toml"\n' + MEMBER, "cannot read none.toml"),
    ],
)
def test_invalid_fleet_configuration_is_reported_in_one_line(tmp_path, capsys, text, message):
    path = tmp_path / "agent.toml"
    head = 'listen = "127.0.0.1:1"\nstate = "x"\n[[dispatcher]]\nname = "n"\nconsole = "127.0.0.1:2"\n'
    path.write_text(head + text)
    assert main(["agent", "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert message in error and error.count("\n") == 1


def test_new_votes_option_does_not_overwrite_an_acceptor_file(tmp_path, capsys):
    path = tmp_path / "agent.toml"
    head = f'listen = "127.0.0.1:{free_port()}"\nstate = "x"\n'
    head += '[[dispatcher]]\nname = "n"\nconsole = "127.0.0.1:2"\n'
    path.write_text(head)
    assert main(["agent", "--config", str(path), "--new-votes"]) == 2
    assert f"{path}: fleet: expected a [fleet] table, as --new-votes is given" in capsys.readouterr().err
    path.write_text(head + FLEET + MEMBER)
    (tmp_path / "v").write_bytes(b"something")
    assert main(["agent", "--config", str(path), "--new-votes"]) == 2
    assert "exists already" in capsys.readouterr().err
    assert config.read(str(path)).fleet.members == {"h1": "127.0.0.1:9"}


# ---------------------------------------------------------------- dispatchers


def plan_command(plan, lease_ms):
    """The command by which an agent sends a plan to a dispatcher."""
    return "PLAN " + json.dumps(
        {"plan": codec.encode_plan(plan), "until": time.monotonic() * 1000.0 + lease_ms}
    )


ZONE_A_EVACUATED = plans.Plan(
    1, 2, zones=(plans.ZonePlan("a", plans.ZoneState.EVACUATED, (plans.Spillover("b", 1.0),)),)
)


@on_loop
async def test_dispatcher_follows_the_newest_plan_until_its_lease_expires():
    def accept_request(call):
        return b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

    async with DispatcherRig(accept_request, accept_request, zone="a") as rig:
        assert "calls are" in await rig.admin("PLAN {}")
        rig.core.endpoints.follower = plan_application.Follower("n0", "a")
        rig.service.admin.commands_with_argument["PLAN"] = rig.service.admin_commands.plan
        endpoints = [member(f"w{n}", rig.endpoints[n].address, locality="ab"[n]) for n in range(2)]
        rig.discovery.announce(members(*endpoints, revision=2))

        async def state():
            lines = (await rig.admin("WORKERS")).splitlines()[1:-1]
            ready_ids = rig.core.endpoints.ready_ids
            return {json.loads(line)["id"] for line in lines}, set(ready_ids)

        await until(lambda: rig.core.endpoints.revision == 2)
        assert (await state())[1] == {"w0", "w1"}
        report = json.loads((await rig.admin(plan_command(ZONE_A_EVACUATED, 60_000.0))).partition(" ")[2])
        assert report["plan"] == [1, 2] and (await state())[1] == {"w1"}
        # An older plan and malformed messages change nothing.
        await rig.admin(plan_command(plans.Plan(1, 1), 90_000.0))
        assert (await state())[1] == {"w1"}
        assert (await rig.admin("PLAN []")).startswith("400 no plan")
        assert (await rig.admin('PLAN {"plan": {}, "until": "x"}')).startswith("400 no plan")
        # When the last endpoint of the other zone drains, the endpoints of the evacuated zone are used.
        draining = member("w1", rig.endpoints[1].address, "Terminating", locality="b")
        rig.discovery.announce(members(draining, revision=3, complete=False))
        await until(lambda: rig.core.endpoints.ready_ids == {"w0"})
        rig.discovery.announce(members(endpoints[1], revision=4, complete=False))
        await until(lambda: rig.core.endpoints.ready_ids == {"w1"})
        # After the short lease of a new plan, all endpoints of the list are used.
        await rig.admin(plan_command(ZONE_A_EVACUATED._replace(number=3), 300.0))
        await until(lambda: rig.core.endpoints.ready_ids == {"w0", "w1"})
        report = json.loads((await rig.admin("PLAN {}")).partition(" ")[2])
        assert report["how"] == plan_application.FollowerMode.WITHOUT_PLAN
        assert report["zones"].keys() == {"a", "b"}


def test_suspended_dispatcher_does_not_follow_an_expired_plan(tmp_path):
    # Guards against a delayed plan whose lease would begin when it is read at last.
    async def scenario():
        async with asyncio.timeout(30.0), DispatcherHost(tmp_path) as host:
            dispatcher_process = DispatcherProcess(host)
            path = dispatcher_process.config()
            settings = json.loads(path.read_text())
            settings["plan"] = True
            settings["settings"]["zone"] = "a"
            for number, each in enumerate(settings["known"]["members"]):
                each["locality"] = "ab"[number % 2]
            dispatcher_process.config = lambda known: path
            path.write_text(json.dumps(settings))
            host.nodes.append(dispatcher_process)
            await dispatcher_process.start(4)
            await dispatcher_process.wait_until_healthy()
            report = json.loads(
                (await dispatcher_process.call(plan_command(ZONE_A_EVACUATED, 700.0))).partition(" ")[2]
            )
            assert report["how"] == plan_application.FollowerMode.BY_PLAN
            dispatcher_process.process.send_signal(signal.SIGSTOP)
            delayed_call = asyncio.create_task(
                dispatcher_process.call(plan_command(ZONE_A_EVACUATED._replace(number=3), 500.0))
            )
            await asyncio.sleep(1.0)  # the leases of both plans have expired by then
            dispatcher_process.process.send_signal(signal.SIGCONT)
            await delayed_call
            report = json.loads((await dispatcher_process.call("PLAN {}")).partition(" ")[2])
            assert report["how"] == plan_application.FollowerMode.WITHOUT_PLAN
            assert (await exchange(host.port, HEALTH_REQUEST)).target == "200"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("value", "message"),
    [
        ("yes", ": plan: expected true or false, got 'yes'"),
        (True, ": settings.zone: expected a zone name because plan is true, got none"),
    ],
)
def test_invalid_plan_setting_is_refused(tmp_path, capsys, value, message):
    path = tmp_path / "n0.json"
    settings = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}, "plan": value}
    path.write_text(json.dumps(settings))
    assert main(["check", "--config", str(path)]) == 2
    assert message in capsys.readouterr().err


# ---------------------------------------------------------------- links


@on_loop
async def test_links_are_cut_in_one_direction_mended_slowed_and_reset():
    async def echo(reader, writer):
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    log_lines = []
    async with links.Link("{}:{}".format(*server.sockets[0].getsockname()), log=log_lines.append) as link:
        host, port = link.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"one\n")
        assert await reader.readline() == b"one\n"
        for direction in ("there", "back"):
            link.cut(direction)
            writer.write(b"two\n")
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader.readline()
            # Bytes that were held back arrive once the link is mended.
            link.mend()
            assert await reader.readline() == b"two\n"
        link.slow(50.0)
        start = asyncio.get_running_loop().time()
        writer.write(b"three\n")
        assert await reader.readline() == b"three\n"
        assert asyncio.get_running_loop().time() - start >= 0.1
        link.refuse()
        assert await reader.read() == b""
        _, writer_of_another = await asyncio.open_connection(host, int(port))
        link.mend()
        writer.close()
        writer_of_another.close()
    assert log_lines[:2] == ["cut there", "whole"] and "reset" in log_lines
    server.close()


def test_invalid_fleet_messages_are_refused(tmp_path):
    async def scenario():
        async with asyncio.timeout(30.0), AgentFleet(tmp_path) as fleet:
            await fleet.wait_until_connected()
            for request, message in (
                (
                    {"do": "meet", "from": "odd", "epoch": 1, "start": 1.0, "votes": True},
                    "not another member",
                ),
                ({"do": "meet", "from": "h2", "epoch": 2}, "is of epoch 2"),
                (
                    {"do": "prepare", "from": "odd", "epoch": 1, "ballot": [1, "odd"]},
                    "not a member of this fleet",
                ),
                ({"do": "accept", "from": "h2", "epoch": 1, "ballot": [1, "x"], "value": "{"}, "unexpected"),
                (
                    {"do": "accept", "from": "h2", "epoch": 1, "ballot": "x", "value": "{}"},
                    "ballot: expected",
                ),
                (
                    {"do": "zone", "says": "fly", "zone": "a"},
                    "says: expected one of leave, bar, return, got 'fly'",
                ),
                (
                    {"do": "zone", "says": "bar", "zone": "a", "by": "x", "for_s": -1},
                    "for_s: expected a time",
                ),
            ):
                reply = await fleet.ask("h1", **request)
                assert not reply["ok"] and message in reply["refused"], reply

    asyncio.run(scenario())
