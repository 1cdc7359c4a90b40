"""Client of the operators' interface, for the command line."""

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
    """How an operator reaches the daemons.

    Parameters
    ----------
    addresses : tuple of (str, int)
        IP numbers and ports of operators' listeners; tried in order.
    keys : KeyFile
    connect_timeout_s : float, default=1.0
    answer_timeout_s : float, default=12.0
        Longest wait for one answer.
    change_timeout_s : float, default=30.0
        Time in which a change is sent again after a lost answer.
    """

    addresses: tuple[tuple[str, int], ...]
    keys: KeyFile
    connect_timeout_s: float = 1.0
    answer_timeout_s: float = 12.0
    change_timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class _Call:
    method: str
    path: str
    query: str = ""
    body: bytes = b""


class OperatorsClient:
    """Asks daemons and sends them changes.

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
        # Each run of the command is a sender of its own.
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
        """Return the configuration in force at the first VM that answers."""
        return self._get(m.ConfigView, m.CONFIG_PATH)

    def read_status(self) -> Result[m.StatusView, m.OperatorsProblem]:
        """Return VMs, upstreams and queues as that VM knows them."""
        return self._get(m.StatusView, m.STATUS_PATH)

    def explain(self, request_id: str) -> Result[m.Explanation, m.OperatorsProblem]:
        """Return what became of a request, from the first VM that knows it."""
        return self._get(m.Explanation, f"{m.EXPLAIN_PATH}/{request_id}", ask_all=True)

    def list_refused(
        self, workload: str, *, since_unix_s: float
    ) -> Result[m.RefusedView, m.OperatorsProblem]:
        """Return who was turned away since a time."""
        query = urlencode({"workload": workload, "since": repr(since_unix_s)})
        return self._get(m.RefusedView, m.REFUSED_PATH, query)

    def read_burn(self, window_s: int) -> Result[BurnReport, m.OperatorsProblem]:
        """Return the report on service-level burn over the last seconds."""
        return self._get(BurnReport, m.BURN_PATH, urlencode({"window": window_s}))

    def submit(self, change: AnyChange) -> Result[m.ChangeDone, m.OperatorsProblem]:
        """Send a change until it is known whether it stands, or time is over.

        Parameters
        ----------
        change : AnyChange
            May be sent to several VMs; its id has it take effect once.

        Returns
        -------
        result : Result of ChangeDone, OperatorsProblem
        """
        call = _Call("POST", m.CHANGES_PATH, body=encode_change(change))
        end = self.clock() + self.settings.change_timeout_s
        may_stand = False
        while True:
            done, lost = self._send_once(call, m.ChangeDone)
            may_stand = may_stand or lost
            if done.is_ok():
                return done
            problem = done.unwrap_err()
            if not may_stand or _is_final(change, problem):
                return done
            if self.clock() >= end:
                return Err(_unresolved(change, problem))
            self.sleep(RETRY_PAUSE_S)

    def _send_once(
        self, call: _Call, kind: type[T]
    ) -> tuple[Result[T, m.OperatorsProblem], bool]:
        """Try the addresses; also tell whether the change may have got through."""
        lost = False
        problem = _unreachable([])
        errors: list[str] = []
        for exchange in self._exchanges:
            reply = self._send(exchange, call)
            if reply.is_ok():
                done = _parse(reply.unwrap(), kind)
                code = done.err_value.code if isinstance(done, Err) else None
                lost = lost or code in (m.ProblemCode.UNRESOLVED, m.ProblemCode.FAULT)
                return done, lost
            error = reply.unwrap_err()
            lost = lost or error.was_sent
            errors.append(f"{exchange.host}:{exchange.port}: {error.detail}")
            problem = _unreachable(errors)
        return Err(problem), lost

    def _get(
        self, kind: type[T], path: str, query: str = "", *, ask_all: bool = False
    ) -> Result[T, m.OperatorsProblem]:
        problem = _unreachable([])
        errors: list[str] = []
        for exchange in self._exchanges:
            reply = self._send(exchange, _Call("GET", path, query))
            if reply.is_err():
                detail = reply.unwrap_err().detail
                errors.append(f"{exchange.host}:{exchange.port}: {detail}")
                problem = _unreachable(errors)
                continue
            done = _parse(reply.unwrap(), kind)
            if done.is_ok() or not ask_all:
                return done
            problem = done.unwrap_err()
            if problem.code is not m.ProblemCode.NOT_FOUND:
                break
        return Err(problem)

    def _send(self, exchange: HttpExchange, call: _Call):
        data = m.signed_bytes(call.method, call.path, call.query, call.body)
        seal = self._authenticator.seal(data, unix_s=time.time())
        path = f"{call.path}?{call.query}" if call.query else call.path
        return exchange.send(
            call.method,
            path,
            body=call.body,
            headers={m.SEAL_HEADER: format_seal(seal)},
            timeout_s=self.settings.answer_timeout_s,
        )


def _parse(reply: HttpReply, kind: type[T]) -> Result[T, m.OperatorsProblem]:
    try:
        if reply.status == 200:
            return Ok(m.decode_json(reply.body, kind))
        return Err(m.decode_json(reply.body, m.OperatorsProblem))
    except msgspec.DecodeError:
        # An answer that is not of the daemon, for example of a proxy.
        text = f"answer with status {reply.status} not understood"
        return Err(m.OperatorsProblem(code=m.ProblemCode.FAULT, detail=text))


def _unreachable(errors: list[str]) -> m.OperatorsProblem:
    text = ": ".join(["no daemon can be reached", *errors[:1]])
    text = "; ".join([text, *errors[1:]])
    return m.OperatorsProblem(code=m.ProblemCode.UNAVAILABLE, detail=text)


def _is_final(change: AnyChange, problem: m.OperatorsProblem) -> bool:
    """Tell whether a refusal also holds for what was sent and lost before.

    The item has passed the revision that the change names, for good. Any other
    refusal may come of a state that a VM, slow with the lost one, no longer has.
    """
    is_conflict = problem.code is m.ProblemCode.CONFLICT
    return is_conflict and change.expected is not None


def _unresolved(change: AnyChange, last: m.OperatorsProblem) -> m.OperatorsProblem:
    text = (
        f"it is not known whether change {change.id} stands: {last.detail}; "
        f"send it again with --change-id {change.id} to find out"
    )
    return m.OperatorsProblem(code=m.ProblemCode.UNRESOLVED, detail=text)
