"""What became of the requests of this VM, within a bound."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass

from papayadyke_core.verdicts import Refusal

RECORDS_KEPT = 50_000


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """What is known of one request.

    Parameters
    ----------
    request_id, workload : str
    state : str
        "waiting", "answered" or "refused".
    received_at : float
        Wall-clock time in seconds since the epoch.
    wait_s, run_s : float
        Waiting and run time, in seconds, as far as they are known.
    upstream : str
        Where it ran or may have run; empty where it has not been started.
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
    """The latest records, oldest dropped first."""

    def __init__(self, *, kept: int = RECORDS_KEPT) -> None:
        self.kept = kept
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, record: RequestRecord) -> None:
        """Keep a record in place of an earlier one of the same request."""
        with self._lock:
            self._records[record.request_id] = record
            self._records.move_to_end(record.request_id)
            if len(self._records) > self.kept:
                self._records.popitem(last=False)

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, or None."""
        with self._lock:
            return self._records.get(request_id)
