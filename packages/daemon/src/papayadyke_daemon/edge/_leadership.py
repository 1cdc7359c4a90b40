"""Which VM decides: a key under a lease in the platform's store."""

from __future__ import annotations

import logging
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._decider import Term
from papayadyke_daemon.edge._keys import (
    DECIDER_KEY,
    ROSTER_KEY,
    DeciderRecord,
    RosterRecord,
    decode_decider,
    decode_roster,
    encode_record,
)
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import (
    EdgePorts,
    EdgeSettings,
    Record,
    StoreError,
    StoreErrorKind,
    Write,
)
from papayadyke_daemon.edge._watch import RETRY_S, WATCH_WAIT_S

LOG = logging.getLogger(__name__)

RENEWAL_TIMEOUT_S = 0.45  # seconds; a store that is 60 times slower takes 0.25
RENEWAL_RETRY_S = 0.05  # seconds before a renewal that failed is tried again
LEASE_MARGIN_S = 0.1  # seconds by which a decider stops before its lease lapses
IDLE_TERM_S = 3.0  # seconds; other VMs notice that the store is away in less
HANDOVER_SHARE = 0.6  # of another VM's strength; less is worth a short pause
SETTLED_S = 1.0  # seconds of a term before it is handed over, or sought again
WEAKEST_DELAY_S = 0.3  # seconds that the weakest VM lets stronger ones go first
FULL_STRENGTH = 2.0  # cores; a VM with this many does not wait


@dataclass(frozen=True, slots=True)
class KnownDecider:
    """The decider as this VM knows it; token 0 where there is none."""

    token: int = 0
    vm: str = ""
    address: str = ""


class Leadership:
    """Follows the decider, and tries to become it when there is none.

    Parameters
    ----------
    cfg : EdgeSettings
    ports : EdgePorts
    may_lead : callable
        Tells whether this VM has what it needs to decide.
    begin : callable
        Begins a term; returns whether that worked. Called on a thread of its own,
        since reading all that is stored may take longer than the lease lasts.
    end : callable
        Ends it.
    peers_lost_store : callable
        Tells whether enough other VMs say that the store is away for them too.
    """

    def __init__(
        self,
        cfg: EdgeSettings,
        ports: EdgePorts,
        *,
        may_lead: Callable[[], bool],
        begin: Callable[[Term], bool],
        end: Callable[[], None],
        peers_lost_store: Callable[[], bool],
    ) -> None:
        self.cfg = cfg
        self.known = KnownDecider()
        self.reaches_store = False
        self.has_lost_store = False
        self._ports = ports
        self._may_lead = may_lead
        self._begin = begin
        self._end = end
        self._peers_lost_store = peers_lost_store
        self._incarnation = uuid.uuid4().hex
        self._lease = 0
        self._token = 0
        self._valid_until_s = 0.0
        self._idle_since_s: float | None = None
        self._began_s = 0.0
        self._gives_back = False
        self._deposed = threading.Event()
        self._beginning: threading.Thread | None = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="leadership", daemon=True
        )

    @property
    def is_decider(self) -> bool:
        """Tell whether this VM is in a term."""
        return self._token != 0

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Give the term back and become the decider no more."""
        self._stopped.set()
        self._thread.join(timeout=2.0)

    def may_order(self) -> bool:
        """Tell whether an order may be sent at this moment."""
        if self._token == 0 or self._deposed.is_set():
            return False
        if read_clock() < self._valid_until_s:
            return True
        # Nobody can follow while the store is away from all.
        return not self.reaches_store and self._peers_lost_store()

    def learn(self, known: KnownDecider) -> None:
        """Take in a later decider that another VM told of."""
        if known.token > self.known.token and not self.is_decider:
            self.known = known
            log_event(LOG, "leadership: decider told", vm=known.vm, token=known.token)

    def consider_handover(self, vm: str, strength: float) -> None:
        """Give the term back where a much stronger VM could have it."""
        if not self.is_decider or self.cfg.strength >= HANDOVER_SHARE * strength:
            return
        if read_clock() - self._began_s > SETTLED_S:
            log_event(
                LOG,
                "leadership: hand over",
                to=vm,
                strength=strength,
                own=self.cfg.strength,
                token=self._token,
            )
            self._gives_back = True
            self._deposed.set()

    def depose(self, reason: str) -> None:
        """End the term because another VM decides."""
        if not self._deposed.is_set():
            log_event(LOG, "leadership: deposed", token=self._token, why=reason)
            self._deposed.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                if self._token:
                    self._lead()
                else:
                    self._follow()
            except Exception:
                LOG.exception("leadership: a step failed")
                self._stopped.wait(RETRY_S)
        if self._token:
            self._end_term(is_planned=True)

    def _lead(self) -> None:
        self._deposed.wait(RENEWAL_RETRY_S if self.has_lost_store else self.cfg.renew_s)
        if self._deposed.is_set() or self._stopped.is_set():
            if self._deposed.is_set():
                self._end_term(is_planned=self._gives_back)
            return
        sent_s = read_clock()
        renewed = self._ports.store.renew_lease(
            self._lease, timeout_s=RENEWAL_TIMEOUT_S
        )
        if isinstance(renewed, Ok):
            if not self.reaches_store:
                log_event(LOG, "leadership: store regained", token=self._token)
            self.reaches_store = True
            self.has_lost_store = False
            self._idle_since_s = None
            self._extend(sent_s)
            return
        if renewed.err_value.kind is StoreErrorKind.NO_LEASE:
            self.depose("the lease has lapsed")
            return
        if self.reaches_store:
            log_event(
                LOG,
                "leadership: store lost",
                token=self._token,
                why=renewed.err_value.detail,
            )
        self.reaches_store = False
        self.has_lost_store = True
        if self.may_order():
            self._idle_since_s = None
        elif self._idle_since_s is None:
            self._idle_since_s = sent_s
        elif sent_s - self._idle_since_s > IDLE_TERM_S:
            self.depose("the lease ran out, and other VMs reach the store")

    def _extend(self, sent_s: float) -> None:
        self._valid_until_s = sent_s + self.cfg.decider_ttl_s - LEASE_MARGIN_S

    def _end_term(self, *, is_planned: bool) -> None:
        self._token = 0
        if self._beginning is not None:
            # It gives up by itself, since nothing may be ordered any more.
            self._beginning.join()
            self._beginning = None
        self._end()
        if is_planned:
            self._ports.store.end_lease(self._lease)

    def _follow(self) -> None:
        found = self._ports.store.read_prefix(DECIDER_KEY)
        self._note_store(found)
        if isinstance(found, Err):
            self._stopped.wait(RETRY_S)
            return
        page = found.ok_value
        record = page.records[0] if page.records else None
        if record is not None and not self._is_own_past(record):
            self._know(record)
            self._watch_decider(page.revision)
            return
        self.known = KnownDecider()
        if not self._may_lead():
            self._stopped.wait(RETRY_S)
            return
        if self._gives_back:
            self._gives_back = False
            self._stopped.wait(SETTLED_S)
            return
        if record is None and self._is_outrun(page.revision):
            return
        self._try_to_lead(0 if record is None else record.revision)

    def _is_outrun(self, revision: int) -> bool:
        """Let stronger VMs go first; tell whether one of them has the key."""
        weakness = max(0.0, 1 - self.cfg.strength / FULL_STRENGTH)
        if not weakness:
            return False
        changes = self._ports.store.watch(
            DECIDER_KEY, after=revision, wait_s=weakness * WEAKEST_DELAY_S
        )
        if isinstance(changes, Err):
            return False
        return any(item.value is not None for item in changes.ok_value.records)

    def _is_own_past(self, record: Record) -> bool:
        """Tell whether an earlier process of this VM holds the key.

        That process is dead, so its lease need not be waited for.
        """
        holder = decode_decider(record.value or b"")
        return holder.vm == self.cfg.vm and holder.incarnation != self._incarnation

    def _note_store(self, found: Result[object, StoreError]) -> None:
        is_reached = isinstance(found, Ok)
        self.has_lost_store = not is_reached
        if is_reached != self.reaches_store:
            log_event(LOG, "leadership: store", reached=is_reached)
        self.reaches_store = is_reached

    def _know(self, record: Record) -> None:
        decider = decode_decider(record.value or b"")
        if record.revision > self.known.token:
            self.known = KnownDecider(record.revision, decider.vm, decider.address)
            log_event(LOG, "leadership: decider", vm=decider.vm, token=record.revision)

    def _watch_decider(self, revision: int) -> None:
        while not self._stopped.is_set():
            changes = self._ports.store.watch(
                DECIDER_KEY, after=revision, wait_s=WATCH_WAIT_S
            )
            if isinstance(changes, Err):
                error = changes.err_value
                if error.kind is not StoreErrorKind.COMPACTED:
                    self._note_store(changes)
                self._stopped.wait(RETRY_S)
                return
            self._note_store(changes)
            page = changes.ok_value
            if page.records:
                last = page.records[-1]
                if last.value is None:
                    return
                self._know(last)
            revision = max(revision, page.revision)

    def _try_to_lead(self, past_revision: int) -> None:
        store = self._ports.store
        granted = store.grant_lease(self.cfg.decider_ttl_s)
        roster = store.read(ROSTER_KEY)
        if isinstance(granted, Err) or isinstance(roster, Err):
            self._stopped.wait(RETRY_S)
            return
        stored = roster.ok_value
        known = RosterRecord() if stored is None else decode_roster(stored.value or b"")
        revision = 0 if stored is None else stored.revision
        own = DeciderRecord(
            self.cfg.vm, f"{self.cfg.host}:{self.cfg.peers_port}", self._incarnation
        )
        following = RosterRecord(known.terms + 1, known.upstreams)
        sent_s = read_clock()
        written = store.write(
            [
                Write(DECIDER_KEY, encode_record(own), granted.ok_value),
                Write(ROSTER_KEY, encode_record(following)),
            ],
            expected=[(DECIDER_KEY, past_revision), (ROSTER_KEY, revision)],
        )
        if isinstance(written, Err):
            log_event(LOG, "leadership: not taken", why=written.err_value.kind)
            store.end_lease(granted.ok_value)
            return
        self._lease = granted.ok_value
        self._deposed.clear()
        self._gives_back = False
        self._began_s = sent_s
        self._extend(sent_s)
        self._token = written.ok_value
        self.known = KnownDecider(written.ok_value, self.cfg.vm, own.address)
        METRICS.count("papayadyke_terms")
        term = Term(written.ok_value, known.terms, known)
        self._beginning = threading.Thread(
            target=self._begin_term, args=(term,), name="term", daemon=True
        )
        self._beginning.start()

    def _begin_term(self, term: Term) -> None:
        try:
            has_begun = self._begin(term)
        except Exception:
            LOG.exception("leadership: the term %d could not begin", term.token)
            has_begun = False
        if not has_begun and self._token == term.token:
            self._gives_back = True
            self.depose("the term could not begin")
