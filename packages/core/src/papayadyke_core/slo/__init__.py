"""Service levels: request counts, per-minute buckets and burn reports."""

from papayadyke_core.slo._bucket import (
    Bucket,
    RefusedRequest,
    VmUsage,
    WorkloadCounts,
    decode_bucket,
    encode_bucket,
)
from papayadyke_core.slo._burn import (
    ALERT_RULES,
    UNKNOWN_WORKLOAD,
    AlertRule,
    BurnReport,
    BurnWindow,
    Gap,
    WorkloadBurn,
    make_report,
)
from papayadyke_core.slo._recorder import (
    LoadSample,
    Observation,
    Recorder,
    RecorderSettings,
)
from papayadyke_core.slo._rollup import Rollup, decode_rollup, encode_rollup, roll_up

__all__ = [
    "ALERT_RULES",
    "UNKNOWN_WORKLOAD",
    "AlertRule",
    "Bucket",
    "BurnReport",
    "BurnWindow",
    "Gap",
    "LoadSample",
    "Observation",
    "Recorder",
    "RecorderSettings",
    "RefusedRequest",
    "Rollup",
    "VmUsage",
    "WorkloadBurn",
    "WorkloadCounts",
    "decode_bucket",
    "decode_rollup",
    "encode_bucket",
    "encode_rollup",
    "make_report",
    "roll_up",
]
