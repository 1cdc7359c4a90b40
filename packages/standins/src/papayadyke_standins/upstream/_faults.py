"""Faults that a test can request from a stand-in upstream."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults in effect until they are replaced.

    Parameters
    ----------
    fail_all : bool, default=False
        Fail every task immediately.
    slow_factor : float, default=1.0
        Factor applied to run times.
    silent_old : bool, default=False
        Leave requests unanswered on the connections that are open when the fault is
        set; new connections work.
    silent_all : bool, default=False
        Leave every request unanswered.
    late_answer_s : float, default=0.0
        Delay in seconds between the end of a task and its answer.
    lose_answers : bool, default=False
        Close the connection instead of answering.
    """

    fail_all: bool = False
    slow_factor: float = 1.0
    silent_old: bool = False
    silent_all: bool = False
    late_answer_s: float = 0.0
    lose_answers: bool = False
