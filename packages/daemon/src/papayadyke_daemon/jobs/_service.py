"""The service that owns the jobs of this VM's partitions."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from papayadyke_core.jobs import TaskDone, job_view
from papayadyke_core.journal import AppendResult, JobCancelled
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.jobs import _refusals as refusals
from papayadyke_daemon.jobs._appender import Appender
from papayadyke_daemon.jobs._models import JobModel
from papayadyke_daemon.jobs._starts import OnPermission, StartAuthorizer
from papayadyke_daemon.jobs._submissions import JobResult, Reply, Submissions
from papayadyke_daemon.jobs._table import (
    JobTable,
    PartitionJobs,
    job_partition,
    rebuild_jobs,
)
from papayadyke_daemon.jobs._tracker import JobTracker
from papayadyke_daemon.jobs._types import JobHooks, JobSettings, JobStatus
from papayadyke_daemon.journal import JournalWriter, Replay
from papayadyke_daemon.mailbox import Mailbox

PURGE_INTERVAL_S = 60.0
REPLY_MARGIN_S = 60.0


@dataclass(slots=True)
class _Waiter:
    job_id: str
    due_s: float
    reply: Reply


class JobService:
    """Accept jobs, track them until they end, and report their state.

    Parameters
    ----------
    journal : JournalWriter
    settings : JobSettings
    hooks : JobHooks
    clock : callable, default=time.monotonic

    Notes
    -----
    All state belongs to one thread. The public methods post to it; `submit`,
    `get` and `cancel` wait for the reply.
    """

    def __init__(
        self,
        journal: JournalWriter,
        settings: JobSettings,
        hooks: JobHooks,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._table = JobTable()
        self._mailbox = Mailbox("jobs", self._tick, clock=clock)
        appender = Appender(
            journal, self._mailbox, self._table, settings.append_wait_s, clock
        )
        self._appender = appender
        self._submissions = Submissions(
            self._table, appender, hooks.find_workload, settings.max_jobs
        )
        self._start_authorizer = StartAuthorizer(
            self._table, appender, settings.unlogged_start_s, clock
        )
        self._tracker = JobTracker(
            self._table, appender, settings, hooks, self._post_done, clock
        )
        self._waiters: list[_Waiter] = []
        self._next_purge_s = 0.0
        journal.add_fenced_listener(self.drop)

    def start(self) -> None:
        """Start the thread."""
        self._mailbox.start()

    def stop(self) -> None:
        """Stop the thread, after a reply to every waiting caller."""
        self._mailbox.post(self._reply_to_all)
        self._mailbox.stop()

    def adopt(self, replay: Replay) -> None:
        """Add the jobs of a partition that this VM took over."""
        partition_jobs = rebuild_jobs(replay)
        self._mailbox.post(lambda: self._adopt(replay.partition, partition_jobs))

    def drop(self, partition: int) -> None:
        """Remove the jobs of a partition that this VM no longer owns."""
        self._mailbox.post(lambda: self._drop(partition))

    def submit(self, model: JobModel) -> JobResult:
        """Accept a job; return once it is durable and survives the loss of this VM.

        Parameters
        ----------
        model : JobModel

        Returns
        -------
        result : Result of JobStatus or Refusal
            A repeated idempotency key returns the job that it created. A refusal
            with `not_run` means that the job is not in the log and never will be.
        """
        return self._call(
            lambda reply: self._submissions.submit(model, reply),
            self.settings.append_wait_s,
            Err(refusals.may_be_stored()),
        )

    def get(self, job_id: str, *, wait_s: float = 0.0) -> JobResult:
        """Return a job, after waiting for its end for at most `wait_s` seconds."""
        wait_s = min(max(wait_s, 0.0), self.settings.max_wait_s)
        return self._call(
            lambda reply: self._get(job_id, wait_s, reply),
            wait_s,
            Err(refusals.owner_unreachable(Verdict.MAY_HAVE_RUN)),
        )

    def cancel(self, job_id: str, *, wait_s: float = 0.0) -> JobResult:
        """Cancel a job; its tasks show which of them had run.

        Parameters
        ----------
        job_id : str
        wait_s : float, default=0.0
            Seconds to wait at most for the running tasks to stop.
        """
        wait_s = min(max(wait_s, 0.0), self.settings.max_wait_s)
        return self._call(
            lambda reply: self._cancel(job_id, wait_s, reply),
            wait_s + self.settings.append_wait_s,
            Err(refusals.not_cancelled()),
        )

    def authorize_start(
        self, task_id: str, upstream: str, boot_id: str, on_reply: OnPermission
    ) -> None:
        """Request permission to send a placed attempt to its upstream.

        Parameters
        ----------
        task_id : str
        upstream : str
        boot_id : str
            Boot id of the upstream in the session of the start; empty if it is
            unknown.
        on_reply : callable
            Called on the service's thread with whether the attempt may be sent.
            After False the attempt must not be sent, and the caller has to call
            its `on_done` with `NOT_STARTED`.
        """
        self._mailbox.post(
            lambda: self._start_authorizer.authorize(
                task_id, upstream, boot_id, on_reply
            )
        )

    def _call(
        self, request: Callable[[Reply], None], wait_s: float, timeout_result: JobResult
    ) -> JobResult:
        replies: queue.SimpleQueue[JobResult] = queue.SimpleQueue()
        self._mailbox.post(lambda: request(replies.put))
        try:
            return replies.get(timeout=wait_s + REPLY_MARGIN_S)
        except queue.Empty:
            return timeout_result

    def _post_done(self, done: TaskDone) -> None:
        self._mailbox.post(lambda: self._tracker.finish(done))

    def _adopt(self, partition: int, partition_jobs: PartitionJobs) -> None:
        self._table.partitions[partition] = partition_jobs
        self._table.mark_changed(partition_jobs.open_ids)

    def _drop(self, partition: int) -> None:
        self._submissions.drop(partition)
        partition_jobs = self._table.partitions.pop(partition, None)
        if partition_jobs is not None:
            self._tracker.drop(partition_jobs)

    def _reply_to_all(self) -> None:
        self._submissions.drop_all()
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.reply(self._show(waiter.job_id))

    def _show(self, job_id: str) -> JobResult:
        partition = job_partition(job_id)
        if partition is not None and partition not in self._table.partitions:
            return Err(refusals.owner_unreachable(Verdict.MAY_HAVE_RUN))
        owned = self._table.find(job_id)
        if owned is None:
            return Err(refusals.unknown_job(job_id))
        return Ok(JobStatus(job_id, job_view(owned.job)))

    def _get(self, job_id: str, wait_s: float, reply: Reply) -> None:
        owned = self._table.find(job_id)
        if owned is None:
            self._reply_unknown(job_id, reply)
        elif owned.job.is_finished or wait_s <= 0.0:
            reply(self._show(job_id))
        else:
            self._waiters.append(_Waiter(job_id, self._clock() + wait_s, reply))

    def _reply_unknown(self, job_id: str, reply: Reply) -> None:
        """Report a job as unknown after an append has proved the ownership.

        Without the proof, a successor may have accepted the job without this VM
        having noticed the takeover.
        """
        partition = job_partition(job_id)
        if partition is None or partition not in self._table.partitions:
            reply(self._show(job_id))
            return

        def settled(result: AppendResult, at_s: float) -> None:
            if result is AppendResult.DURABLE:
                reply(self._show(job_id))
            else:
                reply(Err(refusals.owner_unreachable(Verdict.MAY_HAVE_RUN)))

        self._appender.append(partition, (), settled, may_expire=True)

    def _cancel(self, job_id: str, wait_s: float, reply: Reply) -> None:
        owned = self._table.find(job_id)
        entry = None if owned is None else owned.job.cancel()
        if entry is None:
            self._get(job_id, wait_s, reply)
            return
        self._appender.append_for(
            job_id,
            (entry,),
            lambda result, at_s: self._cancelled(entry, wait_s, reply, result, at_s),
            may_expire=True,
        )

    def _cancelled(
        self,
        entry: JobCancelled,
        wait_s: float,
        reply: Reply,
        result: AppendResult,
        at_s: float,
    ) -> None:
        if result is not AppendResult.DURABLE:
            reply(Err(refusals.not_cancelled()))
            return
        self._table.apply(entry, at_s)
        self._tracker.advance_changed()
        self._get(entry.job_id, wait_s, reply)

    def _tick(self, now: float) -> float | None:
        next_due_s = self._tracker.step(now)
        self._reply_to_due_waiters(now)
        if now >= self._next_purge_s:
            self._next_purge_s = now + PURGE_INTERVAL_S
            for partition_jobs in self._table.partitions.values():
                partition_jobs.purge(partition_jobs.log_time_s(now))
        times = [waiter.due_s for waiter in self._waiters]
        if next_due_s is not None:
            times.append(next_due_s)
        return min(times, default=None)

    def _reply_to_due_waiters(self, now: float) -> None:
        remaining: list[_Waiter] = []
        for waiter in self._waiters:
            owned = self._table.find(waiter.job_id)
            if owned is None or owned.job.is_finished or now >= waiter.due_s:
                waiter.reply(self._show(waiter.job_id))
            else:
                remaining.append(waiter)
        self._waiters = remaining
