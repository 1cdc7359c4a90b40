"""What a job waited for and what slowed it down, in seconds by cause."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

MIN_DELAY_S = 0.001  # shorter delays are not worth a place in a log line


class DelayCause(StrEnum):
    """Cause of a delay.

    The first group is what a step waits for before its tasks start, the second what
    takes time afterwards.
    """

    CONFIGURATION = "configuration"  # it lacks the queue or the team, or their limits
    TAKEOVER = "takeover"  # it may still run under an earlier decider
    NO_UPSTREAM = "no_upstream"  # its service has no upstream that accepts runs
    ROOM = "room"
    RESERVED_ROOM = "reserved_room"  # room is kept for gangs or urgent work
    FASTER_UPSTREAM = "faster_upstream"  # it would be late on those with room
    TICKET = "ticket"
    TEAM_LIMIT = "team_limit"
    UNANSWERED_START = "unanswered_start"  # it may still start where it was sent
    SUSPECT = "suspect"  # it may have crashed upstreams and starts apart
    BROKEN_GANG = "broken_gang"  # members of an earlier attempt are being stopped

    LOST_RUN = "lost_run"  # a run failed, broke or was lost, and its time with it
    SLOW_UPSTREAM = "slow_upstream"
    LONG_RUN = "long_run"  # it took longer than its like at the same speed
    STORE = "store"  # its end was known and not stored yet


class JobDelays:
    """Seconds that each cause has cost a job.

    Delays of steps and tasks that overlap are counted separately, so that the sum may
    exceed the age of the job; the largest one tells what to look at.
    """

    def __init__(self) -> None:
        self._seconds: dict[DelayCause, float] = {}

    def add(self, cause: DelayCause, seconds: float) -> None:
        """Add the seconds of a delay; negative ones are ignored."""
        if seconds > 0:
            self._seconds[cause] = self._seconds.get(cause, 0.0) + seconds

    def get(self, cause: DelayCause) -> float:
        """Return the seconds that a cause has cost."""
        return self._seconds.get(cause, 0.0)

    def list_seconds(self) -> Mapping[DelayCause, float]:
        """Return the seconds by cause, the largest first, without negligible ones."""
        rows = [row for row in self._seconds.items() if row[1] >= MIN_DELAY_S]
        return dict(sorted(rows, key=lambda row: -row[1]))


class StepWait:
    """What a step with waiting tasks waits for, and since when.

    Parameters
    ----------
    delays : JobDelays
        Delays of its job.
    """

    __slots__ = ("_cause", "_delays", "_lost_until_s", "_since_s")

    def __init__(self, delays: JobDelays) -> None:
        self._delays = delays
        self._cause: DelayCause | None = None
        self._since_s = 0.0
        self._lost_until_s = 0.0

    def record(self, cause: DelayCause, now: float) -> None:
        """Record what the step waits for from now on."""
        self.end(now)
        self._cause, self._since_s = cause, now

    def end(self, now: float) -> None:
        """Record that the step no longer waits."""
        if self._cause is not None:
            self._delays.add(self._cause, now - self._since_s)
            self._cause = None

    def record_lost_run(self, started_s: float, now: float) -> None:
        """Record that the time of a run was lost; time of several counts once."""
        begin_s = max(started_s, self._lost_until_s)
        self._delays.add(DelayCause.LOST_RUN, now - begin_s)
        self._lost_until_s = max(self._lost_until_s, now)
