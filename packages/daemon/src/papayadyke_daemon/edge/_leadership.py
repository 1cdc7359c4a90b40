"""Elect the decider through a key under a lease in the platform's store."""

from __future__ import annotations

import logging
import threading
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._contact import NEVER_S, StoreContact
from papayadyke_daemon.edge._decider import Term
from papayadyke_daemon.edge._keys import (
    DECIDER_KEY,
    ROSTER_KEY,
    DeciderRecord,
    RosterRecord,
    decode_decider,
    decode_roster,
    encode_record,
    encode_roster,
)
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import (
    EdgePorts,
    EdgeSettings,
    Record,
    StoreErrorKind,
    Write,
)
from papayadyke_daemon.edge._reports import REPORT_VALIDITY_S
from papayadyke_daemon.edge._watch import WATCH_RETRY_S, WATCH_WAIT_S

LOG = logging.getLogger(__name__)

# Seconds; a store that is 60 times slower than usual answers in 0.25 s.
RENEWAL_TIMEOUT_S = 0.45
RENEWAL_RETRY_S = 0.05  # seconds before a failed renewal is retried
# Seconds between two renewals, including the timeout of one; a longer gap means that
# the process was paused.
MAX_RENEWAL_GAP_S = 1.5
LEASE_MARGIN_S = 0.1  # seconds by which a decider stops before its lease lapses
# Seconds of a term without a valid lease; other VMs detect an unavailable store in
# less time.
MAX_IDLE_TERM_S = 3.0
# A decider below this ratio of another VM's strength hands over; the gain outweighs
# the short pause without a decider.
HANDOVER_STRENGTH_RATIO = 0.6
# Seconds after the start of a term before it may be handed over, and after a handover
# before the same VM tries to lead again.
HANDOVER_DELAY_S = 1.0
CANDIDACY_RETRY_S = 0.05  # seconds between two looks at whether a VM may lead
MAX_CANDIDACY_DELAY_S = 0.3  # seconds that the weakest VM waits for stronger ones
FULL_STRENGTH_CORES = 2.0  # cores; a VM with this many does not wait


@dataclass(frozen=True, slots=True)
class KnownDecider:
    """Decider that this VM knows of; token 0 if there is none."""

    token: int = 0
    vm: str = ""
    address: str = ""


class Leadership:
    """Follow the decider, and try to become it when there is none.

    Parameters
    ----------
    cfg : EdgeSettings
    ports : EdgePorts
        Its store is that of `contact`.
    contact : StoreContact
    may_lead : callable
        Returns whether this VM has what it needs to be the decider.
    start_decider : callable
        Starts the decider of a term; returns whether that succeeded. Called on a
        separate thread, since loading the stored state may take longer than the
        lease lasts.
    stop_decider : callable
        Stops the decider of the term.
    peers_lost_store : callable
        Returns whether enough other VMs report that they lost the store too.
    """

    def __init__(
        self,
        cfg: EdgeSettings,
        ports: EdgePorts,
        *,
        contact: StoreContact,
        may_lead: Callable[[], bool],
        start_decider: Callable[[Term], bool],
        stop_decider: Callable[[], None],
        peers_lost_store: Callable[[], bool],
    ) -> None:
        self.cfg = cfg
        self.known_decider = KnownDecider()
        self._contact = contact
        self._ports = ports
        self._may_lead = may_lead
        self._start_decider = start_decider
        self._stop_decider = stop_decider
        self._peers_lost_store = peers_lost_store
        self._incarnation = uuid.uuid4().hex
        self._lease = 0
        self._token = 0
        self._valid_until_s = 0.0
        self._renewal_attempted_s = 0.0
        self._has_failed_renewal = False
        # A VM that reported the loss of the store must not become the decider while
        # the report counts; the lock orders reports and candidacies.
        self._candidacy_lock = threading.Lock()
        self._is_candidate = False
        self._is_reporting_loss = False
        self._loss_reported_s = NEVER_S
        # Reports of other VMs that arrived earlier may have waited through a pause.
        self._reports_valid_from_s = 0.0
        self._idle_since_s: float | None = None
        self._term_began_s = 0.0
        self._should_yield = False
        self._step_down_requested = threading.Event()
        self._term_starter: threading.Thread | None = None
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="leadership", daemon=True
        )

    @property
    def is_decider(self) -> bool:
        """Whether this VM is in a term."""
        return self._token != 0

    @property
    def reaches_store(self) -> bool:
        """Whether the store answers this VM."""
        return self._contact.is_reached

    def begin_report(self) -> bool:
        """Return whether the heartbeat to be sent reports the loss of the store.

        No report is made during a candidacy or a term, and no candidacy begins until
        `REPORT_VALIDITY_S` after the last report has been sent. So the decider never
        relies on the report of a VM that has taken over meanwhile.
        """
        with self._candidacy_lock:
            self._is_reporting_loss = (
                self._contact.is_lost and not self._is_candidate and not self._token
            )
            return self._is_reporting_loss

    def end_report(self, *, is_sent: bool) -> None:
        """Record that the heartbeat was answered or given up.

        Parameters
        ----------
        is_sent : bool
            False only if it was certainly not sent.
        """
        with self._candidacy_lock:
            if self._is_reporting_loss and is_sent:
                self._loss_reported_s = read_clock()
            self._is_reporting_loss = False

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Release the lease and stop taking part in elections."""
        self._stopped.set()
        self._thread.join(timeout=2.0)

    def has_valid_lease(self) -> bool:
        """Return whether no other VM can have become the decider yet."""
        return self._token != 0 and read_clock() < self._valid_until_s

    def may_issue_orders(self) -> bool:
        """Return whether this VM may send orders now."""
        if self._token == 0 or self._step_down_requested.is_set():
            return False
        now = read_clock()
        if now < self._valid_until_s:
            return True
        # No other VM can become the decider while none reaches the store.
        return (
            self._has_failed_renewal
            and now - self._renewal_attempted_s < MAX_RENEWAL_GAP_S
            and now >= self._reports_valid_from_s
            and self._peers_lost_store()
        )

    def update_from_peer(self, reported: KnownDecider) -> None:
        """Adopt a later decider that another VM reported."""
        if reported.token > self.known_decider.token and not self.is_decider:
            self.known_decider = reported
            log_event(
                LOG,
                "leadership: decider learned from a peer",
                vm=reported.vm,
                token=reported.token,
            )

    def consider_handover(self, vm: str, strength: float) -> None:
        """Release the lease if a much stronger VM could be the decider."""
        if (
            not self.is_decider
            or self.cfg.strength >= HANDOVER_STRENGTH_RATIO * strength
        ):
            return
        if read_clock() - self._term_began_s > HANDOVER_DELAY_S:
            log_event(
                LOG,
                "leadership: handing over to a stronger VM",
                to=vm,
                strength=strength,
                own=self.cfg.strength,
                token=self._token,
            )
            self._should_yield = True
            self._step_down_requested.set()

    def step_down(self, reason: str) -> None:
        """End the term because this VM must no longer be the decider."""
        if not self._step_down_requested.is_set():
            log_event(LOG, "leadership: stepping down", token=self._token, why=reason)
            self._step_down_requested.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                if self._token:
                    self.lead_once()
                else:
                    self.follow_once()
            except Exception:
                LOG.exception("leadership: iteration failed")
                self._stopped.wait(WATCH_RETRY_S)
        if self._token:
            self._end_term(is_planned=True)

    def lead_once(self) -> None:
        """Wait until the lease is due for renewal and renew it, or end the term."""
        self._step_down_requested.wait(
            RENEWAL_RETRY_S if self._has_failed_renewal else self.cfg.renew_s
        )
        if self._step_down_requested.is_set() or self._stopped.is_set():
            if self._step_down_requested.is_set():
                self._end_term(is_planned=self._should_yield)
            return
        sent_s = read_clock()
        self._detect_pause(sent_s)
        renewed = self._ports.store.renew_lease(
            self._lease, timeout_s=RENEWAL_TIMEOUT_S
        )
        self._renewal_attempted_s = read_clock()
        if isinstance(renewed, Ok):
            if self._has_failed_renewal:
                log_event(LOG, "leadership: store regained", token=self._token)
            self._has_failed_renewal = False
            self._idle_since_s = None
            self._extend_validity(sent_s)
            return
        if renewed.err_value.kind is StoreErrorKind.NO_LEASE:
            self.step_down("the lease has lapsed")
            return
        if not self._has_failed_renewal:
            log_event(
                LOG,
                "leadership: store lost",
                token=self._token,
                why=renewed.err_value.detail,
            )
        self._has_failed_renewal = True
        if self.may_issue_orders():
            self._idle_since_s = None
        elif self._idle_since_s is None:
            self._idle_since_s = sent_s
        elif sent_s - self._idle_since_s > MAX_IDLE_TERM_S:
            self.step_down("the lease ran out, and other VMs reach the store")

    def _detect_pause(self, now: float) -> None:
        gap_s = now - self._renewal_attempted_s
        if gap_s > MAX_RENEWAL_GAP_S:
            self._reports_valid_from_s = now + REPORT_VALIDITY_S
            log_event(LOG, "leadership: resumed after a pause", gap_s=round(gap_s, 3))

    def _extend_validity(self, sent_s: float) -> None:
        self._valid_until_s = sent_s + self.cfg.decider_ttl_s - LEASE_MARGIN_S

    def _end_term(self, *, is_planned: bool) -> None:
        """Stop the decider; after a planned end also release the lease at once."""
        self._token = 0
        if self._term_starter is not None:
            # The start aborts by itself, since orders are no longer permitted.
            self._term_starter.join()
            self._term_starter = None
        self._stop_decider()
        if is_planned:
            self._ports.store.end_lease(self._lease)

    def follow_once(self) -> None:
        """Follow the decider until it changes, or try to become it."""
        listing = self._ports.store.read_prefix(DECIDER_KEY)
        if isinstance(listing, Err):
            self._stopped.wait(WATCH_RETRY_S)
            return
        page = listing.ok_value
        record = page.records[0] if page.records else None
        if record is not None and not self._is_previous_incarnation(record):
            self._set_known_decider(record)
            self._watch_decider(page.revision)
            return
        self.known_decider = KnownDecider()
        if not self._may_lead():
            self._stopped.wait(WATCH_RETRY_S)
            return
        if self._should_yield:
            self._should_yield = False
            self._stopped.wait(HANDOVER_DELAY_S)
            return
        if record is None and self._defer_to_stronger_vms(page.revision):
            return
        if not self._begin_candidacy():
            self._stopped.wait(CANDIDACY_RETRY_S)
            return
        try:
            self._try_to_lead(0 if record is None else record.revision)
        finally:
            self._is_candidate = False

    def _begin_candidacy(self) -> bool:
        """Return whether no report that this VM lost the store counts any more."""
        with self._candidacy_lock:
            self._is_candidate = (
                not self._is_reporting_loss
                and read_clock() - self._loss_reported_s >= REPORT_VALIDITY_S
            )
            return self._is_candidate

    def _defer_to_stronger_vms(self, revision: int) -> bool:
        """Wait for stronger VMs; return whether one has become the decider."""
        weakness = max(0.0, 1 - self.cfg.strength / FULL_STRENGTH_CORES)
        if not weakness:
            return False
        changes = self._ports.store.watch(
            DECIDER_KEY, after=revision, wait_s=weakness * MAX_CANDIDACY_DELAY_S
        )
        if isinstance(changes, Err):
            return False
        return any(record.value is not None for record in changes.ok_value.records)

    def _is_previous_incarnation(self, record: Record) -> bool:
        """Return whether an earlier process of this VM holds the key.

        That process is dead, so there is no need to wait until its lease expires.
        """
        holder = decode_decider(record.value or b"")
        return holder.vm == self.cfg.vm and holder.incarnation != self._incarnation

    def _set_known_decider(self, record: Record) -> None:
        decider = decode_decider(record.value or b"")
        if record.revision > self.known_decider.token:
            self.known_decider = KnownDecider(
                record.revision, decider.vm, decider.address
            )
            log_event(
                LOG, "leadership: decider changed", vm=decider.vm, token=record.revision
            )

    def _watch_decider(self, revision: int) -> None:
        while not self._stopped.is_set():
            changes = self._ports.store.watch(
                DECIDER_KEY, after=revision, wait_s=WATCH_WAIT_S
            )
            if isinstance(changes, Err):
                self._stopped.wait(WATCH_RETRY_S)
                return
            page = changes.ok_value
            if page.records:
                last = page.records[-1]
                if last.value is None:
                    return
                self._set_known_decider(last)
            revision = max(revision, page.revision)

    def _try_to_lead(self, expected_revision: int) -> None:
        store = self._ports.store
        granted = store.grant_lease(self.cfg.decider_ttl_s)
        roster = store.read(ROSTER_KEY)
        if isinstance(granted, Err) or isinstance(roster, Err):
            self._stopped.wait(WATCH_RETRY_S)
            return
        roster_record = roster.ok_value
        past_roster = (
            RosterRecord()
            if roster_record is None
            else decode_roster(roster_record.value or b"")
        )
        revision = 0 if roster_record is None else roster_record.revision
        own_record = DeciderRecord(
            self.cfg.vm, f"{self.cfg.host}:{self.cfg.peers_port}", self._incarnation
        )
        new_roster = RosterRecord(past_roster.terms + 1, past_roster.upstreams)
        sent_s = read_clock()
        written = store.write(
            [
                Write(DECIDER_KEY, encode_record(own_record), granted.ok_value),
                Write(ROSTER_KEY, encode_roster(new_roster, self.cfg.max_value_bytes)),
            ],
            expected=[(DECIDER_KEY, expected_revision), (ROSTER_KEY, revision)],
        )
        if isinstance(written, Err):
            log_event(LOG, "leadership: candidacy failed", why=written.err_value.kind)
            store.end_lease(granted.ok_value)
            return
        self._lease = granted.ok_value
        self._step_down_requested.clear()
        self._should_yield = False
        self._has_failed_renewal = False
        self._term_began_s = self._renewal_attempted_s = sent_s
        self._extend_validity(sent_s)
        self._token = written.ok_value
        self.known_decider = KnownDecider(
            written.ok_value, self.cfg.vm, own_record.address
        )
        METRICS.count("papayadyke_terms")
        term = Term(written.ok_value, past_roster.terms, past_roster)
        self._term_starter = threading.Thread(
            target=self._begin_term, args=(term,), name="term", daemon=True
        )
        self._term_starter.start()

    def _begin_term(self, term: Term) -> None:
        try:
            has_begun = self._start_decider(term)
        except Exception:
            LOG.exception(
                "leadership: the decider of term %d failed to start", term.token
            )
            has_begun = False
        if not has_begun and self._token == term.token:
            self._should_yield = True
            self.step_down("the term could not begin")
