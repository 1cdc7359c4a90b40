"""Settings of a daemon, read from a JSON file."""

from papayadyke_daemon.settings._load import (
    FileKind,
    SettingsError,
    check_file,
    load_settings,
)
from papayadyke_daemon.settings._models import SettingsModel
from papayadyke_daemon.settings._settings import (
    Address,
    CallersSettings,
    FleetSettings,
    ListenerSettings,
    LogSettings,
    SeedVm,
    Settings,
    StatsdSettings,
    StoreAddress,
    TlsFiles,
    UpstreamAddress,
)

__all__ = [
    "Address",
    "CallersSettings",
    "FileKind",
    "FleetSettings",
    "ListenerSettings",
    "LogSettings",
    "SeedVm",
    "Settings",
    "SettingsError",
    "SettingsModel",
    "StatsdSettings",
    "StoreAddress",
    "TlsFiles",
    "UpstreamAddress",
    "check_file",
    "load_settings",
]
