"""The HTTP library's handler of one connection, with its own way to report errors replaced."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dunepulley.net.tracebacks import drop_tracebacks


class HttpHandler(RequestHandler):
    """Handles the requests of one connection.

    The library logs an error with its traceback for each request that it cannot parse, and so keeps the
    request in memory until the garbage collector runs. Here such a request is only counted, like any other
    that is rejected.

    Args:
        count_rejection: called with the status and the reason of each response to such a request.
    """

    __slots__ = ("_count_rejection",)

    def __init__(self, manager: Any, count_rejection: Callable[[int, str], None], **options: Any) -> None:
        super().__init__(manager, **options)
        self._count_rejection = count_rejection

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that could not be parsed, or whose handler failed."""
        if status >= web.HTTPInternalServerError.status_code:
            return super().handle_error(request, status, exc, message)
        drop_tracebacks(exc)
        self._count_rejection(status, "the request cannot be parsed")
        response = web.Response(status=status)
        response.force_close()
        return response
