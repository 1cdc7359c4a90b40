import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import ValidationError

from papayadyke_core.configuration import (
    ConfigState,
    ReplaceConfig,
    Severity,
    check_change,
    check_config,
    diff_entries,
    diff_in_force,
)
from papayadyke_core.resources import Resources
from papayadyke_core.workloads import ConfigModel

DEMAND = {"cpus": 1, "memory_mb": 256}


def workload(name="rcd", **fields):
    return {"name": name, "kind": "service", "demand": DEMAND, **fields}


def preset(name="ordinary", **rules):
    return {"name": name, "rules": rules}


def config(*workloads, **fields):
    return {"workloads": list(workloads), **fields}


def find(body, **options):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return [(f.severity.value, f.path) for f in check_config(data, **options).findings]


REPEATED = b'{"teams": [], "presets": [{"name": "ordinary", "name": "ordinary"}]}'
TEAM_Q = [{"name": "q", "quota": 0.3}]
TEAM_ZERO = [{"name": "z", "quota": 0}]


# Each case names what the operator would have met without the finding.
@pytest.mark.parametrize(
    ("body", "expected"),
    [
        pytest.param(b"{", "error ", id="load is rejected: not JSON"),
        pytest.param(
            config(workload(weight=0)),
            "error workloads.rcd.weight",
            id="load is rejected: no share for a weight of 0",
        ),
        pytest.param(
            config(workload(floor=0.5, ceiling=0.4)),
            "error workloads.rcd",
            id="load is rejected: floor above ceiling",
        ),
        pytest.param(
            config(workload(floor=0.5), presets=[preset(rcd={"ceiling": 0.4})]),
            "error presets.ordinary.rules.rcd",
            id="load is rejected: preset with floor above ceiling",
        ),
        pytest.param(
            config(workload("a", floor=0.6), workload("b", floor=0.6)),
            "error presets.ordinary",
            id="load is rejected: guarantees more than the fleet",
        ),
        pytest.param(
            config(workload(), workload(weight=2)),
            "error workloads.1",
            id="load is rejected: the second entry of a name",
        ),
        pytest.param(
            config(workload(team="none")),
            "error workloads.rcd.team",
            id="load is rejected: unknown team",
        ),
        pytest.param(
            config(presets=[preset(none={})]),
            "error presets.ordinary.rules.none",
            id="load is rejected: rule of an unknown workload",
        ),
        pytest.param(
            config(in_force="peak"),
            "error in_force",
            id="load is rejected: unknown preset in force",
        ),
        pytest.param(
            config(presets=[preset(f"p{n}") for n in range(101)], in_force="p1"),
            "error presets",
            id="load is rejected: too many presets",
        ),
        pytest.param(
            REPEATED,
            "warning presets.ordinary.name",
            id="the first of two values is ignored without notice",
        ),
        pytest.param(
            config(teams=[{"name": "t"}]),
            "warning teams.t",
            id="a team that gets nothing",
        ),
        pytest.param(
            config(workload(), presets=[preset(rcd={"admit": False})]),
            "warning workloads.rcd",
            id="each request refused: not admitted",
        ),
        pytest.param(
            config(workload(queue_limit=0)),
            "warning workloads.rcd",
            id="each request refused: queue full when empty",
        ),
        pytest.param(
            config(workload(weight=3), presets=[preset(rcd={"weight": 2})]),
            "warning workloads.rcd.weight",
            id="an edit of the workload's weight changes nothing",
        ),
        pytest.param(
            config(workload(floor=0.4, team="q"), teams=TEAM_Q),
            "warning workloads.rcd.floor",
            id="a guarantee that the quota prevents",
        ),
        pytest.param(
            config(
                workload("a", floor=0.2, team="q"),
                workload("b", floor=0.2, team="q"),
                teams=TEAM_Q,
            ),
            "warning presets.ordinary",
            id="guarantees that the quota prevents together",
        ),
        pytest.param(
            config(workload(ceiling=0)),
            "warning workloads.rcd.ceiling",
            id="one task at a time on a large fleet",
        ),
        pytest.param(
            config(workload(kind="gang", team="z"), teams=TEAM_ZERO),
            "warning teams.z.quota",
            id="each gang refused: quota exceeded",
        ),
    ],
)
def test_finding_names_the_entry(body, expected):
    assert [" ".join(finding) for finding in find(body)] == [expected]


@pytest.mark.parametrize(("kind", "cpus"), [("gang", 19), ("service", 9)])
def test_limits_are_compared_with_tasks_in_a_known_fleet(kind, cpus):
    # A ceiling of 0.1 holds the task or the gang of two in a fleet of one more core.
    body = config(workload(kind=kind, ceiling=0.1))
    found = find(body, fleet=Resources(cpus * 1000))
    assert found == [("warning", "workloads.rcd.ceiling")]
    assert find(body, fleet=Resources((cpus + 1) * 1000)) == find(body) == []


def test_all_errors_are_found_at_once():
    body = config(workload(weight=0), workload("b", team="no"), in_force="no")
    paths = {"workloads.rcd.weight", "workloads.b.team", "in_force"}
    assert {path for _, path in find(body)} == paths


@pytest.mark.parametrize("kind", ["workloads", "teams", "presets"])
def test_collection_of_a_wrong_type_gives_no_further_errors(kind):
    body = {"workloads": [workload(team="q")], "teams": TEAM_Q, kind: None}
    errors = [path for severity, path in find(body) if severity == "error"]
    assert errors == [kind]


def test_differences_name_entries_fields_and_effective_shares():
    before = ConfigModel.model_validate(config(workload(), workload("old")))
    rules = preset(rcd={"floor": 0.4})
    after = ConfigModel.model_validate(config(workload(weight=2), presets=[rules]))
    assert [(d.path, d.before, d.after) for d in diff_entries(before, after)] == [
        ("presets.ordinary.rules.rcd.admit", "unset", "True"),
        ("presets.ordinary.rules.rcd.floor", "unset", "0.4"),
        ("workloads.old", "present", "absent"),
        ("workloads.rcd.weight", "1.0", "2.0"),
    ]
    shares = diff_in_force(before.to_config(), after.to_config())
    assert [(d.field, d.after) for d in shares] == [("weight", "2.0"), ("floor", "0.4")]


NAMES = st.sampled_from(["a", "b", "a.b", "default", "ordinary", "Bad name"])
SHARES = st.sampled_from([0.0, 0.1, 0.2, 0.3, 0.4, 0.7, 1.0, 1.5, None])
LIMITS = {
    "weight": st.sampled_from([1.0, 2.0, 0.0]),
    "floor": SHARES,
    "ceiling": SHARES,
    "queue_limit": st.sampled_from([0, 5]),
}
RULES = st.dictionaries(
    NAMES, st.fixed_dictionaries({}, optional={"admit": st.booleans(), **LIMITS})
)
ENTRIES = {
    "workloads": st.fixed_dictionaries(
        {
            "name": NAMES,
            "kind": st.sampled_from(["service", "gang"]),
            "demand": st.just(DEMAND),
        },
        optional={"team": NAMES, **LIMITS},
    ),
    "teams": st.fixed_dictionaries({"name": NAMES}, optional={"quota": SHARES}),
    "presets": st.fixed_dictionaries({"name": NAMES}, optional={"rules": RULES}),
}
CONFIGS = st.fixed_dictionaries(
    {},
    optional={
        "in_force": NAMES,
        **{kind: st.lists(entry, max_size=3) for kind, entry in ENTRIES.items()},
    },
)


def is_accepted(data):
    try:
        model = ConfigModel.model_validate_json(data)
    except ValidationError:
        return False
    change = ReplaceConfig(id="c1", author="aino", config=model)
    return check_change(ConfigState(), change).is_ok()


@settings(max_examples=500, derandomize=True, deadline=None)
@given(CONFIGS)
def test_errors_are_found_exactly_in_what_the_rules_reject(body):
    # An error without a path is a rule of which the check does not know the entry.
    data = json.dumps(body).encode()
    checked = check_config(data)
    errors = [f for f in checked.findings if f.severity is Severity.ERROR]
    assert bool(errors) == (not is_accepted(data))
    assert (checked.model is None) == bool(errors)
    assert all(finding.path for finding in errors)
