"""Store writes that verify their effect, or report it as unknown."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_clients.store import Entry, ErrorKind, Store, StoreError
from papayadyke_core.journal import AppendCallResult, decode_segment

MAX_ATTEMPTS = 8


@dataclass(frozen=True, slots=True)
class AppendAttempt:
    """Outcome of one attempt to append a segment, with its revision if written."""

    result: AppendCallResult
    revision: int = 0


def try_append(store: Store, key: str, value: bytes, segment_id: str) -> AppendAttempt:
    """Try once to create a segment, and return what is known of the outcome.

    Parameters
    ----------
    store : Store
    key : str
    value : bytes
        The same on every attempt with this id.
    segment_id : str

    Notes
    -----
    Reads may be stale, so a read never proves that a segment is absent: only
    another create of the same key does.
    """
    result = store.create(key, value)
    if isinstance(result, Ok):
        return AppendAttempt(AppendCallResult.WRITTEN, result.ok_value)
    kind = result.err_value.kind
    if kind is ErrorKind.UNKNOWN:
        return AppendAttempt(AppendCallResult.AMBIGUOUS)
    if kind is not ErrorKind.CONFLICT:
        return AppendAttempt(AppendCallResult.NOT_WRITTEN)
    entry = read_existing(store, key)
    if entry is None:
        return AppendAttempt(AppendCallResult.AMBIGUOUS)
    if decode_segment(entry.value).id == segment_id:
        return AppendAttempt(AppendCallResult.WRITTEN, entry.revision)
    return AppendAttempt(AppendCallResult.NUMBER_IN_USE)


def read_existing(store: Store, key: str, *, newer_than: int = -1) -> Entry | None:
    """Read a key that is known to exist, retrying stale reads.

    Parameters
    ----------
    store : Store
    key : str
    newer_than : int, default=-1
        Only a revision greater than this one is accepted.

    Returns
    -------
    entry : Entry or None
        None if the key could not be read, or if every read was stale.
    """
    for _ in range(MAX_ATTEMPTS):
        result = store.read(key)
        if isinstance(result, Err):
            return None
        entry = result.ok_value
        if entry is not None and entry.revision > newer_than:
            return entry
    return None


def replace_verified(
    store: Store, key: str, value: bytes, *, expected: int
) -> Result[int, StoreError]:
    """Replace a key, and resolve lost answers by reading it again.

    Parameters
    ----------
    store : Store
    key : str
    value : bytes
        Must differ from every other value of the key, for example by a nonce.
    expected : int
        Revision that the key must have.

    Returns
    -------
    revision : Result of int or StoreError
        `UNKNOWN` if it could not be determined whether the value was written.
    """
    unknown = StoreError(
        ErrorKind.UNKNOWN, "it is unknown whether the write took effect"
    )
    may_be_written = False
    for _ in range(MAX_ATTEMPTS):
        result = store.replace(key, value, expected=expected)
        if isinstance(result, Ok):
            return result
        kind = result.err_value.kind
        if kind is ErrorKind.CONFLICT:
            return _resolve_conflict(store, key, value, expected, unknown)
        if kind is ErrorKind.UNKNOWN:
            may_be_written = True
            continue
        return Err(unknown) if may_be_written else result
    return Err(unknown)


def _resolve_conflict(
    store: Store, key: str, value: bytes, expected: int, unknown: StoreError
) -> Result[int, StoreError]:
    entry = read_existing(store, key, newer_than=expected)
    if entry is None:
        return Err(unknown)
    if entry.value == value:
        return Ok(entry.revision)
    return Err(StoreError(ErrorKind.CONFLICT, "another writer replaced the key first"))
