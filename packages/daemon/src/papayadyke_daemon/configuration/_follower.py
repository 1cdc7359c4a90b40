"""The thread that owns a VM's copy of the configuration log."""

from __future__ import annotations

import contextlib
import logging
import queue
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from papayadyke_core.configuration import ConfigLog, ConfigState, LogEntry
from papayadyke_core.workloads import Config
from papayadyke_daemon.configuration._messages import (
    ConfigOffer,
    ConfigRequest,
    make_offer,
)
from papayadyke_daemon.configuration._pacer import RequestPacer
from papayadyke_daemon.configuration._settings import ConfigSyncSettings

logger = logging.getLogger(__name__)

MAX_QUEUED_MESSAGES = 1000
STOP_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class NewEntries:
    """Carry entries for the log; with an empty origin they are not forwarded."""

    entries: Sequence[LogEntry]
    origin: str


@dataclass(frozen=True, slots=True)
class NewState:
    """Carry the state of a snapshot for the log."""

    state: ConfigState


@dataclass(frozen=True, slots=True)
class PeerRevision:
    """Report the revision that a peer has in force."""

    revision: int


@dataclass(frozen=True, slots=True)
class Stop:
    """Tell the thread to end."""


Message = NewEntries | NewState | PeerRevision | Stop


@dataclass(frozen=True, slots=True)
class View:
    """Hold an immutable view of the log for other threads."""

    state: ConfigState
    entries: tuple[LogEntry, ...]


class Follower:
    """Apply entries and snapshots to the log and publish what comes into force.

    Parameters
    ----------
    settings : ConfigSyncSettings
    on_config, forward_offer, send_request : callable
        As in `ConfigSync`.
    poll_store : callable
        Called to have the store read at once.

    Attributes
    ----------
    view : View
        Replaced as a whole, so any thread may read it.
    loaded : threading.Event
        Set once a configuration has been loaded from the store or a peer.
    """

    def __init__(
        self,
        *,
        settings: ConfigSyncSettings,
        on_config: Callable[[Config], None],
        forward_offer: Callable[[ConfigOffer], None],
        send_request: Callable[[ConfigRequest], None],
        poll_store: Callable[[], None],
    ):
        self.settings = settings
        self.on_config = on_config
        self.forward_offer = forward_offer
        self.send_request = send_request
        self.poll_store = poll_store
        self.view = View(ConfigState(), ())
        self.loaded = threading.Event()
        self._inbox: queue.Queue[Message] = queue.Queue(MAX_QUEUED_MESSAGES)
        self._log = ConfigLog()
        self._peer_revision = 0
        self._request_pacer = RequestPacer(
            min_s=settings.request_min_s, max_s=settings.request_max_s
        )

    @property
    def revision(self) -> int:
        """Revision of the configuration in force on this VM."""
        return self.view.state.revision

    def put(self, message: Message) -> None:
        """Queue a message; drop it if the queue is full.

        Entries that are missing because of a drop are requested again later.
        """
        try:
            self._inbox.put_nowait(message)
        except queue.Full:
            logger.warning("config: the follower's queue is full, dropping a message")

    def stop(self) -> None:
        """Tell the thread to end once it has handled the queued messages."""
        with contextlib.suppress(queue.Full):
            self._inbox.put(Stop(), timeout=STOP_TIMEOUT_S)

    def run(self) -> None:
        """Handle messages until `Stop`."""
        while True:
            message = self._next_message()
            if isinstance(message, Stop):
                return
            if message is not None:
                self._handle(message)
            self._request_if_behind()

    def _next_message(self) -> Message | None:
        timeout_s = self.settings.request_min_s if self._is_behind() else None
        try:
            return self._inbox.get(timeout=timeout_s)
        except queue.Empty:
            return None

    def _handle(self, message: Message) -> None:
        match message:
            case PeerRevision(revision):
                self._peer_revision = max(self._peer_revision, revision)
            case NewState(state):
                if self._log.install_snapshot(state):
                    # Apply the entries that waited for this snapshot.
                    self._log.apply_entries(())
                    self._publish_view()
            case NewEntries(entries, origin):
                self._apply_entries(entries, origin)

    def _apply_entries(self, entries: Sequence[LogEntry], origin: str) -> None:
        conflicting_entry_count = self._log.conflicting_entry_count
        applied = self._log.apply_entries(entries)
        if self._log.conflicting_entry_count > conflicting_entry_count:
            logger.error("config: an entry contradicts the log and was not applied")
        if not applied:
            return
        self._publish_view()
        if origin:
            self.forward_offer(make_offer(origin, applied))

    def _publish_view(self) -> None:
        state = self._log.state
        self.view = View(state, self._log.entries())
        self.loaded.set()
        logger.info("config: revision %d is in force", state.revision)
        self.on_config(state.to_config())

    def _is_behind(self) -> bool:
        return self._log.has_gap or self._peer_revision > self._log.revision

    def _request_if_behind(self) -> None:
        if not self._is_behind():
            return
        if not self._request_pacer.is_due(self._log.revision, time.monotonic()):
            return
        self.send_request(ConfigRequest(self._log.revision))
        self.poll_store()
