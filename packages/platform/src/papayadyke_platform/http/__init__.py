"""An HTTP server in threads of this process."""

from papayadyke_platform.http._server import (
    BodyError,
    CloseConnection,
    Handler,
    HttpAnswer,
    HttpLimits,
    HttpRequest,
    HttpServer,
)

__all__ = [
    "BodyError",
    "CloseConnection",
    "Handler",
    "HttpAnswer",
    "HttpLimits",
    "HttpRequest",
    "HttpServer",
]
