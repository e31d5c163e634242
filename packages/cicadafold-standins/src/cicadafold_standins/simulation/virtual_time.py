"""Event loop in virtual time, with hosts that can be frozen or killed.

The loop never waits: when nothing is due, its time jumps to the next timer.
"""

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

__all__ = ["Host", "VirtualLoop", "run"]

LOG = logging.getLogger(__name__)

# Host whose code runs now; None for the stand-ins, the network and the test.
CURRENT_HOST = contextvars.ContextVar("host", default=None)
# Wall clock at loop time 0; any value works. Start times of scheduled jobs
# refer to it.
EPOCH_MS = 1_700_000_000_000.0
START_TIME_S = 1000.0


class Host:
    """Simulated host with one process.

    Callbacks in the context of a host run only while it is neither frozen
    nor dead.

    Args:
        name: Name of the host.

    Attributes:
        frozen: Whether its callbacks are deferred.
        dead: Whether its callbacks are dropped.
        deferred: Callbacks that became due while it was frozen, in order.
        wall_offset_ms: By how much its time of day is off.
    """

    def __init__(self, *, name):
        self.name = name
        self.frozen = False
        self.dead = False
        self.deferred = []
        self.wall_offset_ms = 0.0
        self.tasks = set()
        self.context = contextvars.copy_context()
        self.context.run(CURRENT_HOST.set, self)

    def spawn(self, coroutine):
        """Starts a task for a coroutine in the context of this host."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(coroutine, context=self.context.copy())
        # Keeps the tasks of a dead host referenced: a collected task would
        # close its coroutine, and so run its cleanup code.
        self.tasks.add(task)
        return task

    def freeze(self):
        """Defers all callbacks until the host is thawed."""
        self.frozen = True

    def thaw(self):
        """Schedules the deferred callbacks in their order."""
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        loop = asyncio.get_running_loop()
        for handle, callback, arguments, context in deferred:
            if not handle.cancelled():
                loop.call_soon(callback, *arguments, context=context)

    def kill(self):
        """Drops all callbacks, so that no cleanup code runs."""
        self.dead = True
        self.deferred.clear()


class VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting.

    Attributes:
        now_s: Virtual time in seconds.
    """

    def __init__(self):
        super().__init__()
        self.now_s = START_TIME_S

    def select(self, timeout=None):
        """Advances the time by the timeout in seconds.

        Raises:
            RuntimeError: Nothing is scheduled, so the loop would wait forever.
        """
        if timeout is None:
            raise RuntimeError(
                "No callback or timer is scheduled: the simulation would "
                "wait forever."
            )
        self.now_s += max(0.0, timeout)
        return []


class NumberedTask(asyncio.Task):
    """A task whose place in a set does not depend on its memory address.

    asyncio cancels groups of tasks in the order of a set, which must be the
    same in each run of a seed.
    """

    def __init__(self, *args, number, **kwargs):
        self.number = number
        super().__init__(*args, **kwargs)

    def __hash__(self):
        return self.number


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self):
        self.selector = VirtualTimeSelector()
        super().__init__(self.selector)
        numbers = itertools.count(1)
        self.set_task_factory(
            lambda loop, coroutine, **kwargs: NumberedTask(
                coroutine, loop=loop, number=next(numbers), **kwargs
            )
        )

    def time(self):
        """Returns the virtual time in seconds."""
        return self.selector.now_s

    def call_soon(self, callback, *args, context=None):
        """Schedules a callback, which runs only if its host does."""
        context = contextvars.copy_context() if context is None else context
        host = context.get(CURRENT_HOST)
        if host is None:
            return super().call_soon(callback, *args, context=context)
        own_handle = []
        handle = super().call_soon(
            run_or_defer, host, own_handle, callback, args, context=context
        )
        own_handle.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        """Schedules a callback at a time; it runs only if its host does."""
        context = contextvars.copy_context() if context is None else context
        host = context.get(CURRENT_HOST)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        own_handle = []
        handle = super().call_at(
            when,
            run_or_defer,
            host,
            own_handle,
            callback,
            args,
            context=context,
        )
        own_handle.append(handle)
        return handle


def run_or_defer(host, own_handle, callback, arguments):
    """Runs a callback of a host, or defers it while the host is frozen.

    Args:
        host: Host of the callback.
        own_handle: List with the handle of the callback.
        callback: The callback.
        arguments: Arguments of the callback.
    """
    if host.dead:
        return
    if host.frozen:
        context = contextvars.copy_context()
        host.deferred.append((own_handle[0], callback, arguments, context))
        return
    callback(*arguments)


@contextlib.contextmanager
def virtual_clock(loop):
    """Makes the product's clock return the time of the loop."""
    real = clock.monotonic_ms, clock.boot_ms, clock.wall_ms
    clock.monotonic_ms = lambda: loop.time() * clock.MS_PER_S
    clock.boot_ms = clock.monotonic_ms
    clock.wall_ms = lambda: (
        EPOCH_MS + loop.time() * clock.MS_PER_S + wall_offset_ms()
    )
    try:
        yield
    finally:
        clock.monotonic_ms, clock.boot_ms, clock.wall_ms = real


def run(make_coroutine, seed):
    """Runs a coroutine in virtual time.

    Args:
        make_coroutine: Function that returns the coroutine.
        seed: Seed of the global random number generator, which the product
            uses.

    Returns:
        The result of the coroutine, and a list of sentences on the tasks
        whose exceptions were never retrieved.
    """
    loop = VirtualLoop()
    failed = []
    loop.set_exception_handler(
        lambda _, context: record_failed_task(failed, context)
    )
    state = random.getstate()
    random.seed(seed)
    try:
        with virtual_clock(loop):
            return loop.run_until_complete(make_coroutine()), failed
    finally:
        random.setstate(state)
        with suppressed_teardown_messages():
            close_tasks(loop)
            loop.close()
            del loop, make_coroutine
            gc.collect()


def wall_offset_ms():
    """Returns by how much the time of day of the current host is off."""
    host = CURRENT_HOST.get()
    return 0.0 if host is None else host.wall_offset_ms


def close_tasks(loop):
    """Ends the tasks of killed hosts, which never run again.

    Otherwise they end whenever they are collected as garbage, on a loop that
    is closed by then.
    """
    for task in asyncio.all_tasks(loop):
        try:
            task.get_coro().close()
        except RuntimeError as error:
            LOG.debug("A task of a killed host did not end: %s", error)


def record_failed_task(failed, context):
    """Adds a task whose exception was never retrieved to a list."""
    if isinstance(context.get("future"), asyncio.Task):
        failed.append(f"{context['message']}: {context.get('exception')!r}")


@contextlib.contextmanager
def suppressed_teardown_messages():
    """Suppresses the messages on pending tasks that are destroyed."""
    hook, sys.unraisablehook = sys.unraisablehook, lambda _: None
    level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        sys.unraisablehook = hook
        logging.disable(level)
