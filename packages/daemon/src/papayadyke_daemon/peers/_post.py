"""Messages to one peer that nobody waits for."""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Callable

logger = logging.getLogger(__name__)


class PostThread:
    """Sends what is posted to one peer, in order, in a thread of its own.

    Parameters
    ----------
    peer : str
    limit : int
        Messages that may wait; the oldest gives way, as it is the stalest.
    """

    def __init__(self, peer: str, *, limit: int) -> None:
        self.peer = peer
        self.limit = limit
        self._waiting: deque[Callable[[], None]] = deque()
        self._condition = threading.Condition()
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name=f"peers-post-{peer}", daemon=True
        )
        self._thread.start()

    def add(self, send: Callable[[], None]) -> bool:
        """Queue a call; False where the oldest was dropped for it."""
        with self._condition:
            is_full = len(self._waiting) >= self.limit
            if is_full:
                self._waiting.popleft()
            self._waiting.append(send)
            self._condition.notify()
        return not is_full

    def close(self) -> None:
        """Drop what waits, and end."""
        with self._condition:
            self._is_closed = True
            self._condition.notify()

    def join(self, timeout_s: float) -> None:
        """Wait for the end of the message that is being sent."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while (send := self._take()) is not None:
            try:
                send()
            except Exception:
                logger.exception("peers: a message to %s failed", self.peer)

    def _take(self) -> Callable[[], None] | None:
        with self._condition:
            while not self._waiting and not self._is_closed:
                self._condition.wait()
            return None if self._is_closed else self._waiting.popleft()
