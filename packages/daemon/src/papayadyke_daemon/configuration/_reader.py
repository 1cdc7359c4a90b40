"""The thread that reads and watches the configuration log in the store."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable, Sequence

from result import Err

from papayadyke_clients.store import ErrorKind
from papayadyke_core.configuration import ConfigState, LogEntry
from papayadyke_daemon.configuration._follower import Follower, NewEntries, NewState
from papayadyke_daemon.configuration._messages import ConfigRequest
from papayadyke_daemon.configuration._repository import (
    LOG_PREFIX,
    SNAPSHOT_EVERY,
    ConfigRepository,
    Tail,
    parse_entry,
)
from papayadyke_daemon.configuration._settings import ConfigSyncSettings

logger = logging.getLogger(__name__)


class Reader:
    """Passes on to the follower what the store has.

    Parameters
    ----------
    repository : ConfigRepository
    settings : ConfigSyncSettings
    follower : Follower
    is_watcher, ask_peers : callable
        As in `ConfigSync`.
    rng : random.Random
    """

    def __init__(
        self,
        repository: ConfigRepository,
        *,
        settings: ConfigSyncSettings,
        follower: Follower,
        is_watcher: Callable[[], bool],
        ask_peers: Callable[[ConfigRequest], None],
        rng: random.Random,
    ):
        self.repository = repository
        self.settings = settings
        self.follower = follower
        self.is_watcher = is_watcher
        self.ask_peers = ask_peers
        self.rng = rng
        self._stopped = threading.Event()
        self._look = threading.Event()
        self._snapshot_revision = 0
        self._wait_s = settings.retry_min_s

    def look(self) -> None:
        """Have a waiting thread look into the store at once."""
        self._look.set()

    def stop(self) -> None:
        """Have the thread end after the call that it is in."""
        self._stopped.set()
        self._look.set()

    def run(self) -> None:
        """Follow the store until `stop`."""
        while not self._stopped.is_set():
            if not self._step():
                self._back_off()
                continue
            self._wait_s = self.settings.retry_min_s
            self._write_snapshot()
            if not self.is_watcher():
                poll_s = self.settings.poll_s
                self._pause(self.rng.uniform(0.5 * poll_s, poll_s))

    def _step(self) -> bool:
        """Read to the end of the log, then watch; False where a call failed."""
        if not self.is_watcher():
            return self._catch_up()
        start = self.repository.store.revision()
        # The read comes after: what is written in between is in the watch too.
        if isinstance(start, Err) or not self._catch_up():
            return False
        return self._watch(start.ok_value)

    def _watch(self, after: int) -> bool:
        """Pass on events until a watch brings none."""
        while not self._stopped.is_set():
            found = self.repository.store.watch(
                LOG_PREFIX, after=after, wait_s=self.settings.watch_wait_s
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
        position = self.follower.revision
        while not self._stopped.is_set():
            position = max(position, self.follower.revision)
            found = self.repository.read_after(position)
            if isinstance(found, Err):
                return False
            tail = found.ok_value
            if not tail.entries and not tail.is_overwritten:
                self.follower.loaded.set()
                return True
            snapshot = self._read_snapshot(position, tail)
            if snapshot is None and tail.is_overwritten:
                return False
            if snapshot is not None:
                position = snapshot.revision
                self.follower.put(NewState(snapshot))
            else:
                position = tail.entries[-1].revision
                self._post(tail.entries)
        return False

    def _read_snapshot(self, position: int, tail: Tail) -> ConfigState | None:
        """Read the snapshot where it is needed, or saves reading the log."""
        if position > 0 and not tail.is_overwritten:
            return None
        found = self.repository.read_state()
        state = found.ok() if found.is_ok() else None
        if state is None or state.revision <= position:
            return None
        self._snapshot_revision = max(self._snapshot_revision, state.revision)
        return state

    def _post(self, entries: Sequence[LogEntry]) -> None:
        if entries:
            self.follower.put(NewEntries(entries, self.settings.vm))

    def _write_snapshot(self) -> None:
        """Write a snapshot when one is due; the random part parts the watchers."""
        state = self.follower.view.state
        due = self._snapshot_revision + SNAPSHOT_EVERY
        if not self.is_watcher() or state.revision < due:
            return
        if state.revision < due + self.rng.randrange(SNAPSHOT_EVERY // 4):
            return
        done = self.repository.write_state(state)
        head = self.repository.read_head()
        newest = head.ok() if head.is_ok() else None
        if newest is not None:
            self._snapshot_revision = max(self._snapshot_revision, newest.revision)
        if isinstance(done, Err):
            logger.warning("config: no snapshot written: %s", done.err_value.detail)

    def _back_off(self) -> None:
        # An empty VM cannot wait for the store: its peers may have it all.
        if not self.follower.loaded.is_set():
            self.ask_peers(ConfigRequest(self.follower.revision))
        self._pause(self.rng.uniform(0.5 * self._wait_s, self._wait_s))
        self._wait_s = min(2 * self._wait_s, self.settings.retry_max_s)

    def _pause(self, wait_s: float) -> None:
        """Wait, or less where there is a reason to look at once."""
        if self._look.wait(wait_s) and not self._stopped.is_set():
            self._look.clear()
