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
        self.epoch = 1
        self._agents: dict[str, UpstreamAgent] = {}
        self._lock = threading.Lock()

    def own(self, upstreams: Iterable[UpstreamAddress]) -> None:
        """Hold sessions at these upstreams and release all others."""
        wanted = {upstream.name: upstream for upstream in upstreams}
        with self._lock:
            surplus = [name for name in self._agents if name not in wanted]
            leaving = [self._agents.pop(name) for name in surplus]
            for name, upstream in wanted.items():
                if name not in self._agents:
                    self._agents[name] = self._start_agent(upstream)
        for agent in leaving:
            agent.stop()

    def find(self, name: str) -> UpstreamAgent | None:
        """Return the agent of an upstream, or None."""
        return self._agents.get(name)

    def list_held(self) -> list[UpstreamAgent]:
        """Return the agents that hold a session now."""
        return [a for a in list(self._agents.values()) if a.may_start() is not None]

    def stop(self) -> None:
        """Release every session."""
        self.own(())

    def _start_agent(self, upstream: UpstreamAddress) -> UpstreamAgent:
        agent = UpstreamAgent(
            upstream,
            holder=self.holder,
            settings=self.settings,
            send=self.send,
            epoch=lambda: self.epoch,
            clock=self.clock,
        )
        agent.start()
        return agent
