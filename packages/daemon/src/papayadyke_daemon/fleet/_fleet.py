"""The agents of the upstreams that this daemon owns or tries to own."""

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

# No session has this token, so that asking to renew it changes nothing.
NO_TOKEN = 0


class Fleet:
    """Keeps one agent for each upstream that this daemon should own.

    Parameters
    ----------
    holder : Holder
    settings : FleetSettings
    upstreams : iterable of UpstreamAddress
        Every upstream of the zone, owned or not.
    send : callable
        Takes messages to the scheduler.
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
        epoch : int
            Epoch of the zone record that says so.
        """
        wanted = {name: self.upstreams[name] for name in names}
        with self._lock:
            surplus = [name for name in self._agents if name not in wanted]
            leaving = [self._agents.pop(name) for name in surplus]
            for name, upstream in wanted.items():
                self._want(name, upstream, epoch)
        for agent in leaving:
            agent.begin_stop()
        for agent in leaving:
            agent.join()

    def find(self, name: str) -> UpstreamAgent | None:
        """Return the agent of an upstream, or None."""
        return self._agents.get(name)

    def list_names(self) -> list[str]:
        """Return the names of all upstreams of the zone."""
        return list(self.upstreams)

    def resolve(self, name: str, task_id: str) -> CallResult:
        """Ask any upstream of the zone what became of a task."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return Lost(f"no upstream {name} in this zone")
        address = upstream.address
        client = UpstreamClient(address.host, address.port, connections=1)
        try:
            return client.resolve(task_id)
        finally:
            client.close()

    def list_held(self) -> list[str]:
        """Return the names of the upstreams whose session is held now."""
        agents = list(self._agents.items())
        return [name for name, agent in agents if agent.is_held()]

    def list_unanswered(self) -> dict[str, float]:
        """Return for how long each upstream has answered no request."""
        agents = list(self._agents.items())
        return {name: agent.unanswered_s() for name, agent in agents}

    def probe(self, name: str) -> bool:
        """Tell whether an upstream of the zone answers at all."""
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

    def _want(self, name: str, upstream: UpstreamAddress, epoch: int) -> None:
        agent = self._agents.get(name)
        if agent is not None:
            agent.want(epoch)
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
