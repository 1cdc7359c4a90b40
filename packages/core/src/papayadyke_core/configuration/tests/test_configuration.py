import msgspec
import pytest

from papayadyke_core.configuration import (
    ConfigLog,
    ConfigState,
    Conflict,
    DeleteItem,
    InvalidChange,
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

RCD_CHECK = WorkloadModel.model_validate(
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


def put_rcd_check(id="c1", **options):
    return PutWorkload(id=id, author="aino", workload=RCD_CHECK, **options)


def put_peak(id="c2", **options):
    return PutPreset(id=id, author="aino", preset=PEAK, **options)


def switch(name, id="c3", **options):
    return SwitchPreset(id=id, author="ben", preset=name, **options)


def apply_changes(state, *changes):
    for change in changes:
        assert check_change(state, change).is_ok()
        state = apply_entry(state, LogEntry(state.revision + 1, state.last_id, change))
    return state


def make_entries(*changes):
    entries, previous_id = [], ""
    for revision, change in enumerate(changes, 1):
        entries.append(LogEntry(revision, previous_id, change))
        previous_id = change.id
    return entries


def invalid_detail(state, change):
    error = check_change(state, change).unwrap_err()
    assert isinstance(error, InvalidChange)
    return error.detail


def test_applied_changes_produce_the_configuration():
    state = apply_changes(ConfigState(), put_rcd_check(), put_peak(), switch("peak"))
    config = state.to_config()
    assert (config.revision, config.in_force) == (3, "peak")
    assert config.preset.rules["rcd-check"].urgency is Urgency.URGENT
    assert state.to_model().in_force == "peak"


@pytest.mark.parametrize(
    ("change", "expected_text"),
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
                workload=RCD_CHECK.model_copy(update={"name": "big", "floor": 0.7}),
            ),
            "guarantees more than the fleet",
        ),
        (
            PutWorkload(
                id="x",
                author="b",
                workload=RCD_CHECK.model_copy(update={"team": "nobody"}),
            ),
            "names no team",
        ),
    ],
)
def test_inconsistent_change_is_invalid(change, expected_text):
    state = apply_changes(ConfigState(), put_rcd_check(), put_peak())
    assert expected_text in invalid_detail(state, change)


def test_conflict_reports_the_winning_change():
    state = apply_changes(ConfigState(), put_rcd_check(), put_peak(), switch("peak"))
    error = check_change(state, switch("ordinary", id="c4", expected=0)).unwrap_err()
    assert isinstance(error, Conflict)
    assert (error.winner.author, error.winner.change_id) == ("ben", "c3")
    assert "changed first by ben at revision 3" in error.detail


def test_conflict_with_a_deletion_reports_its_author():
    deletion = DeleteItem(
        id="c2", author="ben", item=ItemKind.WORKLOAD, item_name="rcd-check"
    )
    state = apply_changes(ConfigState(), put_rcd_check(), deletion)
    error = check_change(state, put_rcd_check(id="c3", expected=1)).unwrap_err()
    assert isinstance(error, Conflict)
    assert (error.winner.author, error.winner.revision) == ("ben", 2)


def test_replacing_the_configuration_conflicts_with_any_change():
    state = apply_changes(ConfigState(), put_rcd_check())
    replacement = ReplaceConfig(
        id="c2", author="aino", config=ConfigModel(), expected=0
    )
    assert isinstance(check_change(state, replacement).unwrap_err(), Conflict)
    replacement = msgspec.structs.replace(replacement, expected=1)
    assert apply_changes(state, replacement).to_model() == ConfigModel()


@pytest.mark.parametrize(
    "change",
    [
        put_rcd_check(),
        put_peak(expected=3),
        switch("peak"),
        PutTeam(id="t", author="a", team=TeamModel(name="kids")),
        DeleteItem(id="d", author="a", item=ItemKind.TEAM, item_name="kids"),
        ReplaceConfig(id="r", author="a", config=ConfigModel(workloads=(RCD_CHECK,))),
    ],
)
def test_changes_round_trip_through_encoding(change):
    assert decode_change(encode_change(change)) == change
    entry = LogEntry(1, "", change)
    assert decode_entry(encode_entry(entry)) == entry


def test_decoding_rejects_an_invalid_model():
    body = encode_change(put_rcd_check()).replace(b'"floor":0.4', b'"floor":4.0')
    with pytest.raises(msgspec.ValidationError, match="floor"):
        decode_change(body)


def test_snapshot_restores_the_state_and_rejects_other_chunks():
    state = apply_changes(ConfigState(), put_rcd_check(), put_peak(), switch("peak"))
    head, chunks = make_snapshot(state)
    assert read_snapshot(head, chunks).unwrap() == state
    assert read_snapshot(head, [chunks[0][:-1]]).is_err()
    assert read_snapshot(msgspec.structs.replace(head, revision=9), chunks).is_err()


def test_large_snapshot_is_split_into_chunks_within_the_store_limit():
    hex_values = [f"{(i * 2654435761) % 2**32:08x}" for i in range(4000)]
    teams = tuple(
        TeamModel(name=f"t{i}-{suffix}") for i, suffix in enumerate(hex_values[:900])
    )
    presets = tuple(
        PresetModel(name=f"p{i}", description="".join(hex_values[i : i + 100]))
        for i in range(90)
    )
    presets += (PresetModel(name="ordinary"),)
    config = ConfigModel(teams=teams, presets=presets)
    state = apply_changes(
        ConfigState(), ReplaceConfig(id="r", author="a", config=config)
    )
    head, chunks = make_snapshot(state)
    assert len(chunks) == head.chunks
    assert max(map(len, chunks)) < 1_000_000
    assert read_snapshot(head, chunks).unwrap() == state


def test_log_applies_entries_in_order_regardless_of_arrival_order():
    first, second, third = make_entries(put_rcd_check(), put_peak(), switch("peak"))
    log = ConfigLog()
    assert log.apply_entries([third]) == []
    assert log.has_gap
    assert log.apply_entries([second, third, second]) == []
    assert log.apply_entries([first]) == [first, second, third]
    assert log.apply_entries([first, second, third]) == []
    assert (log.revision, log.has_gap, log.conflicting_entry_count) == (3, False, 0)
    assert log.entries() == (first, second, third)


def test_log_rejects_entries_that_conflict_with_its_history():
    first, second, _ = make_entries(put_rcd_check(), put_peak(), switch("peak"))
    log = ConfigLog()
    log.apply_entries([first])
    log.apply_entries([msgspec.structs.replace(second, previous_id="other")])
    log.apply_entries([LogEntry(1, "", put_peak(id="other"))])
    assert (log.revision, log.conflicting_entry_count) == (1, 2)
    assert log.apply_entries([second]) == [second]


def test_log_installs_only_a_newer_snapshot():
    *_, third = make_entries(put_rcd_check(), put_peak(), switch("peak"))
    newer_state = apply_changes(ConfigState(), put_rcd_check(), put_peak())
    log = ConfigLog()
    log.apply_entries([third])
    assert log.install_snapshot(newer_state)
    assert log.apply_entries([]) == [third]
    assert not log.install_snapshot(newer_state)
    assert log.entries() == (third,)


def test_inapplicable_entry_only_advances_the_revision():
    entry = LogEntry(1, "", switch("nope"))
    state = apply_entry(ConfigState(), entry)
    assert (state.revision, state.in_force) == (1, "ordinary")


def test_unknown_change_advances_the_revision_and_blocks_writes():
    entry = LogEntry(1, "", put_rcd_check())
    data = encode_entry(entry).replace(b"put_workload", b"put_whatever")
    state = apply_entry(ConfigState(), decode_entry(data))
    assert (state.revision, state.last_id, state.workloads) == (1, "c1", {})
    assert "newer version" in invalid_detail(state, put_peak())


def test_diff_lists_the_effective_changes_of_a_switch():
    config = apply_changes(ConfigState(), put_rcd_check(), put_peak()).to_config()
    differences = diff_presets(config, "ordinary", "peak")
    assert [
        (difference.field, difference.before, difference.after)
        for difference in differences
    ] == [
        ("floor", "0.4", "0.6"),
        ("urgency", "normal", "urgent"),
    ]
