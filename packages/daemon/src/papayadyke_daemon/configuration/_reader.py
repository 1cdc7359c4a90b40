"""Thread that reads and watches the configuration log in the store."""

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
    SNAPSHOT_INTERVAL_ENTRIES,
    ConfigRepository,
    Tail,
    parse_entry,
)
from papayadyke_daemon.configuration._settings import ConfigSyncSettings

logger = logging.getLogger(__name__)


class Reader:
    """Read entries and snapshots from the store and queue them for the follower.

    Parameters
    ----------
    repository : ConfigRepository
    settings : ConfigSyncSettings
    follower : Follower
    is_watcher, send_request : callable
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
        send_request: Callable[[ConfigRequest], None],
        rng: random.Random,
    ):
        self.repository = repository
        self.settings = settings
        self.follower = follower
        self.is_watcher = is_watcher
        self.send_request = send_request
        self.rng = rng
        self._stopped = threading.Event()
        self._wakeup = threading.Event()
        self._snapshot_revision = 0
        self._retry_wait_s = settings.retry_min_s

    def poll_now(self) -> None:
        """Wake the thread to read the store at once."""
        self._wakeup.set()

    def stop(self) -> None:
        """Tell the thread to end after its current call."""
        self._stopped.set()
        self._wakeup.set()

    def run(self) -> None:
        """Follow the store until `stop`."""
        while not self._stopped.is_set():
            if not self._sync_once():
                self._back_off()
                continue
            self._retry_wait_s = self.settings.retry_min_s
            self._write_snapshot()
            if not self.is_watcher():
                poll_s = self.settings.poll_s
                self._pause(self.rng.uniform(0.5 * poll_s, poll_s))

    def _sync_once(self) -> bool:
        """Read to the end of the log, then watch; return False if a call failed."""
        if not self.is_watcher():
            return self._catch_up()
        start = self.repository.store.revision()
        # The log is read after the revision is taken, so the watch also covers what
        # is written in between.
        if isinstance(start, Err) or not self._catch_up():
            return False
        return self._watch(start.ok_value)

    def _watch(self, after: int) -> bool:
        """Post the entries of events until a watch returns none."""
        while not self._stopped.is_set():
            events = self.repository.store.watch(
                LOG_PREFIX, after=after, wait_s=self.settings.watch_wait_s
            )
            if isinstance(events, Err):
                return events.err_value.kind is ErrorKind.INVALID
            if not events.ok_value:
                return True
            after = events.ok_value[-1].revision
            values = [event.value for event in events.ok_value]
            self._post([e for v in values if v and (e := parse_entry(v)) is not None])
            self._write_snapshot()
        return True

    def _catch_up(self) -> bool:
        """Post everything after the revision in force, to the end of the log."""
        position = self.follower.revision
        while not self._stopped.is_set():
            position = max(position, self.follower.revision)
            page = self.repository.read_after(position)
            if isinstance(page, Err):
                return False
            tail = page.ok_value
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
        """Read the snapshot if it is needed or saves reading the log."""
        if position > 0 and not tail.is_overwritten:
            return None
        snapshot = self.repository.read_state()
        state = snapshot.ok() if snapshot.is_ok() else None
        if state is None or state.revision <= position:
            return None
        self._snapshot_revision = max(self._snapshot_revision, state.revision)
        return state

    def _post(self, entries: Sequence[LogEntry]) -> None:
        if entries:
            self.follower.put(NewEntries(entries, self.settings.vm))

    def _write_snapshot(self) -> None:
        """Write a snapshot if one is due.

        A random offset keeps the watchers from writing at the same time.
        """
        state = self.follower.view.state
        due_revision = self._snapshot_revision + SNAPSHOT_INTERVAL_ENTRIES
        if not self.is_watcher() or state.revision < due_revision:
            return
        if state.revision < due_revision + self.rng.randrange(
            SNAPSHOT_INTERVAL_ENTRIES // 4
        ):
            return
        written = self.repository.write_state(state)
        head = self.repository.read_head()
        newest = head.ok() if head.is_ok() else None
        if newest is not None:
            self._snapshot_revision = max(self._snapshot_revision, newest.revision)
        if isinstance(written, Err):
            logger.warning(
                "config: writing a snapshot failed: %s", written.err_value.detail
            )

    def _back_off(self) -> None:
        # A VM without a configuration does not wait for the store: its peers may
        # have the configuration.
        if not self.follower.loaded.is_set():
            self.send_request(ConfigRequest(self.follower.revision))
        self._pause(self.rng.uniform(0.5 * self._retry_wait_s, self._retry_wait_s))
        self._retry_wait_s = min(2 * self._retry_wait_s, self.settings.retry_max_s)

    def _pause(self, wait_s: float) -> None:
        """Wait, but return early if `poll_now` or `stop` is called."""
        if self._wakeup.wait(wait_s) and not self._stopped.is_set():
            self._wakeup.clear()
