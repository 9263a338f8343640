"""The process of a dispatcher: signals, start, shutdown and exit code."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import signal
from typing import Any

from dunepulley import OPERATOR_SIGNALS
from dunepulley.net import log
from dunepulley.net.config import ConfigError, DispatcherConfig
from dunepulley.net.counters import Counters
from dunepulley.net.hot_restart import HotRestartError, request_parent_state, socket_path
from dunepulley.net.log_events import LogEvent
from dunepulley.net.service import Service

EXIT_OK, EXIT_FAULT = 0, 1


async def serve(config: DispatcherConfig) -> int:
    """Serve until SIGTERM or SIGINT, or until a child process has taken over; return the exit code.

    Raises ConfigError if the configuration cannot be used.
    """
    loop = asyncio.get_running_loop()
    _log_library_messages(loop)
    terminated = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    service = _create_service(config)
    _handle_operator_signals(loop, service)
    end_waits = [
        asyncio.create_task(event.wait())
        for event in (terminated, service.failed, service.hot_restart_actions.finished)
    ]
    try:
        return await _run(service, terminated, end_waits)
    finally:
        for end_wait in end_waits:
            end_wait.cancel()
        # Block further signals: the service can no longer be reloaded.
        signal.pthread_sigmask(signal.SIG_BLOCK, OPERATOR_SIGNALS)
        with contextlib.suppress(OSError):
            await service.close()
        print_counters(service.counters)


def _create_service(config: DispatcherConfig) -> Service:
    """Create the dispatcher, with the state of the parent process if there is one."""
    try:
        path = socket_path(config.temp_dir, *config.listen)
        return Service(config, request_parent_state(path, config.name))
    except HotRestartError as error:
        raise ConfigError(str(error)) from error


def _handle_operator_signals(loop: asyncio.AbstractEventLoop, service: Service) -> None:
    """Reload on SIGHUP and print the counters on SIGUSR1, also for signals that are pending already."""
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    loop.add_signal_handler(signal.SIGUSR1, lambda: print_counters(service.counters))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, OPERATOR_SIGNALS)


async def _run(service: Service, terminated: asyncio.Event, end_waits: list[asyncio.Task]) -> int:
    """Start, serve until one of `end_waits` is done, and after a SIGTERM finish the accepted requests.

    Returns the exit code.
    """
    starting = asyncio.create_task(service.start())
    await asyncio.wait([starting, *end_waits], return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
        _freeze_objects()
        host, _ = service.config.listen
        log.write(LogEvent.SERVICE, f"{service.config.name} listens at {host}:{service.port}")
        await asyncio.wait(end_waits, return_when=asyncio.FIRST_COMPLETED)
        if terminated.is_set():
            await service.finish()
    elif terminated.is_set():
        starting.cancel()
        await asyncio.gather(starting, return_exceptions=True)
        await service.finish_start()
    starting.cancel()
    return EXIT_FAULT if service.failed.is_set() else EXIT_OK


def _freeze_objects() -> None:
    """Exclude the objects that exist now, which live as long as the process, from garbage collection."""
    gc.collect()
    gc.freeze()


def _log_library_messages(loop: asyncio.AbstractEventLoop) -> None:
    logging.basicConfig(handlers=[log.LibraryLogHandler()], level=logging.WARNING)
    loop.set_exception_handler(_log_library_fault)


def _log_library_fault(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log.write(LogEvent.LIBRARY, f"{context.get('message')}: {context.get('exception')!r}")


def print_counters(counters: Counters) -> None:
    """Print all counters on one line of the log."""
    log.write(LogEvent.COUNTERS, counters.text())
