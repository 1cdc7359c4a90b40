"""Messages to one peer that are sent in the background."""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Callable

logger = logging.getLogger(__name__)


class PostThread:
    """Send posted messages to one peer, in order, on a dedicated thread.

    Parameters
    ----------
    peer : str
    limit : int
        Most messages in the queue; if it is full, the oldest is dropped, because
        its content is the most outdated.
    """

    def __init__(self, peer: str, *, limit: int) -> None:
        self.peer = peer
        self.limit = limit
        self._queue: deque[Callable[[], None]] = deque()
        self._condition = threading.Condition()
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name=f"peers-post-{peer}", daemon=True
        )
        self._thread.start()

    def add(self, send: Callable[[], None]) -> bool:
        """Queue a call; return False if the oldest was dropped to make room."""
        with self._condition:
            is_full = len(self._queue) >= self.limit
            if is_full:
                self._queue.popleft()
            self._queue.append(send)
            self._condition.notify()
        return not is_full

    def close(self) -> None:
        """Drop the queued messages and end the thread."""
        with self._condition:
            self._is_closed = True
            self._condition.notify()

    def join(self, timeout_s: float) -> None:
        """Wait until the message being sent is done, at most `timeout_s` seconds."""
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while (send := self._next_send()) is not None:
            try:
                send()
            except Exception:
                logger.exception(
                    "peers: sending a posted message to %s failed", self.peer
                )

    def _next_send(self) -> Callable[[], None] | None:
        with self._condition:
            while not self._queue and not self._is_closed:
                self._condition.wait()
            return None if self._is_closed else self._queue.popleft()
