"""Permission for placed attempts to be sent to their upstreams."""

from __future__ import annotations

from collections.abc import Callable

from papayadyke_core.jobs import Permission, parse_task_id
from papayadyke_core.journal import AppendResult, TaskIntended
from papayadyke_daemon.jobs._appender import Appender
from papayadyke_daemon.jobs._book import FoundJob, JobBook

OnPermission = Callable[[bool], None]


class Starts:
    """Appends the intent of each start, and waits for it where it has to.

    Parameters
    ----------
    book : JobBook
    appender : Appender
    unlogged_start_s : float
        As in `JobSettings`.
    clock : callable
    """

    def __init__(
        self,
        book: JobBook,
        appender: Appender,
        unlogged_start_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._book = book
        self._appender = appender
        self._unlogged_start_s = unlogged_start_s
        self._clock = clock

    def authorize(self, task_id: str, upstream: str, on_reply: OnPermission) -> None:
        """Reply whether an attempt may be sent to an upstream."""
        parsed = parse_task_id(task_id)
        found = None if parsed is None else self._book.find(parsed[0])
        if parsed is None or found is None:
            on_reply(False)
            return
        _, index, attempt = parsed
        now_s = found.part.log_time_s(self._clock())
        authorization = found.job.authorize(
            index,
            attempt,
            upstream,
            now_s,
            is_owner=now_s - found.part.proved_s < self._unlogged_start_s,
        )
        waits = authorization.permission is Permission.WHEN_DURABLE
        if authorization.entry is not None:
            told = on_reply if waits else None
            self._append_intent(found, authorization.entry, told)
        if not waits:
            on_reply(authorization.permission is Permission.NOW)

    def _append_intent(
        self, found: FoundJob, entry: TaskIntended, on_reply: OnPermission | None
    ) -> None:
        waiting = [] if on_reply is None else [on_reply]

        def settled(result: AppendResult, at_s: float) -> None:
            is_durable = result is AppendResult.DURABLE
            if is_durable:
                self._book.apply(entry, at_s)
            if waiting:
                reply = waiting.pop()
                reply(is_durable and self._may_start(found, entry))

        self._appender.append_for(
            entry.job_id, (entry,), settled, gives_up=bool(waiting)
        )

    def _may_start(self, found: FoundJob, entry: TaskIntended) -> bool:
        current = self._book.find(entry.job_id)
        if current is None or current.job is not found.job:
            return False
        now_s = found.part.log_time_s(self._clock())
        return found.job.confirm_intent(entry.index, entry.attempt, now_s)
