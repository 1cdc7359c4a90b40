import base64
import threading
import time

import pytest
from result import Err, Ok

from papayadyke_clients.keys import Authenticator, KeyEntry, KeyFile, Keyring
from papayadyke_clients.store import Entry, ErrorKind, StoreError
from papayadyke_clients.vm_list import VmListClient, VmListSettings
from papayadyke_core.membership import (
    Identity,
    ListedState,
    ListedVm,
    Load,
    MembershipSettings,
    MemberState,
)
from papayadyke_core.ownership import ProposalSettings, decode_record
from papayadyke_daemon.membership import (
    MembershipService,
    MembershipServiceSettings,
    RecordSyncSettings,
)
from papayadyke_daemon.peers import PeerEndpoint, PeerSettings
from papayadyke_standins.vm_list import VmListServer, VmListServerSettings

WAIT_TIMEOUT_S = 60.0
FAST_MEMBERSHIP = MembershipSettings(
    period_s=0.1, suspect_s=1.0, dead_s=2.0, recover_s=0.2, pause_s=30.0, rejoin_s=0.3
)
FAST_PROPOSAL = ProposalSettings(
    stable_s=0.3,
    min_interval_s=0.2,
    stagger_s=0.3,
    mass_removal_wait_s=1.0,
    max_wait_s=5.0,
)


class MemoryStore:
    """Store with one key that can be unavailable or lose the reply to a write."""

    def __init__(self):
        self.lock = threading.Lock()
        self.entry = None
        self.is_down = False
        self.loses_write_reply = False
        self.write_count = 0
        self.read_count = 0

    def read(self, key):
        self.read_count += 1
        if self.is_down:
            return Err(StoreError(ErrorKind.UNAVAILABLE, "down"))
        return Ok(self.entry)

    def create(self, key, value, *, lease=None):
        return self.write(key, value, 0)

    def replace(self, key, value, *, expected, lease=None):
        return self.write(key, value, expected)

    def write(self, key, value, expected):
        with self.lock:
            if self.is_down:
                return Err(StoreError(ErrorKind.UNAVAILABLE, "down"))
            revision = self.entry.revision if self.entry is not None else 0
            if revision != expected:
                return Err(
                    StoreError(
                        ErrorKind.CONFLICT, "revision differs from the expected one"
                    )
                )
            self.write_count += 1
            self.entry = Entry(key, value, revision + 1)
            if self.loses_write_reply:
                return Err(StoreError(ErrorKind.UNKNOWN, "reply lost"))
            return Ok(revision + 1)

    def record(self):
        return decode_record(self.entry.value).unwrap() if self.entry else None

    def owners(self):
        record = self.record()
        return {owner.vm for owner in record.owners} if record else set()


class Node:
    """Peer endpoint and membership service of one daemon."""

    def __init__(self, vm, keyring, store, url):
        self.vm = vm
        self.views = []
        started_unix_s = time.time() - 1
        authenticator = Authenticator(
            keyring,
            sender=vm,
            incarnation=time.time_ns(),
            started_unix_s=started_unix_s,
        )
        self.peers = PeerEndpoint(authenticator=authenticator, settings=PeerSettings())
        address = self.peers.address
        identity = Identity(vm, "z", "r", time.time_ns(), address, 4)
        self.service = MembershipService(
            MembershipServiceSettings(
                identity=identity,
                membership=FAST_MEMBERSHIP,
                record=RecordSyncSettings(
                    vm=vm,
                    availability_zone="z",
                    read_interval_s=1.0,
                    retry_delay_s=0.3,
                    proposal=FAST_PROPOSAL,
                ),
                tick_interval_s=0.05,
                list_interval_s=0.2,
                pull_interval_s=0.3,
            ),
            store=store,
            vm_list=VmListClient(VmListSettings(url=url)),
            on_view=self.set_view,
        )
        self.peers.add_handlers(self.service.handlers())
        self.listed = ListedVm(vm, "z", "r", address, ListedState.LIVE)
        self.peers.start()
        self.service.start(self.peers)
        self.announce(MemberState.LIVE)

    def announce(self, state):
        self.service.update_self(state, config_revision=1, load=Load(free_slots=2))

    def set_view(self, view):
        self.views = [view]

    def states(self):
        if not self.views:
            return {}
        return {member.vm: member.state for member in self.views[0].snapshot.members}

    def record(self):
        return self.views[0].record if self.views else None

    def stop(self):
        self.service.stop()
        self.peers.stop()


@pytest.fixture
def zone():
    secret = base64.b64encode(b"0" * 32).decode()
    keyring = Keyring(KeyFile(keys=(KeyEntry(id="k", secret=secret),)))
    server = VmListServer(VmListServerSettings(lag_s=0.0))
    server.start()
    store = MemoryStore()
    nodes = {}

    def add_node(vm):
        node = Node(vm, keyring, store, server.url)
        server.list.put(node.listed, time.monotonic())
        nodes[vm] = node
        return node

    yield add_node, store
    for node in nodes.values():
        node.stop()
    server.stop()


def wait_until(condition):
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def test_three_daemons_agree_on_members_and_record(zone):
    add_node, store = zone
    nodes = [add_node(vm) for vm in "abc"]
    all_live = dict.fromkeys("abc", MemberState.LIVE)
    wait_until(lambda: all(node.states() == all_live for node in nodes))
    wait_until(lambda: store.owners() == set("abc"))
    wait_until(lambda: all(node.record() == store.record() for node in nodes))


def test_a_dead_daemon_is_removed_from_the_record(zone):
    add_node, store = zone
    nodes = [add_node(vm) for vm in "abc"]
    wait_until(lambda: store.owners() == set("abc"))
    nodes[2].stop()
    wait_until(lambda: nodes[0].states().get("c") == MemberState.DEAD)
    wait_until(lambda: store.owners() == set("ab"))
    wait_until(lambda: nodes[1].record() == store.record())


def test_a_leaving_daemon_is_removed_from_the_record(zone):
    add_node, store = zone
    nodes = [add_node(vm) for vm in "abc"]
    wait_until(lambda: store.owners() == set("abc"))
    nodes[2].announce(MemberState.LEAVING)
    wait_until(lambda: nodes[0].states()["c"] == MemberState.LEAVING)
    wait_until(lambda: store.owners() == set("ab"))


def test_a_daemon_that_starts_in_a_store_outage_gets_the_record_from_a_peer(zone):
    add_node, store = zone
    add_node("a")
    wait_until(lambda: store.owners() == {"a"})
    store.is_down = True
    late_node = add_node("b")
    wait_until(lambda: late_node.record() == store.record())
    assert store.owners() == {"a"}
    store.is_down = False
    wait_until(lambda: store.owners() == {"a", "b"})


def test_a_write_whose_reply_is_lost_is_found_by_a_read(zone):
    add_node, store = zone
    store.loses_write_reply = True
    node = add_node("a")
    wait_until(lambda: node.record() is not None)
    assert node.record() == store.record()
    assert store.write_count == 1


def test_a_peer_that_stops_answering_does_not_block_the_others(zone):
    add_node, _ = zone
    nodes = [add_node(vm) for vm in "abc"]
    all_live = dict.fromkeys("abc", MemberState.LIVE)
    wait_until(lambda: all(node.states() == all_live for node in nodes))
    nodes[2].peers.stop()
    wait_until(lambda: nodes[0].states().get("c") != MemberState.LIVE)
    assert nodes[0].states()["b"] == MemberState.LIVE
