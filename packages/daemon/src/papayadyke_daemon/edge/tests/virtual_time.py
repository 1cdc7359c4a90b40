"""Run threads one at a time in virtual time, in an order that never varies."""

from __future__ import annotations

import heapq
import itertools
import threading
from contextlib import ExitStack
from types import SimpleNamespace
from unittest import mock

JOIN_TIMEOUT_S = 10.0


class Cancelled(BaseException):
    """Ends a thread whose simulation is over."""


class VirtualTime:
    """Clock that advances when all threads wait, to the earliest end of a wait.

    Each thread is a real one that runs only while it holds the turn, so the code
    under test needs no change: `patch` replaces its clock, `threading` and `time`.
    """

    def __init__(self):
        self.now = 1000.0
        self.errors = []
        self._numbers = itertools.count()
        self._waits = []
        self._main = threading.Semaphore(0)
        self._is_over = False
        self._threads = []

    def read_clock(self):
        return self.now

    def patch(self, *modules):
        """Return a stack that undoes the replacements and ends all threads."""
        stack = ExitStack()
        threads = SimpleNamespace(
            Thread=self._make_thread,
            Event=lambda: VirtualEvent(self),
            Lock=threading.Lock,
            BoundedSemaphore=lambda count: VirtualSemaphore(self, count),
        )
        for module in modules:
            for name, value in (
                ("read_clock", self.read_clock),
                ("threading", threads),
                ("time", SimpleNamespace(sleep=self.sleep, time=self.read_clock)),
            ):
                if hasattr(module, name):
                    stack.enter_context(mock.patch.object(module, name, value))
        stack.callback(self._end)
        return stack

    def spawn(self, run, *args):
        """Start a thread at the present time."""
        turn = threading.Semaphore(0)

        def run_in_turn():
            turn.acquire()
            try:
                if not self._is_over:
                    run(*args)
            except Cancelled:
                pass
            except Exception as exc:
                self.errors.append(exc)
            self._main.release()

        thread = threading.Thread(target=run_in_turn, daemon=True)
        thread.start()
        self._threads.append(thread)
        heapq.heappush(self._waits, (self.now, next(self._numbers), turn, None))

    def sleep(self, seconds):
        self.wait(seconds, lambda: False)

    def wait(self, seconds, is_over):
        """Wait until a time has passed or a condition holds; return the latter."""
        end_s = self.now + max(0.0, seconds)
        turn = threading.Semaphore(0)
        heapq.heappush(self._waits, (end_s, next(self._numbers), turn, is_over))
        self._main.release()
        turn.acquire()
        if self._is_over:
            raise Cancelled
        return is_over()

    def run_until(self, end_s):
        """Let the threads run up to a time."""
        while True:
            row = self._take_next()
            if row is None or row[0] > end_s:
                if row is not None:
                    heapq.heappush(self._waits, row)
                break
            self.now = max(self.now, row[0])
            row[2].release()
            self._main.acquire()
        self.now = max(self.now, end_s)
        assert not self.errors, self.errors

    def _take_next(self):
        """Return the first wait whose condition holds, else the earliest to end."""
        for row in self._waits:
            if row[3] is not None and row[3]():
                self._waits.remove(row)
                heapq.heapify(self._waits)
                return (min(row[0], self.now), *row[1:])
        return heapq.heappop(self._waits) if self._waits else None

    def _make_thread(self, target, args=(), name="", daemon=True):
        return SimpleNamespace(
            start=lambda: self.spawn(target, *args),
            join=lambda timeout=None: None,
            is_alive=lambda: False,
        )

    def _end(self):
        self._is_over = True
        while self._waits:
            heapq.heappop(self._waits)[2].release()
            self._main.acquire()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)


class VirtualEvent:
    """Event whose waits take virtual time."""

    def __init__(self, time):
        self._time = time
        self._is_set = False

    def is_set(self):
        return self._is_set

    def set(self):
        self._is_set = True

    def clear(self):
        self._is_set = False

    def wait(self, timeout=1e9):
        return self._is_set or self._time.wait(timeout, lambda: self._is_set)


class VirtualSemaphore:
    """Semaphore whose waits take virtual time."""

    def __init__(self, time, count):
        self._time = time
        self._count = count

    def acquire(self, blocking=True, timeout=0.0):
        if blocking and not self._count:
            self._time.wait(timeout, lambda: self._count > 0)
        if not self._count:
            return False
        self._count -= 1
        return True

    def release(self):
        self._count += 1
