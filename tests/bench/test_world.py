"""Runs the benches' simulated fleet for a few seconds."""

from world import World, make_exchange

from wasabitray_core.states import WorkClass


def test_requests_are_served_in_the_world_of_the_benches():
    world = World(1, entries=3, targets=4, floor=2)
    responses = []
    for entry in world.entries.values():
        entry.submit(make_exchange(world, WorkClass.SHORT), responses.append)
    world.clock.run_until(world.clock.now + 3.0)
    assert [response.status for response in responses] == [200, 200, 200]
