"""Follows the log of the configuration, through the store and the peers."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Sequence

import msgspec

from papayadyke_core.configuration import (
    ConfigState,
    LogEntry,
    make_snapshot,
    read_snapshot,
)
from papayadyke_core.workloads import Config
from papayadyke_daemon.configuration._follower import (
    Follower,
    Heard,
    NewEntries,
    NewState,
)
from papayadyke_daemon.configuration._messages import (
    ConfigMessage,
    ConfigOffer,
    ConfigRequest,
    ConfigSnapshot,
    make_offer,
)
from papayadyke_daemon.configuration._reader import Reader
from papayadyke_daemon.configuration._repository import ConfigRepository
from papayadyke_daemon.configuration._settings import ConfigSyncSettings

logger = logging.getLogger(__name__)

MAX_OFFERED_ENTRIES = 64
STOP_WAIT_S = 1.0


class ConfigSync:
    """Keeps the newest configuration of a VM.

    One thread owns the log and takes whatever comes in; another one talks to
    the store. All public methods may be called from any thread.

    Parameters
    ----------
    repository : ConfigRepository
    settings : ConfigSyncSettings
    on_config : callable
        Takes each `Config` that comes into force, in order, in the thread of
        the follower.
    is_watcher : callable
        Tells whether this VM watches the store; may change at any time.
    spread : callable
        Takes a `ConfigOffer` to pass on, see `neighbours_of`.
    ask_peers : callable
        Takes a `ConfigRequest` to send to one peer or a few.
    rng : random.Random
    """

    def __init__(
        self,
        repository: ConfigRepository,
        *,
        settings: ConfigSyncSettings,
        on_config: Callable[[Config], None],
        is_watcher: Callable[[], bool] = lambda: True,
        spread: Callable[[ConfigOffer], None] = lambda _: None,
        ask_peers: Callable[[ConfigRequest], None] = lambda _: None,
        rng: random.Random | None = None,
    ):
        self.repository = repository
        self.settings = settings
        self._follower = Follower(
            settings=settings,
            on_config=on_config,
            spread=spread,
            ask_peers=ask_peers,
            look=lambda: self._reader.look(),
        )
        self._reader = Reader(
            repository,
            settings=settings,
            follower=self._follower,
            is_watcher=is_watcher,
            ask_peers=ask_peers,
            rng=rng or random.Random(),
        )
        self._threads = [
            threading.Thread(target=self._follower.run, name="config-follower"),
            threading.Thread(target=self._reader.run, name="config-reader"),
        ]

    @property
    def state(self) -> ConfigState:
        """The newest state that is in force here."""
        return self._follower.view.state

    @property
    def revision(self) -> int:
        """Its revision, for heartbeats."""
        return self._follower.revision

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    def stop(self) -> None:
        """Stop following; a call that waits at the store is left to its timeout."""
        self._reader.stop()
        self._follower.stop()
        for thread in self._threads:
            thread.join(STOP_WAIT_S)

    def wait_loaded(self, timeout_s: float) -> bool:
        """Wait until the store or a peer has told the configuration."""
        return self._follower.loaded.wait(timeout_s)

    def hear(self, revision: int) -> None:
        """Note that a peer is at a revision, as its heartbeat says."""
        if revision > self.revision:
            self._follower.put(Heard(revision))

    def offer(self, entries: Sequence[LogEntry]) -> None:
        """Take entries that the writer of this VM has from the store."""
        self._follower.put(NewEntries(entries, self.settings.vm))

    def receive(self, message: ConfigMessage) -> ConfigMessage | None:
        """Take a message of a peer, and return the answer to it, if any."""
        match message:
            case ConfigRequest(after):
                return self.answer(after)
            case ConfigOffer(origin):
                self._receive_offer(message, origin)
            case ConfigSnapshot(head, chunks):
                self._receive_snapshot(read_snapshot(head, chunks).ok())
        return None

    def answer(self, after: int) -> ConfigMessage | None:
        """Return what a peer at a revision lacks; None where it lacks nothing."""
        view = self._follower.view
        if after >= view.state.revision:
            return None
        first = view.entries[0].revision if view.entries else view.state.revision + 1
        if after + 1 < first:
            return ConfigSnapshot(*make_snapshot(view.state))
        start = after + 1 - first
        entries = view.entries[start : start + MAX_OFFERED_ENTRIES]
        return make_offer("", entries)

    def _receive_offer(self, message: ConfigOffer, origin: str) -> None:
        try:
            entries = message.decode()
        except msgspec.DecodeError as exc:
            logger.warning("config: offer of a peer not understood: %s", exc)
            return
        self._follower.put(NewEntries(entries, origin))

    def _receive_snapshot(self, state: ConfigState | None) -> None:
        if state is not None:
            self._follower.put(NewState(state))
