"""Runs the stub endpoints of one zone in one process, for measurements in which zones are lost.

    python -m bench.site FILE

FILE is a JSON object: `zone`, `workers` (a map of ids to ports), `dispatchers` (names to addresses),
`slots`, `speed`, `queue`, `runs_ms` (how long a request without the X-Call-Cost header runs), `cold_from`,
`cold_s`, `fall_multiple`, `since_ms` (when the endpoints started in Unix ms, 0 for long ago) and `record`, a
file to append to. A request id begins with the name of the dispatcher that received the request, followed by
a dot. The lines of the record are `sent MS DISPATCHER WORKER` for an attempt, `full MS WORKER` for a rejected
attempt and `over MS WORKER` for an overload of an endpoint that is warming up.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

from dunepulley.load.local import RealTime
from dunepulley.load.stub_servers import StubServers, load_report_fields
from dunepulley.model.server import ModelServer

CALLBACK_RETRY_S = 0.2
# The window over which the work sent to an endpoint that is warming up is summed.
OVERLOAD_WINDOW_MS = 1000.0


class ZoneEndpoints:
    """The stub endpoints of one zone, configured by the JSON object of the command line's file."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.config = config
        self.time = RealTime()
        self.record = Path(config["record"]).open("a", buffering=1)  # noqa: SIM115
        self.recent_work: dict[str, deque[tuple[float, float]]] = {
            name: deque() for name in config["workers"]
        }
        self.stub_servers = StubServers(self, self.time, retry_pause_s=CALLBACK_RETRY_S)

    def write_record(self, *words: Any) -> None:
        """Write a line to the record: the first word, the time, the other words."""
        unix_ms = time.time() * 1000.0
        self.record.write(" ".join([words[0], f"{unix_ms:.1f}", *[str(word) for word in words[1:]]]) + "\n")

    def find_work_ms(self, request_id: str, headers: Any) -> float:
        """How long a request runs, in ms: its X-Call-Cost header, which is in µs, or `runs_ms`."""
        return float(headers.get("X-Call-Cost", 1000.0 * self.config["runs_ms"])) / 1000.0

    def callback_address(self, request_id: str, worker: str) -> str:
        """The address of the dispatcher that received the request."""
        return self.config["dispatchers"][request_id.partition(".")[0]]

    def load_report(self, worker: ModelServer) -> dict[str, float]:
        """The present load of an endpoint."""
        return load_report_fields(worker)

    def record_event(self, what: str, worker: str, request_id: str, work: float) -> None:
        """Record attempts, rejections, and overloads of endpoints that are warming up."""
        if what == "arrived":
            self.write_record("sent", request_id.partition(".")[0], worker)
            self.check_overload(self.stub_servers.workers[worker], work)
        elif what == "full":
            self.write_record("full", worker)

    def check_overload(self, worker: ModelServer, work: float) -> None:
        """Record an overload if an endpoint that is warming up got too much work within the window."""
        speed_fraction = worker.factors.get("cold", 1.0)
        if speed_fraction >= 1.0:
            return
        sent, now = self.recent_work[worker.name], self.time.now
        sent.append((now, work))
        while sent[0][0] < now - OVERLOAD_WINDOW_MS:
            sent.popleft()
        capacity_ms = worker.speed * speed_fraction * worker.slots * OVERLOAD_WINDOW_MS
        if sum([sent_work for _, sent_work in sent]) > self.config["fall_multiple"] * capacity_ms:
            self.write_record("over", worker.name)
            sent.clear()

    async def run(self) -> None:
        """Start the endpoints and serve until the process is killed."""
        config = self.config
        async with self.stub_servers:
            for name, port in config["workers"].items():
                slots, queue, speed = config["slots"], config["queue"], config["speed"]
                worker = ModelServer(self.time, name, config["zone"], "box", "0", slots, queue, speed)
                if config["since_ms"]:
                    worker.start()
                    worker.warm_up(config["cold_from"], config["cold_s"] * 1000.0)
                await self.stub_servers.open(worker, port)
            await asyncio.Event().wait()


async def main(config: dict[str, Any]) -> None:
    """Run the stub endpoints of one zone."""
    await ZoneEndpoints(config).run()


if __name__ == "__main__":
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text())))
