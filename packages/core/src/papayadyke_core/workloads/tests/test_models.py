import pytest
from pydantic import ValidationError

from papayadyke_core.workloads import ConfigModel, Urgency, effective_rule

RCD_CHECK = {
    "name": "rcd-check",
    "kind": "service",
    "demand": {"cpus": 0.5, "memory_mb": 256},
    "urgency": "urgent",
    "floor": 0.4,
}


def make_config(**changes):
    body = {"workloads": [RCD_CHECK], "presets": [{"name": "ordinary"}], **changes}
    return ConfigModel.model_validate(body)


def test_config_model_converts_to_data_classes():
    config = make_config().to_config(revision=3)
    workload = config.workloads["rcd-check"]
    assert config.revision == 3
    assert workload.demand.cpu_millis == 500
    assert workload.urgency is Urgency.URGENT


def test_preset_in_force_overrides_workload_values():
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
        {"workloads": [RCD_CHECK, RCD_CHECK]},
        {"workloads": [RCD_CHECK | {"team": "nobody"}]},
        {"workloads": [RCD_CHECK | {"floor": 0.9, "ceiling": 0.5}]},
        {
            "workloads": [
                RCD_CHECK | {"floor": 0.6},
                RCD_CHECK | {"name": "b", "floor": 0.6},
            ]
        },
        {"workloads": [RCD_CHECK | {"name": "Bad Name"}]},
        {"workloads": [RCD_CHECK | {"unknown": 1}]},
    ],
)
def test_inconsistent_config_is_rejected(changes):
    with pytest.raises(ValidationError):
        make_config(**changes)
