"""Types that every call between daemons shares."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from msgspec import Struct

from papayadyke_core.verdicts import Verdict


class Ack(Struct, tag="ack", frozen=True, array_like=True):
    """The message was taken."""


class Busy(Struct, tag="busy", frozen=True, array_like=True):
    """Too many calls are being served; this one was not."""


class Unsupported(Struct, tag="unsupported", frozen=True, array_like=True):
    """The message is of no known type, or not well formed; nothing was done."""


class Failed(Struct, tag="failed", frozen=True, array_like=True):
    """The handler raised; it may have done part of its work."""


@dataclass(frozen=True, slots=True)
class CallError:
    """A call that brought no reply.

    Parameters
    ----------
    verdict : Verdict
        `NOT_RUN` only where the peer's handler surely did not and will not see
        the message.
    detail : str
    """

    verdict: Verdict
    detail: str


@dataclass(frozen=True, slots=True)
class Handler:
    """What serves one type of message.

    Parameters
    ----------
    message : type
        A tagged `msgspec.Struct`.
    function : callable
        Takes the message and the name of the sending VM, returns the reply (a
        tagged `msgspec.Struct`) or None for an `Ack`.
    is_slow : bool, default=False
        Served by a thread of its own. Others are served by the thread that
        receives, and return at once.
    """

    message: type[Struct]
    function: Callable[[Any, str], Struct | None]
    is_slow: bool = False
