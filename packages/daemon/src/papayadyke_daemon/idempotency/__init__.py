"""Idempotency keys of synchronous requests."""

from papayadyke_daemon.idempotency._service import KeyService, KeyServiceSettings

__all__ = ["KeyService", "KeyServiceSettings"]
