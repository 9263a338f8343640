"""System calls of all kinds that fail at random, once or twice each."""

import pytest
from support.event_loop import on_loop, until
from support.faulty_sockets import LOST_WITH_ACCEPT, FaultySockets
from support.system_call_faults import (
    CALLS_OF_THIS_HOST,
    NO_DESCRIPTOR,
    NO_MEMORY,
    FaultyDispatcherRig,
    accept_all,
    health_status,
)

# Faults at the clients' port, and at an endpoint's. Those that eject an endpoint are rare enough that some
# endpoints stay ready.
AT_CLIENTS = [("accept", error) for error in (*LOST_WITH_ACCEPT, *NO_DESCRIPTOR, *NO_MEMORY)]
AT_ENDPOINTS = [fault for fault in CALLS_OF_THIS_HOST if fault[0] != "socket"] + [("connect", "ECONNREFUSED")]
AT_ENDPOINTS += [("recv", "ENOBUFS"), ("recv", "ENOMEM"), ("send", "ENOBUFS"), ("send", "EPIPE")]
AT_ENDPOINTS += [("connect", "EINTR")]


@pytest.mark.parametrize("seed", [4])
@on_loop
async def test_each_request_is_answered_once_and_runs_at_most_once_under_random_faults(seed):
    # Random short faults, while requests arrive that must not run twice.
    with FaultySockets(seed) as sockets:
        async with FaultyDispatcherRig(sockets, accept_all, accept_all, accept_all) as rig:
            chance, statuses = sockets.chance, []
            client = await rig.connect()
            for number in range(10):
                sockets.fail(*chance.choice(AT_CLIENTS), rig.service.port, times=1)
                endpoint = chance.choice(rig.endpoints)
                sockets.fail(*chance.choice(AT_ENDPOINTS), endpoint.port, times=chance.randint(1, 2))
                # Runs for longer than the delay after a local error.
                options = {"target": "/pay/1", "client": client, "close": False, "runs_s": 0.12}
                statuses.append(await rig.serve(f"r{number}", **options))
            assert statuses.count("200") >= 5 and len(set(rig.received_ids())) == len(rig.received_ids())
            assert sum([fault.hits for fault in sockets.faults]) >= 6
            assert not rig.core.counters["faults"] and not rig.service.failed.is_set()
            await until(lambda: not rig.core.requests)
            for fault in sockets.faults:
                fault.lift()
            assert await health_status(rig) == "200"
            client[1].close()
