"""JSON messages and paths of the operators' HTTP interface."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, TypeVar

import msgspec

from papayadyke_core.configuration import (
    ChangeStamp,
    ConfigState,
    ItemKind,
    decode_model,
    encode_model,
)
from papayadyke_core.verdicts import Reason, Verdict
from papayadyke_core.workloads import (
    ConfigModel,
    PresetModel,
    TeamModel,
    WorkloadModel,
)

T = TypeVar("T")

SEAL_HEADER = "Operator-Seal"
CONFIG_PATH = "/operators/v1/config"
CHANGES_PATH = "/operators/v1/changes"
IN_FORCE_PATH = "/operators/v1/in-force"
WORKLOADS_PATH = "/operators/v1/workloads"
TEAMS_PATH = "/operators/v1/teams"
PRESETS_PATH = "/operators/v1/presets"
STATUS_PATH = "/operators/v1/status"
BURN_PATH = "/operators/v1/report/burn"
EXPLAIN_PATH = "/operators/v1/explain"
REFUSED_PATH = "/operators/v1/refused"


class WorkloadView(msgspec.Struct, frozen=True):
    """Workload and the stamp of its last change."""

    stamp: ChangeStamp
    model: WorkloadModel


class TeamView(msgspec.Struct, frozen=True):
    """Team and the stamp of its last change."""

    stamp: ChangeStamp
    model: TeamModel


class PresetView(msgspec.Struct, frozen=True):
    """Preset and the stamp of its last change."""

    stamp: ChangeStamp
    model: PresetModel


ItemView = WorkloadView | TeamView | PresetView


class InForceView(msgspec.Struct, frozen=True):
    """Preset in force, the change that set it, and the revision on this VM."""

    preset: str
    stamp: ChangeStamp
    revision: int


class ConfigView(msgspec.Struct, frozen=True):
    """Complete configuration in force on one VM."""

    revision: int
    in_force: InForceView
    workloads: list[WorkloadView]
    teams: list[TeamView]
    presets: list[PresetView]

    def items_of(self, kind: ItemKind) -> list[Any]:
        """Return the views of one kind of item, sorted by name."""
        lists: dict[ItemKind, list[Any]] = {
            ItemKind.WORKLOAD: list(self.workloads),
            ItemKind.TEAM: list(self.teams),
            ItemKind.PRESET: list(self.presets),
        }
        return sorted(lists[kind], key=lambda view: view.model.name)

    def to_model(self) -> ConfigModel:
        """Return the complete configuration as a model."""
        return ConfigModel(
            workloads=tuple(view.model for view in self.workloads),
            teams=tuple(view.model for view in self.teams),
            presets=tuple(view.model for view in self.presets),
            in_force=self.in_force.preset,
        )


class ChangeAccepted(msgspec.Struct, frozen=True):
    """Confirmation of a change that was accepted, now or earlier."""

    change_id: str
    revision: int


class VmStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one entry VM, as known to the VM that answers.

    Parameters
    ----------
    name, availability_zone : str
    state : str
        State in the membership, for example "live" or "leaving".
    config_revision : int or None
        Revision of the configuration in force on that VM, if known.
    queued, running : int
    upstreams : int
        Number of upstreams that the VM owns.
    """

    name: str
    availability_zone: str
    state: str
    config_revision: int | None = None
    queued: int = 0
    running: int = 0
    upstreams: int = 0


class UpstreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of one upstream of the availability zone."""

    name: str
    availability_zone: str
    rack: str
    owner: str
    state: str
    running: int = 0
    slots: int = 0
    free_cpu_millis: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0


class QueueStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one workload on the VM that answers."""

    workload: str
    queued: int
    running: int
    started_total: int = 0
    refused_total: int = 0
    held_cpu_millis: int = 0
    held_memory_mb: int = 0
    held_accelerators: int = 0


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the cell, as known to one VM."""

    vm: str
    config_revision: int
    in_force: str
    store_reachable: bool | None = None
    vms: list[VmStatus] = []
    upstreams: list[UpstreamStatus] = []
    queues: list[QueueStatus] = []


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """History of a request, with its verdict and reason.

    Parameters
    ----------
    request_id, workload : str
    state : str
        State of the request, as in `GET /v1/requests/{id}`.
    verdict : Verdict or None
    reason : Reason or None
    lines : list of str
        Sentences that describe the events, in chronological order.
    """

    request_id: str
    workload: str
    state: str
    verdict: Verdict | None = None
    reason: Reason | None = None
    lines: list[str] = []


class RefusedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Refused request."""

    request_id: str
    workload: str
    at_unix_s: float
    verdict: Verdict
    reason: Reason
    detail: str
    holders: list[str] = []
    preset: str = ""
    revision: int = 0


class RefusedCount(msgspec.Struct, frozen=True):
    """Number of requests of a workload that were refused for one reason."""

    workload: str
    reason: Reason
    requests: int


class RefusedView(msgspec.Struct, frozen=True, kw_only=True):
    """Requests refused since a given time.

    Parameters
    ----------
    counts : list of RefusedCount
        Exact if `is_complete` is set.
    requests : list of RefusedRequest
        Most recent refused requests, newest first.
    is_complete : bool
        Whether the VM that answers has records of the whole period.
    detail : str
        Description of missing records, if any.
    """

    counts: list[RefusedCount]
    requests: list[RefusedRequest]
    is_complete: bool = True
    detail: str = ""


class ProblemCode(StrEnum):
    """Cause of a failed operator request; the list is closed."""

    BAD_REQUEST = "bad_request"
    NOT_AUTHENTICATED = "not_authenticated"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    INVALID = "invalid"
    TOO_LARGE = "too_large"
    UNAVAILABLE = "unavailable"
    UNRESOLVED = "unresolved"
    FAULT = "fault"


PROBLEM_STATUS = {
    ProblemCode.BAD_REQUEST: 400,
    ProblemCode.NOT_AUTHENTICATED: 401,
    ProblemCode.NOT_FOUND: 404,
    ProblemCode.CONFLICT: 409,
    ProblemCode.TOO_LARGE: 413,
    ProblemCode.INVALID: 422,
    ProblemCode.FAULT: 500,
    ProblemCode.UNAVAILABLE: 503,
    ProblemCode.UNRESOLVED: 504,
}


class FieldProblem(msgspec.Struct, frozen=True):
    """Invalid field of a change."""

    path: str
    message: str


class OperatorsProblem(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a failed request, as `application/problem+json`.

    Parameters
    ----------
    code : ProblemCode
        Only after `UNRESOLVED` and `FAULT` may the change have taken effect.
    detail : str
    fields : list of FieldProblem
    winner : ChangeStamp or None
        For `CONFLICT`, the change that took effect instead.
    """

    code: ProblemCode
    detail: str
    fields: list[FieldProblem] = []
    winner: ChangeStamp | None = None


def view_config(state: ConfigState) -> ConfigView:
    """Return the view of a configuration state that operators receive."""
    in_force = InForceView(state.in_force, state.in_force_stamp, state.revision)
    return ConfigView(
        revision=state.revision,
        in_force=in_force,
        workloads=[
            WorkloadView(item.stamp, item.model) for item in state.workloads.values()
        ],
        teams=[TeamView(item.stamp, item.model) for item in state.teams.values()],
        presets=[PresetView(item.stamp, item.model) for item in state.presets.values()],
    )


def encode_json(value: Any) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(value, enc_hook=encode_model)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode a message of the given type from JSON.

    Raises
    ------
    msgspec.DecodeError
        If the data is not a valid message of that type.
    """
    return msgspec.json.decode(data, type=kind, dec_hook=decode_model)


def signed_bytes(method: str, path: str, query: str, body: bytes) -> bytes:
    """Return the bytes of a request that its seal covers."""
    return "\n".join((method, path, query, "")).encode() + body
