"""Following jobs to their outcomes: orders, stops, resolutions and ends."""

from __future__ import annotations

from collections.abc import Callable

from papayadyke_core.jobs import Job, TaskDone, TaskResult, parse_task_id
from papayadyke_core.journal import AppendResult, TaskEnded
from papayadyke_daemon.jobs._agenda import Agenda
from papayadyke_daemon.jobs._appender import Appender
from papayadyke_daemon.jobs._book import FoundJob, JobBook, JobPartition
from papayadyke_daemon.jobs._types import JobHooks, JobSettings, OnDone

LONGEST_SLEEP_S = 60.0


class Follower:
    """Does for each job whatever can be done at a moment.

    Parameters
    ----------
    book : JobBook
    appender : Appender
    settings : JobSettings
    hooks : JobHooks
    on_done : callable
        Brings the end of an attempt back to the service's thread.
    clock : callable
    """

    def __init__(
        self,
        book: JobBook,
        appender: Appender,
        settings: JobSettings,
        hooks: JobHooks,
        on_done: OnDone,
        clock: Callable[[], float],
    ) -> None:
        self._book = book
        self._appender = appender
        self._settings = settings
        self._hooks = hooks
        self._on_done = on_done
        self._clock = clock
        self._agenda = Agenda()
        self._asked_s: dict[str, float] = {}

    def drop(self, part: JobPartition) -> None:
        """Follow the jobs of a partition no longer."""
        self._agenda.discard(part.open_ids)

    def step(self, now: float) -> float | None:
        """Look at what has changed or is due; return the next due time."""
        self._book.mark_changed(self._agenda.pop_due(now))
        self.advance_changed()
        return self._agenda.next_s()

    def advance_changed(self) -> None:
        """Look at each job that has changed."""
        for job_id in self._book.take_changed():
            found = self._book.find(job_id)
            if found is not None and not found.job.is_over:
                self._advance(found)

    def finish(self, done: TaskDone) -> None:
        """Take in the end of an attempt."""
        parsed = parse_task_id(done.task_id)
        found = None if parsed is None else self._book.find(parsed[0])
        if parsed is None or found is None:
            return
        now_s = found.part.log_time_s(self._clock())
        ended = found.job.finish(parsed[1], parsed[2], done, now_s)
        self._append_outcomes(found.job, ended)
        self._book.mark_changed([found.job.id])
        if done.result is not TaskResult.LOST:
            self._asked_s.pop(done.task_id, None)

    def _append_outcomes(self, job: Job, ended: list[TaskEnded]) -> None:
        if not ended:
            return

        def settled(result: AppendResult, at_s: float) -> None:
            if result is AppendResult.DURABLE:
                for entry in ended:
                    self._book.apply(entry, at_s)

        self._appender.append_for(job.id, ended, settled, gives_up=False)

    def _advance(self, found: FoundJob) -> None:
        settings, job = self._settings, found.job
        now = self._clock()
        now_s = found.part.log_time_s(now)
        ended = job.lapse(now_s, settings.lease_run_out_s, settings.unlogged_start_s)
        ended += job.settle(now_s)
        self._append_outcomes(job, ended)
        for task_id in job.tasks_to_stop(now_s):
            self._hooks.stop_task(task_id)
        room = settings.max_ordered - job.ordered_count()
        for order in job.order(now_s, now, room):
            self._hooks.submit_task(order, self._on_done)
        self._resolve(job, now)
        self._agenda.set(job.id, self._next_look_s(found, now))

    def _resolve(self, job: Job, now: float) -> None:
        for item in job.unresolved():
            asked_s = self._asked_s.get(item.task_id)
            interval_s = self._settings.resolve_interval_s
            if asked_s is None or now - asked_s >= interval_s:
                self._asked_s[item.task_id] = now
                self._hooks.resolve_task(item.task_id, item.upstream, self._on_done)

    def _next_look_s(self, found: FoundJob, now: float) -> float:
        job = found.job
        offset_s = now - found.part.log_time_s(now)
        times = [job.deadline_s + offset_s]
        order_s = job.next_order_s()
        if order_s is not None:
            times.append(order_s + offset_s)
        if job.unresolved():
            times.append(now + self._settings.resolve_interval_s)
        # A time that has passed waits for a message, not for the clock.
        later = [time_s for time_s in times if time_s > now]
        return min(later, default=now + LONGEST_SLEEP_S)
