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


class Teller(Controller):
    """Tells another controller what it gets, several times, and records it."""

    tick_interval_s = 60.0

    def __init__(self, context, name, next_name, log):
        super().__init__(context)
        self.name, self.next_name, self.log = name, next_name, log

    def receive(self, message, origin):
        if isinstance(message, Tick):
            return
        self.log.append((self.name, message))
        count = 3 if self.name is ControllerName.MEMBERSHIP else 1
        for number in range(count if self.next_name else 0):
            self._outbox.tell(self.next_name, f"{message}{number}")


# Guards against a switch between controllers for each item of a feed.
def test_messages_told_together_are_handled_as_one_batch():
    router, log = Router("e1"), []
    names = (
        ControllerName.MEMBERSHIP,
        ControllerName.DISPATCH,
        ControllerName.QUARANTINE,
    )
    for name, next_name in zip(names, (*names[1:], None), strict=True):
        outbox = TaskOutbox()
        context = Context("e1", monotonic, random.Random(1), outbox)
        teller = Teller(context, name, next_name, log)
        router.add(ControllerTask(teller, outbox, router, monotonic))
    running = router.start()
    gevent.sleep(0.01)
    router.tell(ControllerName.MEMBERSHIP, "m")
    gevent.killall(running)
    first, second, third = names
    assert log == [
        (first, "m"),
        *[(second, f"m{n}") for n in range(3)],
        *[(third, f"m{n}0") for n in range(3)],
    ]
