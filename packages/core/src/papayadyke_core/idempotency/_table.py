"""Table of the idempotency keys of one partition."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.journal import (
    ANSWER_RETENTION_S,
    Answer,
    Entry,
    KeyClaimed,
    KeyPlaced,
    KeyRecorded,
    KeyReleased,
    is_key_expired,
    is_retention_over,
)
from papayadyke_core.verdicts import Refusal


class ClaimKind(StrEnum):
    """Result kind of a claim of a key.

    `FIRST`: the request may run once its claim has been appended to the log.
    `IN_PROGRESS`: an earlier request with the key has not ended. `ENDED`: an
    earlier request has ended, with the given outcome. `CONFLICT`: the key was used
    with another body or workload. `UNRESOLVED`: an earlier request may have run, its
    VM was lost and its outcome is unknown.
    """

    FIRST = "first"
    IN_PROGRESS = "in_progress"
    ENDED = "ended"
    CONFLICT = "conflict"
    UNRESOLVED = "unresolved"


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of a claim.

    Parameters
    ----------
    kind : ClaimKind
    request_id : str
        Id of the request that holds the key.
    answer : Answer or None
        Answer of that request; set for `ENDED` only.
    refusal : Refusal or None
        Refusal of that request; set for `ENDED` only.
    """

    kind: ClaimKind
    request_id: str
    answer: Answer | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class UnresolvedKey:
    """Key whose request may have run and has no outcome in the log."""

    key: str
    request_id: str
    upstream: str | None


@dataclass(slots=True)
class _KeyState:
    workload: str
    digest: bytes
    request_id: str
    claimed_at_s: float | None = None
    holder: str = ""
    upstream: str | None = None
    unresolved: bool = False
    ended_at_s: float | None = None
    answer: Answer | None = None
    refusal: Refusal | None = None


class KeyTable:
    """State of each idempotency key of a partition.

    Log entries are applied with `apply`. A claim that is not yet in the log is
    stored as pending, so that a second claim of the key waits for it.
    """

    def __init__(self) -> None:
        self._keys: dict[str, _KeyState] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def claim(
        self, key: str, workload: str, digest: bytes, request_id: str
    ) -> ClaimResult:
        """Claim a key for a request.

        Parameters
        ----------
        key : str
        workload : str
        digest : bytes
            Digest of the workload and the request body, from `body_digest`.
        request_id : str

        Returns
        -------
        claim : ClaimResult
            For `FIRST`, the caller appends `KeyClaimed` to the log, and then calls
            `apply` or `withdraw`.
        """
        state = self._keys.get(key)
        if state is None:
            self._keys[key] = _KeyState(workload, digest, request_id)
            return ClaimResult(ClaimKind.FIRST, request_id)
        return self._claim_existing(state, workload, digest)

    def _claim_existing(
        self, state: _KeyState, workload: str, digest: bytes
    ) -> ClaimResult:
        if (state.workload, state.digest) != (workload, digest):
            return ClaimResult(ClaimKind.CONFLICT, state.request_id)
        if state.ended_at_s is not None:
            return ClaimResult(
                ClaimKind.ENDED, state.request_id, state.answer, state.refusal
            )
        kind = ClaimKind.UNRESOLVED if state.unresolved else ClaimKind.IN_PROGRESS
        return ClaimResult(kind, state.request_id)

    def withdraw(self, key: str, request_id: str) -> None:
        """Remove a pending claim that is certainly not in the log."""
        state = self._keys.get(key)
        if state is None or state.request_id != request_id:
            return
        _check(state.claimed_at_s is None, "withdrawn claim is already in the log")
        del self._keys[key]

    def make_outcome_entry(
        self,
        key: str,
        request_id: str,
        *,
        answer: Answer | None = None,
        refusal: Refusal | None = None,
    ) -> KeyRecorded | None:
        """Return the entry that records the outcome of a request.

        Returns
        -------
        entry : KeyRecorded or None
            None if the request does not hold the key or already has an outcome.
        """
        state = self._keys.get(key)
        if state is None or state.request_id != request_id:
            return None
        if state.ended_at_s is not None:
            return None
        return KeyRecorded(key, request_id, answer, refusal)

    def make_release_entry(self, key: str, request_id: str) -> KeyReleased | None:
        """Return the entry that releases the key of a request that did not run."""
        state = self._keys.get(key)
        if state is None or state.request_id != request_id:
            return None
        if state.ended_at_s is not None:
            return None
        return KeyReleased(key, request_id)

    def apply(self, entry: Entry, at_s: float) -> None:
        """Apply an entry of the log, given its log time in seconds."""
        if isinstance(entry, KeyClaimed):
            self._apply_claim(entry, at_s)
            return
        if not isinstance(entry, KeyPlaced | KeyRecorded | KeyReleased):
            return
        state = self._keys.get(entry.key)
        if state is None or state.request_id != entry.request_id:
            return
        if isinstance(entry, KeyPlaced):
            state.upstream = entry.upstream
        elif isinstance(entry, KeyReleased):
            _check(state.ended_at_s is None, "released key already has an outcome")
            del self._keys[entry.key]
        elif state.ended_at_s is None:
            state.ended_at_s = at_s
            state.answer = entry.answer
            state.refusal = entry.refusal

    def _apply_claim(self, entry: KeyClaimed, at_s: float) -> None:
        state = self._keys.get(entry.key)
        if state is None:
            state = _KeyState(entry.workload, entry.digest, entry.request_id)
            self._keys[entry.key] = state
        _check(state.request_id == entry.request_id, "key has two first claims")
        state.claimed_at_s = at_s
        state.holder = entry.holder

    def mark_lost(
        self, is_holder_lost: Callable[[str], bool]
    ) -> tuple[UnresolvedKey, ...]:
        """Mark and return the keys in progress whose holder no longer runs.

        Parameters
        ----------
        is_holder_lost : callable
            Returns whether a holder, as given in the claim, no longer runs.
        """
        lost_keys = []
        for key, state in self._keys.items():
            in_progress = state.claimed_at_s is not None and state.ended_at_s is None
            if in_progress and not state.unresolved and is_holder_lost(state.holder):
                state.unresolved = True
                lost_keys.append(UnresolvedKey(key, state.request_id, state.upstream))
        return tuple(lost_keys)

    def mark_recovered(self) -> tuple[UnresolvedKey, ...]:
        """Mark and return the keys without an outcome after a replay."""
        for state in self._keys.values():
            state.unresolved = state.ended_at_s is None
        return tuple(
            UnresolvedKey(key, state.request_id, state.upstream)
            for key, state in self._keys.items()
            if state.unresolved
        )

    def remove_expired(self, now_s: float) -> None:
        """Remove keys and answer bodies whose retention time has passed."""
        self._keys = {
            key: state
            for key, state in self._keys.items()
            if not is_key_expired(state.claimed_at_s, state.ended_at_s, now_s)
        }
        for state in self._keys.values():
            answer = state.answer
            if answer is None or not answer.kept:
                continue
            if is_retention_over(state.ended_at_s, ANSWER_RETENTION_S, now_s):
                state.answer = answer.without_body()


def _check(condition: bool, message: str) -> None:
    if not condition:
        raise AssertionError(f"idempotency: {message}")
