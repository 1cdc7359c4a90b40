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
from papayadyke_daemon.configuration._pacer import AskPacer
from papayadyke_standins.store import Faults, MemoryStore, StoreService

WAIT_S = 30.0


def team(number):
    return PutTeam(id=f"c{number}", author="op", team=TeamModel(name=f"t{number}"))


def make_writer(service, slots=4096):
    log = ConfigLog()
    return ConfigWriter(
        ConfigRepository(MemoryStore(service), slots=slots),
        current=lambda: log.state,
        publish=log.offer,
    )


class Vm:
    """A follower whose messages go to the VMs of the same list."""

    def __init__(self, service, name, vms, *, is_watcher, slots=4096):
        self.name = name
        self.vms = vms
        self.configs: queue.Queue = queue.Queue()
        self.sync = ConfigSync(
            ConfigRepository(MemoryStore(service, client=name), slots=slots),
            settings=ConfigSyncSettings(
                vm=name, watch_wait_s=0.2, poll_s=1000.0, ask_s=0.02, retry_max_s=0.1
            ),
            on_config=self.configs.put,
            is_watcher=lambda: is_watcher,
            spread=self.spread,
            ask_peers=self.ask,
            rng=random.Random(name),
        )
        self.sync.start()

    def spread(self, offer):
        members = [vm.name for vm in self.vms]
        neighbours = neighbours_of(self.name, members)
        for vm in self.vms:
            if vm.name in neighbours:
                vm.sync.receive(decode_message(encode_message(offer)))

    def ask(self, request):
        for vm in self.vms:
            answer = vm.sync.receive(request) if vm is not self else None
            if answer is not None:
                self.sync.receive(answer)

    def wait_revision(self, revision):
        seen = 0
        while seen < revision:
            config = self.configs.get(timeout=WAIT_S)
            assert config.revision > seen
            seen = config.revision


@pytest.fixture
def cell():
    service = StoreService()
    vms: list[Vm] = []
    yield service, vms
    service.set_faults(Faults(down=True))
    for vm in vms:
        vm.sync.stop()


def test_one_watcher_brings_a_change_to_every_vm(cell):
    service, vms = cell
    for number in range(9):
        vms.append(Vm(service, f"vm-{number}", vms, is_watcher=number == 4))
    for vm in vms:
        assert vm.sync.wait_loaded(WAIT_S)
    writer = make_writer(service)
    for number in range(3):
        writer.submit(team(number)).unwrap()
    for vm in vms:
        vm.wait_revision(3)


def test_vm_that_starts_in_an_outage_gets_all_from_its_peers(cell):
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


def test_vm_whose_entries_are_gone_starts_from_the_snapshot(cell):
    service, vms = cell
    writer = make_writer(service, slots=4)
    for number in range(10):
        writer.submit(team(number)).unwrap()
    vms.append(Vm(service, "new", vms, is_watcher=False, slots=4))
    vms[0].wait_revision(10)
    assert len(vms[0].sync.state.teams) == 10


def test_heartbeat_of_a_peer_ahead_makes_a_vm_ask(cell):
    service, vms = cell
    vms.append(Vm(service, "ahead", vms, is_watcher=True))
    vms.append(Vm(service, "behind", [vms[0]], is_watcher=False))
    assert vms[1].sync.wait_loaded(WAIT_S)
    vms[0].vms = []
    make_writer(service).submit(team(0)).unwrap()
    vms[0].wait_revision(1)
    vms[1].sync.hear(1)
    vms[1].wait_revision(1)


def test_watch_goes_on_after_an_outage(cell):
    service, vms = cell
    vms.append(Vm(service, "vm", vms, is_watcher=True))
    assert vms[0].sync.wait_loaded(WAIT_S)
    service.set_faults(Faults(down=True))
    service.set_faults(Faults())
    make_writer(service).submit(team(0)).unwrap()
    vms[0].wait_revision(1)


def test_answer_to_a_vm_far_behind_is_a_snapshot(cell):
    service, vms = cell
    vms.append(Vm(service, "vm", vms, is_watcher=True, slots=4))
    writer = make_writer(service, slots=4)
    for number in range(10):
        writer.submit(team(number)).unwrap()
    vms[0].wait_revision(10)
    late = Vm(service, "late", [], is_watcher=False, slots=4)
    vms.append(late)
    late.wait_revision(10)
    answer = late.sync.receive(ConfigRequest(0))
    assert isinstance(answer, ConfigSnapshot | ConfigOffer)
    assert decode_message(encode_message(answer)) == answer
    assert late.sync.receive(ConfigRequest(10)) is None


def test_offer_that_is_no_entry_is_dropped(cell):
    service, vms = cell
    vms.append(Vm(service, "vm", vms, is_watcher=True))
    assert vms[0].sync.receive(ConfigOffer("x", [b"\xc1", b""])) is None
    make_writer(service).submit(team(0)).unwrap()
    vms[0].wait_revision(1)


def test_revision_that_cannot_be_had_is_asked_for_ever_more_rarely():
    pacer = AskPacer(min_s=0.5, max_s=30.0)
    asked = [now for now in range(3600) if pacer.is_due(1, float(now))]
    assert asked[:3] == [0, 1, 2]
    assert len(asked) <= 3600 / 30.0 + 10
    assert pacer.is_due(1, 4000.0)
    assert not pacer.is_due(2, 4001.0)
    assert pacer.is_due(2, 4030.0)
    assert pacer.is_due(2, 4030.5)


def test_vm_without_a_configuration_asks_its_peers_while_the_store_is_away(cell):
    service, _ = cell
    service.set_faults(Faults(down=True))
    asked = threading.Event()
    sync = ConfigSync(
        ConfigRepository(MemoryStore(service)),
        settings=ConfigSyncSettings(vm="vm", retry_min_s=0.01),
        on_config=lambda _: None,
        ask_peers=lambda _: asked.set(),
    )
    sync.start()
    assert asked.wait(WAIT_S)
    assert not sync.wait_loaded(0.0)
    service.set_faults(Faults())
    assert sync.wait_loaded(WAIT_S)
    sync.stop()


@pytest.mark.parametrize("count", [1, 2, 3, 4, 9, 10, 36, 130])
def test_offer_reaches_all_from_any_origins_past_any_lost_vm(count):
    rng = random.Random(count)
    names = [f"vm-{number}" for number in range(count)]
    for lost in [None, *names]:
        alive = [name for name in names if name != lost]
        origins = rng.sample(alive, min(3, len(alive)))
        reached, waiting = set(origins), list(origins)
        while waiting:
            # Offers of several origins arrive in any order.
            vm = waiting.pop(rng.randrange(len(waiting)))
            new = {*neighbours_of(vm, names)} - reached - {lost}
            reached |= new
            waiting += new
        assert reached == set(alive)
        assert all(len(neighbours_of(vm, names)) <= FAN_OUT for vm in names)
