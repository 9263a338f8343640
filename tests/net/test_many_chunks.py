"""Bodies in very many chunks: decoded step by step, so that other clients are served meanwhile."""

import asyncio
import random
import time

import pytest
from support.dispatcher_rig import DispatcherRig
from support.event_loop import on_loop, until
from support.http_messages import ACCEPTED, HEALTH_REQUEST, read_message

from dunepulley.net.callbacks import MalformedError
from dunepulley.net.frontend import chunked_body
from dunepulley.net.frontend.chunked_body import MAX_CHUNKS_PER_STEP, ChunkedBody

HEAD = b"POST /look/1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: %s\r\nX-Budget-Ms: 9000\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# The longest time, in s, for which a dispatcher may be held up between two of its steps.
MAX_HOLD_UP_S = 0.15


def decode_all(body):
    """Decode as far as possible; return the number of steps."""
    steps = 1
    body.decode()
    while body.has_more:
        body.decode()
        steps += 1
    return steps


def encode(data, sizes):
    """Return the data in chunks of the given sizes, with the last chunk."""
    parts, position = [], 0
    for size in sizes:
        parts.append(b"%x\r\n%s\r\n" % (size, data[position : position + size]))
        position += size
    assert position == len(data)
    return b"".join([*parts, b"0\r\n\r\n"])


@pytest.mark.parametrize("count", [0, 1, MAX_CHUNKS_PER_STEP - 1, MAX_CHUNKS_PER_STEP, 1000, 5000])
def test_a_step_decodes_a_limited_number_of_chunks(count):
    body = ChunkedBody()
    body.add(encode(b"x" * count, [1] * count) + b"behind")
    assert decode_all(body) == count // MAX_CHUNKS_PER_STEP + 1
    assert body.is_complete and bytes(body.body) == b"x" * count and body.excess() == len(b"behind")


@pytest.mark.parametrize("seed", range(20))
def test_any_pieces_give_the_same_body(seed):
    chance = random.Random(seed)
    sizes = [chance.choice([1, 2, 17, 300]) for _ in range(chance.randrange(200))]
    data = chance.randbytes(sum(sizes))
    encoded = encode(data, sizes)
    body = ChunkedBody()
    position = 0
    while position < len(encoded):
        assert not body.is_complete
        size = chance.choice([1, 3, 50, 2000])
        body.add(encoded[position : position + size])
        position += size
        decode_all(body)
        # What was decoded is not kept a second time.
        assert body.size() <= len(data) + 400
    assert body.is_complete and bytes(body.body) == data


@pytest.mark.parametrize("line", [b"0" * 21, b"0" * 16 + b"1", b"1;" + b"e" * 250])
def test_a_chunk_head_is_read_in_time_proportional_to_its_length(line):
    # Guards against a pattern that tries each of its splits again for each byte that arrives.
    body = ChunkedBody()
    before_s = time.process_time()
    with pytest.raises(MalformedError):
        for _ in range(400):
            body.add(line[:1] if body.encoded_bytes >= len(line) + 200 else line + b" " * 200)
            body.decode()
    assert time.process_time() - before_s < MAX_HOLD_UP_S


def test_body_that_is_too_large_when_encoded_is_rejected_once_all_was_decoded():
    body = ChunkedBody()
    body.add(b"1\r\nx\r\n" * 30_000)
    with pytest.raises(MalformedError) as raised:
        decode_all(body)
    assert raised.value.args[0] == 413 and len(body.body) == 30_000


@on_loop
async def test_other_clients_are_answered_while_many_send_bodies_in_tiny_chunks():
    # Guards against the decoding of many clients' chunks in one turn of the event loop: for seconds no other
    # client was answered, nor health checks.
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        slow = [await rig.connect() for _ in range(40)]
        for number, (_, writer) in enumerate(slow):
            writer.write(HEAD % b"c%d" % number + CHUNKED + b"1\r\nx\r\n" * 10_000)
        await until(lambda: len(rig.frontend.server.partial) == len(slow))
        loop = asyncio.get_running_loop()
        longest_s = 0.0
        while len(rig.frontend.server.decoding_queue):
            before_s = loop.time()
            await asyncio.sleep(0)
            longest_s = max(longest_s, loop.time() - before_s)
            if longest_s > MAX_HOLD_UP_S:
                break
        assert longest_s < MAX_HOLD_UP_S
        assert (await rig.exchange(HEALTH_REQUEST)).target == "200"
        for _, writer in slow:
            writer.close()


@on_loop
async def test_body_in_many_chunks_is_forwarded(monkeypatch):
    monkeypatch.setattr(chunked_body, "MAX_CHUNKS_PER_STEP", 4)
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        data = random.Random(5).randbytes(3000)
        reader, writer = await rig.connect()
        for request_id in (b"a", b"b"):  # over one connection
            writer.write(HEAD % request_id + CHUNKED + encode(data, [1] * len(data)))
            await until(lambda request_id=request_id: rig.core.requests.get(request_id.decode()))
            await until(lambda: rig.endpoints[0].seen and rig.core.counters["ho accepted"])
            await rig.callback("w0", "done", request_id.decode(), result="made")
            assert (await read_message(reader)).target == "200"
        assert [call.body for call in rig.endpoints[0].seen] == [data, data]
        writer.close()


@on_loop
async def test_client_that_leaves_while_its_chunks_are_decoded_is_forgotten(monkeypatch):
    monkeypatch.setattr(chunked_body, "MAX_CHUNKS_PER_STEP", 1)
    async with DispatcherRig(lambda call: ACCEPTED) as rig:
        _, writer = await rig.connect()
        writer.write(HEAD % b"a" + CHUNKED + encode(b"x" * 5000, [1] * 5000))
        await until(lambda: rig.frontend.server.partial)
        writer.transport.abort()
        await until(lambda: not rig.frontend.server.accepted and not rig.core.requests)
        await until(lambda: not len(rig.frontend.server.decoding_queue))
        assert rig.frontend.server.partial_bytes == 0 and not rig.core.counters["faults"]
