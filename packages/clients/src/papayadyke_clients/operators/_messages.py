"""What operators are told, as it goes over HTTP in JSON."""

from __future__ import annotations

from enum import StrEnum
from typing import Any, TypeVar

import msgspec

from papayadyke_core.configuration import (
    ConfigState,
    ItemKind,
    Stamp,
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
    """A workload and its last change."""

    stamp: Stamp
    model: WorkloadModel


class TeamView(msgspec.Struct, frozen=True):
    """A team and its last change."""

    stamp: Stamp
    model: TeamModel


class PresetView(msgspec.Struct, frozen=True):
    """A preset and its last change."""

    stamp: Stamp
    model: PresetModel


ItemView = WorkloadView | TeamView | PresetView


class InForceView(msgspec.Struct, frozen=True):
    """The preset in force, the change that put it, and the revision here."""

    preset: str
    stamp: Stamp
    revision: int


class ConfigView(msgspec.Struct, frozen=True):
    """The whole configuration as one VM has it in force."""

    revision: int
    in_force: InForceView
    workloads: list[WorkloadView]
    teams: list[TeamView]
    presets: list[PresetView]

    def items_of(self, kind: ItemKind) -> list[Any]:
        """Return the views of one kind of item, in order of their names."""
        lists: dict[ItemKind, list[Any]] = {
            ItemKind.WORKLOAD: list(self.workloads),
            ItemKind.TEAM: list(self.teams),
            ItemKind.PRESET: list(self.presets),
        }
        return sorted(lists[kind], key=lambda view: view.model.name)

    def to_model(self) -> ConfigModel:
        """Return the model of the whole."""
        return ConfigModel(
            workloads=tuple(view.model for view in self.workloads),
            teams=tuple(view.model for view in self.teams),
            presets=tuple(view.model for view in self.presets),
            in_force=self.in_force.preset,
        )


class ChangeDone(msgspec.Struct, frozen=True):
    """A change was accepted, now or before."""

    change_id: str
    revision: int


class VmStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One entry VM, as the VM that answers knows it.

    Parameters
    ----------
    name, availability_zone : str
    state : str
        As in membership, for example "live" or "leaving".
    config_revision : int or None
        Revision of the configuration in force there, if known.
    queued, running : int
    upstreams : int
        How many upstreams the VM owns.
    """

    name: str
    availability_zone: str
    state: str
    config_revision: int | None = None
    queued: int = 0
    running: int = 0
    upstreams: int = 0


class UpstreamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream of the zone."""

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
    """The requests of one workload at the VM that answers."""

    workload: str
    queued: int
    running: int
    started_total: int = 0
    refused_total: int = 0
    held_cpu_millis: int = 0
    held_memory_mb: int = 0
    held_accelerators: int = 0


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """What one VM knows of the cell."""

    vm: str
    config_revision: int
    in_force: str
    store_reachable: bool | None = None
    vms: list[VmStatus] = []
    upstreams: list[UpstreamStatus] = []
    queues: list[QueueStatus] = []


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a request and why.

    Parameters
    ----------
    request_id, workload : str
    state : str
        As in `GET /v1/requests/{id}`.
    verdict : Verdict or None
    reason : Reason or None
    lines : list of str
        Sentences in the order of events.
    """

    request_id: str
    workload: str
    state: str
    verdict: Verdict | None = None
    reason: Reason | None = None
    lines: list[str] = []


class RefusedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request that was turned away."""

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
    """How many requests of a workload were refused for one reason."""

    workload: str
    reason: Reason
    requests: int


class RefusedView(msgspec.Struct, frozen=True, kw_only=True):
    """Who was turned away since a time.

    Parameters
    ----------
    counts : list of RefusedCount
        Exact, where `is_complete`.
    requests : list of RefusedRequest
        The newest ones, newest first.
    is_complete : bool
        Whether everything since that time is known here.
    detail : str
        What is missing, if anything.
    """

    counts: list[RefusedCount]
    requests: list[RefusedRequest]
    is_complete: bool = True
    detail: str = ""


class ProblemCode(StrEnum):
    """Why an operator's request was not done; a closed list."""

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
    """One field that is wrong."""

    path: str
    message: str


class OperatorsProblem(msgspec.Struct, frozen=True, kw_only=True):
    """An answer other than success, as `application/problem+json`.

    Parameters
    ----------
    code : ProblemCode
        `UNRESOLVED` and `FAULT` are the only ones after which a change may
        stand.
    detail : str
    fields : list of FieldProblem
    winner : Stamp or None
        For `CONFLICT`, the change that stands.
    """

    code: ProblemCode
    detail: str
    fields: list[FieldProblem] = []
    winner: Stamp | None = None


def view_config(state: ConfigState) -> ConfigView:
    """Return what operators see of a state."""
    in_force = InForceView(state.in_force, state.in_force_stamp, state.revision)
    return ConfigView(
        revision=state.revision,
        in_force=in_force,
        workloads=[WorkloadView(i.stamp, i.model) for i in state.workloads.values()],
        teams=[TeamView(i.stamp, i.model) for i in state.teams.values()],
        presets=[PresetView(i.stamp, i.model) for i in state.presets.values()],
    )


def encode_json(value: Any) -> bytes:
    """Return a message as JSON."""
    return msgspec.json.encode(value, enc_hook=encode_model)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Return the message of some JSON.

    Raises
    ------
    msgspec.DecodeError
        Where it is none of that kind.
    """
    return msgspec.json.decode(data, type=kind, dec_hook=decode_model)


def signed_bytes(method: str, path: str, query: str, body: bytes) -> bytes:
    """Return what the seal of a request covers."""
    return "\n".join((method, path, query, "")).encode() + body
