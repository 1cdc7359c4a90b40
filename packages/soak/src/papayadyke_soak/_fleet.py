"""The upstreams of a soak, their links and their registry entries."""

from __future__ import annotations

import itertools
import threading
from dataclasses import dataclass

from papayadyke_adapter_standins import (
    Observer,
    RunSeen,
    StoreServer,
    UpstreamFault,
    UpstreamServer,
    list_upstream,
    unlist_upstream,
)
from papayadyke_soak._proxy import LinkMode, Proxy, ProxyLoop


@dataclass(slots=True)
class Member:
    """One upstream and the link over which every VM reaches it."""

    server: UpstreamServer
    link: Proxy


class Fleet:
    """All upstreams.

    Parameters
    ----------
    store : StoreServer
    loop : ProxyLoop
    cores : int
        Of each upstream.
    seed : int
    """

    def __init__(
        self, store: StoreServer, loop: ProxyLoop, *, cores: int, seed: int
    ) -> None:
        self.members: list[Member] = []
        self.lock = threading.RLock()
        self._store = store
        self._loop = loop
        self._cores = cores
        self._seed = seed
        self._numbers = itertools.count(1)
        self._servers: dict[str, UpstreamServer] = {}
        self._observer: Observer | None = None

    def start(self, count: int, observer: Observer) -> None:
        """Start the upstreams and register them."""
        self._observer = observer
        for _ in range(count):
            self.members.append(self._add())

    def stop(self) -> None:
        """Stop all upstreams."""
        for member in self.members:
            member.server.stop()

    def list_running(self) -> list[RunSeen]:
        """Return the runs of all upstreams."""
        with self.lock:
            return [run for s in self._servers.values() for run in s.list_running()]

    def drain(self, member: Member) -> None:
        """Mark an upstream as draining."""
        self._list(member, is_draining=True)

    def replace(self, member: Member) -> None:
        """Remove an upstream with its runs, and start another."""
        if member not in self.members:
            return
        name = member.server.upstream_id
        with self.lock:
            member.server.crash()
            del self._servers[name]
        member.server.stop()
        unlist_upstream(self._store, name)
        self.members[self.members.index(member)] = self._add()

    def heal(self) -> None:
        """End all faults of upstreams and their links."""
        for member in self.members:
            member.server.fault = UpstreamFault.NONE
            member.link.set_mode(LinkMode.WORKS)

    def _add(self) -> Member:
        if self._observer is None:
            raise RuntimeError("the fleet was not started")
        number = next(self._numbers)
        name = f"upstream-{number}"
        server = UpstreamServer(
            name,
            observer=self._observer,
            lock=self.lock,
            fleet=self._servers,
            seed=self._seed * 1000 + number,
        )
        link = Proxy(self._loop, "127.0.0.1", server.start())
        with self.lock:
            self._servers[name] = server
        member = Member(server, link)
        self._list(member, is_draining=False)
        return member

    def _list(self, member: Member, *, is_draining: bool) -> None:
        list_upstream(
            self._store,
            member.server.upstream_id,
            address=member.link.address,
            cores=self._cores,
            is_draining=is_draining,
        )
