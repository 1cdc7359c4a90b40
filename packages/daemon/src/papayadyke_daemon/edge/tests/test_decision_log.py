"""Lines of the decider's log about lost runs."""

from unittest import mock

from papayadyke_core.dispatch import LossCause, LostRun, TaskCrash, TaskId
from papayadyke_daemon.edge import _decision_log


def test_losses_of_a_step_share_a_line_that_names_upstream_and_cause():
    lost = [
        LostRun("u0", TaskId("j", 0, 0, number), 1, LossCause.RESTARTED, 0.2)
        for number in range(3)
    ]
    lost.append(LostRun("u1", TaskId("j", 0, 0, 3), 1, LossCause.SILENT, 6.0))
    with mock.patch.object(_decision_log, "log_event") as log_event:
        _decision_log.log_losses(lost)
    rows = [call.kwargs for call in log_event.call_args_list]
    assert [(r["upstream"], r["cause"], r["tasks"]) for r in rows] == [
        ("u0", "restarted", [0, 1, 2]),
        ("u1", "silent", [3]),
    ]


def test_crashes_tell_their_count_and_the_tasks_that_are_given_up():
    crashes = [
        TaskCrash("u0", TaskId("j", 0, 0, 0), 1, False, False),
        TaskCrash("u0", TaskId("j", 0, 0, 1), 4, False, True),
    ]
    with mock.patch.object(_decision_log, "log_event") as log_event:
        _decision_log.log_crashes(crashes)
    (row,) = [call.kwargs for call in log_event.call_args_list]
    assert (row["request"], row["upstream"]) == ("j", "u0")
    assert (row["tasks"], row["given_up"]) == ([[0, 1], [1, 4]], [1])
