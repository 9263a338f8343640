"""Restart of one dispatcher: a hot restart if it has two admin addresses, otherwise stop and start.

A hot restart starts a child process beside the parent, which passes its listening socket on and exits; no
client is disconnected. With one admin address the process first drains its clients and is then terminated,
and either the agent or the service manager starts the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal

from dunepulley.agent.admin_call import NoAnswerError, call
from dunepulley.agent.dispatcher import Dispatcher, ProcessIdentity

_POLL_S = 0.05
_DRAIN_POLL_S = 0.1
# The environment variable that passes the address of its admin interface to a started process.
_ADMIN_ADDRESS_VARIABLE = "ROUTER_CONSOLE"


async def restart(dispatcher: Dispatcher, timeout_s: float) -> str:
    """Replace a dispatcher's process, and return a line for operators that names both processes.

    Raises `NoAnswerError` if the new process does not serve within `timeout_s` seconds, and `OSError` if it
    cannot be started.
    """
    is_hot_restart = len(dispatcher.config.admin_addresses) == 2
    try:
        async with asyncio.timeout(timeout_s):
            parent = (await dispatcher.processes())[0]
            child = await (_hot_restart if is_hot_restart else _stop_and_start)(dispatcher, parent)
    except TimeoutError as error:
        raise NoAnswerError(f"the new process does not serve within {timeout_s:g} s") from error
    return f"process {child.pid} in place of {parent.pid}"


async def _hot_restart(dispatcher: Dispatcher, parent: ProcessIdentity) -> ProcessIdentity:
    """Start a child beside the parent, and wait until the child serves and the parent has exited."""
    addresses = dispatcher.config.admin_addresses
    free_address = next(address for address in addresses if address != parent.admin_address)
    process = await _start_process(dispatcher, free_address)
    ended = asyncio.create_task(process.wait())
    serving = asyncio.create_task(_wait_until_serving(dispatcher, free_address, parent.pid))
    try:
        await asyncio.wait([ended, serving], return_when=asyncio.FIRST_COMPLETED)
        if not serving.done():
            raise NoAnswerError(
                f"the new process exited with code {ended.result()}; the old one keeps serving"
            )
        child = serving.result()
    except asyncio.CancelledError:
        # On timeout the child is stopped, so that it does not take over after the failure is reported.
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        raise
    finally:
        serving.cancel()
    await _wait_until_ended(dispatcher, parent)
    return child


async def _stop_and_start(dispatcher: Dispatcher, parent: ProcessIdentity) -> ProcessIdentity:
    """Drain the only process, terminate it, and wait until the next one serves."""
    await call(parent.admin_address, "LEAVE", dispatcher.answer_timeout_s)
    try:
        while (await dispatcher.metrics()).get("current", 0):
            await asyncio.sleep(_DRAIN_POLL_S)
    except asyncio.CancelledError:
        # On timeout the requests in flight are not aborted, and the process accepts clients again.
        with contextlib.suppress(NoAnswerError):
            await call(parent.admin_address, "JOIN", dispatcher.answer_timeout_s)
        raise
    os.kill(parent.pid, signal.SIGTERM)
    await _wait_until_ended(dispatcher, parent)
    if dispatcher.config.start_command:
        await _start_process(dispatcher, parent.admin_address)
    return await _wait_until_serving(dispatcher, parent.admin_address, parent.pid)


async def _start_process(dispatcher: Dispatcher, admin_address: str) -> asyncio.subprocess.Process:
    """Start a dispatcher process in a session of its own, so that it outlives the agent."""
    return await asyncio.create_subprocess_exec(
        *dispatcher.config.start_command,
        env=os.environ | {_ADMIN_ADDRESS_VARIABLE: admin_address},
        stdin=asyncio.subprocess.DEVNULL,
        start_new_session=True,
    )


async def _wait_until_serving(dispatcher: Dispatcher, address: str, former_pid: int) -> ProcessIdentity:
    """Wait, without a timeout, until a process other than the former one serves at an admin address."""
    while True:
        with contextlib.suppress(NoAnswerError):
            process = await dispatcher.identify(address)
            if process.pid != former_pid:
                health = await call(address, "HEALTH", dispatcher.answer_timeout_s)
                if health.ok:
                    return process
        await asyncio.sleep(_POLL_S)


async def _wait_until_ended(dispatcher: Dispatcher, process: ProcessIdentity) -> None:
    """Wait, without a timeout, until a process has exited."""
    while True:
        try:
            if (await dispatcher.identify(process.admin_address)).pid != process.pid:
                return
        except NoAnswerError:
            if not _is_alive(process.pid):
                return
        await asyncio.sleep(_POLL_S)


def _is_alive(pid: int) -> bool:
    """Return whether a process with this id exists, even if it is another user's."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        return True
    return True
