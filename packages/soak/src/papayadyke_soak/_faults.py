"""Series of faults that overlap, drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import StrEnum


class FaultKind(StrEnum):
    """Faults that are injected from outside the processes."""

    VM_KILL = "vm_kill"
    VM_PAUSE = "vm_pause"
    VM_STOP = "vm_stop"
    ALL_KILL = "all_kill"
    RELOAD = "reload"
    DECIDER_KILL = "decider_kill"
    DECIDER_PAUSE = "decider_pause"
    STORE_BUSY = "store_busy"
    STORE_CLOSED = "store_closed"
    STORE_LOST = "store_lost"
    STORE_SLOW = "store_slow"
    STORE_COMPACT = "store_compact"
    STORE_LINK_SILENT = "store_link_silent"
    STORE_LINK_RESET = "store_link_reset"
    STORE_LINK_NO_ANSWERS = "store_link_no_answers"
    STORE_LINK_SLOW = "store_link_slow"
    UPSTREAM_CRASH = "upstream_crash"
    UPSTREAM_LATE = "upstream_late"
    UPSTREAM_FAILS = "upstream_fails"
    UPSTREAM_LINK_SILENT = "upstream_link_silent"
    UPSTREAM_LINK_RESET = "upstream_link_reset"
    UPSTREAM_LINK_NO_ANSWERS = "upstream_link_no_answers"
    UPSTREAM_DRAIN = "upstream_drain"
    UPSTREAM_SHRINK = "upstream_shrink"
    CONFIG_CHANGE = "config_change"
    CALLER_LINK_RESET = "caller_link_reset"
    # Upstreams crash, are back under their old ids and are cut off shortly after or
    # before, while calls are delayed.
    UPSTREAM_RECUT = "upstream_recut"


ALL_KINDS = tuple(FaultKind)
# Seconds of a calm beginning, before the first fault.
CALM_S = 3.0
SERIES_GAP_S = 2.5  # mean seconds between two series
SERIES_MOST = 4  # faults of one series; they overlap
SERIES_SPREAD_S = 1.5  # seconds within which a series begins
LENGTH_S = (0.2, 6.0)  # seconds that a fault lasts
RECUT_GAP_S = 12.0  # mean seconds between two faults of that kind
CUT_S = (4.0, 9.0)  # seconds that their cuts last


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Parameters
    ----------
    at_s : float
        Seconds from the start of the load.
    kind : FaultKind
    target : int
        Which VM or upstream, modulo their number.
    for_s : float
        How long it lasts, in seconds.
    share : float
        Part of the calls that it hits, where it hits a part.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float
    share: float


def draw_faults(
    rng: random.Random, length_s: float, kinds: Collection[FaultKind] = ALL_KINDS
) -> list[Fault]:
    """Return the faults of a run in order of time.

    Parameters
    ----------
    rng : Random
    length_s : float
        Seconds of the load; no fault lasts beyond it.
    kinds : collection of FaultKind
        Kinds to draw from; all by default.
    """
    in_series = [kind for kind in kinds if kind is not FaultKind.UPSTREAM_RECUT]
    faults = _draw_series(rng, length_s, in_series) if in_series else []
    # Drawn last, so that a seed has the same faults of other kinds as without these.
    if FaultKind.UPSTREAM_RECUT in kinds:
        faults += _draw_recuts(rng, length_s)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_series(
    rng: random.Random, length_s: float, kinds: Sequence[FaultKind]
) -> list[Fault]:
    faults: list[Fault] = []
    at_s = CALM_S
    while at_s < length_s:
        for _ in range(rng.randint(1, SERIES_MOST)):
            begin_s = at_s + rng.uniform(0.0, SERIES_SPREAD_S)
            for_s = min(rng.uniform(*LENGTH_S), max(0.1, length_s - begin_s))
            kind = rng.choice(kinds)
            fault = Fault(begin_s, kind, rng.randrange(1000), for_s, rng.random())
            faults.append(fault)
        at_s += rng.expovariate(1.0 / SERIES_GAP_S)
    return faults


def _draw_recuts(rng: random.Random, length_s: float) -> list[Fault]:
    faults: list[Fault] = []
    at_s = CALM_S
    while at_s < length_s:
        for_s = min(rng.uniform(*CUT_S), max(0.1, length_s - at_s))
        kind = FaultKind.UPSTREAM_RECUT
        faults.append(Fault(at_s, kind, rng.randrange(1000), for_s, rng.random()))
        at_s += rng.expovariate(1.0 / RECUT_GAP_S)
    return faults
