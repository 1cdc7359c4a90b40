"""Faults that a test can order from a stand-in upstream."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What goes wrong until other faults are ordered.

    Parameters
    ----------
    fail_all : bool, default=False
        Every task ends at once as failed.
    slow_factor : float, default=1.0
        Run times are multiplied by it.
    silent_old : bool, default=False
        Requests on connections that are open now get no answer; new
        connections work.
    silent_all : bool, default=False
        No request gets an answer.
    late_answer_s : float, default=0.0
        An answer leaves this many seconds after its task has ended.
    lose_answers : bool, default=False
        The connection is closed in place of the answer.
    """

    fail_all: bool = False
    slow_factor: float = 1.0
    silent_old: bool = False
    silent_all: bool = False
    late_answer_s: float = 0.0
    lose_answers: bool = False
