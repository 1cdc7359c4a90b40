"""A refusal: its verdict, reason and detail."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.verdicts._verdict import HTTP_STATUS, Reason, Verdict


@dataclass(frozen=True, slots=True)
class Refusal:
    """Response to a request that has no complete result.

    Parameters
    ----------
    verdict : Verdict
        `NOT_RUN` only if no part of the request has run or will run.
    reason : Reason
        Limit or fault that caused the refusal.
    detail : str
        Explanation for the caller, one sentence.
    retry_after_s : float or None, default=None
        Seconds after which to retry; None if a retry is not useful.
    holders : tuple of str, default=()
        Workloads that hold the capacity, largest share first.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    holders: tuple[str, ...] = ()

    @property
    def http_status(self) -> int:
        """HTTP status code of the reason."""
        return HTTP_STATUS[self.reason]
