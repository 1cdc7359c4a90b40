"""Test that logs are JSON lines in a bounded queue."""

import io
import json
import logging
import select

from papayadyke_daemon.edge import log_event
from papayadyke_daemon.edge._logs import MAX_QUEUED_LINES, JsonFormatter, QueueWriter


def make_logger(stream):
    writer = QueueWriter(stream)
    writer.setFormatter(JsonFormatter())
    logger = logging.getLogger("test-edge-logs")
    logger.handlers[:] = [writer]
    logger.propagate = False
    logger.setLevel("INFO")
    return logger, writer


def test_line_contains_the_fields_of_the_event():
    stream = io.StringIO()
    logger, writer = make_logger(stream)
    log_event(logger, "intake: job", request="5c0e", outcome="accepted", version=7)
    writer.write_queued()
    line = json.loads(stream.getvalue())
    assert line["msg"] == "intake: job"
    assert (line["request"], line["outcome"], line["version"]) == (
        "5c0e",
        "accepted",
        7,
    )


def test_lines_beyond_the_limit_are_counted_and_dropped():
    class UnwrittenStream(io.StringIO):
        """Stream that the writer's thread does not write to."""

    stream = UnwrittenStream()
    logger, writer = make_logger(stream)
    writer._wake.set = lambda: None
    for number in range(MAX_QUEUED_LINES + 5):
        log_event(logger, "test: line", number=number)
    writer.write_queued()
    lines = stream.getvalue().splitlines()
    assert json.loads(lines[-1]) == {"msg": "logs: lines dropped", "count": 5}
    assert len(lines) == MAX_QUEUED_LINES + 1


def test_reader_that_takes_the_start_of_each_write_gets_every_line():
    """A write of all queued lines lost those after its first 8 KB on a busy VM."""

    class TruncatingStream(io.StringIO):
        """Stream whose reader takes no more of a write than a pipe takes as a whole."""

        def write(self, text):
            return super().write(text[: select.PIPE_BUF])

    stream = TruncatingStream()
    logger, writer = make_logger(stream)
    writer._wake.set = lambda: None
    for number in range(500):
        log_event(logger, "test: line", number=number, why="x" * 90)
    writer.write_queued()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["number"] for line in lines] == list(range(500))
