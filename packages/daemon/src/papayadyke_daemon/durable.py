"""Components that keep jobs and keys in the store."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from papayadyke_clients.store import Store
from papayadyke_core.idempotency import UnresolvedKey
from papayadyke_core.jobs import TaskDone, TaskResult, make_task_id
from papayadyke_core.workloads import Workload
from papayadyke_daemon.fleet import Fleet
from papayadyke_daemon.idempotency import KeyService, KeyServiceSettings
from papayadyke_daemon.jobs import JobHooks, JobService, JobSettings
from papayadyke_daemon.journal import JournalSettings, JournalWriter, Replay
from papayadyke_daemon.partitions import PartitionManager
from papayadyke_daemon.scheduler import SchedulerLoop
from papayadyke_daemon.serving import MAX_ATTEMPTS, TaskRunner

LEASE_MARGIN = 2.0
PACE_PERIOD_S = 5.0


class DurableParts:
    """Journal, jobs, keys and the partition manager of one daemon.

    Parameters
    ----------
    store : Store
    vm : str
    incarnation : int
    loop : SchedulerLoop
    fleet : Fleet
    find_workload : callable
    plan : callable
        Returns the partitions that are this VM's.
    covers_cell : callable
        Tells whether the upstreams of this zone are all of the cell.
    is_holder_lost : callable
        Tells of the name of a VM and its incarnation whether it runs no longer.
    task_lease_s : float
    count_vms : callable
        Returns the number of VMs that share the store.
    """

    def __init__(
        self,
        *,
        store: Store,
        vm: str,
        incarnation: int,
        loop: SchedulerLoop,
        fleet: Fleet,
        find_workload: Callable[[str], Workload | None],
        plan: Callable[[], frozenset[int]],
        covers_cell: Callable[[], bool],
        is_holder_lost: Callable[[str], bool],
        task_lease_s: float,
        count_vms: Callable[[], int],
    ) -> None:
        self.count_vms = count_vms
        self._paced_s = float("-inf")
        self.journal = JournalWriter(
            store, JournalSettings(vm=vm, incarnation=f"{incarnation:x}")
        )
        self.tasks = TaskRunner(
            loop=loop,
            fleet=fleet,
            authorize=lambda *args: self.jobs.authorize_start(*args),
            task_lease_s=task_lease_s,
            covers_cell=covers_cell,
        )
        self.jobs = JobService(
            self.journal,
            JobSettings(lease_expiry_s=LEASE_MARGIN * task_lease_s),
            JobHooks(
                find_workload=find_workload,
                submit_task=self.tasks.submit,
                stop_task=self.tasks.cancel,
                resolve_task=self.tasks.resolve,
            ),
        )
        self._resolver = _KeyResolver(self.tasks, covers_cell)
        self.keys = KeyService(
            self.journal,
            KeyServiceSettings(),
            self._resolver.resolve,
            is_holder_lost=is_holder_lost,
        )
        self.partition_manager = PartitionManager(
            self.journal,
            plan=lambda: self._follow_plan(plan),
            on_adopt=self._adopt,
            on_drop=self._drop,
        )

    def start(self) -> None:
        """Start the threads; the partition manager, which feeds the others, is last."""
        self.journal.start()
        self.tasks.start()
        self.jobs.start()
        self.keys.start()
        self.partition_manager.start()

    def stop(self) -> None:
        """Release the partitions and stop the threads."""
        self.partition_manager.stop()
        self.jobs.stop()
        self.keys.stop()
        self.tasks.stop()
        self.journal.stop()
        self._resolver.stop()

    def _follow_plan(self, plan: Callable[[], frozenset[int]]) -> frozenset[int]:
        """Return the plan, and limit the journal's write rate by the number of VMs."""
        now = time.monotonic()
        if now - self._paced_s >= PACE_PERIOD_S:
            self._paced_s = now
            self.journal.set_vm_count(self.count_vms())
        return plan()

    def _adopt(self, replay: Replay) -> None:
        self.jobs.adopt(replay)
        self.keys.adopt(replay)

    def _drop(self, partition: int) -> None:
        self.jobs.drop(partition)
        self.keys.drop(partition)


class _KeyResolver:
    """Find the outcome of a keyed request whose VM was lost."""

    def __init__(self, tasks: TaskRunner, covers_cell: Callable[[], bool]) -> None:
        self.tasks = tasks
        self.covers_cell = covers_cell
        self._calls = ThreadPoolExecutor(1, thread_name_prefix="keys")

    def resolve(self, key: UnresolvedKey, on_done: Callable[[TaskDone], None]) -> None:
        """Ask about every attempt that the request may have made."""
        self._ask(key, 1, on_done)

    def stop(self) -> None:
        """Stop the thread."""
        self._calls.shutdown(wait=False, cancel_futures=True)

    def _ask(
        self, key: UnresolvedKey, attempt: int, on_done: Callable[[TaskDone], None]
    ) -> None:
        def took(done: TaskDone) -> None:
            # An upstream that has restarted does not know the attempts before.
            is_unknown = done.result in (TaskResult.NOT_STARTED, TaskResult.LAPSED)
            if is_unknown and attempt < MAX_ATTEMPTS:
                self._calls.submit(self._ask, key, attempt + 1, on_done)
            elif is_unknown and not self.covers_cell():
                on_done(TaskDone(done.task_id, TaskResult.LOST))
            else:
                on_done(done)

        task_id = make_task_id(key.request_id, 0, attempt)
        # An earlier attempt may have gone to another upstream than the last, so
        # all are asked where that is possible.
        upstream = None if self.covers_cell() else key.upstream
        self.tasks.resolve(task_id, upstream, "", took)
