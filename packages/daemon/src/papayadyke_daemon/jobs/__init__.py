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
from papayadyke_daemon.jobs._types import JobHooks, JobSettings, JobStatus, OnDone

__all__ = [
    "MAX_JOB_BYTES",
    "MAX_TASKS",
    "JobHooks",
    "JobModel",
    "JobService",
    "JobSettings",
    "JobStatus",
    "OnDone",
    "TaskModel",
    "job_partition",
    "parse_job",
]
