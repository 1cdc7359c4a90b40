import queue
import random
import threading

import pytest

from papayadyke_core.configuration import ConfigLog, PutTeam
from papayadyke_core.workloads import TeamModel
from papayadyke_daemon.configuration import (
    FAN_OUT,
    ConfigOffer,
    ConfigRepository,
    ConfigRequest,
    ConfigSnapshot,
    ConfigSync,
    ConfigSyncSettings,
    ConfigWriter,
    decode_message,
    encode_message,
    neighbours_of,
)
from papayadyke_daemon.configuration._pacer import RequestPacer
from papayadyke_standins.store import Faults, MemoryStore, StoreService

TIMEOUT_S = 30.0


def team(number):
    return PutTeam(id=f"c{number}", author="op", team=TeamModel(name=f"t{number}"))


def make_writer(service, slots=4096):
    log = ConfigLog()
    return ConfigWriter(
        ConfigRepository(MemoryStore(service), slots=slots),
        get_state=lambda: log.state,
        on_entries=log.apply_entries,
    )


class Vm:
    """Run a `ConfigSync` that exchanges messages with the VMs of a list."""

    def __init__(self, service, name, vms, *, is_watcher, slots=4096):
        self.name = name
        self.vms = vms
        self.configs: queue.Queue = queue.Queue()
        self.sync = ConfigSync(
            ConfigRepository(MemoryStore(service, client=name), slots=slots),
            settings=ConfigSyncSettings(
                vm=name,
                watch_wait_s=0.2,
                poll_s=1000.0,
                request_min_s=0.02,
                retry_max_s=0.1,
            ),
            on_config=self.configs.put,
            is_watcher=lambda: is_watcher,
            forward_offer=self.spread,
            send_request=self.ask,
            rng=random.Random(name),
        )
        self.sync.start()

    def spread(self, offer):
        members = [vm.name for vm in self.vms]
        neighbours = neighbours_of(self.name, members)
        for vm in self.vms:
            if vm.name in neighbours:
                vm.sync.handle_message(decode_message(encode_message(offer)))

    def ask(self, request):
        for vm in self.vms:
            reply = vm.sync.handle_message(request) if vm is not self else None
            if reply is not None:
                self.sync.handle_message(reply)

    def wait_revision(self, revision):
        last_revision = 0
        while last_revision < revision:
            config = self.configs.get(timeout=TIMEOUT_S)
            assert config.revision > last_revision
            last_revision = config.revision


@pytest.fixture
def cell():
    service = StoreService()
    vms: list[Vm] = []
    yield service, vms
    service.set_faults(Faults(down=True))
    for vm in vms:
        vm.sync.stop()


def test_change_seen_by_one_watcher_reaches_every_vm(cell):
    service, vms = cell
    for number in range(9):
        vms.append(Vm(service, f"vm-{number}", vms, is_watcher=number == 4))
    for vm in vms:
        assert vm.sync.wait_loaded(TIMEOUT_S)
    writer = make_writer(service)
    for number in range(3):
        writer.submit(team(number)).unwrap()
    for vm in vms:
        vm.wait_revision(3)


def test_vm_started_in_a_store_outage_loads_the_configuration_from_peers(cell):
    service, vms = cell
    vms.append(Vm(service, "old", vms, is_watcher=True))
    writer = make_writer(service)
    for number in range(3):
        writer.submit(team(number)).unwrap()
    vms[0].wait_revision(3)
    service.set_faults(Faults(down=True))
    vms.append(Vm(service, "new", vms, is_watcher=True))
    vms[1].wait_revision(3)
    assert vms[1].sync.state == vms[0].sync.state


def test_vm_whose_next_entry_is_overwritten_loads_the_snapshot(cell):
    service, vms = cell
    writer = make_writer(service, slots=4)
    for number in range(10):
        writer.submit(team(number)).unwrap()
    vms.append(Vm(service, "new", vms, is_watcher=False, slots=4))
    vms[0].wait_revision(10)
    assert len(vms[0].sync.state.teams) == 10


def test_heartbeat_of_a_peer_ahead_triggers_a_request(cell):
    service, vms = cell
    vms.append(Vm(service, "ahead", vms, is_watcher=True))
    vms.append(Vm(service, "behind", [vms[0]], is_watcher=False))
    assert vms[1].sync.wait_loaded(TIMEOUT_S)
    vms[0].vms = []
    make_writer(service).submit(team(0)).unwrap()
    vms[0].wait_revision(1)
    vms[1].sync.observe_peer_revision(1)
    vms[1].wait_revision(1)


def test_watch_continues_after_a_store_outage(cell):
    service, vms = cell
    vms.append(Vm(service, "vm", vms, is_watcher=True))
    assert vms[0].sync.wait_loaded(TIMEOUT_S)
    service.set_faults(Faults(down=True))
    service.set_faults(Faults())
    make_writer(service).submit(team(0)).unwrap()
    vms[0].wait_revision(1)


def test_reply_to_a_vm_far_behind_is_a_snapshot_or_an_offer(cell):
    service, vms = cell
    vms.append(Vm(service, "vm", vms, is_watcher=True, slots=4))
    writer = make_writer(service, slots=4)
    for number in range(10):
        writer.submit(team(number)).unwrap()
    vms[0].wait_revision(10)
    late = Vm(service, "late", [], is_watcher=False, slots=4)
    vms.append(late)
    late.wait_revision(10)
    reply = late.sync.handle_message(ConfigRequest(0))
    assert isinstance(reply, ConfigSnapshot | ConfigOffer)
    assert decode_message(encode_message(reply)) == reply
    assert late.sync.handle_message(ConfigRequest(10)) is None


def test_offer_with_an_invalid_entry_is_dropped(cell):
    service, vms = cell
    vms.append(Vm(service, "vm", vms, is_watcher=True))
    assert vms[0].sync.handle_message(ConfigOffer("x", [b"\xc1", b""])) is None
    make_writer(service).submit(team(0)).unwrap()
    vms[0].wait_revision(1)


def test_requests_for_an_unobtainable_revision_back_off():
    pacer = RequestPacer(min_s=0.5, max_s=30.0)
    sent_at_s = [now for now in range(3600) if pacer.is_due(1, float(now))]
    assert sent_at_s[:3] == [0, 1, 2]
    assert len(sent_at_s) <= 3600 / 30.0 + 10
    assert pacer.is_due(1, 4000.0)
    assert not pacer.is_due(2, 4001.0)
    assert pacer.is_due(2, 4030.0)
    assert pacer.is_due(2, 4030.5)


def test_vm_without_a_configuration_asks_its_peers_in_a_store_outage(cell):
    service, _ = cell
    service.set_faults(Faults(down=True))
    asked = threading.Event()
    sync = ConfigSync(
        ConfigRepository(MemoryStore(service)),
        settings=ConfigSyncSettings(vm="vm", retry_min_s=0.01),
        on_config=lambda _: None,
        send_request=lambda _: asked.set(),
    )
    sync.start()
    assert asked.wait(TIMEOUT_S)
    assert not sync.wait_loaded(0.0)
    service.set_faults(Faults())
    assert sync.wait_loaded(TIMEOUT_S)
    sync.stop()


@pytest.mark.parametrize("count", [1, 2, 3, 4, 9, 10, 36, 130])
def test_offer_from_any_origins_reaches_all_vms_despite_one_lost(count):
    rng = random.Random(count)
    names = [f"vm-{number}" for number in range(count)]
    for lost in [None, *names]:
        alive = [name for name in names if name != lost]
        origins = rng.sample(alive, min(3, len(alive)))
        reached, pending = set(origins), list(origins)
        while pending:
            # Offers from several origins may arrive in any order.
            vm = pending.pop(rng.randrange(len(pending)))
            new = {*neighbours_of(vm, names)} - reached - {lost}
            reached |= new
            pending += new
        assert reached == set(alive)
        assert all(len(neighbours_of(vm, names)) <= FAN_OUT for vm in names)
