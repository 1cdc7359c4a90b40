"""Threaded HTTP server and client for small requests."""

from papayadyke_clients.http._exchange import ExchangeError, HttpExchange, HttpReply
from papayadyke_clients.http._server import (
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
    "ExchangeError",
    "Handler",
    "HttpAnswer",
    "HttpExchange",
    "HttpLimits",
    "HttpReply",
    "HttpRequest",
    "HttpServer",
]
