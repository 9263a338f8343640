"""The wire of agents, to the tool and to each other: a line of JSON each way, then the end.

Version 2 has what agents say to each other (docs/design-failover.md); who speaks another gets one line.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import orjson

from dunepulley.net.config import address_of

VERSION = 2
# An answer that shows a thousand workers at twenty dispatchers has about as much.
LIMIT = 4 * 1024 * 1024


class WireError(Exception):
    """No answer that can be used; the text says why in one line."""


class VersionError(WireError):
    """The other side speaks another version."""


def line_of(what: dict[str, Any]) -> bytes:
    """A request or an answer as it goes over the wire."""
    return orjson.dumps({"v": VERSION} | what) + b"\n"


def read(line: bytes, who: str) -> dict[str, Any]:
    """A request or an answer as it came."""
    try:
        what = orjson.loads(line)
    except orjson.JSONDecodeError as problem:
        raise WireError(f"{who} sent no JSON") from problem
    if not isinstance(what, dict) or "v" not in what:
        raise WireError(f"{who} speaks another wire")
    if what["v"] != VERSION:
        text = f"{who} speaks version {str(what['v'])[:20]} of the wire, this is version {VERSION}"
        raise VersionError(text)
    return what


async def ask(address: str, what: dict[str, Any], limit_s: float) -> dict[str, Any]:
    """What an agent answers."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address_of(address), limit=LIMIT)
            writer.write(line_of(what))
            line = await reader.readuntil(b"\n")
    except TimeoutError as problem:
        raise WireError(f"the agent at {address} did not answer within {limit_s:g} s") from problem
    except asyncio.LimitOverrunError as problem:
        raise WireError(f"the agent at {address} answers without end") from problem
    except asyncio.IncompleteReadError as problem:
        raise WireError(f"the agent at {address} ended before its answer did") from problem
    except OSError as problem:
        raise WireError(f"no agent at {address}: {problem.strerror or problem}") from problem
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return read(line, f"the agent at {address}")
