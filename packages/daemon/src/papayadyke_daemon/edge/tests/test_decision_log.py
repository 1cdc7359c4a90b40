"""Lines of the decider's log about lost runs."""

from unittest import mock

from papayadyke_core.dispatch import LossCause, LostRun, TakeoverEnd, TaskCrash, TaskId
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


def test_losses_tell_the_incarnation_and_whether_the_start_was_answered():
    """Without both, a start in transit can't be told from a run that was listed."""
    lost = [
        LostRun("u", TaskId("j", 0, 0, 0), 1, LossCause.SILENT, 1.0, 7),
        LostRun("u", TaskId("j", 0, 0, 1), 1, LossCause.SILENT, 1.0, 8),
        LostRun(
            "u", TaskId("j", 0, 0, 2), 1, LossCause.SILENT, 1.0, 8, is_answered=False
        ),
    ]
    with mock.patch.object(_decision_log, "log_event") as log_event:
        _decision_log.log_losses(lost)
    rows = [call.kwargs for call in log_event.call_args_list]
    assert [(r["incarnation"], r["answered"], r["tasks"]) for r in rows] == [
        (7, True, [0]),
        (8, True, [1]),
        (8, False, [2]),
    ]


def test_end_of_a_takeover_tells_the_upstreams_that_did_not_report():
    """Tasks that may run on those are started elsewhere from then on."""
    with mock.patch.object(_decision_log, "log_event") as log_event:
        _decision_log.log_takeover_end(None, token=3)
        _decision_log.log_takeover_end(TakeoverEnd(6.8512, ("u",)), token=3)
    (row,) = [call.kwargs for call in log_event.call_args_list]
    assert row == {"waited_s": 6.851, "silent": ["u"], "token": 3}


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
