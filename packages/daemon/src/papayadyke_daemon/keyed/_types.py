"""What a keyed request asks of the owner of its key's partition."""

from __future__ import annotations

from typing import Protocol

from result import Result

from papayadyke_core.idempotency import Claim
from papayadyke_core.journal import Answer
from papayadyke_core.verdicts import Refusal


class KeyHome(Protocol):
    """The owner of the key's partition, here or at a peer."""

    def claim(
        self, key: str, workload: str, body: bytes, request_id: str, *, holder: str
    ) -> Result[Claim, Refusal]:
        """Claim a key; a refusal is always `not_run`."""

    def place(self, key: str, request_id: str, upstream: str) -> None:
        """Note the upstream that a request is sent to."""

    def record(
        self,
        key: str,
        request_id: str,
        *,
        answer: Answer | None = None,
        refusal: Refusal | None = None,
    ) -> None:
        """Record how the first request of a key ended."""
