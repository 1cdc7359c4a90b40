"""Notify the decider of jobs and cancellations that this VM has stored."""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable

from papayadyke_core.dispatch import StagedJobSpec
from papayadyke_daemon.edge._decider import Decider
from papayadyke_daemon.edge._keys import encode_record
from papayadyke_daemon.edge._leadership import KnownDecider
from papayadyke_daemon.edge._messages import Cancelled, Submitted
from papayadyke_daemon.edge._peers import PeerClients

LOG = logging.getLogger(__name__)

MAX_NOTIFICATION_JOBS = 50  # jobs per message to the decider

# A stored job with its revision, or the id of a cancelled job.
Notification = tuple[StagedJobSpec, int] | str


class DeciderNotifier:
    """Queue of notifications, and the thread that sends them.

    Parameters
    ----------
    clients : PeerClients
    own_decider : callable
        Returns the decider of this VM, or None if another VM is the decider.
    known_decider : callable
        Returns the decider that this VM knows of.
    """

    def __init__(
        self,
        clients: PeerClients,
        own_decider: Callable[[], Decider | None],
        known_decider: Callable[[], KnownDecider],
    ) -> None:
        self._clients = clients
        self._own_decider = own_decider
        self._known_decider = known_decider
        self._notifications: queue.SimpleQueue[Notification] = queue.SimpleQueue()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="notifications", daemon=True).start()

    def put(self, notification: Notification) -> None:
        """Queue a notification."""
        self._notifications.put(notification)

    def _run(self) -> None:
        while True:
            first = self._notifications.get()
            try:
                self.send_pending(first)
            except Exception:
                # The decider finds these jobs in the store.
                LOG.exception("intake: notifying the decider failed")

    def send_pending(self, *pending: Notification) -> None:
        """Notify the decider of the given and of queued jobs and cancellations."""
        batch = list(pending)
        while not self._notifications.empty() and len(batch) < MAX_NOTIFICATION_JOBS:
            batch.append(self._notifications.get())
        if batch:
            self._notify(batch)

    def _notify(self, pending: list[Notification]) -> None:
        """Notify the decider of jobs and cancellations.

        A lost notification only causes a delay, since the decider also reads the
        store.
        """
        jobs = [entry for entry in pending if not isinstance(entry, str)]
        cancelled = [entry for entry in pending if isinstance(entry, str)]
        decider = self._own_decider()
        if decider is not None:
            for spec, revision in jobs:
                decider.submit(spec, revision)
            for job_id in cancelled:
                decider.cancel(job_id)
            return
        known_decider = self._known_decider()
        if not known_decider.token:
            return
        if jobs:
            data = [(encode_record(spec), revision) for spec, revision in jobs]
            self._clients.call(known_decider.address, Submitted(data))
        if cancelled:
            self._clients.call(known_decider.address, Cancelled(cancelled))
