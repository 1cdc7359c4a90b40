"""The upstreams of a soak, their links and their registry entries."""

from __future__ import annotations

import itertools
import math
import threading
from dataclasses import dataclass, field

from papayadyke_adapter_standins import (
    Observer,
    RunSeen,
    StoreServer,
    UpstreamFault,
    UpstreamServer,
    list_upstream,
    unlist_upstream,
)
from papayadyke_daemon.edge import read_clock
from papayadyke_soak._proxy import LinkMode, Proxy, ProxyLoop


@dataclass(slots=True)
class Member:
    """One upstream and the link over which every VM reaches it."""

    server: UpstreamServer
    link: Proxy
    cores: int
    is_draining: bool = False
    # Whether its entry has expired, because it is cut off from the registry.
    has_expired: bool = False
    # Earlier capacities in cores, each with the time of the change to the next.
    earlier_cores: list[tuple[float, int]] = field(default_factory=list)


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
        # Ids of crashed upstreams that are to be back under them.
        self._keeps_id: set[str] = set()
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
        member.is_draining = True
        self._list(member)

    def resize(self, member: Member, cores: int) -> None:
        """Change the capacity of an upstream while it runs."""
        if member not in self.members:
            return
        member.earlier_cores.append((read_clock(), member.cores))
        member.cores = cores
        self._list(member)

    def relist(self, member: Member) -> None:
        """Write the entry of an upstream that has begun a new incarnation."""
        self._list(member)

    def read_capacity(self, upstream_id: str, settled_s: float) -> int:
        """Return the most that an upstream may be given, in thousandths of a core.

        Parameters
        ----------
        upstream_id : str
        settled_s : float
            A change of the capacity counts if it was made before that time.
        """
        member = self.list_members().get(upstream_id)
        if member is None:
            return self._cores * 1000
        recent = [cores for at_s, cores in member.earlier_cores if at_s >= settled_s]
        return max([member.cores, *recent]) * 1000

    def list_members(self) -> dict[str, Member]:
        """Return the present upstreams by id."""
        return {member.server.upstream_id: member for member in list(self.members)}

    def crash(self, member: Member, down_s: float) -> None:
        """Crash an upstream, which is back under its id after some seconds."""
        with self.lock:
            self._keeps_id.add(member.server.upstream_id)
            member.server.crash(down_s)

    def expire(self, member: Member) -> None:
        """Remove the entry of an upstream that is cut off, until `reconnect`."""
        if member in self.members and member.server.is_cut:
            member.has_expired = True
            unlist_upstream(self._store, member.server.upstream_id)

    def reconnect(self, member: Member) -> None:
        """End the cut of an upstream; an entry that has expired is written again."""
        if member not in self.members:
            return
        member.server.reconnect()
        if member.has_expired:
            member.has_expired = False
            self._list(member)

    def replace(self, member: Member) -> None:
        """Remove an upstream with its runs, and start another."""
        if member not in self.members:
            return
        name = member.server.upstream_id
        with self.lock:
            member.server.crash(math.inf)
            del self._servers[name]
        member.server.stop()
        unlist_upstream(self._store, name)
        self.members[self.members.index(member)] = self._add()

    def heal(self) -> None:
        """End all faults of upstreams and their links."""
        for member in self.members:
            member.server.fault = UpstreamFault.NONE
            member.link.set_mode(LinkMode.WORKS)

    def settle(self) -> None:
        """End all faults; those that drain leave, and all have their full capacity."""
        for member in [member for member in self.members if member.is_draining]:
            self.replace(member)
        self.heal()
        for member in self.members:
            self.reconnect(member)
            if member.cores != self._cores:
                self.resize(member, self._cores)

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
            on_return=self._handle_return,
        )
        link = Proxy(self._loop, "127.0.0.1", server.start())
        with self.lock:
            self._servers[name] = server
        member = Member(server, link, self._cores)
        self._list(member)
        return member

    def _handle_return(self, server: UpstreamServer) -> None:
        """List an upstream that is back from a crash.

        Each second one has another id, unless it is to keep it.
        """
        member = self.list_members().get(server.upstream_id)
        if member is None:
            return
        number = next(self._numbers)
        if server.upstream_id in self._keeps_id:
            self._keeps_id.discard(server.upstream_id)
        elif number % 2:
            unlist_upstream(self._store, server.upstream_id)
            with self.lock:
                del self._servers[server.upstream_id]
                base, _, _ = server.upstream_id.partition(".")
                server.rename(f"{base}.{number}")
                self._servers[server.upstream_id] = server
        self._list(member)

    def _list(self, member: Member) -> None:
        if member.has_expired:
            return
        list_upstream(
            self._store,
            member.server.upstream_id,
            address=member.link.address,
            incarnation=member.server.incarnation,
            cores=member.cores,
            is_draining=member.is_draining,
        )
