"""Tasks that each own a controller."""

import random

import gevent

from wasabitray_core.controllers.controller import Context, Controller
from wasabitray_core.local_messages import ControllerName, Tick
from wasabitray_node.assembly import monotonic
from wasabitray_node.tasks import ControllerTask, Router, TaskOutbox


class Recorder(Controller):
    """Keeps the messages it gets; its ticks are far apart."""

    name = ControllerName.MEMBERSHIP
    tick_interval_s = 60.0

    def __init__(self, context):
        super().__init__(context)
        self.received = []

    def receive(self, message, origin):
        self.received.append(message)


def test_first_tick_is_immediate_and_follows_the_waiting_messages():
    router, outbox = Router("e1"), TaskOutbox()
    context = Context("e1", monotonic, random.Random(1), outbox)
    recorder = Recorder(context)
    task = ControllerTask(recorder, outbox, router, monotonic)
    router.add(task)
    router.tell(ControllerName.MEMBERSHIP, "message from before the start")
    (running,) = router.start()
    gevent.sleep(0.01)
    running.kill()
    assert recorder.received == ["message from before the start", Tick()]
