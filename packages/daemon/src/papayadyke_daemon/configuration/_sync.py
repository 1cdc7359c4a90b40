"""Follows the log of the configuration, through the store and the peers."""

from __future__ import annotations

import logging
import queue
import random
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
from result import Err

from papayadyke_core.configuration import (
    ConfigLog,
    ConfigState,
    LogEntry,
    make_snapshot,
    read_snapshot,
)
from papayadyke_core.workloads import Config
from papayadyke_daemon.configuration._messages import (
    ConfigMessage,
    ConfigOffer,
    ConfigRequest,
    ConfigSnapshot,
    make_offer,
)
from papayadyke_daemon.configuration._pacer import AskPacer
from papayadyke_daemon.configuration._repository import (
    LOG_PREFIX,
    SNAPSHOT_EVERY,
    ConfigRepository,
    Tail,
    parse_entry,
)
from papayadyke_platform.store import ErrorKind

logger = logging.getLogger(__name__)

MAX_OFFERED_ENTRIES = 64
MAX_QUEUED = 1000
STOP_WAIT_S = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigSyncSettings:
    """How a VM follows the configuration.

    Parameters
    ----------
    vm : str
        Name of this VM.
    watch_wait_s : float, default=10.0
        Longest wait of one watch.
    poll_s : float, default=60.0
        Time between two looks at the store on a VM that does not watch.
    ask_s, max_ask_s : float
        Bounds of the time between two requests to the peers.
    retry_min_s, retry_max_s : float
        Bounds of the waiting time after a failed call.
    """

    vm: str
    watch_wait_s: float = 10.0
    poll_s: float = 60.0
    ask_s: float = 0.5
    max_ask_s: float = 30.0
    retry_min_s: float = 0.2
    retry_max_s: float = 5.0


@dataclass(frozen=True, slots=True)
class _Entries:
    entries: Sequence[LogEntry]
    origin: str


@dataclass(frozen=True, slots=True)
class _State:
    state: ConfigState


@dataclass(frozen=True, slots=True)
class _Hint:
    revision: int


@dataclass(frozen=True, slots=True)
class _Stop:
    pass


@dataclass(frozen=True, slots=True)
class _View:
    """What other threads may read: nothing of it changes."""

    state: ConfigState
    entries: tuple[LogEntry, ...]


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
        self.on_config = on_config
        self.is_watcher = is_watcher
        self.spread = spread
        self.ask_peers = ask_peers
        self.rng = rng or random.Random()
        self._inbox: queue.Queue = queue.Queue(MAX_QUEUED)
        self._view = _View(ConfigState(), ())
        self._loaded = threading.Event()
        self._follower = _Follower(self)
        self._reader = _Reader(self)
        self._threads = [
            threading.Thread(target=self._follower.run, name="config-follower"),
            threading.Thread(target=self._reader.run, name="config-reader"),
        ]

    @property
    def state(self) -> ConfigState:
        """The newest state that is in force here."""
        return self._view.state

    @property
    def revision(self) -> int:
        """Its revision, for heartbeats."""
        return self._view.state.revision

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    def stop(self) -> None:
        """Stop following; a call that waits at the store is left to its timeout."""
        self._reader.stopped.set()
        self._reader.wake.put(None)
        self._inbox.put(_Stop())
        for thread in self._threads:
            thread.join(STOP_WAIT_S)

    def wait_loaded(self, timeout_s: float) -> bool:
        """Wait until the store or a peer has told the configuration."""
        return self._loaded.wait(timeout_s)

    def hear(self, revision: int) -> None:
        """Note that a peer is at a revision, as its heartbeat says."""
        if revision > self.revision:
            self._put(_Hint(revision))

    def offer(self, entries: Sequence[LogEntry]) -> None:
        """Take entries that the writer of this VM has from the store."""
        self._put(_Entries(entries, self.settings.vm))

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
        view = self._view
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
        self._put(_Entries(entries, origin))

    def _receive_snapshot(self, state: ConfigState | None) -> None:
        if state is not None:
            self._put(_State(state))

    def _put(self, message: _Entries | _State | _Hint) -> None:
        """Queue a message; what is dropped here is asked for again later."""
        try:
            self._inbox.put_nowait(message)
        except queue.Full:
            logger.warning("config: the queue is full, a message is dropped")


class _Follower:
    """The thread that owns the log."""

    def __init__(self, sync: ConfigSync):
        self.sync = sync
        self.log = ConfigLog()
        self._heard = 0
        settings = sync.settings
        self._pacer = AskPacer(min_s=settings.ask_s, max_s=settings.max_ask_s)

    def run(self) -> None:
        while True:
            message = self._next()
            if isinstance(message, _Stop):
                return
            if message is not None:
                self._take(message)
            self._ask_if_behind()

    def _next(self) -> _Entries | _State | _Hint | _Stop | None:
        wait_s = self.sync.settings.ask_s if self._is_behind() else None
        try:
            return self.sync._inbox.get(timeout=wait_s)
        except queue.Empty:
            return None

    def _take(self, message: _Entries | _State | _Hint) -> None:
        match message:
            case _Hint(revision):
                self._heard = max(self._heard, revision)
            case _State(state):
                if self.log.install(state):
                    self._show()
                    self._take(_Entries((), ""))
            case _Entries(entries, origin):
                before = self.log.contradictions
                taken = self.log.offer(entries)
                if self.log.contradictions > before:
                    logger.error("config: an entry contradicts the log, not taken")
                if taken:
                    self._show()
                if taken and origin:
                    self.sync.spread(make_offer(origin, taken))

    def _show(self) -> None:
        state = self.log.state
        self.sync._view = _View(state, self.log.entries())
        self.sync._loaded.set()
        logger.info("config: revision %d is in force", state.revision)
        self.sync.on_config(state.to_config())

    def _is_behind(self) -> bool:
        return self.log.has_gap or self._heard > self.log.revision

    def _ask_if_behind(self) -> None:
        if not self._is_behind():
            return
        if not self._pacer.is_due(self.log.revision, time.monotonic()):
            return
        self.sync.ask_peers(ConfigRequest(self.log.revision))
        self.sync._reader.wake.put(None)


class _Reader:
    """The thread that talks to the store."""

    def __init__(self, sync: ConfigSync):
        self.sync = sync
        self.stopped = threading.Event()
        self.wake: queue.SimpleQueue = queue.SimpleQueue()
        self._snapshot_revision = 0
        self._wait_s = sync.settings.retry_min_s

    def run(self) -> None:
        while not self.stopped.is_set():
            if not self._step():
                self._back_off()
                continue
            self._wait_s = self.sync.settings.retry_min_s
            self._write_snapshot()
            if not self.sync.is_watcher():
                poll_s = self.sync.settings.poll_s
                self._pause(self.sync.rng.uniform(0.5 * poll_s, poll_s))

    def _step(self) -> bool:
        """Read to the end of the log, then watch; False where a call failed."""
        if not self.sync.is_watcher():
            return self._catch_up()
        start = self.sync.repository.store.revision()
        # The read comes after: what is written in between is in the watch too.
        if isinstance(start, Err) or not self._catch_up():
            return False
        return self._watch(start.ok_value)

    def _watch(self, after: int) -> bool:
        """Pass on events until a watch brings none."""
        while not self.stopped.is_set():
            found = self.sync.repository.store.watch(
                LOG_PREFIX, after=after, wait_s=self.sync.settings.watch_wait_s
            )
            if isinstance(found, Err):
                return found.err_value.kind is ErrorKind.INVALID
            if not found.ok_value:
                return True
            after = found.ok_value[-1].revision
            values = [event.value for event in found.ok_value]
            self._post([e for v in values if v and (e := parse_entry(v)) is not None])
            self._write_snapshot()
        return True

    def _catch_up(self) -> bool:
        """Post what follows the revision in force, to the end of the log."""
        position = self.sync.revision
        while not self.stopped.is_set():
            position = max(position, self.sync.revision)
            found = self.sync.repository.read_after(position)
            if isinstance(found, Err):
                return False
            tail = found.ok_value
            if not tail.entries and not tail.is_overwritten:
                self.sync._loaded.set()
                return True
            snapshot = self._read_snapshot(position, tail)
            if snapshot is None and tail.is_overwritten:
                return False
            if snapshot is not None:
                position = snapshot.revision
                self.sync._put(_State(snapshot))
            else:
                position = tail.entries[-1].revision
                self._post(tail.entries)
        return False

    def _read_snapshot(self, position: int, tail: Tail) -> ConfigState | None:
        """Read the snapshot where it is needed, or saves reading the log."""
        if position > 0 and not tail.is_overwritten:
            return None
        found = self.sync.repository.read_state()
        state = found.ok() if found.is_ok() else None
        if state is None or state.revision <= position:
            return None
        self._snapshot_revision = max(self._snapshot_revision, state.revision)
        return state

    def _post(self, entries: Sequence[LogEntry]) -> None:
        if entries:
            self.sync._put(_Entries(entries, self.sync.settings.vm))

    def _write_snapshot(self) -> None:
        """Write a snapshot when one is due; the random part parts the watchers."""
        state = self.sync.state
        due = self._snapshot_revision + SNAPSHOT_EVERY
        if not self.sync.is_watcher() or state.revision < due:
            return
        if state.revision < due + self.sync.rng.randrange(SNAPSHOT_EVERY // 4):
            return
        done = self.sync.repository.write_state(state)
        head = self.sync.repository.read_head()
        newest = head.ok() if head.is_ok() else None
        if newest is not None:
            self._snapshot_revision = max(self._snapshot_revision, newest.revision)
        if isinstance(done, Err):
            logger.warning("config: no snapshot written: %s", done.err_value.detail)

    def _back_off(self) -> None:
        # An empty VM cannot wait for the store: its peers may have it all.
        if not self.sync._loaded.is_set():
            self.sync.ask_peers(ConfigRequest(self.sync.revision))
        self._pause(self.sync.rng.uniform(0.5 * self._wait_s, self._wait_s))
        self._wait_s = min(2 * self._wait_s, self.sync.settings.retry_max_s)

    def _pause(self, wait_s: float) -> None:
        """Wait, or less where there is a reason to look at once."""
        try:
            self.wake.get(timeout=wait_s)
            while not self.wake.empty():
                self.wake.get()
        except queue.Empty:
            pass
