"""Reply types, errors and handlers shared by all calls between daemons."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec import Struct

from papayadyke_core.verdicts import Verdict


class Ack(Struct, tag="ack", frozen=True, array_like=True):
    """Confirm that the message was handled; carries no data."""


class Busy(Struct, tag="busy", frozen=True, array_like=True):
    """Refuse a call because too many are being served; nothing ran."""


class Unsupported(Struct, tag="unsupported", frozen=True, array_like=True):
    """Refuse a message of unknown type or that cannot be decoded; nothing ran."""


class Failed(Struct, tag="failed", frozen=True, array_like=True):
    """Report that the handler raised; it may have done part of its work."""


@dataclass(frozen=True, slots=True)
class CallError:
    """Describe a call that brought no valid reply.

    Parameters
    ----------
    verdict : Verdict
        `NOT_RUN` only if the peer's handler certainly did not and will not receive
        the message.
    detail : str
    """

    verdict: Verdict
    detail: str


@dataclass(frozen=True, slots=True)
class Handler:
    """Bind a function to the message type that it serves.

    Parameters
    ----------
    message : type
        A tagged `msgspec.Struct`.
    function : callable
        Called with the message and the name of the sending VM; returns the reply
        (a tagged `msgspec.Struct`), or None for an `Ack`.
    is_slow : bool, default=False
        Whether the handler runs in a thread pool. Other handlers run in the
        receiving thread and must return at once.
    """

    message: type[Struct]
    function: Callable[[Any, str], Struct | None]
    is_slow: bool = False
