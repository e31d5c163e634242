"""An event loop whose time passes at once, with hosts that freeze and die."""

import asyncio
import contextlib
import contextvars
import gc
import itertools
import logging
import random
import selectors
import sys

from cicadafold import clock

__all__ = ["Host", "VirtualLoop", "play"]

# Hosts of the program that runs now; None is the world around them.
HOST = contextvars.ContextVar("host", default=None)
# Any moment does; callers' times of jobs count from it.
EPOCH_MS = 1_700_000_000_000.0
START_S = 1000.0


class Host:
    """One process: what runs in its context stops when it freezes or dies.

    Args:
        name: Name of the host.

    Attributes:
        frozen: Whether nothing of it runs for now.
        dead: Whether nothing of it runs any more.
        parked: What became due while it was frozen.
    """

    def __init__(self, *, name):
        self.name = name
        self.frozen = False
        self.dead = False
        self.parked = []
        self.tasks = set()
        self.context = contextvars.copy_context()
        self.context.run(HOST.set, self)

    def spawn(self, coroutine):
        """Runs a coroutine in this process."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(coroutine, context=self.context.copy())
        # A dead process's tasks are kept, so that none of them is closed.
        self.tasks.add(task)
        return task

    def freeze(self):
        """Lets nothing run until it is thawed."""
        self.frozen = True

    def thaw(self):
        """Runs what became due meanwhile, in its order."""
        self.frozen = False
        parked, self.parked = self.parked, []
        loop = asyncio.get_running_loop()
        for handle, callback, arguments, context in parked:
            if not handle.cancelled():
                loop.call_soon(callback, *arguments, context=context)

    def kill(self):
        """Ends the process, without any last words."""
        self.dead = True
        self.parked.clear()


class ClockSelector(selectors.SelectSelector):
    """A selector that moves the time instead of waiting.

    Attributes:
        now_s: Time of the loop.
    """

    def __init__(self):
        super().__init__()
        self.now_s = START_S

    def select(self, timeout=None):
        """Lets the time pass.

        Raises:
            RuntimeError: Nothing will ever happen again.
        """
        if timeout is None:
            raise RuntimeError("Nothing is left to happen.")
        self.now_s += max(0.0, timeout)
        return []


class NumberedTask(asyncio.Task):
    """A task whose place in a set does not depend on its address.

    Tasks that are cancelled together are so in the order of a set.
    """

    def __init__(self, *found, number, **others):
        self.number = number
        super().__init__(*found, **others)

    def __hash__(self):
        return self.number


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self):
        self.selector = ClockSelector()
        super().__init__(self.selector)
        numbers = itertools.count(1)
        self.set_task_factory(
            lambda loop, work, **others: NumberedTask(
                work, loop=loop, number=next(numbers), **others
            )
        )

    def time(self):
        """Returns the virtual time in seconds."""
        return self.selector.now_s

    def call_soon(self, callback, *args, context=None):
        """Runs a callback, if its host runs."""
        context = contextvars.copy_context() if context is None else context
        host = context.get(HOST)
        if host is None:
            return super().call_soon(callback, *args, context=context)
        due = []
        handle = super().call_soon(
            deliver, host, due, callback, args, context=context
        )
        due.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        """Runs a callback at a time, if its host runs then."""
        context = contextvars.copy_context() if context is None else context
        host = context.get(HOST)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        due = []
        handle = super().call_at(
            when, deliver, host, due, callback, args, context=context
        )
        due.append(handle)
        return handle


def deliver(host, due, callback, arguments):
    """Runs a callback of a host, or keeps it while the host is frozen."""
    if host.dead:
        return
    if host.frozen:
        context = contextvars.copy_context()
        host.parked.append((due[0], callback, arguments, context))
        return
    callback(*arguments)


@contextlib.contextmanager
def virtual_clock(loop):
    """Lets the product read the loop's time."""
    real = clock.monotonic_ms, clock.wall_ms
    clock.monotonic_ms = lambda: loop.time() * clock.MILLISECONDS
    clock.wall_ms = lambda: EPOCH_MS + loop.time() * clock.MILLISECONDS
    try:
        yield
    finally:
        clock.monotonic_ms, clock.wall_ms = real


def play(make, seed):
    """Runs a coroutine in virtual time.

    Args:
        make: Function that returns the coroutine.
        seed: Seed of the choices that the product makes at random.

    Returns:
        What the coroutine returns, and the tasks that failed unnoticed.
    """
    loop = VirtualLoop()
    failed = []
    loop.set_exception_handler(lambda _, found: note(failed, found))
    state = random.getstate()
    random.seed(seed)
    try:
        with virtual_clock(loop):
            return loop.run_until_complete(make()), failed
    finally:
        random.setstate(state)
        with muted():
            loop.close()
            del loop, make
            gc.collect()


def note(failed, found):
    """Notes a task that failed without anybody noticing."""
    if isinstance(found.get("future"), asyncio.Task):
        failed.append(f"{found['message']}: {found.get('exception')!r}")


@contextlib.contextmanager
def muted():
    """Lets tasks that never came to their end be forgotten quietly."""
    hook, sys.unraisablehook = sys.unraisablehook, lambda _: None
    level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        sys.unraisablehook = hook
        logging.disable(level)
