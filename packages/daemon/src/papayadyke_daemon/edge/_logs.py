"""Write structured logs without blocking the threads that log."""

from __future__ import annotations

import logging
import select
import sys
import threading
import time
from collections import deque
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

MAX_QUEUED_LINES = 2000  # further lines are counted and dropped
# Seconds between two writes; a longer interval puts more lines into each write.
FLUSH_INTERVAL_S = 0.1
# Bytes of a write, unless one line is longer. A pipe takes this much as a whole; of
# longer writes a reader may get the beginning only.
MAX_WRITE_BYTES = select.PIPE_BUF


class JsonFormatter(logging.Formatter):
    """Format a log record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line of a log record."""
        line: dict[str, Any] = {
            "ts": round(record.created, 3),
            "level": record.levelname,
            "msg": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class QueueWriter(logging.Handler):
    """Write lines on a separate thread, and drop lines if it falls behind.

    Parameters
    ----------
    stream : text stream, default=sys.stdout
    """

    def __init__(self, stream: Any = None) -> None:
        super().__init__()
        self._stream = stream or sys.stdout
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a log record, or drop it if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._lines.append(self.format(record))
        self._wake.set()

    def write_queued(self) -> None:
        """Write all queued lines."""
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._dropped:
            lines.append(f'{{"msg":"logs: lines dropped","count":{self._dropped}}}')
            self._dropped = 0
        for block in join_lines(lines, MAX_WRITE_BYTES):
            self._stream.write(block)
            self._stream.flush()

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            self.write_queued()
            time.sleep(FLUSH_INTERVAL_S)


def join_lines(lines: Sequence[str], max_bytes: int) -> Iterator[str]:
    """Yield the lines in blocks that end with a line.

    Parameters
    ----------
    lines : sequence of str
        Without line ends.
    max_bytes : int
        Size of a block, unless a single line is longer.
    """
    block: list[str] = []
    size = 0
    for line in lines:
        line_size = len(line.encode()) + 1
        if block and size + line_size > max_bytes:
            yield "\n".join(block) + "\n"
            block, size = [], 0
        block.append(line)
        size += line_size
    if block:
        yield "\n".join(block) + "\n"


def configure_logging(level: str = "INFO") -> QueueWriter:
    """Send the logs of the program to standard output as JSON lines."""
    writer = QueueWriter()
    writer.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [writer]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel("ERROR")
    return writer


def log_event(logger: logging.Logger, message: str, **fields: Any) -> None:
    """Log an event with the values that led to it, as structured fields."""
    logger.info(message, extra={"fields": fields})
