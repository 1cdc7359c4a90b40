import msgspec
import pytest

from papayadyke_core.configuration import (
    ConfigLog,
    ConfigState,
    Conflict,
    DeleteItem,
    Invalid,
    ItemKind,
    LogEntry,
    PutPreset,
    PutTeam,
    PutWorkload,
    ReplaceConfig,
    SwitchPreset,
    apply_entry,
    check_change,
    decode_change,
    decode_entry,
    diff_presets,
    encode_change,
    encode_entry,
    make_snapshot,
    read_snapshot,
)
from papayadyke_core.workloads import (
    ConfigModel,
    PresetModel,
    TeamModel,
    Urgency,
    WorkloadModel,
)

QUICK = WorkloadModel.model_validate(
    {
        "name": "rcd-check",
        "kind": "service",
        "demand": {"cpus": 0.5, "memory_mb": 256},
        "floor": 0.4,
    }
)
PEAK = PresetModel.model_validate(
    {"name": "peak", "rules": {"rcd-check": {"floor": 0.6, "urgency": "urgent"}}}
)


def put_quick(id="c1", **options):
    return PutWorkload(id=id, author="aino", workload=QUICK, **options)


def put_peak(id="c2", **options):
    return PutPreset(id=id, author="aino", preset=PEAK, **options)


def switch(name, id="c3", **options):
    return SwitchPreset(id=id, author="ben", preset=name, **options)


def accept(state, *changes):
    for change in changes:
        assert check_change(state, change).is_ok()
        state = apply_entry(state, LogEntry(state.revision + 1, state.last_id, change))
    return state


def entries_of(*changes):
    entries, previous = [], ""
    for number, change in enumerate(changes, 1):
        entries.append(LogEntry(number, previous, change))
        previous = change.id
    return entries


def problem(state, change):
    error = check_change(state, change).unwrap_err()
    assert isinstance(error, Invalid)
    return error.detail


def test_changes_make_the_configuration_in_force():
    state = accept(ConfigState(), put_quick(), put_peak(), switch("peak"))
    config = state.to_config()
    assert (config.revision, config.in_force) == (3, "peak")
    assert config.preset.rules["rcd-check"].urgency is Urgency.URGENT
    assert state.to_model().in_force == "peak"


@pytest.mark.parametrize(
    ("change", "part"),
    [
        (switch("nope"), "there is no preset nope"),
        (switch("peak", id=""), "id: must have"),
        (switch("peak", id="a\nb"), "id: must have"),
        (
            DeleteItem(id="x", author="b", item=ItemKind.PRESET, item_name="ordinary"),
            "is in force",
        ),
        (
            DeleteItem(id="x", author="b", item=ItemKind.TEAM, item_name="t"),
            "there is no team t",
        ),
        (
            DeleteItem(id="x", author="b", item=ItemKind.CONFIG, item_name=""),
            "cannot be deleted",
        ),
        (
            DeleteItem(
                id="x", author="b", item=ItemKind.WORKLOAD, item_name="rcd-check"
            ),
            "preset peak names no workload",
        ),
        (
            PutWorkload(
                id="x",
                author="b",
                workload=QUICK.model_copy(update={"name": "big", "floor": 0.7}),
            ),
            "guarantees more than the fleet",
        ),
        (
            PutWorkload(
                id="x",
                author="b",
                workload=QUICK.model_copy(update={"team": "nobody"}),
            ),
            "names no team",
        ),
    ],
)
def test_change_that_would_contradict_the_rest_is_invalid(change, part):
    state = accept(ConfigState(), put_quick(), put_peak())
    assert part in problem(state, change)


def test_conflict_names_the_winner():
    state = accept(ConfigState(), put_quick(), put_peak(), switch("peak"))
    error = check_change(state, switch("ordinary", id="c4", expected=0)).unwrap_err()
    assert isinstance(error, Conflict)
    assert (error.winner.author, error.winner.change_id) == ("ben", "c3")
    assert "changed first by ben at revision 3" in error.detail


def test_conflict_with_a_deletion_names_who_deleted():
    gone = DeleteItem(
        id="c2", author="ben", item=ItemKind.WORKLOAD, item_name="rcd-check"
    )
    state = accept(ConfigState(), put_quick(), gone)
    error = check_change(state, put_quick(id="c3", expected=1)).unwrap_err()
    assert isinstance(error, Conflict)
    assert (error.winner.author, error.winner.revision) == ("ben", 2)


def test_whole_configuration_conflicts_with_any_change():
    state = accept(ConfigState(), put_quick())
    load = ReplaceConfig(id="c2", author="aino", config=ConfigModel(), expected=0)
    assert isinstance(check_change(state, load).unwrap_err(), Conflict)
    load = msgspec.structs.replace(load, expected=1)
    assert accept(state, load).to_model() == ConfigModel()


@pytest.mark.parametrize(
    "change",
    [
        put_quick(),
        put_peak(expected=3),
        switch("peak"),
        PutTeam(id="t", author="a", team=TeamModel(name="kids")),
        DeleteItem(id="d", author="a", item=ItemKind.TEAM, item_name="kids"),
        ReplaceConfig(id="r", author="a", config=ConfigModel(workloads=(QUICK,))),
    ],
)
def test_changes_survive_their_codecs(change):
    assert decode_change(encode_change(change)) == change
    entry = LogEntry(1, "", change)
    assert decode_entry(encode_entry(entry)) == entry


def test_invalid_models_do_not_decode():
    body = encode_change(put_quick()).replace(b'"floor":0.4', b'"floor":4.0')
    with pytest.raises(msgspec.ValidationError, match="floor"):
        decode_change(body)


def test_snapshot_restores_the_state_and_rejects_other_chunks():
    state = accept(ConfigState(), put_quick(), put_peak(), switch("peak"))
    head, chunks = make_snapshot(state)
    assert read_snapshot(head, chunks).unwrap() == state
    assert read_snapshot(head, [chunks[0][:-1]]).is_err()
    assert read_snapshot(msgspec.structs.replace(head, revision=9), chunks).is_err()


def test_large_snapshot_is_cut_into_values_that_the_store_holds():
    noise = [f"{(i * 2654435761) % 2**32:08x}" for i in range(4000)]
    teams = tuple(TeamModel(name=f"t{i}-{x}") for i, x in enumerate(noise[:900]))
    presets = tuple(
        PresetModel(name=f"p{i}", description="".join(noise[i : i + 100]))
        for i in range(90)
    )
    presets += (PresetModel(name="ordinary"),)
    config = ConfigModel(teams=teams, presets=presets)
    state = accept(ConfigState(), ReplaceConfig(id="r", author="a", config=config))
    head, chunks = make_snapshot(state)
    assert len(chunks) == head.chunks
    assert max(map(len, chunks)) < 1_000_000
    assert read_snapshot(head, chunks).unwrap() == state


def test_follower_takes_entries_in_order_whatever_comes_in():
    one, two, three = entries_of(put_quick(), put_peak(), switch("peak"))
    log = ConfigLog()
    assert log.offer([three]) == []
    assert log.has_gap
    assert log.offer([two, three, two]) == []
    assert log.offer([one]) == [one, two, three]
    assert log.offer([one, two, three]) == []
    assert (log.revision, log.has_gap, log.contradictions) == (3, False, 0)
    assert log.entries() == (one, two, three)


def test_follower_takes_no_entry_that_contradicts_its_past():
    one, two, _ = entries_of(put_quick(), put_peak(), switch("peak"))
    log = ConfigLog()
    log.offer([one])
    log.offer([msgspec.structs.replace(two, previous_id="other")])
    log.offer([LogEntry(1, "", put_peak(id="other"))])
    assert (log.revision, log.contradictions) == (1, 2)
    assert log.offer([two]) == [two]


def test_follower_installs_only_a_snapshot_that_is_ahead():
    *_, three = entries_of(put_quick(), put_peak(), switch("peak"))
    ahead = accept(ConfigState(), put_quick(), put_peak())
    log = ConfigLog()
    log.offer([three])
    assert log.install(ahead)
    assert log.offer([]) == [three]
    assert not log.install(ahead)
    assert log.entries() == (three,)


def test_entry_that_cannot_be_applied_is_passed_over_alike():
    entry = LogEntry(1, "", switch("nope"))
    state = apply_entry(ConfigState(), entry)
    assert (state.revision, state.in_force) == (1, "ordinary")


def test_change_of_a_newer_version_keeps_its_place_and_stops_writing():
    entry = LogEntry(1, "", put_quick())
    data = encode_entry(entry).replace(b"put_workload", b"put_whatever")
    state = apply_entry(ConfigState(), decode_entry(data))
    assert (state.revision, state.last_id, state.workloads) == (1, "c1", {})
    assert "newer version" in problem(state, put_peak())


def test_diff_tells_what_a_switch_would_change():
    config = accept(ConfigState(), put_quick(), put_peak()).to_config()
    found = diff_presets(config, "ordinary", "peak")
    assert [(d.field, d.before, d.after) for d in found] == [
        ("floor", "0.4", "0.6"),
        ("urgency", "normal", "urgent"),
    ]
