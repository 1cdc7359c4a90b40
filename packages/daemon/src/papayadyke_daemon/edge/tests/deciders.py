"""Settings of a VM and deciders without threads, for tests of the daemon."""

from __future__ import annotations

from result import Ok

from papayadyke_core.dispatch import StartOutcome, UpstreamEntry, UpstreamReport
from papayadyke_daemon.edge import EdgeSettings
from papayadyke_daemon.edge._decider import Decider, Term
from papayadyke_daemon.edge._keys import RosterRecord
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports

ADDRESS = "127.0.0.1:1"
SERVICE = "service"


def make_settings(**changes) -> EdgeSettings:
    """Return settings whose ports are chosen by the system."""
    values = {
        "vm": "vm",
        "availability_zone": "zone",
        "host": "127.0.0.1",
        "callers_port": 0,
        "readiness_port": 0,
        "peers_port": 0,
    }
    return EdgeSettings(**{**values, **changes})


class IdleUpstream:
    """Client of an upstream that runs nothing."""

    def is_connected(self):
        return True

    def poll(self, *, token, acknowledged_end, lease_until_s, wait_s):
        return Ok(UpstreamReport(1, 0.0, 0.0))

    def start(self, order, *, token, lease_until_s):
        return StartOutcome.STARTED

    def stop(self, order, *, token):
        return True

    def close(self):
        pass


def decode_upstream(name, data):
    """Decode a registry entry, which holds only the state of the upstream."""
    return Ok(UpstreamEntry(name, SERVICE, ADDRESS, is_draining=data == b"draining"))


def make_decider(
    store: FakeStore,
    *,
    token: int | None = None,
    roster: RosterRecord | None = None,
    connect=lambda entry: IdleUpstream(),
    decode=decode_upstream,
    has_valid_lease=lambda: True,
    **changes,
) -> Decider:
    """Return a decider that may issue orders; nothing is loaded or started.

    Parameters
    ----------
    store : FakeStore
    token : int, optional
        Its fencing token; by default the revision of the store.
    roster : RosterRecord, optional
        Upstreams that earlier deciders recorded.
    connect, decode : callable
        Port functions for the client of an upstream and for its registry entry.
    has_valid_lease : callable
        Returns whether the lease of the decider has not lapsed.
    **changes
        Settings of the VM that differ from those of `make_settings`.
    """
    ports = make_ports(store)
    object.__setattr__(ports, "connect_upstream", connect)
    object.__setattr__(ports, "decode_upstream", decode)
    past = roster or RosterRecord()
    return Decider(
        make_settings(**changes),
        ports,
        PeerClients(),
        term=Term(token or store.revision, past.terms, past),
        may_issue_orders=lambda: True,
        has_valid_lease=has_valid_lease,
        step_down=lambda why: None,
    )
