"""Replication of the configuration through the store and between peers."""

from papayadyke_daemon.configuration._messages import (
    FAN_OUT,
    ConfigMessage,
    ConfigOffer,
    ConfigRequest,
    ConfigSnapshot,
    decode_message,
    encode_message,
    make_offer,
    neighbours_of,
)
from papayadyke_daemon.configuration._repository import ConfigRepository, Tail
from papayadyke_daemon.configuration._settings import ConfigSyncSettings
from papayadyke_daemon.configuration._sync import ConfigSync
from papayadyke_daemon.configuration._writer import (
    Accepted,
    ConfigWriter,
    ConfigWriterSettings,
    SubmitError,
    Unavailable,
    Unresolved,
)

__all__ = [
    "FAN_OUT",
    "Accepted",
    "ConfigMessage",
    "ConfigOffer",
    "ConfigRepository",
    "ConfigRequest",
    "ConfigSnapshot",
    "ConfigSync",
    "ConfigSyncSettings",
    "ConfigWriter",
    "ConfigWriterSettings",
    "SubmitError",
    "Tail",
    "Unavailable",
    "Unresolved",
    "decode_message",
    "encode_message",
    "make_offer",
    "neighbours_of",
]
