"""Real daemons follow the configuration through races, outages and restarts."""

import sys
import threading
import time
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from cell_plans import CONFIG

from papayadyke_clients.keys import load_key_file
from papayadyke_clients.operators import (
    OperatorsClient,
    OperatorsSettings,
    ProblemCode,
)
from papayadyke_core.configuration import PutPreset, PutTeam, SwitchPreset
from papayadyke_core.workloads import PresetModel, TeamModel
from papayadyke_standins.cell import Cell, CellPlan, ZonePlan

pytestmark = pytest.mark.processes

TIMEOUT_S = 60.0
ZONES = ("hobart", "launceston", "devonport")


class Watched(Cell):
    """A cell whose daemons' revisions are read, and checked to only grow."""

    def __init__(self, directory):
        zones = tuple(ZonePlan(name, daemons=3, upstreams=1) for name in ZONES)
        super().__init__(CellPlan(zones=zones, config=CONFIG), directory)
        self.seen = {}

    def connect(self, vm):
        keys = load_key_file(self.directory / "keys.json").unwrap()
        address = ("127.0.0.1", self.daemons[vm].operators_port)
        settings = OperatorsSettings(
            addresses=(address,), keys=keys, change_timeout_s=20.0
        )
        return OperatorsClient(settings)

    def read_revisions(self, vms=None):
        found = {}
        for vm in vms or self.daemons:
            config = self.connect(vm).read_config()
            if config.is_ok():
                found[vm] = config.unwrap().revision
                assert found[vm] >= self.seen.get(vm, 0)
                self.seen[vm] = found[vm]
        return found

    def wait_for(self, revision, vms=None):
        wanted = set(vms or self.daemons)
        until_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < until_s:
            found = self.read_revisions(wanted)
            if {vm for vm, at in found.items() if at >= revision} == wanted:
                return
            time.sleep(0.05)
        raise AssertionError(f"{revision} not everywhere: {self.read_revisions()}")


def put_peak(id):
    return PutPreset(id=id, author="aino", preset=PresetModel(name="peak"))


def switch(id, author, preset, expected=None):
    return SwitchPreset(id=id, author=author, preset=preset, expected=expected)


def put_team(id, name):
    return PutTeam(id=id, author="aino", team=TeamModel(name=name))


def test_changes_reach_all_daemons_and_never_revert(tmp_path):
    with Watched(tmp_path) as cell:
        cell.wait_for(1)
        first, other = cell.connect("hobart-vm-0"), cell.connect("devonport-vm-2")
        cell.wait_for(first.submit(put_peak("p")).unwrap().revision)

        # Two operators race for the preset in force: one wins and is named.
        done = {}
        seen = first.read_config().unwrap().in_force.stamp.revision
        threads = [
            threading.Thread(
                target=lambda id=id, client=client: done.update(
                    {id: client.submit(switch(id, f"op-{id}", "peak", seen))}
                )
            )
            for id, client in (("a", first), ("b", other))
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        winner = "a" if done["a"].is_ok() else "b"
        loser = "b" if winner == "a" else "a"
        problem = done[loser].unwrap_err()
        assert problem.code is ProblemCode.CONFLICT
        assert problem.winner.author == f"op-{winner}"
        cell.wait_for(done[winner].unwrap().revision)

        # The answer is lost after the write took effect: it counts once.
        cell.order_store_faults(lose_answers=1, prefix="config/log/")
        before = done[winner].unwrap().revision
        assert first.submit(put_team("t1", "kids")).unwrap().revision == before + 1
        assert other.submit(put_team("t1", "kids")).unwrap().revision == before + 1
        cell.wait_for(before + 1)

        # An outage: nothing changes, and a VM that starts asks its peers.
        cell.order_store_faults(down=True)
        refused = other.submit(put_team("t2", "others")).unwrap_err()
        assert refused.code is ProblemCode.UNAVAILABLE
        cell.daemons["launceston-vm-1"].process.kill()
        cell.daemons["launceston-vm-1"].process.start()
        cell.daemons["launceston-vm-1"].process.wait_for_port()
        # It has lost what it knew, as any VM that is replaced.
        cell.seen.pop("launceston-vm-1", None)
        cell.wait_for(before + 1)

        cell.order_store_faults()
        assert other.submit(put_team("t2", "others")).unwrap().revision == before + 2
        cell.wait_for(before + 2)
        for vm in cell.daemons:
            config = cell.connect(vm).read_config().unwrap()
            assert config.in_force.preset == "peak"
            assert [team.model.name for team in config.teams] == ["kids", "others"]
