"""Outcomes of storing a job or a cancellation."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from papayadyke_daemon.edge._ports import Record


class IntakeOutcome(StrEnum):
    """Outcome of storing a job or a cancellation.

    After `REFUSED` it is certainly not stored; after `UNKNOWN` it may be. After
    `OTHER_TEAM` it is not stored, because the job's id is that of another team's job.
    After `NO_ROOM` it is not stored, because there is no memory for another job, and
    after `OWNER_UNKNOWN`, because the configuration does not tell who may cancel it.
    After `TOO_LARGE` it is not stored, because its records would not fit into values of
    the store, and after `CANCELLED`, because it was cancelled before it was stored.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no_such_job"
    OTHER_TEAM = "other_team"
    NO_ROOM = "no_room"
    OWNER_UNKNOWN = "owner_unknown"
    CANCELLED = "cancelled"
    TOO_LARGE = "too_large"


# Outcomes of a relay that hold whatever the relaying VM has tried itself.
FINAL_RELAY_OUTCOMES = frozenset(
    {IntakeOutcome.ACCEPTED, IntakeOutcome.OTHER_TEAM, IntakeOutcome.CANCELLED}
)


@dataclass(frozen=True, slots=True)
class StoreResult:
    """Outcome of a write and its revision, or 0 if the revision is unknown.

    `existing_records` are those that the store returned if keys of the write already
    existed; None if they did not.
    """

    outcome: IntakeOutcome
    revision: int = 0
    existing_records: tuple[Record, ...] | None = None
