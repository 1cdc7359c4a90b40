"""HTTP request and response messages of the key-value service."""

from __future__ import annotations

import msgspec

from papayadyke_clients.store._types import Entry, ErrorKind, Event

CALL_PATH = "/v1/call"
CLIENT_HEADER = "Store-Client"


class Revision(msgspec.Struct, tag="revision", frozen=True):
    """Request for the revision of the last write."""


class Read(msgspec.Struct, tag="read", frozen=True):
    """Request to read one key."""

    key: str


class ReadPrefix(msgspec.Struct, tag="read_prefix", frozen=True):
    """Request to read the keys that start with a prefix."""

    prefix: str
    after: str
    limit: int


class Create(msgspec.Struct, tag="create", frozen=True):
    """Request to create a key that must not exist."""

    key: str
    value: bytes
    lease: int | None


class Replace(msgspec.Struct, tag="replace", frozen=True):
    """Request to overwrite a key whose revision must be `expected`."""

    key: str
    value: bytes
    expected: int
    lease: int | None


class Delete(msgspec.Struct, tag="delete", frozen=True):
    """Request to delete a key whose revision must be `expected`."""

    key: str
    expected: int


class GrantLease(msgspec.Struct, tag="grant_lease", frozen=True):
    """Request for a new lease."""

    ttl_s: float


class RenewLease(msgspec.Struct, tag="renew_lease", frozen=True):
    """Request to renew a lease."""

    lease: int


class Watch(msgspec.Struct, tag="watch", frozen=True):
    """Request to wait for events newer than the revision `after`."""

    prefix: str
    after: int
    wait_s: float


Call = (
    Revision
    | Read
    | ReadPrefix
    | Create
    | Replace
    | Delete
    | GrantLease
    | RenewLease
    | Watch
)


class EntryAnswer(msgspec.Struct, tag="entry", frozen=True):
    """Answer to `Read`."""

    entry: Entry | None


class EntriesAnswer(msgspec.Struct, tag="entries", frozen=True):
    """Answer to `ReadPrefix`."""

    entries: list[Entry]


class NumberAnswer(msgspec.Struct, tag="number", frozen=True):
    """Revision (answer to writes and `Revision`) or lease id (to `GrantLease`)."""

    number: int


class DoneAnswer(msgspec.Struct, tag="done", frozen=True):
    """Answer to `RenewLease`."""


class EventsAnswer(msgspec.Struct, tag="events", frozen=True):
    """Answer to `Watch`."""

    events: list[Event]


class Failure(msgspec.Struct, tag="failure", frozen=True):
    """Answer to a call that the service refused."""

    kind: ErrorKind
    detail: str


Answer = (
    EntryAnswer | EntriesAnswer | NumberAnswer | DoneAnswer | EventsAnswer | Failure
)

call_decoder = msgspec.msgpack.Decoder(Call)
answer_decoder = msgspec.msgpack.Decoder(Answer)
encode = msgspec.msgpack.Encoder().encode
