"""A refusal: the verdict, the reason and what stood in the way."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.verdicts._verdict import HTTP_STATUS, Reason, Verdict


@dataclass(frozen=True, slots=True)
class Refusal:
    """What a caller is told in place of a whole answer.

    Parameters
    ----------
    verdict : Verdict
        `NOT_RUN` only where no part of the request has run or will run.
    reason : Reason
        The limit or fault that spoke.
    detail : str
        One sentence that a caller can read.
    retry_after_s : float or None, default=None
        Seconds after which a retry makes sense; None where none does.
    holders : tuple of str, default=()
        The workloads that held the capacity, the largest holder first.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    holders: tuple[str, ...] = ()

    @property
    def http_status(self) -> int:
        """The HTTP status code of the reason."""
        return HTTP_STATUS[self.reason]
