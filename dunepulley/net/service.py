"""The life of one dispatcher: start, serve, and end in good order when told to."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import resource
import signal
from typing import Any

from dunepulley.net import config, figures, log
from dunepulley.net.clients import DRAINED, ENDING, Clients
from dunepulley.net.console import Answer, Console
from dunepulley.net.core import Asked, Core
from dunepulley.net.counters import Counters
from dunepulley.net.discovery import Discovery
from dunepulley.net.peers import Peers
from dunepulley.net.workers import Workers

# The front goes on sending connections for 0.4 s after SIGTERM, for 0.3 s after our health says no.
STILL_COMING_S = 0.5
# SIGKILL comes no sooner than the longest expiry, of which 3 s count, and 0.7 s after SIGTERM. What is not
# answered by then is written off a little before, so that its client hears of it.
LONGEST_S, SPARE_S, BEFORE_S = 3.0, 0.7, 0.2
# Who has a connection may have nowhere else to go: where dispatchers are restarted one after the other, the
# next is told to end before the last is back. So they are served until this much is left, in which most work
# items taken last still finish.
FINISH_S = 1.3


class Service:
    """All parts of one dispatcher, each owned here."""

    def __init__(self, start: config.Start) -> None:
        self.start_with = start
        sockets = min(start.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.counters = Counters()
        self.core = Core(start.seed, start.settings, start.known, self.counters)
        self.workers = Workers(start.settings, sockets, self.core.put, self.counters)
        self.core.hands = self.workers
        me = self.core.dispatcher.me
        self.peers = self.core.peers = Peers(me, start.peers, self.core.put, self.counters)
        self.clients = Clients(self.core, start.settings, sockets, self.counters, start.by_key)
        calls = {"HEALTH": self._health, "DUMP": self._dump, "LEAVE": self._leave, "JOIN": self._join}
        self.console = Console(calls, max(4, sockets // 16), self.counters)
        self.discovery = start.discovery
        self.watch: asyncio.Task | None = None
        self.task: asyncio.Task | None = None
        self.ended = asyncio.Event()
        self.port = self.console_port = 0

    async def start(self) -> None:
        """Begin to listen and to watch."""
        self.task = asyncio.create_task(self.core.run())
        self.task.add_done_callback(self._task_ended)
        self._watch(self.start_with.known.revision)
        host, port = self.start_with.listen
        try:
            self.port = self.clients.listener.listen(host, port)
            if self.start_with.peers:
                await self.peers.open((host, self.port))
            if self.start_with.console:
                host, port = self.start_with.console
                self.console_port = self.console.listener.listen(host, port)
        except OSError as problem:
            raise config.UnusableError(f"cannot listen at {host}:{port}: {problem.strerror}") from problem
        for listener in (self.clients.listener, self.console.listener):
            if listener.task is not None:
                listener.task.add_done_callback(self._task_ended)

    def _watch(self, revision: int) -> None:
        """Watch the present discovery from a version on; the watch before it, if any, is given back."""
        if self.watch is not None:
            self.watch.cancel()
        work = Discovery(self.discovery, revision, self.core.put, self.counters).run()
        self.watch = asyncio.create_task(work)
        self.watch.add_done_callback(self._task_ended)

    def reload(self) -> None:
        """What SIGHUP asks: read the file again and watch the discovery that it names now.

        All else in it holds from the next start on; nothing in hand is disturbed.
        """
        self.counters["reloads"] += 1
        try:
            told = config.read_again(self.start_with)
        except config.UnusableError as problem:
            # It may be half written or gone: no reason to lose the discovery that there is.
            log.say("reload", f"the old configuration goes on: {problem}")
            return
        if told.discovery != self.discovery:
            log.say("reload", f"discovery is at {told.discovery} now")
            self.discovery = told.discovery
            # Its versions need not continue those of the old one: have the whole list.
            self._watch(0)

    def _task_ended(self, task: asyncio.Task) -> None:
        """None of these tasks ends by itself: without one of them nothing would be served any more."""
        if not task.cancelled():
            log.say("fault", f"a task that should run for ever ended: {task.exception()!r}")
            self.ended.set()

    # ---------------------------------------------------------------- operators' calls

    async def _health(self) -> Answer:
        able = self.clients.can_take()
        return able, "ready" if able else self.clients.leaving or "no worker is known that takes work"

    async def _dump(self) -> Answer:
        asked = Asked(asyncio.get_running_loop().create_future())
        self.core.put(asked)
        listed, avoided = await asked.answer
        told = figures.lines(
            self.counters, self.clients.ticketed, len(self.clients.waiting), listed, avoided
        )
        return True, "\n".join(["figures", *told, "EOF"])

    async def _leave(self) -> Answer:
        self.clients.leave(DRAINED, STILL_COMING_S)
        return True, self.clients.leaving

    async def _join(self) -> Answer:
        joined = self.clients.join()
        return joined, "joined" if joined else self.clients.leaving

    # ---------------------------------------------------------------- the end

    async def finish(self) -> None:
        """What SIGTERM asks: go on for a while, then take no more and answer what was taken."""
        told = config.categories_of(self.start_with.settings, "expiryMs")
        expiries = [ms / 1000.0 for ms in told if ms is not None]
        longest = min(LONGEST_S, max(expiries, default=LONGEST_S))
        left = longest + SPARE_S - BEFORE_S
        serving = max(STILL_COMING_S, left - FINISH_S)
        self.clients.leave(ENDING, serving)
        try:
            async with asyncio.timeout(left):
                await self.clients.none_waiting.wait()
        except TimeoutError:
            log.say("service", f"{len(self.clients.waiting)} work items were written off at the end")
            self.clients.write_off()

    async def close(self) -> None:
        """Give back every socket and task."""
        await self.clients.close()
        await self.console.close()
        self.peers.close()
        tasks = [task for task in (self.task, self.watch) if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.workers.close()


async def serve(start: config.Start) -> int:
    """Serve until SIGTERM, then finish what was taken; the exit code."""
    loop = asyncio.get_running_loop()
    logging.basicConfig(handlers=[log.Relay()], level=logging.WARNING)
    loop.set_exception_handler(_library_fault)
    told_to_end = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told_to_end.set)
    service = Service(start)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: print_counters(service.counters))
    try:
        await service.start()
        # What lives as long as the process needs no look from the collector.
        gc.collect()
        gc.freeze()
        log.say("service", f"{start.name} listens at {start.listen[0]}:{service.port}")
        waits = [asyncio.create_task(event.wait()) for event in (told_to_end, service.ended)]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if service.ended.is_set():
            return 1
        await service.finish()
    finally:
        # From here on there is nothing left to watch for.
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        with contextlib.suppress(OSError):
            await service.close()
        print_counters(service.counters)
    return 0


def print_counters(counters: Counters) -> None:
    """All counters on one line of the log."""
    log.say("counters", counters.text())


def _library_fault(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log.say("library", f"{context.get('message')}: {context.get('exception')!r}")
