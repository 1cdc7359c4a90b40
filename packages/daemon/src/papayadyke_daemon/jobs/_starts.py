"""Authorization of placed attempts before they are sent to their upstreams."""

from __future__ import annotations

from collections.abc import Callable

from papayadyke_core.jobs import Permission, parse_task_id
from papayadyke_core.journal import AppendResult, TaskIntended
from papayadyke_daemon.jobs._appender import Appender
from papayadyke_daemon.jobs._table import JobTable, OwnedJob

OnPermission = Callable[[bool], None]


class StartAuthorizer:
    """Append the intent of each start, and wait until it is durable if required.

    Parameters
    ----------
    table : JobTable
    appender : Appender
    unlogged_start_s : float
        See `JobSettings`.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        table: JobTable,
        appender: Appender,
        unlogged_start_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._appender = appender
        self._unlogged_start_s = unlogged_start_s
        self._clock = clock

    def authorize(
        self, task_id: str, upstream: str, boot_id: str, on_reply: OnPermission
    ) -> None:
        """Reply whether an attempt may be sent to an upstream."""
        parsed = parse_task_id(task_id)
        owned = None if parsed is None else self._table.find(parsed[0])
        if parsed is None or owned is None:
            on_reply(False)
            return
        _, index, attempt = parsed
        now_s = owned.partition_jobs.log_time_s(self._clock())
        authorization = owned.job.authorize(
            index,
            attempt,
            upstream,
            now_s,
            is_owner=now_s - owned.partition_jobs.proved_s < self._unlogged_start_s,
            boot_id=boot_id,
        )
        must_wait = authorization.permission is Permission.WHEN_DURABLE
        if authorization.entry is not None:
            on_durable = on_reply if must_wait else None
            self._append_intent(owned, authorization.entry, on_durable)
        if not must_wait:
            on_reply(authorization.permission is Permission.NOW)

    def _append_intent(
        self, owned: OwnedJob, entry: TaskIntended, on_reply: OnPermission | None
    ) -> None:
        pending_replies = [] if on_reply is None else [on_reply]

        def settled(result: AppendResult, at_s: float) -> None:
            is_durable = result is AppendResult.DURABLE
            if is_durable:
                self._table.apply(entry, at_s)
            if pending_replies:
                reply = pending_replies.pop()
                reply(is_durable and self._may_start(owned, entry))

        self._appender.append_for(
            entry.job_id, (entry,), settled, may_expire=bool(pending_replies)
        )

    def _may_start(self, owned: OwnedJob, entry: TaskIntended) -> bool:
        current = self._table.find(entry.job_id)
        if current is None or current.job is not owned.job:
            return False
        now_s = owned.partition_jobs.log_time_s(self._clock())
        return owned.job.confirm_intent(entry.index, entry.attempt, now_s)
