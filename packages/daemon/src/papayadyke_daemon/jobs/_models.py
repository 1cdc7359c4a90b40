"""Models that validate the body of `POST /v1/jobs`."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError
from result import Err, Ok, Result

from papayadyke_core.verdicts import Reason, Refusal, Verdict

MAX_JOB_BYTES = 512 * 1024
MAX_TASKS = 1000
MAX_KEY_CHARS = 200
MAX_NAME_CHARS = 64
DEFAULT_DEADLINE_S = 24 * 3600.0
MAX_DEADLINE_S = 7 * 24 * 3600.0

IdempotencyKey = Annotated[
    str, StringConstraints(pattern=r"^[\x21-\x7e]+$", max_length=MAX_KEY_CHARS)
]


class TaskModel(BaseModel):
    """One task of a job, whose payload is any JSON value."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    payload: Any


class JobModel(BaseModel):
    """Body of a job submission."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    workload: str = Field(min_length=1, max_length=MAX_NAME_CHARS)
    tasks: tuple[TaskModel, ...] = Field(min_length=1, max_length=MAX_TASKS)
    gang: bool = False
    idempotency_key: IdempotencyKey | None = None
    deadline_seconds: float = Field(
        default=DEFAULT_DEADLINE_S, gt=0.0, le=MAX_DEADLINE_S, allow_inf_nan=False
    )

    def payloads(self) -> tuple[bytes, ...]:
        """Return the JSON-encoded payload of each task."""
        return tuple(msgspec.json.encode(task.payload) for task in self.tasks)


def parse_job(body: bytes) -> Result[JobModel, Refusal]:
    """Validate the body of a submission; a refusal describes the first error."""
    if len(body) > MAX_JOB_BYTES:
        detail = f"a job has at most {MAX_JOB_BYTES} bytes"
        return Err(Refusal(Verdict.NOT_RUN, Reason.TOO_LARGE, detail))
    try:
        # The parser of pydantic accepts NaN, which neither JSON nor the log can hold.
        return Ok(JobModel.model_validate(msgspec.json.decode(body)))
    except ValidationError as exc:
        detail = _describe(exc)
    except (msgspec.DecodeError, RecursionError) as exc:
        detail = f"the body is not JSON: {exc}"
    return Err(Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))


def _describe(exc: ValidationError) -> str:
    first = exc.errors(include_url=False, include_input=False)[0]
    path = ".".join(str(part) for part in first["loc"]) or "body"
    return f"{path}: {first['msg']}"
