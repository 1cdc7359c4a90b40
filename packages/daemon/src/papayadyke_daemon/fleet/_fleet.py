"""Agents of the upstreams that are assigned to this VM."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable

from papayadyke_clients.upstream import CallResult, Lost, UpstreamClient
from papayadyke_daemon.fleet._agent import (
    UNREACHABLE,
    Holder,
    SchedulerMessage,
    UpstreamAgent,
)
from papayadyke_daemon.settings import FleetSettings, UpstreamAddress

# No session has this token, so a request to renew it has no effect.
NO_TOKEN = 0


class Fleet:
    """Keep one agent for each upstream that is assigned to this VM.

    Parameters
    ----------
    holder : Holder
    settings : FleetSettings
    upstreams : iterable of UpstreamAddress
        All upstreams of the zone, assigned to this VM or not.
    send : callable
        Sends a message to the scheduler.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        *,
        holder: Holder,
        settings: FleetSettings,
        upstreams: Iterable[UpstreamAddress],
        send: Callable[[SchedulerMessage], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.holder = holder
        self.settings = settings
        self.upstreams = {upstream.name: upstream for upstream in upstreams}
        self.send = send
        self.clock = clock
        self._agents: dict[str, UpstreamAgent] = {}
        self._lock = threading.Lock()

    def own(self, names: Iterable[str], *, epoch: int) -> None:
        """Hold sessions at these upstreams and release all others.

        Parameters
        ----------
        names : iterable of str
            Names of the upstreams that are assigned to this VM.
        epoch : int
            Epoch of the zone record that assigns them to this VM.
        """
        assigned = {name: self.upstreams[name] for name in names}
        with self._lock:
            surplus = [name for name in self._agents if name not in assigned]
            released = [self._agents.pop(name) for name in surplus]
            for name, upstream in assigned.items():
                self._assign(name, upstream, epoch)
        for agent in released:
            agent.begin_stop()
        for agent in released:
            agent.join()

    def find(self, name: str) -> UpstreamAgent | None:
        """Return the agent of an upstream, or None if it is not assigned here."""
        return self._agents.get(name)

    def list_names(self) -> list[str]:
        """Return the names of all upstreams of the zone."""
        return list(self.upstreams)

    def resolve(self, name: str, task_id: str, *, boot_id: str) -> CallResult:
        """Query the outcome of a task at any upstream of the zone.

        Parameters
        ----------
        name, task_id : str
        boot_id : str
            Boot id of the upstream in the session of the start; empty if it is
            unknown.
        """
        upstream = self.upstreams.get(name)
        if upstream is None:
            return Lost(f"no upstream {name} in this zone")
        address = upstream.address
        client = UpstreamClient(address.host, address.port, connections=1)
        try:
            return client.resolve(task_id, boot_id=boot_id)
        finally:
            client.close()

    def list_held(self) -> list[str]:
        """Return the names of the upstreams at which a session is held now."""
        agents = list(self._agents.items())
        return [name for name, agent in agents if agent.is_held()]

    def list_unanswered(self) -> dict[str, float]:
        """Return the seconds for which each upstream has answered no request."""
        agents = list(self._agents.items())
        return {name: agent.unanswered_s() for name, agent in agents}

    def probe(self, name: str) -> bool:
        """Return whether an upstream of the zone answers, be it with a refusal."""
        address = self.upstreams[name].address
        client = UpstreamClient(address.host, address.port, connections=1)
        try:
            answer = client.renew(NO_TOKEN)
        finally:
            client.close()
        return answer.is_ok() or answer.unwrap_err().reason != UNREACHABLE

    def stop(self) -> None:
        """Release every session."""
        self.own((), epoch=0)

    def _assign(self, name: str, upstream: UpstreamAddress, epoch: int) -> None:
        agent = self._agents.get(name)
        if agent is not None:
            agent.assign(epoch)
            return
        agent = UpstreamAgent(
            upstream,
            holder=self.holder,
            settings=self.settings,
            send=self.send,
            clock=self.clock,
        )
        agent.start(epoch)
        self._agents[name] = agent
