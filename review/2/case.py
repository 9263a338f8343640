"""During an upgrade a bad client sends the id of another client's open request."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
    CannotRunError,
    Client,
    Discovery,
    Dispatcher,
    Worker,
    category,
    config,
    free_port,
    main,
    settings,
)

UNSAFE, BUDGET_MS = "place-order", 5000
USUAL_CLIENTS = 6
WORK_S = 2.5
BAD_REQUESTS = 3


async def case(record, folder, trouble):
    discovery = Discovery(record)
    await discovery.start()
    port = free_port()
    workers = [Worker(record, f"w{number}", (HOST, port), slots=8, work_s=WORK_S) for number in range(3)]
    for worker in workers:
        await worker.start()
    members = [worker.member() for worker in workers]
    discovery.put(*members)
    given = settings([category(UNSAFE, "non_idempotent", BUDGET_MS, 4000)])
    temporary = Path(folder) / "common"
    old, new = [
        Dispatcher(
            record,
            name,
            folder,
            port,
            config("n0", port, discovery, given, members, console=f"{HOST}:{free_port()}"),
            temporary,
        )
        for name in ("old process", "new process")
    ]
    usual = [Client(record, f"c{number}", HOST, port) for number in range(USUAL_CLIENTS)]
    bad = [Client(record, f"bad{number}", HOST, port) for number in range(BAD_REQUESTS)]
    path = f"/{UNSAFE}/7f3a9c"
    try:
        await old.start()
        await old.ready()
        upgrade = asyncio.create_task(start_beside(new))
        await asyncio.sleep(0.2)
        asked = [asyncio.create_task(client.ask(path, BUDGET_MS)) for client in usual]
        await upgrade
        if trouble:
            open_ids = [client.answers[-1].request_id for client in usual if not client.answers[-1].status]
            if not open_ids:
                raise CannotRunError("no request was open any more when the new process said yes")
            record(f"a bad client sends ids of open requests: {open_ids[:BAD_REQUESTS]}")
            asked += [
                asyncio.create_task(client.ask(path, BUDGET_MS, request_id=request_id))
                for client, request_id in zip(bad, open_ids, strict=False)
            ]
        old.signal(signal.SIGTERM)
        await asyncio.gather(*asked)
        await asyncio.sleep(0.5)
    finally:
        await new.end()
        await old.end()
    return breaks(record, workers, usual, bad)


async def start_beside(new):
    await new.start()
    await new.healthy()


def breaks(record, workers, usual, bad):
    """Bad requests that were served; usual ones that ran twice, or whose result was kept back."""
    found = []
    attempts = [attempt for worker in workers for attempt in worker.attempts]
    for asked in [asked for client in bad for asked in client.answers]:
        if asked.status == 200:
            found.append(f"a bad client with the id {asked.request_id} was served: {asked.body.decode()}")
    for asked in [asked for client in usual for asked in client.answers]:
        ran = [each for each in attempts if each.request_id == asked.request_id and each.ran_s]
        if len(ran) > 1:
            found.append(f"{asked.request_id} may never run twice, and ran {len(ran)} times: {ran}")
        told = [worker.name for worker in workers if asked.request_id in worker.done]
        if told and asked.status != 200:
            found.append(
                f"{asked.request_id}: {told} told its result and had 204; the client had {asked.status}"
            )
    record(f"usual clients were answered {[asked.status for client in usual for asked in client.answers]}")
    return found


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
