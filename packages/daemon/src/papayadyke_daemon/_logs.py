"""Setting up the daemon's logs."""

from __future__ import annotations

import logging

from pythonjsonlogger.json import JsonFormatter

from papayadyke_daemon.settings import LogSettings

LOGGERS = (
    "papayadyke",
    "papayadyke_core",
    "papayadyke_daemon",
    "papayadyke_clients",
    "papayadyke_standins",
)
PLAIN_FORMAT = "%(asctime)s %(levelname)s %(message)s"
JSON_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(settings: LogSettings) -> None:
    """Send the logs of every part to standard error.

    Parameters
    ----------
    settings : LogSettings
        "plain" gives a line of text, "json" an object a line.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(_make_formatter(settings.format))
    for name in LOGGERS:
        logger = logging.getLogger(name)
        logger.handlers[:] = [handler]
        logger.setLevel(settings.level)
        logger.propagate = False


def _make_formatter(name: str) -> logging.Formatter:
    if name == "json":
        return JsonFormatter(JSON_FORMAT)
    return logging.Formatter(PLAIN_FORMAT)
