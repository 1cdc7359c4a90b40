"""Interface to the owner of the partition of an idempotency key."""

from __future__ import annotations

from typing import Protocol

from result import Result

from papayadyke_core.idempotency import ClaimResult
from papayadyke_core.journal import Answer
from papayadyke_core.verdicts import Refusal


class KeyOwner(Protocol):
    """Owner of the partition of a key, which is this VM or a peer."""

    def claim(
        self, key: str, workload: str, body: bytes, request_id: str, *, holder: str
    ) -> Result[ClaimResult, Refusal]:
        """Claim a key for a request; a refusal is always `not_run`."""

    def record_placement(self, key: str, request_id: str, upstream: str) -> None:
        """Record the upstream to which a request is sent."""

    def record(
        self,
        key: str,
        request_id: str,
        *,
        answer: Answer | None = None,
        refusal: Refusal | None = None,
    ) -> None:
        """Record the outcome of the request that claimed a key."""
