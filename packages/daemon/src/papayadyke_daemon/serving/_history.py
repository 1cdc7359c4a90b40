"""Bounded history of the requests that this VM received."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass

from papayadyke_core.verdicts import Refusal

MAX_RECORDS = 50_000


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """State and outcome of one request.

    Parameters
    ----------
    request_id, workload : str
    state : str
        "waiting", "answered" or "refused".
    received_at : float
        Wall-clock time in seconds since the epoch.
    wait_s, run_s : float
        Waiting time and run time, in seconds; 0 if not known.
    upstream : str
        Upstream where it ran or may have run; empty if it was not started.
    attempts : int
    http_status : int
    refusal : Refusal or None
    """

    request_id: str
    workload: str
    state: str
    received_at: float
    wait_s: float = 0.0
    run_s: float = 0.0
    upstream: str = ""
    attempts: int = 0
    http_status: int = 0
    refusal: Refusal | None = None


class RequestHistory:
    """The latest request records; the oldest is evicted first.

    Parameters
    ----------
    max_records : int, default=MAX_RECORDS
        Largest number of records.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self.max_records = max_records
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, record: RequestRecord) -> None:
        """Add a record; it replaces an earlier one of the same request."""
        with self._lock:
            self._records[record.request_id] = record
            self._records.move_to_end(record.request_id)
            if len(self._records) > self.max_records:
                self._records.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None if there is none."""
        with self._lock:
            return self._records.get(request_id)
