"""Client of the operators' interface, used by the command line."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.http import HttpExchange, HttpReply
from papayadyke_clients.keys import Authenticator, KeyFile, Keyring, format_seal
from papayadyke_clients.operators import _messages as m
from papayadyke_core.configuration import AnyChange, encode_change
from papayadyke_core.slo import BurnReport

T = TypeVar("T")

RETRY_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorsSettings:
    """Addresses, keys and timeouts of an `OperatorsClient`.

    Parameters
    ----------
    addresses : tuple of (str, int)
        IP addresses and ports of the operators' listeners, tried in order.
    keys : KeyFile
    connect_timeout_s : float, default=1.0
    answer_timeout_s : float, default=12.0
        Longest wait for one answer, in seconds.
    change_timeout_s : float, default=30.0
        Time in seconds during which a change is retried after a lost answer.
    """

    addresses: tuple[tuple[str, int], ...]
    keys: KeyFile
    connect_timeout_s: float = 1.0
    answer_timeout_s: float = 12.0
    change_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    query: str = ""
    body: bytes = b""


class OperatorsClient:
    """Client that queries the daemons and submits configuration changes.

    Parameters
    ----------
    settings : OperatorsSettings
    clock, sleep : callable
    """

    def __init__(
        self,
        settings: OperatorsSettings,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self.settings = settings
        self.clock = clock
        self.sleep = sleep
        # Each run of the command has its own sender name, for replay protection.
        self._authenticator = Authenticator(
            Keyring(settings.keys),
            sender=f"operator-{secrets.token_hex(8)}",
            incarnation=time.time_ns(),
            started_unix_s=time.time(),
        )
        self._exchanges = [
            HttpExchange(
                host, port, kept=1, connect_timeout_s=settings.connect_timeout_s
            )
            for host, port in settings.addresses
        ]

    def read_config(self) -> Result[m.ConfigView, m.OperatorsProblem]:
        """Return the configuration in force on the first VM that answers."""
        return self._get(m.ConfigView, m.CONFIG_PATH)

    def read_status(self) -> Result[m.StatusView, m.OperatorsProblem]:
        """Return the VMs, upstreams and queues known to the first VM that answers."""
        return self._get(m.StatusView, m.STATUS_PATH)

    def explain(self, request_id: str) -> Result[m.Explanation, m.OperatorsProblem]:
        """Return the history of a request from the first VM that has a record of it."""
        return self._get(m.Explanation, f"{m.EXPLAIN_PATH}/{request_id}", try_all=True)

    def list_refused(
        self, workload: str, *, since_unix_s: float
    ) -> Result[m.RefusedView, m.OperatorsProblem]:
        """Return the requests of a workload refused since a Unix time in seconds."""
        query = urlencode({"workload": workload, "since": repr(since_unix_s)})
        return self._get(m.RefusedView, m.REFUSED_PATH, query)

    def read_burn(self, window_s: int) -> Result[BurnReport, m.OperatorsProblem]:
        """Return the service-level burn report for the last `window_s` seconds."""
        return self._get(BurnReport, m.BURN_PATH, urlencode({"window": window_s}))

    def submit(self, change: AnyChange) -> Result[m.ChangeAccepted, m.OperatorsProblem]:
        """Submit a change, with retries until its outcome is known or time runs out.

        Parameters
        ----------
        change : AnyChange
            May reach several VMs; its id ensures that it takes effect only once.

        Returns
        -------
        result : Result of ChangeAccepted, OperatorsProblem
        """
        req = _Request("POST", m.CHANGES_PATH, body=encode_change(change))
        deadline_s = self.clock() + self.settings.change_timeout_s
        may_be_applied = False
        while True:
            result, is_uncertain = self._send_once(req, m.ChangeAccepted)
            may_be_applied = may_be_applied or is_uncertain
            if result.is_ok():
                return result
            problem = result.unwrap_err()
            if not may_be_applied or _is_final(change, problem):
                return result
            if self.clock() >= deadline_s:
                return Err(_make_unresolved_problem(change, problem))
            self.sleep(RETRY_PAUSE_S)

    def _send_once(
        self, req: _Request, kind: type[T]
    ) -> tuple[Result[T, m.OperatorsProblem], bool]:
        """Return the first answer, and whether the change may have taken effect."""
        is_uncertain = False
        problem = _make_unreachable_problem([])
        errors: list[str] = []
        for exchange in self._exchanges:
            reply = self._send(exchange, req)
            if reply.is_ok():
                result = _parse(reply.unwrap(), kind)
                code = result.err_value.code if isinstance(result, Err) else None
                is_uncertain = is_uncertain or code in (
                    m.ProblemCode.UNRESOLVED,
                    m.ProblemCode.FAULT,
                )
                return result, is_uncertain
            error = reply.unwrap_err()
            is_uncertain = is_uncertain or error.was_sent
            errors.append(f"{exchange.host}:{exchange.port}: {error.detail}")
            problem = _make_unreachable_problem(errors)
        return Err(problem), is_uncertain

    def _get(
        self, kind: type[T], path: str, query: str = "", *, try_all: bool = False
    ) -> Result[T, m.OperatorsProblem]:
        problem = _make_unreachable_problem([])
        errors: list[str] = []
        for exchange in self._exchanges:
            reply = self._send(exchange, _Request("GET", path, query))
            if reply.is_err():
                detail = reply.unwrap_err().detail
                errors.append(f"{exchange.host}:{exchange.port}: {detail}")
                problem = _make_unreachable_problem(errors)
                continue
            result = _parse(reply.unwrap(), kind)
            if result.is_ok() or not try_all:
                return result
            problem = result.unwrap_err()
            if problem.code is not m.ProblemCode.NOT_FOUND:
                break
        return Err(problem)

    def _send(self, exchange: HttpExchange, req: _Request):
        data = m.signed_bytes(req.method, req.path, req.query, req.body)
        seal = self._authenticator.seal(data, unix_s=time.time())
        path = f"{req.path}?{req.query}" if req.query else req.path
        return exchange.send(
            req.method,
            path,
            body=req.body,
            headers={m.SEAL_HEADER: format_seal(seal)},
            timeout_s=self.settings.answer_timeout_s,
        )


def _parse(reply: HttpReply, kind: type[T]) -> Result[T, m.OperatorsProblem]:
    try:
        if reply.status == 200:
            return Ok(m.decode_json(reply.body, kind))
        return Err(m.decode_json(reply.body, m.OperatorsProblem))
    except msgspec.DecodeError:
        # The answer is not from a daemon, but for example from a proxy.
        detail = f"answer with status {reply.status} not understood"
        return Err(m.OperatorsProblem(code=m.ProblemCode.FAULT, detail=detail))


def _make_unreachable_problem(errors: list[str]) -> m.OperatorsProblem:
    detail = ": ".join(["no daemon can be reached", *errors[:1]])
    detail = "; ".join([detail, *errors[1:]])
    return m.OperatorsProblem(code=m.ProblemCode.UNAVAILABLE, detail=detail)


def _is_final(change: AnyChange, problem: m.OperatorsProblem) -> bool:
    """Return whether a refusal also rules out earlier attempts without an answer.

    After a conflict, the item can never return to the revision that the change
    expects. Any other refusal may be based on a state that no longer holds on a slow VM
    that still handles an earlier attempt.
    """
    is_conflict = problem.code is m.ProblemCode.CONFLICT
    return is_conflict and change.expected is not None


def _make_unresolved_problem(
    change: AnyChange, last: m.OperatorsProblem
) -> m.OperatorsProblem:
    detail = (
        f"it is not known whether change {change.id} stands: {last.detail}; "
        f"send it again with --change-id {change.id} to find out"
    )
    return m.OperatorsProblem(code=m.ProblemCode.UNRESOLVED, detail=detail)
