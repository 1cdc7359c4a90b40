from hypothesis import settings

from papayadyke_core.scheduling.tests.scheduler_machine import SchedulerMachine

TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(max_examples=60, stateful_step_count=60)
