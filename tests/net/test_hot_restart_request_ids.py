"""Request ids during a hot restart: parent and child are one dispatcher, which takes each id once."""

import pytest
from support.dispatcher_process import DispatcherHost
from support.event_loop import on_loop, until
from support.http_messages import HEALTH_REQUEST, read_message, request

from dunepulley.net.hot_restart import foreign_requests, messages


async def answer_all(site, readers):
    """Complete requests in progress, and check that each client gets the result of its own."""
    for request_id, reader in readers.items():
        assert await site.send_callbacks(request_id) == {"204"}
        answer = await read_message(reader)
        assert (answer.target, answer.body) == ("200", request_id.encode())


@pytest.mark.parametrize("restarts", [1, 2])
@on_loop
async def test_child_rejects_the_id_of_a_request_in_progress_at_the_parent(tmp_path, restarts):
    # Guards against serving a client with the result of another one's request, and against running that
    # request twice: the child took an id that the parent, or the parent's parent, had in progress.
    async with DispatcherHost(tmp_path) as site:
        await site.start_healthy()
        reader, writer = await site.open(request("/look/1", request_id="held"))
        await site.seen("held")
        for _ in range(restarts):
            await site.start_healthy()
        for _ in range(3):
            assert (await site.exchange(request("/look/1", request_id="held"))).target == "409"
        other, other_writer = await site.open(request("/look/1", request_id="other"))
        await site.seen("held", "other")
        await answer_all(site, {"held": reader, "other": other})
        await site.seen("held", "other")
        for node in site.nodes[:-1]:
            assert (await node.wait_for_exit())[0] == 0
        # The ids of a process that has ended are free again.
        reused, reused_writer = await site.open(request("/look/1", request_id="held"))
        await until(lambda: site.received_ids().count("held") == 2)
        await answer_all(site, {"held": reused})
        for each in (writer, other_writer, reused_writer):
            each.close()


@on_loop
async def test_both_processes_reject_ids_that_the_other_takes_after_the_hand_over(tmp_path):
    # Guards against the same on connections that the parent still serves, in either direction.
    async with DispatcherHost(tmp_path) as site:
        await site.start_healthy()
        held, held_writer = await site.open(request("/look/1", request_id="held"))  # keeps the parent alive
        kept = [await site.open(HEALTH_REQUEST) for _ in range(2)]
        for reader, _ in kept:
            assert (await read_message(reader)).target == "200"
        await site.seen("held")
        await site.start_healthy()
        # Each connection to the parent may carry one more request, for IDLE_CLOSE_S after the hand-over.
        kept[0][1].write(request("/look/1", request_id="at-the-parent"))
        await site.seen("held", "at-the-parent")
        assert (await site.exchange(request("/look/1", request_id="at-the-parent"))).target == "409"
        child, child_writer = await site.open(request("/look/1", request_id="at-the-child"))
        await site.seen("held", "at-the-parent", "at-the-child")
        kept[1][1].write(request("/look/1", request_id="at-the-child"))
        assert (await read_message(kept[1][0])).target == "409"
        await answer_all(site, {"held": held, "at-the-parent": kept[0][0], "at-the-child": child})
        await site.seen("held", "at-the-parent", "at-the-child")
        for writer in (held_writer, child_writer, *[writer for _, writer in kept]):
            writer.close()


@pytest.mark.parametrize("kind", [messages.RequestsTaken, messages.RequestsAbandoned])
def test_ids_are_split_into_messages_that_fit_into_a_line(kind):
    ids = [f"{number:0128d}" for number in range(2 * foreign_requests.MAX_IDS_PER_MESSAGE + 1)]
    split = list(foreign_requests.messages_with(ids, kind))
    assert [request_id for message in split for request_id in message.ids] == ids and len(split) == 3
    assert all(len(str(message.to_json())) < messages.MAX_MESSAGE_BYTES for message in split)
    assert not list(foreign_requests.messages_with([], kind))


@pytest.mark.parametrize(
    ("kind", "key"), [(messages.RequestsTaken, "taken"), (messages.RequestsAbandoned, "abandoned")]
)
def test_message_with_ids_is_unchanged_after_formatting_and_parsing(kind, key):
    message = kind(["a", "b"])
    assert messages.parse(message.to_json()) == message
    assert messages.parse({key: ["a", 1, None]}) == kind(["a"])
    assert messages.parse({key: "a"}) == messages.Unknown()


def test_ids_of_a_closed_link_are_removed():
    requests, parent, child = foreign_requests.ForeignRequests(), object(), object()
    requests.add(parent, ["a", "b"])
    requests.add(child, ["c"])
    assert "a" in requests and "c" in requests and sorted(requests.all_ids()) == ["a", "b", "c"]
    requests.forget(parent)
    requests.forget(parent)
    assert "a" not in requests and "c" in requests and requests.all_ids() == ["c"]
