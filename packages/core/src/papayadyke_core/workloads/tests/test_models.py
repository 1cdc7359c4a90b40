import pytest
from pydantic import ValidationError

from papayadyke_core.workloads import ConfigModel, Urgency, effective_rule

QUICK = {
    "name": "rcd-check",
    "kind": "service",
    "demand": {"cpus": 0.5, "memory_mb": 256},
    "urgency": "urgent",
    "floor": 0.4,
}


def make_config(**changes):
    body = {"workloads": [QUICK], "presets": [{"name": "ordinary"}], **changes}
    return ConfigModel.model_validate(body)


def test_config_turns_into_data_classes():
    config = make_config().to_config(revision=3)
    workload = config.workloads["rcd-check"]
    assert config.revision == 3
    assert workload.demand.cpu_millis == 500
    assert workload.urgency is Urgency.URGENT


def test_preset_in_force_overrides_the_workload():
    rules = {"rcd-check": {"floor": 0.1, "queue_limit": 5}}
    config = make_config(
        presets=[{"name": "ordinary"}, {"name": "peak", "rules": rules}],
        in_force="peak",
    ).to_config()
    rule = effective_rule(config, "rcd-check")
    assert (rule.floor, rule.queue_limit, rule.weight) == (0.1, 5, 1.0)


@pytest.mark.parametrize(
    "changes",
    [
        {"in_force": "peak"},
        {"presets": [{"name": "ordinary", "rules": {"nope": {}}}]},
        {"workloads": [QUICK, QUICK]},
        {"workloads": [QUICK | {"team": "nobody"}]},
        {"workloads": [QUICK | {"floor": 0.9, "ceiling": 0.5}]},
        {"workloads": [QUICK | {"floor": 0.6}, QUICK | {"name": "b", "floor": 0.6}]},
        {"workloads": [QUICK | {"name": "Bad Name"}]},
        {"workloads": [QUICK | {"unknown": 1}]},
    ],
)
def test_config_that_contradicts_itself_is_refused(changes):
    with pytest.raises(ValidationError):
        make_config(**changes)
