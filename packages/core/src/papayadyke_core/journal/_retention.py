"""Retention of log entries: selects what a snapshot contains.

Entries are grouped by idempotency key or job. A group is removed as a whole once
its retention time has passed, so a replay never rebuilds part of a job.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from papayadyke_core.journal._entries import (
    Entry,
    JobAccepted,
    KeyClaimed,
    KeyRecorded,
    KeyReleased,
    Takeover,
    TaskEnded,
    TimedEntry,
)

KEY_RETENTION_S = 24 * 3600.0
OPEN_KEY_RETENTION_S = 8 * 24 * 3600.0
ANSWER_RETENTION_S = 3600.0
JOB_RETENTION_S = 24 * 3600.0


@dataclass(slots=True)
class _EntryGroup:
    entries: list[TimedEntry] = field(default_factory=list)
    unfinished_tasks: int = 0
    opened_at_s: float = 0.0
    ended_at_s: float | None = None


class RetainedEntries:
    """Entries of one partition that a successor needs to rebuild its state.

    Notes
    -----
    A key is kept for `KEY_RETENTION_S` after the end of its request. While no end
    is known, it is kept for `OPEN_KEY_RETENTION_S` after its claim, which is longer
    than any timeout. The body of an answer is kept for `ANSWER_RETENTION_S`, and
    a job for `JOB_RETENTION_S` after its last outcome. All times are log times.
    """

    def __init__(self) -> None:
        self._keys: dict[str, _EntryGroup] = {}
        self._jobs: dict[str, _EntryGroup] = {}

    def __len__(self) -> int:
        groups = [*self._keys.values(), *self._jobs.values()]
        return sum(len(group.entries) for group in groups)

    def apply(self, entry: Entry, at_s: float) -> None:
        """Apply an entry of the log, given its log time in seconds."""
        if isinstance(entry, Takeover):
            return
        timed = TimedEntry(at_s, entry)
        if isinstance(entry, KeyReleased):
            self._keys.pop(entry.key, None)
        elif isinstance(entry, KeyClaimed):
            self._keys[entry.key] = _EntryGroup([timed], opened_at_s=at_s)
        elif isinstance(entry, JobAccepted):
            self._jobs[entry.job_id] = _EntryGroup([timed], len(entry.payloads))
        else:
            self._append_to_group(entry, timed)

    def _append_to_group(self, entry: Entry, timed: TimedEntry) -> None:
        job_id = getattr(entry, "job_id", None)
        group = (
            self._keys.get(getattr(entry, "key", ""))
            if job_id is None
            else self._jobs.get(job_id)
        )
        if group is None:
            return
        group.entries.append(timed)
        if isinstance(entry, KeyRecorded):
            group.ended_at_s = timed.at_s
        elif isinstance(entry, TaskEnded):
            group.unfinished_tasks -= 1
            if group.unfinished_tasks == 0:
                group.ended_at_s = timed.at_s
                group.entries = [
                    _without_payloads(timed_entry) for timed_entry in group.entries
                ]

    def remove_expired(self, now_s: float) -> None:
        """Remove groups and answer bodies whose retention time has passed.

        Parameters
        ----------
        now_s : float
            Log time in seconds.
        """
        self._keys = {
            key: group
            for key, group in self._keys.items()
            if not is_key_expired(group.opened_at_s, group.ended_at_s, now_s)
        }
        self._jobs = {
            job_id: group
            for job_id, group in self._jobs.items()
            if not is_retention_over(group.ended_at_s, JOB_RETENTION_S, now_s)
        }
        for group in self._keys.values():
            group.entries = [
                _drop_expired_body(timed, now_s) for timed in group.entries
            ]

    def __iter__(self) -> Iterator[TimedEntry]:
        for group in self._keys.values():
            yield from group.entries
        for group in self._jobs.values():
            yield from group.entries


def is_retention_over(since_s: float | None, retention_s: float, now_s: float) -> bool:
    """Return whether a retention time has passed since a log time."""
    return since_s is not None and now_s - since_s > retention_s


def is_key_expired(
    opened_at_s: float | None, ended_at_s: float | None, now_s: float
) -> bool:
    """Return whether the retention time of a key has passed at a log time."""
    if ended_at_s is not None:
        return is_retention_over(ended_at_s, KEY_RETENTION_S, now_s)
    return is_retention_over(opened_at_s, OPEN_KEY_RETENTION_S, now_s)


def _without_payloads(timed: TimedEntry) -> TimedEntry:
    if not isinstance(timed.entry, JobAccepted):
        return timed
    return TimedEntry(timed.at_s, timed.entry.without_payloads())


def _drop_expired_body(timed: TimedEntry, now_s: float) -> TimedEntry:
    entry = timed.entry
    if not isinstance(entry, KeyRecorded) or entry.answer is None:
        return timed
    if not entry.answer.kept or not is_retention_over(
        timed.at_s, ANSWER_RETENTION_S, now_s
    ):
        return timed
    stripped = msgspec.structs.replace(entry, answer=entry.answer.without_body())
    return TimedEntry(timed.at_s, stripped)
