"""A thread with a mailbox, which alone touches the state of its owner."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable

logger = logging.getLogger(__name__)

LONGEST_SLEEP_S = 1.0


class Mailbox:
    """Runs posted closures, and a tick between them, on one thread.

    Parameters
    ----------
    name : str
        Of the thread, and prefix of its log lines.
    tick : callable
        Called with the monotonic time after each batch of messages and when its
        due time has come; returns the next due time, or None.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        name: str,
        tick: Callable[[float], float | None],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self._tick = tick
        self._clock = clock
        self._queue: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, wait_s: float = 5.0) -> None:
        """Run what was posted before, then end the thread."""
        self._queue.put(None)
        if self._thread.is_alive():
            self._thread.join(wait_s)

    def post(self, message: Callable[[], None]) -> None:
        """Have a closure run on the thread."""
        self._queue.put(message)

    def pump(self) -> float | None:
        """Run what was posted, and a tick, on the calling thread.

        For owners that run without a thread of their own; `start` is not called.
        What a message raises goes to the caller.
        """
        while not self._queue.empty():
            message = self._queue.get()
            if message is not None:
                message()
        return self._tick(self._clock())

    def _run(self) -> None:
        due: float | None = None
        while True:
            now = self._clock()
            wait_s = LONGEST_SLEEP_S if due is None else due - now
            if not self._handle(min(max(wait_s, 0.0), LONGEST_SLEEP_S)):
                return
            due = self._guarded_tick()

    def _handle(self, wait_s: float) -> bool:
        try:
            message = self._queue.get(timeout=wait_s) if wait_s else self._poll()
            while True:
                if message is None:
                    return False
                self._guard(message)
                message = self._poll()
        except queue.Empty:
            return True

    def _poll(self) -> Callable[[], None] | None:
        return self._queue.get_nowait()

    def _guard(self, message: Callable[[], None]) -> None:
        try:
            message()
        except Exception:
            logger.exception("%s: a message failed", self.name)

    def _guarded_tick(self) -> float | None:
        try:
            return self._tick(self._clock())
        except Exception:
            logger.exception("%s: a step failed", self.name)
            return self._clock() + LONGEST_SLEEP_S
