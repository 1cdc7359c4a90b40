"""Logs are lines of JSON, bounded, and never hold up the one who logs."""

import io
import json
import logging

from papayadyke_daemon.edge import log_event
from papayadyke_daemon.edge._logs import MAX_WAITING_LINES, JsonFormatter, QueueWriter


def make_logger(stream):
    writer = QueueWriter(stream)
    writer.setFormatter(JsonFormatter())
    logger = logging.getLogger("test-edge-logs")
    logger.handlers[:] = [writer]
    logger.propagate = False
    logger.setLevel("INFO")
    return logger, writer


def test_line_holds_the_fields_of_the_decision():
    stream = io.StringIO()
    logger, writer = make_logger(stream)
    log_event(logger, "intake: job", request="5c0e", outcome="accepted", version=7)
    writer.write_out()
    line = json.loads(stream.getvalue())
    assert line["msg"] == "intake: job"
    assert (line["request"], line["outcome"], line["version"]) == (
        "5c0e",
        "accepted",
        7,
    )


def test_lines_past_the_bound_are_counted_and_dropped():
    class Stuck(io.StringIO):
        """A reader that takes nothing yet."""

    stream = Stuck()
    logger, writer = make_logger(stream)
    writer._wake.set = lambda: None
    for number in range(MAX_WAITING_LINES + 5):
        log_event(logger, "test: line", number=number)
    writer.write_out()
    lines = stream.getvalue().splitlines()
    assert json.loads(lines[-1]) == {"msg": "logs: lines dropped", "count": 5}
    assert len(lines) == MAX_WAITING_LINES + 1
