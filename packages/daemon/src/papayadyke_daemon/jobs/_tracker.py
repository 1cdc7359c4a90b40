"""Job tracking: orders, stops, resolutions and outcomes of tasks."""

from __future__ import annotations

from collections.abc import Callable

from papayadyke_core.jobs import Job, TaskDone, TaskResult, parse_task_id
from papayadyke_core.journal import AppendResult, TaskEnded
from papayadyke_daemon.jobs._appender import Appender
from papayadyke_daemon.jobs._due_queue import DueQueue
from papayadyke_daemon.jobs._table import JobTable, OwnedJob, PartitionJobs
from papayadyke_daemon.jobs._types import JobHooks, JobSettings, OnDone

MAX_CHECK_INTERVAL_S = 60.0


class JobTracker:
    """Advance each job that has changed or is due until all its tasks have ended.

    Parameters
    ----------
    table : JobTable
    appender : Appender
    settings : JobSettings
    hooks : JobHooks
    on_done : callable
        Posts the end of an attempt to the service's thread.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        table: JobTable,
        appender: Appender,
        settings: JobSettings,
        hooks: JobHooks,
        on_done: OnDone,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._appender = appender
        self._settings = settings
        self._hooks = hooks
        self._on_done = on_done
        self._clock = clock
        self._due_queue = DueQueue()
        self._resolve_requested_s: dict[str, float] = {}

    def drop(self, partition_jobs: PartitionJobs) -> None:
        """Stop tracking the jobs of a partition."""
        self._due_queue.discard(partition_jobs.open_ids)

    def step(self, now: float) -> float | None:
        """Advance the jobs that have changed or are due; return the next due time."""
        self._table.mark_changed(self._due_queue.pop_due(now))
        self.advance_changed()
        return self._due_queue.next_due_s()

    def advance_changed(self) -> None:
        """Advance each unfinished job that has changed."""
        for job_id in self._table.pop_changed():
            owned = self._table.find(job_id)
            if owned is not None and not owned.job.is_finished:
                self._advance(owned)

    def finish(self, done: TaskDone) -> None:
        """Record the end of an attempt."""
        parsed = parse_task_id(done.task_id)
        owned = None if parsed is None else self._table.find(parsed[0])
        if parsed is None or owned is None:
            return
        now_s = owned.partition_jobs.log_time_s(self._clock())
        ended = owned.job.end_attempt(parsed[1], parsed[2], done, now_s)
        self._append_outcomes(owned.job, ended)
        self._table.mark_changed([owned.job.id])
        if done.result is not TaskResult.LOST:
            self._resolve_requested_s.pop(done.task_id, None)

    def _append_outcomes(self, job: Job, ended: list[TaskEnded]) -> None:
        if not ended:
            return

        def settled(result: AppendResult, at_s: float) -> None:
            if result is AppendResult.DURABLE:
                for entry in ended:
                    self._table.apply(entry, at_s)

        self._appender.append_for(job.id, ended, settled, may_expire=False)

    def _advance(self, owned: OwnedJob) -> None:
        settings, job = self._settings, owned.job
        now = self._clock()
        now_s = owned.partition_jobs.log_time_s(now)
        ended = job.expire_leases(
            now_s, settings.lease_expiry_s, settings.unlogged_start_s
        )
        ended += job.decide_outcomes(now_s)
        self._append_outcomes(job, ended)
        for task_id in job.tasks_to_stop(now_s):
            self._hooks.stop_task(task_id)
        max_tasks = settings.max_ordered - job.ordered_count()
        for order in job.make_orders(now_s, now, max_tasks):
            self._hooks.submit_task(order, self._on_done)
        self._resolve(job, now)
        self._due_queue.set(job.id, self._next_check_s(owned, now))

    def _resolve(self, job: Job, now: float) -> None:
        for attempt in job.unresolved():
            requested_s = self._resolve_requested_s.get(attempt.task_id)
            interval_s = self._settings.resolve_interval_s
            if requested_s is None or now - requested_s >= interval_s:
                self._resolve_requested_s[attempt.task_id] = now
                self._hooks.resolve_task(
                    attempt.task_id, attempt.upstream, attempt.boot_id, self._on_done
                )

    def _next_check_s(self, owned: OwnedJob, now: float) -> float:
        job = owned.job
        offset_s = now - owned.partition_jobs.log_time_s(now)
        times_s = [job.deadline_s + offset_s]
        order_s = job.next_order_s()
        if order_s is not None:
            times_s.append(order_s + offset_s)
        if job.unresolved():
            times_s.append(now + self._settings.resolve_interval_s)
        # After a time has passed, progress depends on a message, not on a timer.
        future_s = [time_s for time_s in times_s if time_s > now]
        return min(future_s, default=now + MAX_CHECK_INTERVAL_S)
