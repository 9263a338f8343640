"""After a restart with a slow discovery, a worker that has been draining for long gets new work."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))

import rig

# How long discovery takes to answer a call, and how long the drain had stood when the new process began.
SLOW_S, STOOD_S = 2.0, 1.0
WORKERS, CLIENTS, RUN_S, QUIET_S, LENGTH_S = 4, 4, 0.05, 2.0, 8.0
# The grace of the settings, and what the rules on sockets add to each limit.
GRACE_MS = 300.0 + 50.0


async def ask_on(case: rig.Case, number: int, port: int, ended: asyncio.Event) -> None:
    """Hand in one request after the other; while nobody listens, try again a little later."""
    client = rig.Client(case.record, f"client {number}", port)
    count = 0
    while not ended.is_set():
        count += 1
        try:
            await client.ask(f"{number}-{count}", "/group-match/x", 2000)
        except OSError:
            client.close()
        await asyncio.sleep(0.02)


async def body(case: rig.Case) -> str:
    """Return how many requests the draining worker got later than the grace allows."""
    discovery = await case.add(rig.Discovery(case.record))
    workers = [
        await case.add(rig.Worker(case.record, f"w{number}", lambda message: RUN_S))
        for number in range(WORKERS)
    ]
    discovery.set(*[worker.member() for worker in workers])
    settings = rig.settings([rig.category("group-match", "read_like", 500, 5000)])
    dispatcher = await case.dispatcher(discovery, workers, settings)
    # The list as this dispatcher last had it, which the next process finds in its configuration.
    dispatcher.document["known"] = discovery.whole()
    ended = asyncio.Event()
    clients = [asyncio.create_task(ask_on(case, number, dispatcher.port, ended)) for number in range(CLIENTS)]
    await asyncio.sleep(QUIET_S)
    # A planned restart.
    dispatcher.signal(signal.SIGTERM)
    await dispatcher.processes[-1].wait()
    case.record.write(dispatcher.name, "has ended")
    leaving = workers[0]
    discovery.set(leaving.member("Terminating"))
    await asyncio.sleep(STOOD_S)
    discovery.delay_s = SLOW_S if rig.TROUBLE else 0.0
    began = case.record.now_ms()
    await dispatcher.start()
    await asyncio.sleep(LENGTH_S)
    ended.set()
    await asyncio.gather(*clients)
    late = [now - began for _, now in leaving.arrivals if now > began + GRACE_MS]
    served = sum([now > began for worker in workers for _, now in worker.arrivals])
    case.record.write("case", f"{served} requests were sent after the restart, {len(late)} to {leaving.name}")
    if served < CLIENTS:
        raise rig.CannotRunError("the new process has not served")
    if not late:
        return ""
    span = f"{late[0]:.0f} to {late[-1]:.0f} ms after the new process began"
    return f"drain: {leaving.name} got {len(late)} requests {span}, its drain stood {STOOD_S:.0f} s before"


rig.run(Path(__file__).resolve().parent, body)
