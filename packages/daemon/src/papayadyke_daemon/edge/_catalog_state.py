"""Keep the newest configuration of a VM, and pass it on to VMs that lack it."""

from __future__ import annotations

import logging
import math
import threading
from collections import deque
from collections.abc import Callable
from enum import StrEnum

import msgspec

from papayadyke_core.dispatch import Catalog
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._messages import Hello, HelloReply
from papayadyke_daemon.edge._metrics import METRICS

LOG = logging.getLogger(__name__)

NO_VERSION = -1  # version that a VM without a configuration reports
# Seconds for which a VM may lack a version before it gets it with a heartbeat's reply.
# The watch of a VM that reaches the store takes milliseconds, and a configuration can
# be larger than what a VM may send in a second.
PASS_ON_DELAY_S = 1.0
MAX_REMEMBERED_VERSIONS = 64  # versions whose time of adoption is known
# Seconds without an answer or error of the store or of the decider's VM after which
# the VM must have been paused. A call to a silent store fails within 3 s.
MAX_SILENCE_S = 3.5


class CatalogSource(StrEnum):
    """Where a VM got its configuration from."""

    STORE = "store"
    PEER = "peer"


class CatalogState:
    """Newest configuration of a VM, and when it was last confirmed.

    A version is never replaced by an older one. All times are in seconds, on the
    clock of `read_clock`. Safe to use from any thread.

    Parameters
    ----------
    on_adopted : callable
        Called with each configuration that is adopted, in the order of versions.
    """

    def __init__(self, on_adopted: Callable[[Catalog], None]) -> None:
        self.catalog: Catalog | None = None
        self._on_adopted = on_adopted
        self._lock = threading.Lock()
        self._adopted: deque[tuple[int, float]] = deque(maxlen=MAX_REMEMBERED_VERSIONS)
        self._encoded = (NO_VERSION, b"")
        self._confirmed_s = -math.inf
        self._contact_s = -math.inf

    @property
    def version(self) -> int:
        """Version of the configuration, or `NO_VERSION` if there is none."""
        return NO_VERSION if self.catalog is None else self.catalog.version

    def adopt(
        self, catalog: Catalog, now: float, *, source: CatalogSource, revision: int = 0
    ) -> bool:
        """Put a configuration in force if it is newer; return whether it is.

        Parameters
        ----------
        catalog : Catalog
        now : float
        source : CatalogSource
        revision : int
            Revision in the store, or 0 if unknown.
        """
        with self._lock:
            if catalog.version <= self.version:
                return False
            self.catalog = catalog
            self._adopted.append((catalog.version, now))
            self._on_adopted(catalog)
        METRICS.count("papayadyke_config_applied", source=source)
        METRICS.set_gauge("papayadyke_config_version", catalog.version)
        METRICS.set_gauge("papayadyke_config_keys", len(catalog.team_keys))
        log_event(
            LOG,
            "edge: configuration applied",
            version=catalog.version,
            queues=len(catalog.queues),
            teams=None if catalog.teams is None else len(catalog.teams),
            keys=len(catalog.team_keys),
            source=source,
            revision=revision,
        )
        return True

    def record_contact(self, now: float) -> None:
        """Record that a call about the configuration was answered or has failed."""
        self._contact_s = max(self._contact_s, now)

    def confirm(self, read_s: float) -> None:
        """Record that no newer version was stored at a time."""
        self._confirmed_s = max(self._confirmed_s, read_s)

    def is_confirmed(self, now: float, *, revoke_s: float | None) -> bool:
        """Return whether the keys of this VM may be relied on.

        They may not right after a pause, since the calls that would have brought a
        newer version have waited as well.

        Parameters
        ----------
        now : float
        revoke_s : float or None
            Longest time since the configuration was confirmed; None for any.
        """
        if now - self._contact_s > MAX_SILENCE_S:
            return False
        return revoke_s is None or now - self._confirmed_s <= revoke_s

    def make_reply(self, hello: Hello, reply: HelloReply, now: float) -> HelloReply:
        """Return a heartbeat's reply with the configuration that its sender lacks."""
        catalog = self.catalog
        if catalog is None:
            return reply
        reply.version = catalog.version
        reply.catalog_age_s = now - self._confirmed_s
        if hello.version is not None and hello.version < catalog.version:
            lacks_s = now - self._find_adoption_after(hello.version)
            has_no_watch = hello.has_lost_store or hello.version == NO_VERSION
            if has_no_watch or lacks_s >= PASS_ON_DELAY_S:
                reply.catalog = self._encode(catalog)
        return reply

    def apply_reply(self, reply: HelloReply, *, sent_s: float, now: float) -> None:
        """Adopt and confirm the configuration by the reply to a heartbeat.

        Parameters
        ----------
        reply : HelloReply
        sent_s : float
            When the heartbeat was sent.
        now : float
        """
        # A VM that has read nothing yet relies on the store and on the decider's VM,
        # as another VM may have been cut off from both for long.
        may_adopt = reply.is_decider or self.catalog is not None
        if reply.catalog and may_adopt:
            try:
                catalog = msgspec.msgpack.decode(reply.catalog, type=Catalog)
            except (msgspec.DecodeError, ValueError) as exc:
                LOG.warning("edge: a peer's configuration cannot be decoded: %s", exc)
                return
            self.adopt(catalog, now, source=CatalogSource.PEER)
        if not reply.is_decider:
            return
        self.record_contact(now)
        if reply.version is not None and reply.version <= self.version:
            self.confirm(sent_s - reply.catalog_age_s)

    def _find_adoption_after(self, version: int) -> float:
        """Return when the first version after a given one was adopted here."""
        with self._lock:
            adopted = list(self._adopted)
        return next((at_s for newer, at_s in adopted if newer > version), -math.inf)

    def _encode(self, catalog: Catalog) -> bytes:
        version, data = self._encoded
        if version != catalog.version:
            data = msgspec.msgpack.encode(catalog)
            self._encoded = catalog.version, data
        return data
