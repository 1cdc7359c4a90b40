"""Plans of cells that the tests of processes share."""

from papayadyke_standins.cell import CellPlan, ZonePlan

WORKLOADS = [
    {
        "name": "rcd-check",
        "kind": "service",
        "urgency": "urgent",
        "idempotent": True,
        "demand": {"cpus": 1, "memory_mb": 256},
        "timeout_seconds": 10,
        "floor": 0.3,
    },
    {
        "name": "school-order",
        "kind": "service",
        "demand": {"cpus": 1, "memory_mb": 256},
        "timeout_seconds": 10,
        "floor": 0.3,
    },
    {
        "name": "season-tally",
        "kind": "batch",
        "idempotent": True,
        "demand": {"cpus": 4, "memory_mb": 1024},
        "timeout_seconds": 60,
        "floor": 0.1,
    },
]
CONFIG = {"workloads": WORKLOADS, "presets": [{"name": "ordinary"}]}


def plan_cell(*, zones=1, daemons=1, upstreams=2, **changes):
    names = ("hobart", "launceston", "devonport")[:zones]
    return CellPlan(
        zones=tuple(
            ZonePlan(name, daemons=daemons, upstreams=upstreams) for name in names
        ),
        config=CONFIG,
        **changes,
    )
