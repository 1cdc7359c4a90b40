"""Runs of keyed requests, and replies to requests that repeat a key."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from papayadyke_core.idempotency import ClaimKind, ClaimResult
from papayadyke_core.journal import Answer as StoredAnswer
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.keyed._types import KeyOwner
from papayadyke_daemon.serving import Answer, Runner, RunOrder

RETRY_AFTER_S = 1.0
OUTCOME_WAIT_S = 5.0
FIRST_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class ReplayedAnswer:
    """Answer to an earlier request with the same key."""

    answer: StoredAnswer
    request_id: str


class KeyedRunner:
    """Run requests that carry an idempotency key.

    Parameters
    ----------
    runner : Runner
    key_owner : KeyOwner
        Owner of the partition of each key.
    holder : str
        Identifies this VM and its incarnation in each claim.
    """

    def __init__(self, *, runner: Runner, key_owner: KeyOwner, holder: str) -> None:
        self.runner = runner
        self.key_owner = key_owner
        self.holder = holder

    def run(
        self, order: RunOrder, key: str
    ) -> Result[Answer | ReplayedAnswer, Refusal]:
        """Run a request unless an earlier one with the same key was run.

        Parameters
        ----------
        order : RunOrder
        key : str

        Returns
        -------
        result : Result of Answer, ReplayedAnswer or Refusal
        """
        base_id = self.runner.ids.make()
        claimed = self._claim(order, key, base_id)
        if isinstance(claimed, Err):
            return claimed
        claim = claimed.ok_value
        if claim.kind is not ClaimKind.FIRST:
            return _reply_to_repeat(claim)
        result = self.runner.run(
            replace(
                order,
                base_id=base_id,
                on_placed=self._make_placement_recorder(key, base_id),
            )
        )
        self._record_outcome(key, base_id, result)
        return result

    def _claim(
        self, order: RunOrder, key: str, base_id: str
    ) -> Result[ClaimResult, Refusal]:
        """Claim the key, polling for a limited time while another request holds it."""
        wait_until_s = min(order.deadline_s, self.runner.clock() + OUTCOME_WAIT_S)
        poll_interval_s = FIRST_POLL_INTERVAL_S
        while True:
            claimed = self.key_owner.claim(
                key, order.workload, order.payload, base_id, holder=self.holder
            )
            if isinstance(claimed, Err):
                return claimed
            in_progress = claimed.ok_value.kind is ClaimKind.IN_PROGRESS
            if not in_progress or self.runner.clock() + poll_interval_s >= wait_until_s:
                return claimed
            time.sleep(poll_interval_s)
            poll_interval_s *= 2

    def _make_placement_recorder(self, key: str, base_id: str) -> Callable[[str], None]:
        def record(upstream: str) -> None:
            self.key_owner.record_placement(key, base_id, upstream)

        return record

    def _record_outcome(
        self, key: str, base_id: str, result: Result[Answer, Refusal]
    ) -> None:
        if isinstance(result, Err):
            self.key_owner.record(key, base_id, refusal=result.err_value)
            return
        answer = result.ok_value
        stored = StoredAnswer(answer.status, answer.content_type, answer.body)
        self.key_owner.record(key, base_id, answer=stored)


def _reply_to_repeat(claim: ClaimResult) -> Result[Answer | ReplayedAnswer, Refusal]:
    if claim.kind is ClaimKind.CONFLICT:
        return Err(
            Refusal(
                Verdict.NOT_RUN,
                Reason.KEY_CONFLICT,
                "The idempotency key was used with another workload or body.",
            )
        )
    if claim.kind is not ClaimKind.ENDED:
        return Err(_in_progress_refusal(claim))
    if claim.refusal is not None:
        return Err(claim.refusal)
    if claim.answer is None or not claim.answer.kept:
        return Err(
            Refusal(
                Verdict.MAY_HAVE_RUN,
                Reason.ANSWER_NOT_KEPT,
                f"Request {claim.request_id} with this key was answered; "
                "its answer is not kept.",
            )
        )
    return Ok(ReplayedAnswer(claim.answer, claim.request_id))


def _in_progress_refusal(claim: ClaimResult) -> Refusal:
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.KEY_IN_PROGRESS,
        f"Request {claim.request_id} with this key has no outcome yet.",
        retry_after_s=RETRY_AFTER_S,
    )
