"""The service that owns the jobs of this VM's partitions."""

from __future__ import annotations

import queue
import time
import uuid
from collections.abc import Callable, Sequence

from result import Err, Ok

from papayadyke_core.jobs import (
    Authorization,
    Job,
    Permission,
    TaskDone,
    TaskResult,
    job_view,
    parse_task_id,
)
from papayadyke_core.journal import (
    MAX_ENTRIES_BYTES,
    AppendResult,
    Entry,
    JobAccepted,
    JobCancelled,
    TaskEnded,
    TaskIntended,
    entry_size,
    partition_of,
)
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.jobs import _refusals as refusals
from papayadyke_daemon.jobs._agenda import Agenda
from papayadyke_daemon.jobs._book import (
    JobPartition,
    job_partition,
    new_job_id,
    rebuild,
)
from papayadyke_daemon.jobs._models import JobModel
from papayadyke_daemon.jobs._submission import (
    JobResult,
    Reply,
    Submission,
    Waiter,
    make_accepted,
)
from papayadyke_daemon.jobs._types import JobAnswer, JobHooks, JobSettings
from papayadyke_daemon.journal import JournalWriter, Mailbox, OnSettled, Replay

PURGE_INTERVAL_S = 60.0
REPLY_MARGIN_S = 60.0


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
        self._journal = journal
        self._hooks = hooks
        self._clock = clock
        self._partitions: dict[int, JobPartition] = {}
        self._submissions: dict[str, Submission] = {}
        self._waiters: list[Waiter] = []
        self._dirty: set[str] = set()
        self._agenda = Agenda()
        self._asked_s: dict[str, float] = {}
        self._purge_s = 0.0
        self._mailbox = Mailbox("jobs", self._tick, clock=clock)
        journal.add_fenced_listener(self.drop)

    def start(self) -> None:
        """Start the thread."""
        self._mailbox.start()

    def stop(self) -> None:
        """End the thread; what waits is told what is known."""
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
        wait_s = self.settings.append_wait_s + REPLY_MARGIN_S
        late = Err(refusals.may_be_stored())
        return self._ask(lambda reply: self._submit(model, reply), wait_s, late)

    def get(self, job_id: str, *, wait_s: float = 0.0) -> JobResult:
        """Show a job, waiting for its end for at most `wait_s` seconds."""
        wait_s = min(max(wait_s, 0.0), self.settings.max_wait_s)
        late: JobResult = Err(refusals.no_home(Verdict.MAY_HAVE_RUN))
        return self._ask(
            lambda reply: self._get(job_id, wait_s, reply),
            wait_s + REPLY_MARGIN_S,
            late,
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
            wait_s + self.settings.append_wait_s + REPLY_MARGIN_S,
            Err(refusals.not_cancelled()),
        )

    def authorize_start(
        self, task_id: str, upstream: str, on_reply: Callable[[bool], None]
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
        self._mailbox.post(lambda: self._authorize(task_id, upstream, on_reply))

    def _ask(
        self, question: Callable[[Reply], None], wait_s: float, late: JobResult
    ) -> JobResult:
        replies: queue.SimpleQueue[JobResult] = queue.SimpleQueue()
        self._mailbox.post(lambda: question(replies.put))
        try:
            return replies.get(timeout=wait_s)
        except queue.Empty:
            return late

    def _adopt(self, partition: int, part: JobPartition) -> None:
        self._partitions[partition] = part
        self._dirty.update(part.open_ids)

    def _drop(self, partition: int) -> None:
        part = self._partitions.pop(partition, None)
        if part is not None:
            self._agenda.discard(part.open_ids)

    def _tell_all(self) -> None:
        for submission in self._submissions.values():
            submission.tell(Err(refusals.may_be_stored()))
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.reply(self._show(waiter.job_id))

    def _submit(self, model: JobModel, reply: Reply) -> None:
        workload = self._hooks.find_workload(model.workload)
        if workload is None:
            reply(Err(refusals.unknown_workload(model.workload)))
            return
        partition = self._choose_partition(model.idempotency_key)
        if partition is None:
            reply(Err(refusals.no_home(Verdict.NOT_RUN)))
            return
        job_id = new_job_id(partition, uuid.uuid4().hex)
        epoch = self._partitions[partition].epoch
        accepted = make_accepted(model, workload, job_id, epoch)
        if self._is_repeat(partition, accepted, reply):
            return
        if entry_size(accepted) > MAX_ENTRIES_BYTES:
            reply(Err(refusals.too_large(MAX_ENTRIES_BYTES)))
        elif self._open_jobs() >= self.settings.max_jobs:
            reply(Err(refusals.too_many()))
        else:
            self._append_job(partition, accepted, reply)

    def _choose_partition(self, key: str | None) -> int | None:
        if key is not None:
            partition = partition_of(key)
            return partition if partition in self._partitions else None
        # One partition for all jobs without a key: their appends share segments.
        return min(self._partitions, default=None)

    def _is_repeat(self, partition: int, accepted: JobAccepted, reply: Reply) -> bool:
        if not accepted.key:
            return False
        part = self._partitions[partition]
        known = part.keys.get(accepted.key)
        pending = self._submissions.get(accepted.key)
        if known is not None:
            same = part.jobs[known].accepted.digest == accepted.digest
            reply(self._show(known) if same else Err(refusals.key_conflict()))
            return True
        if pending is None:
            return False
        if pending.accepted.digest != accepted.digest:
            reply(Err(refusals.key_conflict()))
        elif pending.replies:
            pending.replies.append(reply)
        else:
            reply(Err(refusals.may_be_stored()))
        return True

    def _open_jobs(self) -> int:
        return len(self._submissions) + sum(
            len(part.open_ids) for part in self._partitions.values()
        )

    def _append_job(self, partition: int, accepted: JobAccepted, reply: Reply) -> None:
        submission = Submission(accepted, [reply])
        self._submissions[accepted.key or accepted.job_id] = submission
        self._append(
            partition,
            (accepted,),
            lambda result, at_s: self._job_settled(partition, submission, result, at_s),
            gives_up=True,
        )

    def _job_settled(
        self,
        partition: int,
        submission: Submission,
        result: AppendResult,
        at_s: float,
    ) -> None:
        if result is AppendResult.UNKNOWN:
            submission.tell(Err(refusals.may_be_stored()))
            return
        accepted = submission.accepted
        self._submissions.pop(accepted.key or accepted.job_id, None)
        if result is not AppendResult.DURABLE:
            submission.tell(Err(refusals.not_stored()))
            return
        part = self._partitions.get(partition)
        if part is None:
            # It is in the log, and the successor runs it.
            submission.tell(Err(refusals.may_be_stored()))
            return
        job = part.accept(accepted, at_s)
        self._dirty.add(job.id)
        submission.tell(Ok(JobAnswer(job.id, job_view(job), is_new=True)))

    def _find(self, job_id: str) -> tuple[JobPartition, Job] | None:
        part = self._partitions.get(job_partition(job_id) or 0)
        job = None if part is None else part.jobs.get(job_id)
        return None if part is None or job is None else (part, job)

    def _show(self, job_id: str) -> JobResult:
        partition = job_partition(job_id)
        if partition is not None and partition not in self._partitions:
            return Err(refusals.no_home(Verdict.MAY_HAVE_RUN))
        found = self._find(job_id)
        if found is None:
            return Err(refusals.unknown_job(job_id))
        return Ok(JobAnswer(job_id, job_view(found[1])))

    def _get(self, job_id: str, wait_s: float, reply: Reply) -> None:
        found = self._find(job_id)
        if found is None:
            self._show_unknown(job_id, reply)
            return
        if found[1].is_over or wait_s <= 0.0:
            reply(self._show(job_id))
            return
        self._waiters.append(Waiter(job_id, self._clock() + wait_s, reply))

    def _show_unknown(self, job_id: str, reply: Reply) -> None:
        """Say that there is no such job, once an append proves the ownership.

        A successor may have accepted the job, and this VM not know of it yet.
        """
        partition = job_partition(job_id)
        if partition is None or partition not in self._partitions:
            reply(self._show(job_id))
            return

        def settled(result: AppendResult, at_s: float) -> None:
            if result is AppendResult.DURABLE:
                reply(self._show(job_id))
            else:
                reply(Err(refusals.no_home(Verdict.MAY_HAVE_RUN)))

        self._append(partition, (), settled, gives_up=True)

    def _cancel(self, job_id: str, wait_s: float, reply: Reply) -> None:
        found = self._find(job_id)
        entry = None if found is None else found[1].cancel()
        if entry is None:
            self._get(job_id, wait_s, reply)
            return
        self._append(
            job_partition(job_id) or 0,
            (entry,),
            lambda result, at_s: self._cancel_settled(
                entry, wait_s, reply, result, at_s
            ),
            gives_up=True,
        )

    def _cancel_settled(
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
        self._apply(entry, at_s)
        self._advance_due()
        self._get(entry.job_id, wait_s, reply)

    def _apply(
        self, entry: JobCancelled | TaskIntended | TaskEnded, at_s: float
    ) -> None:
        part = self._partitions.get(job_partition(entry.job_id) or 0)
        if part is not None:
            part.apply(entry, at_s)
            self._dirty.add(entry.job_id)

    def _authorize(
        self, task_id: str, upstream: str, on_reply: Callable[[bool], None]
    ) -> None:
        parsed = parse_task_id(task_id)
        found = None if parsed is None else self._find(parsed[0])
        if parsed is None or found is None:
            on_reply(False)
            return
        part, job = found
        _, index, attempt = parsed
        now_s = part.log_time_s(self._clock())
        is_owner = now_s - part.proved_s < self.settings.unlogged_start_s
        authorization = job.authorize(
            index, attempt, upstream, now_s, is_owner=is_owner
        )
        if authorization.entry is not None:
            self._append_intent(job, authorization, authorization.entry, on_reply)
        if authorization.permission is not Permission.WHEN_DURABLE:
            on_reply(authorization.permission is Permission.NOW)

    def _append_intent(
        self,
        job: Job,
        authorization: Authorization,
        entry: TaskIntended,
        on_reply: Callable[[bool], None],
    ) -> None:
        waits = authorization.permission is Permission.WHEN_DURABLE
        told: list[bool] = []

        def settled(result: AppendResult, at_s: float) -> None:
            if result is AppendResult.DURABLE:
                self._apply(entry, at_s)
            if waits and not told:
                told.append(True)
                durable = result is AppendResult.DURABLE
                on_reply(durable and self._may_start(job, entry))

        self._append(job_partition(job.id) or 0, (entry,), settled, gives_up=waits)

    def _may_start(self, job: Job, entry: TaskIntended) -> bool:
        found = self._find(job.id)
        if found is None or found[1] is not job:
            return False
        now_s = found[0].log_time_s(self._clock())
        return job.confirm_intent(entry.index, entry.attempt, now_s)

    def _on_done(self, done: TaskDone) -> None:
        self._mailbox.post(lambda: self._finish(done))

    def _finish(self, done: TaskDone) -> None:
        parsed = parse_task_id(done.task_id)
        found = None if parsed is None else self._find(parsed[0])
        if parsed is None or found is None:
            return
        part, job = found
        now_s = part.log_time_s(self._clock())
        self._append_outcomes(job, job.finish(parsed[1], parsed[2], done, now_s))
        self._dirty.add(job.id)
        if done.result is not TaskResult.LOST:
            self._asked_s.pop(done.task_id, None)

    def _append_outcomes(self, job: Job, ended: list[TaskEnded]) -> None:
        if not ended:
            return

        def settled(result: AppendResult, at_s: float) -> None:
            if result is AppendResult.DURABLE:
                for entry in ended:
                    self._apply(entry, at_s)

        self._append(job_partition(job.id) or 0, ended, settled, gives_up=False)

    def _append(
        self,
        partition: int,
        entries: Sequence[Entry],
        on_settled: OnSettled,
        *,
        gives_up: bool,
    ) -> None:
        """Append entries; `on_settled` runs on this service's thread."""
        wait_s = self.settings.append_wait_s

        def settled(result: AppendResult, at_s: float) -> None:
            part = self._partitions.get(partition)
            if result is AppendResult.DURABLE and part is not None:
                part.proved_s = max(part.proved_s, at_s)
            on_settled(result, at_s)

        self._journal.append(
            partition,
            entries,
            lambda result, at_s: self._mailbox.post(lambda: settled(result, at_s)),
            give_up_s=self._clock() + wait_s if gives_up else None,
        )

    def _tick(self, now: float) -> float | None:
        self._dirty.update(self._agenda.pop_due(now))
        self._advance_due()
        self._tell_waiters(now)
        if now >= self._purge_s:
            self._purge_s = now + PURGE_INTERVAL_S
            for part in self._partitions.values():
                part.purge(part.log_time_s(now))
        times = [waiter.due_s for waiter in self._waiters]
        next_s = self._agenda.next_s()
        if next_s is not None:
            times.append(next_s)
        return min(times, default=None)

    def _advance_due(self) -> None:
        due, self._dirty = self._dirty, set()
        for job_id in due:
            found = self._find(job_id)
            if found is not None and not found[1].is_over:
                self._advance(*found)

    def _advance(self, part: JobPartition, job: Job) -> None:
        """Do for a job whatever can be done now, and note when to come back."""
        now = self._clock()
        now_s = part.log_time_s(now)
        ended = job.lapse(
            now_s, self.settings.lease_run_out_s, self.settings.unlogged_start_s
        )
        ended += job.settle(now_s)
        self._append_outcomes(job, ended)
        for task_id in job.tasks_to_stop(now_s):
            self._hooks.stop_task(task_id)
        room = self.settings.max_ordered - job.ordered_count()
        for order in job.order(now_s, now, room):
            self._hooks.submit_task(order, self._on_done)
        self._resolve(job, now)
        self._agenda.set(job.id, self._next_wake_s(part, job, now))

    def _resolve(self, job: Job, now: float) -> None:
        for item in job.unresolved():
            asked_s = self._asked_s.get(item.task_id)
            interval_s = self.settings.resolve_interval_s
            if asked_s is None or now - asked_s >= interval_s:
                self._asked_s[item.task_id] = now
                self._hooks.resolve_task(item.task_id, item.upstream, self._on_done)

    def _next_wake_s(self, part: JobPartition, job: Job, now: float) -> float:
        offset_s = now - part.log_time_s(now)
        times = [job.deadline_s + offset_s]
        order_s = job.next_order_s()
        if order_s is not None:
            times.append(order_s + offset_s)
        if job.unresolved():
            times.append(now + self.settings.resolve_interval_s)
        # A time that has passed waits for a message, not for the clock.
        later = [time_s for time_s in times if time_s > now]
        return min(later, default=now + PURGE_INTERVAL_S)

    def _tell_waiters(self, now: float) -> None:
        still: list[Waiter] = []
        for waiter in self._waiters:
            found = self._find(waiter.job_id)
            if found is None or found[1].is_over or now >= waiter.due_s:
                waiter.reply(self._show(waiter.job_id))
            else:
                still.append(waiter)
        self._waiters = still
