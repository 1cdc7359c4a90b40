"""Ends of runs whose job has not been read from the store yet."""

from __future__ import annotations

from papayadyke_core.dispatch._messages import EndedRun


class UnreadJobEnds:
    """Ends that a new decider holds back until it has read their jobs.

    The previous decider may have started a job after the new one read the store. An
    end of such a job must stay listed at its upstream until the job is known:
    acknowledged without effect, it would be forgotten and the task would run again.
    """

    def __init__(self) -> None:
        self._ends: dict[str, list[tuple[str, EndedRun]]] = {}

    def add(self, upstream_id: str, ended: EndedRun) -> None:
        """Hold back an end that an upstream lists."""
        self._ends.setdefault(ended.task.job_id, []).append((upstream_id, ended))

    def take(self, job_id: str) -> list[tuple[str, EndedRun]]:
        """Remove and return the ends of a job, each with the id of its upstream."""
        return self._ends.pop(job_id, [])

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove the ends of an upstream that restarted and no longer lists them."""
        for job_id, ends in self._ends.items():
            self._ends[job_id] = [row for row in ends if row[0] != upstream_id]

    def clear(self) -> None:
        """Remove all ends."""
        self._ends.clear()

    def limit_acknowledgement(self, upstream_id: str, number: int) -> int:
        """Return the highest end, up to `number`, before the first one held back."""
        held_back = [
            ended.number
            for ends in self._ends.values()
            for name, ended in ends
            if name == upstream_id
        ]
        return min([number, *(held - 1 for held in held_back)])
