import random

import pytest
from result import Err, Ok

from papayadyke_clients.store import ErrorKind, StoreError
from papayadyke_core.configuration import (
    ConfigLog,
    ConfigState,
    Conflict,
    InvalidChange,
    PutPreset,
    PutTeam,
    SwitchPreset,
)
from papayadyke_core.workloads import PresetModel, TeamModel
from papayadyke_daemon.configuration import (
    Accepted,
    ConfigRepository,
    ConfigWriter,
    Unavailable,
    Unresolved,
)
from papayadyke_standins.store import Faults, MemoryStore, StoreService

LOG_PREFIX = "config/log/"


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds + 0.05


class LateStore(MemoryStore):
    """Hold writes back in `held`; the writer gets `UNKNOWN` instead of an answer."""

    def __init__(self, service):
        super().__init__(service)
        self.held = []

    def create(self, key, value, *, lease=None):
        self.held.append(lambda: MemoryStore.create(self, key, value))
        return Err(StoreError(ErrorKind.UNKNOWN, "no answer"))


def make_service():
    clock = Clock()
    return StoreService(clock=clock, sleep=clock.sleep)


def make_writer(service, *, store=None, slots=4096):
    log = ConfigLog()
    clock = service.clock
    return ConfigWriter(
        ConfigRepository(store or MemoryStore(service), slots=slots),
        get_state=lambda: log.state,
        on_entries=log.apply_entries,
        clock=clock,
        sleep=clock.sleep,
        rng=random.Random(1),
    )


def team(id, name="kids", **options):
    return PutTeam(id=id, author=f"op-{id}", team=TeamModel(name=name), **options)


def switch(id, preset, **options):
    return SwitchPreset(id=id, author=f"op-{id}", preset=preset, **options)


def put_preset(id, name):
    return PutPreset(id=id, author="op", preset=PresetModel(name=name))


def test_changes_of_two_writers_get_consecutive_revisions():
    service = make_service()
    first, second = make_writer(service), make_writer(service)
    assert first.submit(team("a")).unwrap() == Accepted(1)
    assert second.submit(team("b", "others")).unwrap() == Accepted(2)
    assert first.submit(team("c")).unwrap() == Accepted(3)


def test_lost_answer_is_resolved_to_the_accepted_change():
    service = make_service()
    service.set_faults(Faults(lose_answers=1, prefix=LOG_PREFIX))
    assert make_writer(service).submit(team("a")).unwrap() == Accepted(1)
    assert service.counts().operations["create"] == 1


def test_lost_write_is_retried():
    service = make_service()
    service.set_faults(Faults(lose_writes=2, prefix=LOG_PREFIX))
    assert make_writer(service).submit(team("a")).unwrap() == Accepted(1)


def test_change_resubmitted_at_another_vm_takes_effect_once():
    service = make_service()
    assert make_writer(service).submit(team("a")).unwrap() == Accepted(1)
    make_writer(service).submit(team("b"))
    assert make_writer(service).submit(team("a")).unwrap() == Accepted(1)


def test_pending_write_is_unresolved_and_may_be_accepted_later():
    service = make_service()
    store = LateStore(service)
    error = make_writer(service, store=store).submit(team("a")).unwrap_err()
    assert isinstance(error, Unresolved)
    assert store.held[0]().is_ok()
    assert make_writer(service).submit(team("a")).unwrap() == Accepted(1)


def test_store_outage_is_reported_and_writes_nothing():
    service = make_service()
    service.set_faults(Faults(down=True))
    error = make_writer(service).submit(team("a")).unwrap_err()
    assert isinstance(error, Unavailable)
    assert service.state.revision == 0


def test_conflict_over_an_item_names_the_winner():
    service = make_service()
    first, second = make_writer(service), make_writer(service)
    for change in (put_preset("p1", "peak"), put_preset("p2", "maintenance")):
        first.submit(change).unwrap()
    assert first.submit(switch("a", "peak", expected=0)).is_ok()
    error = second.submit(switch("b", "maintenance", expected=0)).unwrap_err()
    assert isinstance(error, Conflict)
    assert (error.winner.author, error.winner.revision) == ("op-a", 3)


def test_loser_of_a_race_for_a_log_slot_is_appended_after_the_winner():
    service = make_service()
    rival = make_writer(service)

    class RacingStore(MemoryStore):
        def create(self, key, value, *, lease=None):
            rival.submit(team("rival", "others"))
            return super().create(key, value)

    writer = make_writer(service, store=RacingStore(service))
    assert writer.submit(team("a")).unwrap() == Accepted(2)


def test_refusal_based_on_a_stale_read_is_checked_again():
    service = make_service()
    make_writer(service).submit(put_preset("p", "peak")).unwrap()
    service.set_faults(Faults(stale_reads=1, prefix=LOG_PREFIX))
    assert make_writer(service).submit(switch("a", "peak")).unwrap() == Accepted(2)


def test_author_ahead_of_a_stale_read_gets_no_conflict():
    service = make_service()
    make_writer(service).submit(team("a")).unwrap()
    service.set_faults(Faults(stale_reads=3, prefix=LOG_PREFIX))
    result = make_writer(service).submit(team("b", expected=1))
    assert result.unwrap() == Accepted(2)


@pytest.mark.parametrize("stale", [0, 1])
def test_paused_writer_finds_no_gap_after_the_log_has_wrapped(stale):
    service = make_service()
    paused_log = ConfigLog()
    writer = make_writer(service, slots=4)
    for number in range(6):
        assert writer.submit(team(f"c{number}")).is_ok()
    repository = ConfigRepository(MemoryStore(service), slots=4)
    tail = repository.read_after(paused_log.revision).unwrap()
    assert tail.is_overwritten
    service.set_faults(Faults(stale_reads=stale, stale_changes=9, prefix=LOG_PREFIX))
    result = make_writer(service, slots=4).submit(team("late", expected=6))
    assert result.unwrap() == Accepted(7)


@pytest.mark.parametrize("stale", [1, 2, 3])
def test_stale_read_of_a_slot_does_not_overwrite_the_newest_entry(stale):
    service = make_service()
    writer, paused = make_writer(service, slots=4), make_writer(service, slots=4)
    for number in range(4):
        writer.submit(team(f"c{number}")).unwrap()
    assert paused.submit(team("c3")).unwrap() == Accepted(4)
    writer.submit(team("c4")).unwrap()
    service.set_faults(Faults(stale_reads=stale, prefix=LOG_PREFIX))
    assert paused.submit(team("c5", "others")).unwrap() == Accepted(6)


def test_entry_is_not_overwritten_before_a_snapshot_holds_it():
    service = make_service()
    writer = make_writer(service, slots=4)
    for number in range(4):
        writer.submit(team(f"c{number}")).unwrap()
    service.set_faults(Faults(lose_writes=1000, prefix="config/snapshot"))
    error = writer.submit(team("c4")).unwrap_err()
    assert isinstance(error, Unavailable)
    service.set_faults(Faults())
    assert writer.submit(team("c4")).unwrap() == Accepted(5)
    repository = ConfigRepository(MemoryStore(service), slots=4)
    state = repository.read_state().unwrap()
    assert isinstance(state, ConfigState)
    assert state.revision == 4


def test_only_the_newest_snapshot_is_kept():
    service = make_service()
    writer = make_writer(service, slots=4)
    for number in range(30):
        writer.submit(team(f"c{number}")).unwrap()
    chunks = MemoryStore(service).read_prefix("config/snapshot/").unwrap()
    assert len(chunks) == 1
    assert len(MemoryStore(service).read_prefix(LOG_PREFIX).unwrap()) == 4


def test_invalid_change_is_refused_with_its_fields():
    error = make_writer(make_service()).submit(switch("a", "nope")).unwrap_err()
    assert isinstance(error, InvalidChange)
    assert error.detail == "there is no preset nope"
    assert make_writer(make_service()).submit(team("b")) == Ok(Accepted(1))
