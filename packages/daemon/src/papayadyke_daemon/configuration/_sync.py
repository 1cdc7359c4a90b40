"""Follow the configuration log through the store and the peers."""

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
    NewEntries,
    NewState,
    PeerRevision,
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

MAX_ENTRIES_PER_OFFER = 64
JOIN_TIMEOUT_S = 1.0


class ConfigSync:
    """Keep a VM's copy of the configuration up to date.

    One thread owns the log and applies incoming entries and snapshots; another
    one reads the store. All public methods may be called from any thread.

    Parameters
    ----------
    repository : ConfigRepository
    settings : ConfigSyncSettings
    on_config : callable
        Called by the follower's thread with each `Config` that comes into
        force, in order.
    is_watcher : callable
        Returns whether this VM watches the store; may change at any time.
    forward_offer : callable
        Called with a `ConfigOffer` to forward to the neighbours of this VM, see
        `neighbours_of`.
    send_request : callable
        Called with a `ConfigRequest` to send to one or a few peers.
    rng : random.Random
    """

    def __init__(
        self,
        repository: ConfigRepository,
        *,
        settings: ConfigSyncSettings,
        on_config: Callable[[Config], None],
        is_watcher: Callable[[], bool] = lambda: True,
        forward_offer: Callable[[ConfigOffer], None] = lambda _: None,
        send_request: Callable[[ConfigRequest], None] = lambda _: None,
        rng: random.Random | None = None,
    ):
        self.repository = repository
        self.settings = settings
        self._follower = Follower(
            settings=settings,
            on_config=on_config,
            forward_offer=forward_offer,
            send_request=send_request,
            poll_store=lambda: self._reader.poll_now(),
        )
        self._reader = Reader(
            repository,
            settings=settings,
            follower=self._follower,
            is_watcher=is_watcher,
            send_request=send_request,
            rng=rng or random.Random(),
        )
        self._threads = [
            threading.Thread(target=self._follower.run, name="config-follower"),
            threading.Thread(target=self._reader.run, name="config-reader"),
        ]

    @property
    def state(self) -> ConfigState:
        """Newest configuration state in force on this VM."""
        return self._follower.view.state

    @property
    def revision(self) -> int:
        """Revision in force, which heartbeats carry."""
        return self._follower.revision

    def start(self) -> None:
        """Start the follower and the reader thread."""
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    def stop(self) -> None:
        """Stop both threads; a pending store call is left to run into its timeout."""
        self._reader.stop()
        self._follower.stop()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)

    def wait_loaded(self, timeout_s: float) -> bool:
        """Wait until a configuration has been loaded from the store or a peer."""
        return self._follower.loaded.wait(timeout_s)

    def observe_peer_revision(self, revision: int) -> None:
        """Record the revision that a peer reported in its heartbeat."""
        if revision > self.revision:
            self._follower.put(PeerRevision(revision))

    def add_entries(self, entries: Sequence[LogEntry]) -> None:
        """Queue entries that this VM's writer read from or wrote to the store."""
        self._follower.put(NewEntries(entries, self.settings.vm))

    def handle_message(self, message: ConfigMessage) -> ConfigMessage | None:
        """Handle a message of a peer, and return the reply, if any."""
        match message:
            case ConfigRequest(after):
                return self.answer(after)
            case ConfigOffer(origin):
                self._handle_offer(message, origin)
            case ConfigSnapshot(head, chunks):
                self._handle_snapshot(read_snapshot(head, chunks).ok())
        return None

    def answer(self, after: int) -> ConfigMessage | None:
        """Return what a peer at revision `after` lacks, or None if it is up to date."""
        view = self._follower.view
        if after >= view.state.revision:
            return None
        oldest = view.entries[0].revision if view.entries else view.state.revision + 1
        if after + 1 < oldest:
            return ConfigSnapshot(*make_snapshot(view.state))
        start = after + 1 - oldest
        entries = view.entries[start : start + MAX_ENTRIES_PER_OFFER]
        return make_offer("", entries)

    def _handle_offer(self, message: ConfigOffer, origin: str) -> None:
        try:
            entries = message.decode()
        except msgspec.DecodeError as exc:
            logger.warning("config: an offer of a peer could not be decoded: %s", exc)
            return
        self._follower.put(NewEntries(entries, origin))

    def _handle_snapshot(self, state: ConfigState | None) -> None:
        if state is not None:
            self._follower.put(NewState(state))
