"""The answers to some callbacks are lost, so that workers repeat the call "handed back unstarted"."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
    Clients,
    Discovery,
    Dispatcher,
    Link,
    Worker,
    category,
    config,
    free_port,
    main,
    settings,
)

UNSAFE, UNSAFE_MS, UNSAFE_RATE = "place-order", 600, 14.0
READ, READ_MS, READ_RATE = "report-build", 1200, 4.0
BUDGET_MS = 5000
LENGTH_S, CALM_S = 36.0, 26.0
# "for 6 s [...] answers get lost"
LOSS_FROM_S, LOSS_S = 26.0, 6.0
LOST_SHARE = 0.5


class SharedWorker(Worker):
    """The time of a job depends on its category.

    A worker that other dispatchers fill now and then: what it takes meanwhile it hands back unstarted."""

    full = False

    def time_of(self, request_id):
        return (UNSAFE_MS if request_id.startswith(UNSAFE) else READ_MS) / 1000.0

    async def begin_next(self):
        if self.full and self.waiting:
            request_id = self.waiting.pop(0)
            self.record(f"{self.name} is full, hands {request_id} back")
            await asyncio.sleep(0.02)
            await self.tell(request_id, "returned")
            return
        await super().begin_next()


async def case(record, folder, trouble):
    discovery = Discovery(record)
    await discovery.start()
    port = free_port()
    chance = random.Random(7)
    loss = {"from": float("inf")}

    def loses():
        return trouble and 0.0 <= record.now() - loss["from"] < LOSS_S and chance.random() < LOST_SHARE

    link = Link(record, "the network", port, loses)
    await link.start()
    workers = [SharedWorker(record, f"w{number}", (HOST, link.port), slots=10) for number in range(2)]
    for worker in workers:
        await worker.start()
    members = [worker.member() for worker in workers]
    discovery.put(*members)
    given = settings(
        [category(UNSAFE, "non_idempotent", BUDGET_MS, 2000), category(READ, "read_like", BUDGET_MS, 2000)]
    )
    dispatcher = Dispatcher(record, "n0", folder, port, config("n0", port, discovery, given, members))
    await dispatcher.start()
    clients = Clients(record, HOST, port)

    async def others():
        """Work of other dispatchers: both workers are full for 0.08 s in each 0.4 s."""
        await asyncio.sleep(CALM_S)
        while True:
            await asyncio.sleep(0.32)
            for worker in workers:
                worker.full = True
            await asyncio.sleep(0.08)
            for worker in workers:
                worker.full = False

    try:
        await dispatcher.ready()
        loss["from"] = record.now() + LOSS_FROM_S
        filling = asyncio.create_task(others())
        await asyncio.gather(
            clients.ask_for(LENGTH_S, UNSAFE_RATE, UNSAFE, BUDGET_MS, random.Random(1), UNSAFE_MS),
            clients.ask_for(LENGTH_S, READ_RATE, READ, BUDGET_MS, random.Random(2), READ_MS),
        )
        filling.cancel()
        await asyncio.sleep(1.5)
    finally:
        await dispatcher.end()
    return breaks(record, workers, clients)


def breaks(record, workers, clients):
    """Jobs that ran more than once, or were refused although they ran."""
    found = []
    answers = {asked.request_id: asked for asked in clients.answers}
    attempts = [attempt for worker in workers for attempt in worker.attempts]
    for request_id, asked in answers.items():
        if not request_id.startswith(UNSAFE):
            continue
        ran = [attempt for attempt in attempts if attempt.request_id == request_id and attempt.ran_s]
        if len(ran) > 1:
            found.append(f"{request_id} may never run twice, and ran {len(ran)} times: {ran}")
        if ran and asked.status in (429, 503):
            found.append(f"{request_id} is refused with {asked.status}, which says that it never ran: {ran}")
    record(f"{len(answers)} jobs, {sum(a.status == 200 for a in answers.values())} served")
    return found


if __name__ == "__main__":
    main(case, Path(__file__).resolve().parent)
