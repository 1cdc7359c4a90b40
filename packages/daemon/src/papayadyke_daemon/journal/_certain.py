"""Store writes whose effect is known for certain, or said to be unknown."""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_clients.store import Entry, ErrorKind, Store, StoreError
from papayadyke_core.journal import CallResult, decode_segment

MAX_TRIES = 8


@dataclass(frozen=True, slots=True)
class Appended:
    """What is known of a segment, and its revision once it is written."""

    result: CallResult
    revision: int = 0


def append_once(store: Store, key: str, value: bytes, segment_id: str) -> Appended:
    """Try once to create a segment, and say what is known of it.

    Parameters
    ----------
    store : Store
    key : str
    value : bytes
        The same on every try with this id.
    segment_id : str

    Notes
    -----
    A read may be stale, so the absence of a segment is never taken from a read:
    only another create of the same key decides.
    """
    result = store.create(key, value)
    if isinstance(result, Ok):
        return Appended(CallResult.WRITTEN, result.ok_value)
    kind = result.err_value.kind
    if kind is ErrorKind.UNKNOWN:
        return Appended(CallResult.AMBIGUOUS)
    if kind is not ErrorKind.CONFLICT:
        return Appended(CallResult.NOT_WRITTEN)
    entry = read_present(store, key)
    if entry is None:
        return Appended(CallResult.AMBIGUOUS)
    if decode_segment(entry.value).id == segment_id:
        return Appended(CallResult.WRITTEN, entry.revision)
    return Appended(CallResult.TAKEN)


def read_present(store: Store, key: str, *, above: int = -1) -> Entry | None:
    """Read a key that is known to exist, past stale reads.

    Parameters
    ----------
    store : Store
    key : str
    above : int, default=-1
        Only a revision above this one is taken.

    Returns
    -------
    entry : Entry or None
        None where no read showed it.
    """
    for _ in range(MAX_TRIES):
        result = store.read(key)
        if isinstance(result, Err):
            return None
        entry = result.ok_value
        if entry is not None and entry.revision > above:
            return entry
    return None


def replace_certainly(
    store: Store, key: str, value: bytes, *, expected: int
) -> Result[int, StoreError]:
    """Replace a key, and decide lost answers by reading it again.

    Parameters
    ----------
    store : Store
    key : str
    value : bytes
        Has to be unique, such as by a nonce.
    expected : int

    Returns
    -------
    revision : Result of int or StoreError
        `UNKNOWN` where the effect could not be decided.
    """
    unknown = StoreError(ErrorKind.UNKNOWN, "the write could not be decided")
    may_be_written = False
    for _ in range(MAX_TRIES):
        result = store.replace(key, value, expected=expected)
        if isinstance(result, Ok):
            return result
        kind = result.err_value.kind
        if kind is ErrorKind.CONFLICT:
            return _compare(store, key, value, expected, unknown)
        if kind is ErrorKind.UNKNOWN:
            may_be_written = True
            continue
        return Err(unknown) if may_be_written else result
    return Err(unknown)


def _compare(
    store: Store, key: str, value: bytes, expected: int, unknown: StoreError
) -> Result[int, StoreError]:
    entry = read_present(store, key, above=expected)
    if entry is None:
        return Err(unknown)
    if entry.value == value:
        return Ok(entry.revision)
    return Err(StoreError(ErrorKind.CONFLICT, "another writer was first"))
