"""The journal: the partitions of the log in the store that this VM owns."""

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
