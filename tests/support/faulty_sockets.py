"""Injects faults into `socket.socket`: system calls fail with the errors that Linux documents.

`FaultySockets` is a context manager; while it is entered, it intercepts the calls of all sockets of this
process. `fail` plans a fault for one call on one port; the fault applies until its `times` are used up or it
is lifted. Random choices depend only on the seed.
"""

from __future__ import annotations

import errno
import os
import random
import socket
from dataclasses import dataclass
from typing import Any

# Errors pending on a queued connection: accept(2) removes the connection and reports its error.
LOST_WITH_ACCEPT = ("ECONNABORTED", "EPROTO", "ENETDOWN", "ENOPROTOOPT", "EHOSTDOWN")
LOST_WITH_ACCEPT += ("ENONET", "EHOSTUNREACH", "EOPNOTSUPP", "ENETUNREACH")
PATCHED = ("__init__", "accept", "connect", "getsockopt", "send", "recv", "sendto")


@dataclass
class Fault:
    """One planned fault.

    `call` is the system call, or "connected" for the result of a connect in progress. `port` is the listening
    port for accept, 0 for socket, else the port of the peer. `takes` tells whether a failing accept removes a
    connection from the queue.
    """

    call: str
    error: int
    port: int
    times: float
    takes: bool
    hits: int = 0

    def is_triggered(self) -> bool:
        """Whether this call fails; counts it if so."""
        if self.hits >= self.times:
            return False
        self.hits += 1
        return True

    def lift(self) -> None:
        """End the fault: later calls succeed."""
        self.times = 0

    def exception(self) -> OSError:
        """The exception that Python raises for the error."""
        return OSError(self.error, os.strerror(self.error))


class FaultySockets:
    """Plans faults and applies them to the calls of all sockets of this process."""

    def __init__(self, seed: int = 1) -> None:
        self.chance = random.Random(seed)
        self.faults: list[Fault] = []
        self.call_limits: dict[tuple[str, int], int] = {}
        self.send_limits: dict[int, int] = {}
        self.originals = {name: getattr(socket.socket, name) for name in PATCHED}
        self.overridden = {
            name: socket.socket.__dict__[name] for name in PATCHED if name in socket.socket.__dict__
        }

    def fail(self, call: str, error: str, port: int = 0, times: float = float("inf")) -> Fault:
        """Have the next `times` of these calls fail with the error of this name."""
        takes = call == "accept" and error in LOST_WITH_ACCEPT
        fault = Fault(call, getattr(errno, error), port, times, takes)
        self.faults.append(fault)
        return fault

    def limit_call_size(self, call: str, port: int, max_bytes: int) -> None:
        """Limit each `send` or `recv` with this port to a random 1 to `max_bytes`, or raise EAGAIN."""
        self.call_limits[call, port] = max_bytes

    def limit_sends(self, port: int, max_bytes: int) -> None:
        """Let sends on connections with this port accept `max_bytes` more in total, then raise EAGAIN."""
        self.send_limits[port] = max_bytes

    def unlimit_sends(self, port: int) -> None:
        """Lift the limit of `limit_sends`."""
        del self.send_limits[port]

    def __enter__(self) -> FaultySockets:
        for name in PATCHED:
            setattr(socket.socket, name, self._wrapped(name))
        return self

    def __exit__(self, *_: object) -> None:
        for name in PATCHED:
            if name in self.overridden:
                setattr(socket.socket, name, self.overridden[name])
            else:
                delattr(socket.socket, name)

    def _wrapped(self, name: str) -> Any:
        handler, original = getattr(self, "_" + name.strip("_")), self.originals[name]

        def call(sock: socket.socket, *args: Any, **kwargs: Any) -> Any:
            return handler(original, sock, *args, **kwargs)

        return call

    def _fault(self, call: str, port: int) -> Fault | None:
        candidates = (fault for fault in self.faults if fault.call == call and fault.port == port)
        return next((fault for fault in candidates if fault.is_triggered()), None)

    def _init(self, original: Any, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        # A socket object for an accepted descriptor makes no socket(2) call.
        creates_socket = kwargs.get("fileno") is None and len(args) < 4
        fault = self._fault("socket", 0) if creates_socket else None
        if fault is not None:
            raise fault.exception()
        original(sock, *args, **kwargs)

    def _accept(self, original: Any, sock: socket.socket) -> Any:
        fault = self._fault("accept", sock.getsockname()[1])
        if fault is None:
            return original(sock)
        if fault.takes:
            try:
                original(sock)[0].close()
            except BlockingIOError:
                fault.hits -= 1  # no connection is queued that could have a pending error
                raise
        raise fault.exception()

    def _connect(self, original: Any, sock: socket.socket, address: Any) -> Any:
        fault = self._fault("connect", address[1])
        if fault is not None and fault.error == errno.EINTR:
            # An interrupted connect continues in the background.
            sock.connect_ex(address)
        if fault is not None:
            raise fault.exception()
        return original(sock, address)

    def _getsockopt(self, original: Any, sock: socket.socket, *args: Any) -> Any:
        value = original(sock, *args)
        if args != (socket.SOL_SOCKET, socket.SO_ERROR) or value:
            return value
        fault = self._fault("connected", peer_port(sock))
        return value if fault is None else fault.error

    def _sendto(self, original: Any, sock: socket.socket, data: Any, *rest: Any) -> Any:
        fault = self._fault("sendto", rest[-1][1])
        if fault is not None:
            raise fault.exception()
        return original(sock, data, *rest)

    def _send(self, original: Any, sock: socket.socket, data: Any, *flags: Any) -> Any:
        max_bytes = self._call_limit("send", sock) or len(data)
        port = peer_port(sock)
        if port not in self.send_limits:
            return original(sock, data[:max_bytes], *flags)
        max_bytes = min(max_bytes, self.send_limits[port])
        if not max_bytes:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        sent = original(sock, data[:max_bytes], *flags)
        self.send_limits[port] -= sent
        return sent

    def _recv(self, original: Any, sock: socket.socket, size: int, *flags: Any) -> Any:
        max_bytes = self._call_limit("recv", sock)
        return original(sock, min(size, max_bytes) if max_bytes else size, *flags)

    def _call_limit(self, call: str, sock: socket.socket) -> int:
        """The maximum number of bytes for this call, 0 for no limit; raises a planned error instead."""
        port = peer_port(sock)
        fault = self._fault(call, port)
        if fault is not None:
            raise fault.exception()
        max_bytes = self.call_limits.get((call, port), 0)
        if not max_bytes:
            return 0
        if self.chance.random() < 0.2:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return self.chance.randint(1, max_bytes)


def peer_port(sock: socket.socket) -> int:
    """The port of the peer, 0 if there is none."""
    try:
        return sock.getpeername()[1]
    except (OSError, IndexError):
        return 0
