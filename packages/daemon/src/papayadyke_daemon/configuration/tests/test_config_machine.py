"""Model-based test of the configuration log.

Covers racing operators, lost and late answers, stale reads, outages and restarts.
"""

import random
from collections import Counter

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from result import Err

from papayadyke_clients.store import ErrorKind, StoreError
from papayadyke_core.configuration import (
    ConfigLog,
    ConfigState,
    Conflict,
    DeleteItem,
    InvalidChange,
    ItemKind,
    PutPreset,
    PutTeam,
    SwitchPreset,
    apply_entry,
    decode_entry,
)
from papayadyke_core.workloads import PresetModel, TeamModel
from papayadyke_daemon.configuration import (
    Accepted,
    ConfigRepository,
    ConfigWriter,
    ConfigWriterSettings,
    Unavailable,
    Unresolved,
)
from papayadyke_standins.store import Faults, MemoryStore, StoreService

VMS = st.integers(0, 2)
SLOTS = 4
ALL_WRITES = 1000
STEPS = 40
EXAMPLES = 200
counts: Counter[str] = Counter()

BODIES = st.one_of(
    st.tuples(st.just("team"), st.sampled_from(["a", "b"])),
    st.tuples(st.just("preset"), st.sampled_from(["ordinary", "peak"])),
    st.tuples(st.just("switch"), st.sampled_from(["ordinary", "peak"])),
    st.tuples(st.just("delete_team"), st.sampled_from(["a", "b"])),
    st.tuples(st.just("delete_preset"), st.sampled_from(["ordinary", "peak"])),
)
NO_FAULTS = Faults()
COUNTED_FIELDS = (
    "down",
    "lose_answers",
    "lose_writes",
    "stale_reads",
    "writes_per_s",
)
FAULTS = st.sampled_from(
    [
        Faults(),
        Faults(),
        Faults(down=True),
        Faults(lose_answers=1),
        Faults(lose_answers=2, prefix="config/log"),
        Faults(lose_answers=1, prefix="config/snapshot"),
        Faults(lose_writes=1),
        Faults(lose_writes=3),
        Faults(stale_reads=1),
        Faults(stale_reads=3, stale_changes=2),
        Faults(stale_reads=9, stale_changes=5),
        Faults(lose_answers=1, stale_reads=4, stale_changes=2),
        Faults(writes_per_s=1.0),
    ]
)


def make_change(id, author, body, expected):
    action, name = body
    header = {"id": id, "author": author, "expected": expected}
    match action:
        case "team":
            return PutTeam(team=TeamModel(name=name), **header)
        case "preset":
            model = PresetModel(name=name, description=id)
            return PutPreset(preset=model, **header)
        case "switch":
            return SwitchPreset(preset=name, **header)
        case "delete_team":
            return DeleteItem(item=ItemKind.TEAM, item_name=name, **header)
        case _:
            return DeleteItem(item=ItemKind.PRESET, item_name=name, **header)


class FaultyStore(MemoryStore):
    """Run a rival's action before a write, and hold writes back after their answer."""

    def __init__(self, service, late):
        super().__init__(service)
        self.before_write = None
        self.late_write_count = 0
        self.late_writes = late

    def create(self, key, value, *, lease=None):
        return self._write_with_faults(
            lambda: super(FaultyStore, self).create(key, value)
        )

    def replace(self, key, value, *, expected, lease=None):
        replace = super().replace
        return self._write_with_faults(lambda: replace(key, value, expected=expected))

    def _write_with_faults(self, act):
        hook, self.before_write = self.before_write, None
        if hook is not None:
            hook()
        if self.late_write_count > 0:
            self.late_write_count -= 1
            self.late_writes.append(act)
            return Err(StoreError(ErrorKind.UNKNOWN, "late"))
        return act()


class Vm:
    def __init__(self, machine, number):
        self.store = FaultyStore(machine.service, machine.late_writes)
        self.repository = ConfigRepository(self.store, slots=SLOTS)
        self.log = ConfigLog()
        self.writer = ConfigWriter(
            self.repository,
            get_state=lambda: self.log.state,
            on_entries=self.log.apply_entries,
            settings=ConfigWriterSettings(submit_timeout_s=3.0),
            clock=machine.clock,
            sleep=machine.sleep,
            rng=random.Random(number),
        )

    def install(self, state):
        return state is not None and self.log.install_snapshot(state)

    def sync(self):
        while True:
            page = self.repository.read_after(self.log.revision)
            if page.is_err():
                return
            tail = page.unwrap()
            if tail.is_overwritten:
                state = self.repository.read_state()
                if not self.install(state.unwrap_or(None)):
                    return
            elif not self.log.apply_entries(tail.entries):
                return


class ConfigMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.service = StoreService(clock=self.clock, sleep=self.sleep)
        self.late_writes = []
        self.vms = [Vm(self, number) for number in range(3)]
        self.last_revisions = [0, 0, 0]
        self.cursor = 0
        self.history = []
        self.states = [ConfigState()]
        self.accepted = {}
        self.refused_ids = set()
        self.changes = []

    def clock(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds + 0.05

    @rule(faults=FAULTS)
    def set_faults(self, faults):
        for name in COUNTED_FIELDS:
            counts[f"fault {name}"] += getattr(faults, name) != getattr(NO_FAULTS, name)
        self.service.set_faults(faults)

    @rule(
        vm=VMS,
        body=BODIES,
        expects=st.booleans(),
        rival=st.none() | st.tuples(VMS, BODIES),
        late=st.sampled_from([0, 0, 0, 1, 2, ALL_WRITES]),
    )
    def submit(self, vm, body, expects, rival, late):
        change = self.new_change(vm, body, expects)
        writer_vm = self.vms[vm]
        counts["fault late write"] += late > 0
        counts["fault rival writer"] += rival is not None and rival[0] != vm
        if rival is not None and rival[0] != vm:
            other = self.new_change(rival[0], rival[1], False)
            writer_vm.store.before_write = lambda: self.submit_and_check(
                rival[0], other
            )
        writer_vm.store.late_write_count = late
        self.submit_and_check(vm, change)
        writer_vm.store.before_write = None
        writer_vm.store.late_write_count = 0

    @precondition(lambda self: self.changes)
    @rule(vm=VMS, data=st.data())
    def resubmit(self, vm, data):
        self.submit_and_check(
            vm, data.draw(st.sampled_from(self.changes[-4:])), is_resubmission=True
        )

    @precondition(lambda self: self.late_writes)
    @rule(data=st.data())
    def late_write_arrives(self, data):
        self.late_writes.pop(data.draw(st.integers(0, len(self.late_writes) - 1)))()

    @rule(vm=VMS)
    def sync(self, vm):
        self.vms[vm].sync()

    @rule(one=VMS, other=VMS, data=st.data())
    def peers_exchange_entries(self, one, other, data):
        entries = list(self.vms[one].log.entries())
        if entries:
            drawn = data.draw(st.lists(st.sampled_from(entries), max_size=6))
            self.vms[other].log.apply_entries(drawn)

    @rule(one=VMS, other=VMS)
    def peer_sends_its_snapshot(self, one, other):
        self.vms[other].log.install_snapshot(self.vms[one].log.state)

    @rule(vm=VMS)
    def restart(self, vm):
        counts["fault restart"] += 1
        self.vms[vm] = Vm(self, vm)
        self.last_revisions[vm] = 0

    def new_change(self, vm, body, expects):
        id = f"c{len(self.changes)}"
        change = make_change(id, f"op{vm}", body, None)
        if expects:
            stamp = self.vms[vm].log.state.last_stamp(change.kind, change.name)
            change = msgspec.structs.replace(change, expected=stamp.revision)
        self.changes.append(change)
        return change

    def submit_and_check(self, vm, change, is_resubmission=False):
        counts["submissions"] += 1
        if is_resubmission:
            # A change that was refused before may be accepted this time.
            self.refused_ids.discard(change.id)
        result = self.vms[vm].writer.submit(change)
        self.read_history()
        if result.is_ok():
            counts["accepted"] += 1
            revision = result.unwrap().revision
            assert isinstance(result.unwrap(), Accepted)
            assert self.history[revision - 1].change.id == change.id
            assert self.accepted.setdefault(change.id, revision) == revision
            return
        error = result.unwrap_err()
        if isinstance(error, Unresolved):
            counts["unresolved"] += 1
            return
        assert isinstance(error, Conflict | InvalidChange | Unavailable)
        if isinstance(error, Conflict):
            counts["conflicts"] += 1
            self.check_conflict(change, error)
        if not isinstance(error, Unavailable) or not is_resubmission:
            self.refused_ids.add(change.id)

    def check_conflict(self, change, error):
        assert (error.kind, error.name) == (change.kind, change.name)
        winner = error.winner
        if winner.revision:
            entry = self.history[winner.revision - 1]
            assert entry.change.id == winner.change_id != change.id
            assert entry.change.author == winner.author

    def read_history(self):
        """Read the store's own event log, which no fault affects."""
        events = self.service.state.events("config/log/", self.cursor).unwrap()
        for event in events:
            self.cursor = event.revision
            assert event.value is not None
            entry = decode_entry(event.value)
            self.history.append(entry)
            assert entry.revision == len(self.history)
            self.states.append(apply_entry(self.states[-1], entry))

    @invariant()
    def log_is_one_sequence_without_refused_changes(self):
        self.read_history()
        ids = [entry.change.id for entry in self.history]
        assert len(set(ids)) == len(ids)
        assert not self.refused_ids & set(ids)
        for id, revision in self.accepted.items():
            assert ids[revision - 1] == id

    @invariant()
    def no_vm_goes_back_or_diverges(self):
        counts["steps"] += 1
        for number, vm in enumerate(self.vms):
            assert vm.log.revision >= self.last_revisions[number]
            self.last_revisions[number] = vm.log.revision
            assert vm.log.state == self.states[vm.log.revision]
            assert vm.log.conflicting_entry_count == 0
            assert vm.log.state.to_model().in_force in vm.log.state.presets

    def teardown(self):
        self.service.set_faults(Faults())
        for act in self.late_writes:
            act()
        self.log_is_one_sequence_without_refused_changes()
        for number in range(3):
            change = self.new_change(number, ("team", "last"), False)
            self.submit_and_check(number, change)
            assert change.id in self.accepted
        for vm in self.vms:
            vm.sync()
        fresh = Vm(self, 9)
        fresh.sync()
        for vm in [*self.vms, fresh]:
            assert vm.log.state == self.states[-1]


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
