"""The journal: this VM's partitions of the log in the store."""

from papayadyke_daemon.journal._thread import JournalWriter
from papayadyke_daemon.journal._types import JournalSettings, Replay
from papayadyke_daemon.journal._writer import LogWriter, OnSettled

__all__ = [
    "JournalSettings",
    "JournalWriter",
    "LogWriter",
    "OnSettled",
    "Replay",
]
