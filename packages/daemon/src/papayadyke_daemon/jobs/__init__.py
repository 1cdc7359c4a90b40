"""Jobs: the models of `/v1/jobs` and the service that runs them."""

from papayadyke_daemon.jobs._models import (
    MAX_JOB_BYTES,
    MAX_TASKS,
    JobModel,
    TaskModel,
    parse_job,
)
from papayadyke_daemon.jobs._service import JobService
from papayadyke_daemon.jobs._table import job_partition
from papayadyke_daemon.jobs._types import JobAnswer, JobHooks, JobSettings, OnDone

__all__ = [
    "MAX_JOB_BYTES",
    "MAX_TASKS",
    "JobAnswer",
    "JobHooks",
    "JobModel",
    "JobService",
    "JobSettings",
    "OnDone",
    "TaskModel",
    "job_partition",
    "parse_job",
]
