"""Jobs: groups of tasks that are accepted once and tracked to their outcomes."""

from papayadyke_core.jobs._job import Job
from papayadyke_core.jobs._types import (
    Authorization,
    Permission,
    TaskDone,
    TaskOrder,
    TaskResult,
    TaskSpec,
    UnresolvedTask,
    make_task_id,
    parse_task_id,
)
from papayadyke_core.jobs._view import job_view, refusal_view

__all__ = [
    "Authorization",
    "Job",
    "Permission",
    "TaskDone",
    "TaskOrder",
    "TaskResult",
    "TaskSpec",
    "UnresolvedTask",
    "job_view",
    "make_task_id",
    "parse_task_id",
    "refusal_view",
]
