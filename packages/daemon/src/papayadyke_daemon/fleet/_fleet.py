"""The agents of the upstreams that this daemon owns or tries to own."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable

from papayadyke_daemon.fleet._agent import Holder, SchedulerMessage, UpstreamAgent
from papayadyke_daemon.settings import FleetSettings, UpstreamAddress


class Fleet:
    """Keeps one agent for each upstream that this daemon should own.

    Parameters
    ----------
    holder : Holder
    settings : FleetSettings
    send : callable
        Takes messages to the scheduler.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        *,
        holder: Holder,
        settings: FleetSettings,
        send: Callable[[SchedulerMessage], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.holder = holder
        self.settings = settings
        self.send = send
        self.clock = clock
        self._agents: dict[str, UpstreamAgent] = {}
        self._lock = threading.Lock()

    def own(self, upstreams: Iterable[UpstreamAddress], *, epoch: int) -> None:
        """Hold sessions at these upstreams and release all others.

        Parameters
        ----------
        upstreams : iterable of UpstreamAddress
        epoch : int
            Epoch of the zone record that says so.
        """
        wanted = {upstream.name: upstream for upstream in upstreams}
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

    def list_held(self) -> list[str]:
        """Return the names of the upstreams whose session is held now."""
        agents = list(self._agents.items())
        return [name for name, agent in agents if agent.is_held()]

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
