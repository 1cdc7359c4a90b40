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
from papayadyke_daemon.configuration._pacer import AskPacer
from papayadyke_daemon.configuration._settings import ConfigSyncSettings

logger = logging.getLogger(__name__)

MAX_QUEUED = 1000
STOP_WAIT_S = 1.0


@dataclass(frozen=True, slots=True)
class NewEntries:
    """Entries for the log; an empty origin has them not passed on."""

    entries: Sequence[LogEntry]
    origin: str


@dataclass(frozen=True, slots=True)
class NewState:
    """A snapshot for the log."""

    state: ConfigState


@dataclass(frozen=True, slots=True)
class Heard:
    """A peer is at this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Stop:
    """End the thread."""


Message = NewEntries | NewState | Heard | Stop


@dataclass(frozen=True, slots=True)
class View:
    """What other threads may read: nothing of it changes."""

    state: ConfigState
    entries: tuple[LogEntry, ...]


class Follower:
    """Takes entries and snapshots, and tells what came into force.

    Parameters
    ----------
    settings : ConfigSyncSettings
    on_config, spread, ask_peers : callable
        As in `ConfigSync`.
    look : callable
        Called where the store should be looked into at once.

    Attributes
    ----------
    view : View
        Replaced whole, so any thread may read it.
    loaded : threading.Event
        Set once the store or a peer has told the configuration.
    """

    def __init__(
        self,
        *,
        settings: ConfigSyncSettings,
        on_config: Callable[[Config], None],
        spread: Callable[[ConfigOffer], None],
        ask_peers: Callable[[ConfigRequest], None],
        look: Callable[[], None],
    ):
        self.settings = settings
        self.on_config = on_config
        self.spread = spread
        self.ask_peers = ask_peers
        self.look = look
        self.view = View(ConfigState(), ())
        self.loaded = threading.Event()
        self._inbox: queue.Queue[Message] = queue.Queue(MAX_QUEUED)
        self._log = ConfigLog()
        self._heard = 0
        self._pacer = AskPacer(min_s=settings.ask_s, max_s=settings.max_ask_s)

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.view.state.revision

    def put(self, message: Message) -> None:
        """Queue a message; what is dropped here is asked for again later."""
        try:
            self._inbox.put_nowait(message)
        except queue.Full:
            logger.warning("config: the queue is full, a message is dropped")

    def stop(self) -> None:
        """Have the thread end, behind what is queued."""
        with contextlib.suppress(queue.Full):
            self._inbox.put(Stop(), timeout=STOP_WAIT_S)

    def run(self) -> None:
        """Take messages until `Stop`."""
        while True:
            message = self._next()
            if isinstance(message, Stop):
                return
            if message is not None:
                self._take(message)
            self._ask_if_behind()

    def _next(self) -> Message | None:
        wait_s = self.settings.ask_s if self._is_behind() else None
        try:
            return self._inbox.get(timeout=wait_s)
        except queue.Empty:
            return None

    def _take(self, message: Message) -> None:
        match message:
            case Heard(revision):
                self._heard = max(self._heard, revision)
            case NewState(state):
                if self._log.install(state):
                    # What waited for this snapshot follows at once.
                    self._log.offer(())
                    self._show()
            case NewEntries(entries, origin):
                self._take_entries(entries, origin)

    def _take_entries(self, entries: Sequence[LogEntry], origin: str) -> None:
        before = self._log.contradictions
        taken = self._log.offer(entries)
        if self._log.contradictions > before:
            logger.error("config: an entry contradicts the log, not taken")
        if not taken:
            return
        self._show()
        if origin:
            self.spread(make_offer(origin, taken))

    def _show(self) -> None:
        state = self._log.state
        self.view = View(state, self._log.entries())
        self.loaded.set()
        logger.info("config: revision %d is in force", state.revision)
        self.on_config(state.to_config())

    def _is_behind(self) -> bool:
        return self._log.has_gap or self._heard > self._log.revision

    def _ask_if_behind(self) -> None:
        if not self._is_behind():
            return
        if not self._pacer.is_due(self._log.revision, time.monotonic()):
            return
        self.ask_peers(ConfigRequest(self._log.revision))
        self.look()
