"""Decide which entries of the registry name an upstream to use.

Other programs write there as well. An entry that cannot be decoded, or whose service
the configuration does not name, has no effect but one log line.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Set

from result import Err, Result

from papayadyke_core.dispatch import UpstreamEntry
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS

LOG = logging.getLogger(__name__)

UNNAMED_SERVICE = "the configuration does not name its service"
UNEXPECTED_ERROR = "unexpected error"


class Registry:
    """Entries of the registry that are not used, and why.

    Parameters
    ----------
    decode : callable
        Decodes the entry of an upstream; the error tells why it names none.
    """

    def __init__(
        self, decode: Callable[[str, bytes], Result[UpstreamEntry, str]]
    ) -> None:
        self._decode = decode
        self._faults: dict[str, str] = {}
        # Entries of services that the configuration did not name.
        self._unnamed: dict[str, UpstreamEntry] = {}

    def read(
        self, upstream_id: str, data: bytes, *, services: Set[str] | None, is_used: bool
    ) -> UpstreamEntry | None:
        """Return an entry; None if it names no upstream to use.

        Parameters
        ----------
        upstream_id : str
        data : bytes
        services : set of str or None
            Services that the configuration names; None if that is not known.
        is_used : bool
            Whether the upstream may have runs of this term or earlier ones, which are
            followed whatever the configuration names.
        """
        decoded = self._try_to_decode(upstream_id, data)
        self._unnamed.pop(upstream_id, None)
        if isinstance(decoded, Err):
            self._record_fault(upstream_id, decoded.err_value)
            return None
        entry = decoded.ok_value
        if services is not None and entry.service not in services and not is_used:
            self._unnamed[upstream_id] = entry
            self._record_fault(upstream_id, UNNAMED_SERVICE, service=entry.service)
            return None
        self.forget(upstream_id)
        return entry

    def forget(self, upstream_id: str) -> None:
        """Forget an entry that was removed."""
        self._unnamed.pop(upstream_id, None)
        if self._faults.pop(upstream_id, None) is not None:
            self._update_gauge()

    def list_ids(self) -> Set[str]:
        """Return the ids of the entries that are not used."""
        return self._faults.keys()

    def take_named(self, services: Set[str] | None) -> list[UpstreamEntry]:
        """Remove and return the entries whose service the configuration now names."""
        named = [
            entry
            for entry in self._unnamed.values()
            if services is None or entry.service in services
        ]
        for entry in named:
            self.forget(entry.upstream_id)
        return named

    def clear_metrics(self) -> None:
        """Remove the gauge, which another VM sets from now on."""
        METRICS.remove_gauge("papayadyke_unused_entries")

    def _try_to_decode(
        self, upstream_id: str, data: bytes
    ) -> Result[UpstreamEntry, str]:
        try:
            return self._decode(upstream_id, data)
        except Exception:
            if self._faults.get(upstream_id) != UNEXPECTED_ERROR:
                LOG.exception("decider: registry entry %s is unreadable", upstream_id)
            return Err(UNEXPECTED_ERROR)

    def _record_fault(self, upstream_id: str, why: str, **fields: str) -> None:
        """Log why an entry is not used, once as long as it is for the same reason."""
        if self._faults.get(upstream_id) == why:
            return
        self._faults[upstream_id] = why
        self._update_gauge()
        log_event(
            LOG, "decider: entry not used", upstream=upstream_id, why=why, **fields
        )

    def _update_gauge(self) -> None:
        METRICS.set_gauge("papayadyke_unused_entries", len(self._faults))


__all__ = ["Registry"]
