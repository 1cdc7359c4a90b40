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
from papayadyke_daemon.jobs._book import JobBook, JobPartition, job_partition, rebuild
from papayadyke_daemon.jobs._follow import Follower
from papayadyke_daemon.jobs._models import JobModel
from papayadyke_daemon.jobs._starts import OnPermission, Starts
from papayadyke_daemon.jobs._submissions import JobResult, Reply, Submissions
from papayadyke_daemon.jobs._types import JobAnswer, JobHooks, JobSettings
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
    """Accepts jobs, follows them to their outcomes, and tells of them.

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
        self._book = JobBook()
        self._mailbox = Mailbox("jobs", self._tick, clock=clock)
        appender = Appender(
            journal, self._mailbox, self._book, settings.append_wait_s, clock
        )
        self._appender = appender
        self._submissions = Submissions(
            self._book, appender, hooks.find_workload, settings.max_jobs
        )
        self._starts = Starts(self._book, appender, settings.unlogged_start_s, clock)
        self._follower = Follower(
            self._book, appender, settings, hooks, self._post_done, clock
        )
        self._waiters: list[_Waiter] = []
        self._purge_s = 0.0
        journal.add_fenced_listener(self.drop)

    def start(self) -> None:
        """Start the thread."""
        self._mailbox.start()

    def stop(self) -> None:
        """End the thread; whoever waits is told what is known."""
        self._mailbox.post(self._tell_all)
        self._mailbox.stop()

    def adopt(self, replay: Replay) -> None:
        """Own the jobs of a partition that was taken over."""
        part = rebuild(replay)
        self._mailbox.post(lambda: self._adopt(replay.partition, part))

    def drop(self, partition: int) -> None:
        """Own the jobs of a partition no longer."""
        self._mailbox.post(lambda: self._drop(partition))

    def submit(self, model: JobModel) -> JobResult:
        """Accept a job; returns once it will survive the loss of this VM.

        Parameters
        ----------
        model : JobModel

        Returns
        -------
        result : Result of JobAnswer or Refusal
            A repeated idempotency key gets the job that it made. A refusal says
            `not_run` where the job is not in the log and never will be.
        """
        return self._ask(
            lambda reply: self._submissions.submit(model, reply),
            self.settings.append_wait_s,
            Err(refusals.may_be_stored()),
        )

    def get(self, job_id: str, *, wait_s: float = 0.0) -> JobResult:
        """Show a job, waiting for its end for at most `wait_s` seconds."""
        wait_s = min(max(wait_s, 0.0), self.settings.max_wait_s)
        return self._ask(
            lambda reply: self._get(job_id, wait_s, reply),
            wait_s,
            Err(refusals.no_home(Verdict.MAY_HAVE_RUN)),
        )

    def cancel(self, job_id: str, *, wait_s: float = 0.0) -> JobResult:
        """Cancel a job; what had run is seen in its tasks.

        Parameters
        ----------
        job_id : str
        wait_s : float, default=0.0
            Longest time to wait for the running tasks to stop.
        """
        wait_s = min(max(wait_s, 0.0), self.settings.max_wait_s)
        return self._ask(
            lambda reply: self._cancel(job_id, wait_s, reply),
            wait_s + self.settings.append_wait_s,
            Err(refusals.not_cancelled()),
        )

    def authorize_start(
        self, task_id: str, upstream: str, on_reply: OnPermission
    ) -> None:
        """Ask whether a placed attempt may be sent to its upstream.

        Parameters
        ----------
        task_id : str
        upstream : str
        on_reply : callable
            Called on another thread. After False the attempt must not be sent,
            and its `on_done` is called with `NOT_STARTED`.
        """
        self._mailbox.post(lambda: self._starts.authorize(task_id, upstream, on_reply))

    def _ask(
        self, question: Callable[[Reply], None], wait_s: float, late: JobResult
    ) -> JobResult:
        replies: queue.SimpleQueue[JobResult] = queue.SimpleQueue()
        self._mailbox.post(lambda: question(replies.put))
        try:
            return replies.get(timeout=wait_s + REPLY_MARGIN_S)
        except queue.Empty:
            return late

    def _post_done(self, done: TaskDone) -> None:
        self._mailbox.post(lambda: self._follower.finish(done))

    def _adopt(self, partition: int, part: JobPartition) -> None:
        self._book.partitions[partition] = part
        self._book.mark_changed(part.open_ids)

    def _drop(self, partition: int) -> None:
        self._submissions.drop(partition)
        part = self._book.partitions.pop(partition, None)
        if part is not None:
            self._follower.drop(part)

    def _tell_all(self) -> None:
        self._submissions.drop_all()
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.reply(self._show(waiter.job_id))

    def _show(self, job_id: str) -> JobResult:
        partition = job_partition(job_id)
        if partition is not None and partition not in self._book.partitions:
            return Err(refusals.no_home(Verdict.MAY_HAVE_RUN))
        found = self._book.find(job_id)
        if found is None:
            return Err(refusals.unknown_job(job_id))
        return Ok(JobAnswer(job_id, job_view(found.job)))

    def _get(self, job_id: str, wait_s: float, reply: Reply) -> None:
        found = self._book.find(job_id)
        if found is None:
            self._show_unknown(job_id, reply)
        elif found.job.is_over or wait_s <= 0.0:
            reply(self._show(job_id))
        else:
            self._waiters.append(_Waiter(job_id, self._clock() + wait_s, reply))

    def _show_unknown(self, job_id: str, reply: Reply) -> None:
        """Say that there is no such job, once an append proves the ownership.

        A successor may have accepted the job, and this VM not know of it yet.
        """
        partition = job_partition(job_id)
        if partition is None or partition not in self._book.partitions:
            reply(self._show(job_id))
            return

        def settled(result: AppendResult, at_s: float) -> None:
            if result is AppendResult.DURABLE:
                reply(self._show(job_id))
            else:
                reply(Err(refusals.no_home(Verdict.MAY_HAVE_RUN)))

        self._appender.append(partition, (), settled, gives_up=True)

    def _cancel(self, job_id: str, wait_s: float, reply: Reply) -> None:
        found = self._book.find(job_id)
        entry = None if found is None else found.job.cancel()
        if entry is None:
            self._get(job_id, wait_s, reply)
            return
        self._appender.append_for(
            job_id,
            (entry,),
            lambda result, at_s: self._cancelled(entry, wait_s, reply, result, at_s),
            gives_up=True,
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
        self._book.apply(entry, at_s)
        self._follower.advance_changed()
        self._get(entry.job_id, wait_s, reply)

    def _tick(self, now: float) -> float | None:
        next_s = self._follower.step(now)
        self._tell_waiters(now)
        if now >= self._purge_s:
            self._purge_s = now + PURGE_INTERVAL_S
            for part in self._book.partitions.values():
                part.purge(part.log_time_s(now))
        times = [waiter.due_s for waiter in self._waiters]
        if next_s is not None:
            times.append(next_s)
        return min(times, default=None)

    def _tell_waiters(self, now: float) -> None:
        still: list[_Waiter] = []
        for waiter in self._waiters:
            found = self._book.find(waiter.job_id)
            if found is None or found.job.is_over or now >= waiter.due_s:
                waiter.reply(self._show(waiter.job_id))
            else:
                still.append(waiter)
        self._waiters = still
