"""Scheduling of staged jobs on shared upstreams: ranking, placement and progress."""

from papayadyke_core.dispatch._crashes import TaskCrash
from papayadyke_core.dispatch._delays import DelayCause, JobDelays
from papayadyke_core.dispatch._dispatcher import Dispatcher
from papayadyke_core.dispatch._gang_waits import GangWait
from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._learned_record import (
    LearnedRecord,
    decode_learned,
    encode_learned,
)
from papayadyke_core.dispatch._memory import estimate_job_bytes
from papayadyke_core.dispatch._messages import (
    Advice,
    AdviceRequest,
    Commit,
    EndedRun,
    LossCause,
    LostRun,
    Orders,
    RunEnd,
    RunningRun,
    StartOrder,
    StartOutcome,
    StopOrder,
    UpstreamEntry,
    UpstreamReport,
)
from papayadyke_core.dispatch._progress import (
    FINAL_STATES,
    JobProgress,
    JobState,
    StepProgress,
    decode_progress,
    encode_progress,
)
from papayadyke_core.dispatch._record_size import estimate_record_bytes
from papayadyke_core.dispatch._reservations import Reservation
from papayadyke_core.dispatch._retry import choose_retry_after
from papayadyke_core.dispatch._run_times import RunTimeModel
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import (
    AdvicePolicy,
    Catalog,
    QueuePolicy,
    Repeat,
    SpecError,
    StagedJobSpec,
    StepId,
    StepSpec,
    TaskId,
    check_job_spec,
)
from papayadyke_core.dispatch._takeover import TakeoverEnd, TakeoverWait
from papayadyke_core.dispatch._team_round import TeamWait
from papayadyke_core.dispatch._unanswered import UnansweredCause, UnansweredEnd
from papayadyke_core.dispatch._upstream import Upstream

__all__ = [
    "FINAL_STATES",
    "Advice",
    "AdvicePolicy",
    "AdviceRequest",
    "Catalog",
    "Commit",
    "DelayCause",
    "DispatchSettings",
    "Dispatcher",
    "EndedRun",
    "GangWait",
    "JobDelays",
    "JobProgress",
    "JobState",
    "LearnedRecord",
    "LossCause",
    "LostRun",
    "Orders",
    "QueuePolicy",
    "Repeat",
    "Reservation",
    "RunEnd",
    "RunTimeModel",
    "RunningRun",
    "SpecError",
    "StagedJob",
    "StagedJobSpec",
    "StartOrder",
    "StartOutcome",
    "StepId",
    "StepProgress",
    "StepRun",
    "StepSpec",
    "StopOrder",
    "TakeoverEnd",
    "TakeoverWait",
    "TaskCrash",
    "TaskId",
    "TeamWait",
    "UnansweredCause",
    "UnansweredEnd",
    "Upstream",
    "UpstreamEntry",
    "UpstreamReport",
    "check_job_spec",
    "choose_retry_after",
    "decode_learned",
    "decode_progress",
    "encode_learned",
    "encode_progress",
    "estimate_job_bytes",
    "estimate_record_bytes",
]
