"""Shared secrets: key files, signatures and replay protection."""

from papayadyke_clients.keys._file import (
    KeyEntry,
    KeyFile,
    KeyFileError,
    generate_key_file,
    load_key_file,
)
from papayadyke_clients.keys._keyring import Keyring, Signature
from papayadyke_clients.keys._replay import ReplayGuard, ReplaySettings, Stamp
from papayadyke_clients.keys._seal import (
    Authenticator,
    Seal,
    SealFault,
    format_seal,
    parse_seal,
)
from papayadyke_clients.keys._watch import KeyFileWatch, reload_keys

__all__ = [
    "Authenticator",
    "KeyEntry",
    "KeyFile",
    "KeyFileError",
    "KeyFileWatch",
    "Keyring",
    "ReplayGuard",
    "ReplaySettings",
    "Seal",
    "SealFault",
    "Signature",
    "Stamp",
    "format_seal",
    "generate_key_file",
    "load_key_file",
    "parse_seal",
    "reload_keys",
]
