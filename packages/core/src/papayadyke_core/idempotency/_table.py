"""The idempotency keys of one partition."""

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
    is_past,
)
from papayadyke_core.verdicts import Refusal


class ClaimKind(StrEnum):
    """What a claim of a key found.

    `FIRST`: the claim has to be appended, and only then may the request run.
    `IN_PROGRESS`: an earlier request with the key has not ended. `ENDED`: it
    has, with the outcome given. `CONFLICT`: the key was used with another body
    or workload. `UNRESOLVED`: an earlier request may have run, its VM was lost
    and its outcome is not known.
    """

    FIRST = "first"
    IN_PROGRESS = "in_progress"
    ENDED = "ended"
    CONFLICT = "conflict"
    UNRESOLVED = "unresolved"


@dataclass(frozen=True, slots=True)
class Claim:
    """The finding of a claim.

    Parameters
    ----------
    kind : ClaimKind
    request_id : str
        The request that holds the key.
    answer : Answer or None
    refusal : Refusal or None
        How the holder ended, for `ENDED`.
    """

    kind: ClaimKind
    request_id: str
    answer: Answer | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class UnresolvedKey:
    """A key whose request had no outcome when its partition was taken over."""

    key: str
    request_id: str
    upstream: str | None


@dataclass(slots=True)
class _Key:
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
    """What is known of each key of a partition.

    Entries that are in the log come in through `apply`; a claim that is not
    there yet stands as pending, so that a second one waits for it.
    """

    def __init__(self) -> None:
        self._keys: dict[str, _Key] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def claim(self, key: str, workload: str, digest: bytes, request_id: str) -> Claim:
        """Claim a key for a request.

        Parameters
        ----------
        key : str
        workload : str
        digest : bytes
            Of the request's body.
        request_id : str

        Returns
        -------
        claim : Claim
            For `FIRST` the caller appends `KeyClaimed`, and then calls `apply`
            or `withdraw`.
        """
        known = self._keys.get(key)
        if known is None:
            self._keys[key] = _Key(workload, digest, request_id)
            return Claim(ClaimKind.FIRST, request_id)
        return self._claim_again(known, workload, digest)

    def _claim_again(self, known: _Key, workload: str, digest: bytes) -> Claim:
        if (known.workload, known.digest) != (workload, digest):
            return Claim(ClaimKind.CONFLICT, known.request_id)
        if known.ended_at_s is not None:
            return Claim(ClaimKind.ENDED, known.request_id, known.answer, known.refusal)
        kind = ClaimKind.UNRESOLVED if known.unresolved else ClaimKind.IN_PROGRESS
        return Claim(kind, known.request_id)

    def withdraw(self, key: str, request_id: str) -> None:
        """Drop a pending claim that is certainly not in the log."""
        known = self._keys.get(key)
        if known is None or known.request_id != request_id:
            return
        _check(known.claimed_at_s is None, "a claim in the log was withdrawn")
        del self._keys[key]

    def outcome(
        self,
        key: str,
        request_id: str,
        *,
        answer: Answer | None = None,
        refusal: Refusal | None = None,
    ) -> KeyRecorded | None:
        """Return the entry that records how a request ended.

        Returns
        -------
        entry : KeyRecorded or None
            None where the request does not hold the key or has an outcome.
        """
        known = self._keys.get(key)
        if known is None or known.request_id != request_id:
            return None
        if known.ended_at_s is not None:
            return None
        return KeyRecorded(key, request_id, answer, refusal)

    def release(self, key: str, request_id: str) -> KeyReleased | None:
        """Return the entry that frees the key of a request that did not run."""
        known = self._keys.get(key)
        if known is None or known.request_id != request_id:
            return None
        if known.ended_at_s is not None:
            return None
        return KeyReleased(key, request_id)

    def apply(self, entry: Entry, at_s: float) -> None:
        """Take in an entry that is in the log, at its log time."""
        if isinstance(entry, KeyClaimed):
            self._apply_claim(entry, at_s)
            return
        if not isinstance(entry, KeyPlaced | KeyRecorded | KeyReleased):
            return
        known = self._keys.get(entry.key)
        if known is None or known.request_id != entry.request_id:
            return
        if isinstance(entry, KeyPlaced):
            known.upstream = entry.upstream
        elif isinstance(entry, KeyReleased):
            _check(known.ended_at_s is None, "a key with an outcome was released")
            del self._keys[entry.key]
        elif known.ended_at_s is None:
            known.ended_at_s = at_s
            known.answer = entry.answer
            known.refusal = entry.refusal

    def _apply_claim(self, entry: KeyClaimed, at_s: float) -> None:
        known = self._keys.get(entry.key)
        if known is None:
            known = _Key(entry.workload, entry.digest, entry.request_id)
            self._keys[entry.key] = known
        _check(known.request_id == entry.request_id, "a key was claimed first twice")
        known.claimed_at_s = at_s
        known.holder = entry.holder

    def mark_lost(self, is_gone: Callable[[str], bool]) -> tuple[UnresolvedKey, ...]:
        """Mark and return the keys in progress whose holder is gone.

        Parameters
        ----------
        is_gone : callable
            Tells of a holder, as given in the claim, whether it runs no longer.
        """
        lost = []
        for key, known in self._keys.items():
            in_progress = known.claimed_at_s is not None and known.ended_at_s is None
            if in_progress and not known.unresolved and is_gone(known.holder):
                known.unresolved = True
                lost.append(UnresolvedKey(key, known.request_id, known.upstream))
        return tuple(lost)

    def mark_recovered(self) -> tuple[UnresolvedKey, ...]:
        """Mark and return the keys without an outcome, after a replay."""
        for known in self._keys.values():
            known.unresolved = known.ended_at_s is None
        return tuple(
            UnresolvedKey(key, known.request_id, known.upstream)
            for key, known in self._keys.items()
            if known.unresolved
        )

    def purge(self, now_s: float) -> None:
        """Forget what is past its retention time, at a log time."""
        self._keys = {
            key: known
            for key, known in self._keys.items()
            if not is_key_expired(known.claimed_at_s, known.ended_at_s, now_s)
        }
        for known in self._keys.values():
            answer = known.answer
            if answer is None or not answer.kept:
                continue
            if is_past(known.ended_at_s, ANSWER_RETENTION_S, now_s):
                known.answer = answer.without_body()


def _check(condition: bool, what: str) -> None:
    if not condition:
        raise AssertionError(f"idempotency: {what}")
