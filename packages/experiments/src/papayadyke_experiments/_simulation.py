"""A scenario in virtual time, with the real dispatcher."""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any
from zlib import crc32

from papayadyke_core.dispatch import (
    Advice,
    AdvicePolicy,
    AdviceRequest,
    Catalog,
    Commit,
    DelayCause,
    Dispatcher,
    DispatchSettings,
    JobState,
    LearnedRecord,
    QueuePolicy,
    RunEnd,
    StartOrder,
    StartOutcome,
    StepId,
    StepSpec,
    StopOrder,
    TaskId,
    choose_retry_after,
    decode_progress,
)
from papayadyke_experiments._arrivals import (
    HOST,
    Arrival,
    draw_arrivals,
    make_queue_key,
)
from papayadyke_experiments._outcomes import JobOutcome
from papayadyke_experiments._scenario import (
    Crash,
    Event,
    Scenario,
    Silence,
    Slowdown,
    StoreOutage,
    Takeover,
)
from papayadyke_experiments._upstreams import (
    SERVICE,
    SimulatedFleet,
    SimulatedUpstream,
    make_upstreams,
)

STEP_S = 0.01  # seconds of virtual time between two decisions
LEASE_S = 5.0
LEARNED_INTERVAL_S = 5.0  # seconds between two writes of what was learned
COMMIT_RETRY_S = 0.2  # seconds after a commit that was not stored
START_S = 100.0  # time of the first arrival, on the dispatcher's clock
# Multiple of its members for which the upstreams allowed to a gang have room if idle.
GANG_ROOM = 2.0
DETECTION_S = 0.5  # seconds until an upstream that does not answer is noticed


class Simulation:
    """One scenario with one seed and one variant of the settings.

    Parameters
    ----------
    scenario : Scenario
    seed : int
        Determines arrivals, run times, speeds and failures.
    settings : mapping of str to object
        Settings of the dispatcher that differ from the defaults.
    """

    def __init__(
        self,
        scenario: Scenario,
        *,
        seed: int,
        settings: Mapping[str, Any] | None = None,
    ) -> None:
        self.scenario = scenario
        self.now = START_S
        self._seed = seed
        self._settings = DispatchSettings(
            lease_s=LEASE_S, advice_slots=scenario.advice_slots, **(settings or {})
        )
        rng = random.Random(seed)
        self._events = _place_events(scenario, rng)
        self._arrivals = {
            arrival.spec.job_id: arrival
            for arrival in draw_arrivals(scenario, self._events, rng)
        }
        fleet = scenario.fleet
        self._fleet = SimulatedFleet(
            make_upstreams(
                fleet.upstreams,
                cores=fleet.cores,
                memory_mb=fleet.memory_mb,
                speeds=fleet.speeds,
                rack_size=fleet.rack_size,
                rng=rng,
            ),
            run_s=lambda task: self._arrivals[task.job_id].run_s[task],
            get_step=self._get_step,
            draw_end=self._draw_end,
        )
        self._catalog = _make_catalog(scenario)
        self._dispatcher: Dispatcher | None = None
        self._term = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._due_count = 0
        self._store_down_until_s = 0.0
        self._learned = LearnedRecord()
        # What is stored: jobs by id, and their progress.
        self._stored: dict[str, Arrival] = {}
        self._progress: dict[str, bytes] = {}
        self._open: set[str] = set()
        self._ended_s: dict[str, tuple[JobState, float]] = {}
        self._refused: set[str] = set()
        self._delays: dict[str, dict[str, float]] = {}
        self._is_committing = False
        self._next_commit_s = 0.0

    # Run

    def run(self) -> list[JobOutcome]:
        """Play the scenario and return the outcome of each job."""
        self._begin_term()
        for arrival in self._arrivals.values():
            self._at(START_S + arrival.at_s, self._make_hand_in(arrival))
        for event in self._events:
            self._at(START_S + event.at_s, self._make_event(event))
        self._at(START_S + LEARNED_INTERVAL_S, self._store_learned)
        end_s = START_S + self.scenario.duration_s + self.scenario.drain_s
        arrivals_end_s = START_S + self.scenario.duration_s
        while self.now < end_s:
            self.now += STEP_S
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            self._report()
            self._decide()
            if self.now > arrivals_end_s and not self._open and not self._due_jobs():
                break
        if self._dispatcher is not None:
            self._collect_delays(self._dispatcher)
        return [self._make_outcome(arrival) for arrival in self._arrivals.values()]

    def _due_jobs(self) -> bool:
        known = len(self._ended_s) + len(self._refused)
        return known < len(self._arrivals)

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        self._due_count += 1
        heapq.heappush(self._due, (at_s, self._due_count, action))

    # Callers

    def _make_hand_in(self, arrival: Arrival, attempt: int = 0) -> Callable[[], None]:
        def hand_in() -> None:
            spec = arrival.spec
            if self.now < self._store_down_until_s:
                if attempt == arrival.kind.retries:
                    self._refused.add(spec.job_id)
                    return
                queue = self._catalog.queues[spec.queue]
                retry_s = choose_retry_after(spec, queue)
                self._add_delay(spec.job_id, "refused_before", retry_s)
                later = self._make_hand_in(arrival, attempt + 1)
                self._at(self.now + retry_s, later)
                return
            self._stored[spec.job_id] = arrival
            self._open.add(spec.job_id)
            if self._dispatcher is not None:
                self._dispatcher.submit(spec, now=self.now)

        return hand_in

    # Terms

    def _begin_term(self) -> None:
        """Begin a term that knows only what is stored."""
        dispatcher = Dispatcher(self._settings, term=self._term, now=self.now)
        self._term += 1
        dispatcher.set_catalog(self._catalog)
        dispatcher.advice_slots = self.scenario.advice_slots
        if dispatcher.run_times is not None:
            dispatcher.run_times.restore(self._learned)
        for upstream in self._fleet.upstreams.values():
            dispatcher.add_or_update_upstream(upstream.entry, self.now)
            upstream.next_report_s = self.now + self.scenario.call_s
        for job_id in sorted(self._open):
            spec = self._stored[job_id].spec
            stored = self._progress.get(job_id)
            dispatcher.restore_job(
                spec,
                None if stored is None else decode_progress(stored),
                is_cancelled=False,
                age_s=self.now - START_S - self._stored[job_id].at_s,
                now=self.now,
            )
        self._is_committing = False
        self._dispatcher = dispatcher

    def _end_term(self, pause_s: float) -> None:
        if self._dispatcher is None:
            return
        self._collect_delays(self._dispatcher)
        self._dispatcher = None
        for job_id in self._open:
            self._add_delay(job_id, DelayCause.TAKEOVER, pause_s)
        self._at(self.now + pause_s, self._begin_term)

    def _store_learned(self) -> None:
        self._at(self.now + LEARNED_INTERVAL_S, self._store_learned)
        dispatcher = self._dispatcher
        if dispatcher is None or dispatcher.run_times is None:
            return
        if self.now >= self._store_down_until_s:
            queues = self._catalog.queues
            upstreams = self._fleet.upstreams
            self._learned = dispatcher.run_times.make_record(queues, upstreams)

    # Events

    def _make_event(self, event: Event) -> Callable[[], None]:
        def happen() -> None:
            if isinstance(event, Takeover):
                self._end_term(event.pause_s)
            elif isinstance(event, StoreOutage):
                self._store_down_until_s = self.now + event.for_s
            elif isinstance(event, Crash):
                for upstream in self._choose(event.share):
                    self._fleet.crash(upstream.name, self.now, event.for_s)
            elif isinstance(event, Silence):
                for upstream in self._choose(event.share):
                    upstream.silent_until_s = self.now + event.for_s
            elif isinstance(event, Slowdown):
                for upstream in self._choose(event.share):
                    upstream.slow_until_s = self.now + event.for_s
                    upstream.slow_factor = event.factor

        return happen

    def _choose(self, share: float) -> list[SimulatedUpstream]:
        """Return some upstreams, the same for all variants of a seed."""
        rng = random.Random(f"{self._seed} {round(self.now, 2)}")
        upstreams = list(self._fleet.upstreams.values())
        return rng.sample(upstreams, max(1, round(share * len(upstreams))))

    # Upstreams

    def _get_step(self, task: TaskId) -> StepSpec:
        step: StepSpec = self._arrivals[task.job_id].spec.steps[task.step]
        return step

    def _draw_end(self, task: TaskId, attempt: int) -> RunEnd:
        kind = self._arrivals[task.job_id].kind
        drawn = crc32(f"{self._seed} {task} {attempt % 1000}".encode()) / 2**32
        return RunEnd.FAILED if drawn < kind.error_share else RunEnd.DONE

    def _report(self) -> None:
        """Let upstreams report that have new ends or are due, or cannot be reached."""
        changed = self._fleet.end_due(self.now)
        dispatcher = self._dispatcher
        if dispatcher is None:
            return
        for name, upstream in self._fleet.upstreams.items():
            if not upstream.is_reachable(self.now):
                silent_s = (
                    max(upstream.down_until_s, upstream.silent_until_s) - self.now
                )
                if silent_s > 0 and dispatcher.upstreams[name].is_reachable:
                    self._at(self.now + DETECTION_S, self._make_loss(name))
                continue
            if name in changed or self.now >= upstream.next_report_s:
                upstream.next_report_s = self.now + self.scenario.poll_s
                dispatcher.record_lease(name, self.now)
                report = upstream.make_report(self.now, self.scenario.call_s)
                self._at(self.now + self.scenario.call_s, self._deliver(name, report))

    def _deliver(self, name: str, report: Any) -> Callable[[], None]:
        dispatcher = self._dispatcher

        def deliver() -> None:
            if dispatcher is not None and dispatcher is self._dispatcher:
                dispatcher.process_report(name, report, self.now)

        return deliver

    def _make_loss(self, name: str) -> Callable[[], None]:
        def lose() -> None:
            upstream = self._fleet.upstreams[name]
            if self._dispatcher is not None and not upstream.is_reachable(self.now):
                self._dispatcher.mark_unreachable(name, self.now)

        return lose

    # Decisions

    def _decide(self) -> None:
        dispatcher = self._dispatcher
        if dispatcher is None:
            return
        orders = dispatcher.tick(self.now, self.now)
        dispatcher.take_lost_runs()
        for request in orders.advice:
            self._advise(request)
        for start in orders.starts:
            self._at(self.now + self.scenario.call_s / 2, self._make_start(start))
        for stop in orders.stops:
            self._stop(dispatcher, stop)
        self._commit(dispatcher)

    def _advise(self, request: AdviceRequest) -> None:
        kind = self._arrivals[request.step.job_id].kind
        dispatcher, advice = self._dispatcher, kind.advice
        assert advice is not None
        answered_s = self.now + request.expected_s
        allowed = self._list_allowed(request.step, advice.allowed_share)
        tickets = {name: "ticket" for name in request.upstream_ids if name in allowed}
        answer = Advice(
            request.step, request.upstream_ids, tickets, advice.valid_s, answered_s
        )

        def deliver() -> None:
            if dispatcher is not None and dispatcher is self._dispatcher:
                dispatcher.process_advice(answer)

        self._at(answered_s, deliver)

    def _list_allowed(self, step: StepId, share: float) -> set[str]:
        """Return the upstreams that may run a step: a share, and enough for a gang."""
        spec = self._arrivals[step.job_id].spec.steps[step.step]
        upstreams = self._fleet.upstreams
        slots = self.scenario.fleet.cores * 1000 // spec.cpu_millis
        members = spec.count if spec.is_gang else 1
        needed = math.ceil(GANG_ROOM * members / max(slots, 1))
        count = max(round(share * len(upstreams)), needed, 1)
        # Not by CRC-32, by which the dispatcher orders what it asks for: checksums of
        # texts that differ in their start only are correlated.
        ordered = sorted(upstreams, key=lambda name: _hash_text(f"{step}{name}"))
        return set(ordered[:count])

    def _make_start(self, order: StartOrder) -> Callable[[], None]:
        dispatcher = self._dispatcher

        def start() -> None:
            if dispatcher is None or dispatcher is not self._dispatcher:
                return
            dispatcher.record_lease(order.upstream_id, self.now)
            outcome = self._fleet.start(order, self.now)
            delay_s = self.scenario.call_s / 2
            if outcome is StartOutcome.UNKNOWN:
                delay_s = DETECTION_S
            self._at(self.now + delay_s, lambda: answer(outcome))

        def answer(outcome: StartOutcome) -> None:
            if dispatcher is not None and dispatcher is self._dispatcher:
                dispatcher.process_start_outcome(order, outcome, self.now)

        return start

    def _stop(self, dispatcher: Dispatcher, order: StopOrder) -> None:
        if self._fleet.stop(order, self.now):
            dispatcher.process_stop_answer(order, self.now)

    # Commits

    def _commit(self, dispatcher: Dispatcher) -> None:
        if self._is_committing or self.now < self._next_commit_s:
            return
        commit = dispatcher.begin_commit()
        if commit is None:
            return
        self._is_committing = True
        self._at(
            self.now + self.scenario.commit_s,
            lambda: self._finish_commit(dispatcher, commit),
        )

    def _finish_commit(self, dispatcher: Dispatcher, commit: Commit) -> None:
        if dispatcher is not self._dispatcher:
            return
        self._is_committing = False
        is_stored = self.now >= self._store_down_until_s
        ended = dispatcher.finish_commit(commit, is_stored=is_stored)
        if not is_stored:
            self._next_commit_s = self.now + COMMIT_RETRY_S
            return
        self._progress.update(commit.progress)
        for name, (incarnation, number) in commit.acknowledged_ends.items():
            upstream = self._fleet.upstreams[name]
            if upstream.incarnation == incarnation:
                kept = [end for end in upstream.ended if end.number > number]
                upstream.ended[:] = kept
        for job_id in ended:
            job = dispatcher.jobs[job_id]
            self._open.discard(job_id)
            self._ended_s[job_id] = job.state, self.now
            if job.finished_at_s is not None:
                self._add_delay(job_id, DelayCause.STORE, self.now - job.finished_at_s)

    # Outcomes

    def _add_delay(self, job_id: str, cause: str, seconds: float) -> None:
        delays = self._delays.setdefault(job_id, {})
        delays[str(cause)] = delays.get(str(cause), 0.0) + seconds

    def _collect_delays(self, dispatcher: Dispatcher) -> None:
        for job_id, job in dispatcher.jobs.items():
            for cause, seconds in job.delays.list_seconds().items():
                self._add_delay(job_id, cause, seconds)

    def _make_outcome(self, arrival: Arrival) -> JobOutcome:
        job_id = arrival.spec.job_id
        state, ended_s = self._ended_s.get(job_id, (None, 0.0))
        is_complete = state is JobState.COMPLETE
        return JobOutcome(
            kind=arrival.kind.name,
            at_s=arrival.at_s,
            value=arrival.value,
            objective_s=arrival.objective_s,
            age_s=ended_s - START_S - arrival.at_s if is_complete else None,
            is_refused=job_id in self._refused,
            delays=dict(self._delays.get(job_id, {})),
            work_core_s=arrival.work_core_s,
        )


def simulate(
    scenario: Scenario, *, seed: int, settings: Mapping[str, Any] | None = None
) -> list[JobOutcome]:
    """Play a scenario and return the outcome of each job.

    Parameters
    ----------
    scenario : Scenario
    seed : int
    settings : mapping of str to object
        Settings of the dispatcher that differ from the defaults.
    """
    return Simulation(scenario, seed=seed, settings=settings).run()


def _hash_text(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _place_events(scenario: Scenario, rng: random.Random) -> list[Event]:
    """Return the events at the times that they have with this seed."""
    jitter_s = scenario.event_jitter_s
    moved = (
        max(0.0, e.at_s + rng.uniform(-jitter_s, jitter_s)) for e in scenario.events
    )
    return [
        event.model_copy(update={"at_s": at_s})
        for event, at_s in zip(scenario.events, moved, strict=True)
    ]


def _make_catalog(scenario: Scenario) -> Catalog:
    queues = {}
    for kind in scenario.kinds:
        advice = kind.advice
        policy = QueuePolicy(
            kind.name,
            HOST,
            f"/{kind.name}/",
            SERVICE,
            priority=kind.priority,
            max_attempts=kind.max_attempts,
            stretch=kind.stretch,
            allowance_s=kind.allowance_s,
        )
        if advice is not None:
            policy = replace(
                policy,
                advice=AdvicePolicy(
                    advice.decide_s, advice.per_upstream_s, advice.valid_s
                ),
            )
        queues[make_queue_key(kind)] = policy
    return Catalog(1, queues)
