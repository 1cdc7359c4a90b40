"""Upstreams whose capacity shrinks and grows while they run.

LIMIT: a start may not bring an upstream over the capacity that it says of itself; runs
that are being stopped count until their end is listed.
"""

from dataclasses import replace

import pytest
from dispatch_world import World, make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import (
    Dispatcher,
    DispatchSettings,
    JobState,
    RunEnd,
    UpstreamReport,
)


def resize(world, name, cores):
    upstream = world.upstreams[name]
    upstream.entry = replace(upstream.entry, cpu_millis=cores * 1000)
    world.dispatcher.add_or_update_upstream(upstream.entry, world.now)


def test_shrunk_upstream_gets_no_start_until_its_runs_fit():
    world = World(make_catalog(), make_entry("a", cores=4))
    world.submit(make_job("j", make_step(8)))
    world.step()
    world.step()
    assert len(world.running()) == 4
    world.upstreams["a"].entry = replace(world.upstreams["a"].entry, cpu_millis=2000)
    dispatcher = world.dispatcher
    dispatcher.add_or_update_upstream(world.upstreams["a"].entry, world.now)
    for ended, starts in ((0, 0), (2, 0), (1, 1)):
        for _, task, _ in world.running()[:ended]:
            world.upstreams["a"].end(task, RunEnd.DONE)
        world.poll()
        orders = dispatcher.tick(world.now + 1.0, world.now + 1.0)
        assert len(orders.starts) == starts


# A task that needs no processor was placed on a shrunk upstream, which broke off the
# placement of all other tasks with an error, each time.
@pytest.mark.parametrize("needs", [{"cpu_millis": 0}, {"fills_spare": True}])
def test_task_without_need_of_cpu_waits_while_its_upstream_is_over(needs):
    world = World(make_catalog(), make_entry("a", cores=4), make_entry("b", cores=1))
    world.submit(make_job("long", make_step(5)))
    world.step()
    resize(world, "a", 2)
    dispatcher = world.dispatcher
    dispatcher.submit(make_job("light", make_step(3, **needs)), now=world.now)
    dispatcher.submit(make_job("other"), now=world.now)
    orders = dispatcher.tick(world.now + 1.0, world.now + 1.0)
    assert all(order.upstream_id == "b" for order in orders.starts)


def test_upstream_that_grows_is_used_again():
    world = World(make_catalog(), make_entry("a", cores=4))
    resize(world, "a", 0)
    world.submit(make_job("j", make_step(4)))
    world.run(1.0)
    assert not world.running()
    resize(world, "a", 4)
    world.run(3.0)
    assert world.get_state("j") is JobState.COMPLETE


# The entry of an earlier life of an upstream, which may have been of another kind, told
# how much the present one holds.
def test_upstream_gets_no_start_before_its_entry_is_of_its_present_life():
    dispatcher = Dispatcher(DispatchSettings(lease_s=5.0))
    dispatcher.set_catalog(make_catalog())
    old, new = 1000, 2000
    entry = make_entry("a", cores=4, incarnation=old)
    dispatcher.add_or_update_upstream(entry)
    dispatcher.process_report("a", UpstreamReport(new, 0.0, 0.1), 0.1)
    dispatcher.submit(make_job("j", make_step(2)), now=0.1)
    assert not dispatcher.tick(0.2, 0.2).starts
    small = make_entry("a", cores=1, incarnation=new)
    dispatcher.add_or_update_upstream(small, 0.3)
    assert len(dispatcher.tick(0.3, 0.3).starts) == 1
