"""Supervisor tree whose children are restarted with exponential backoff when they fail."""

import logging
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup

from redwingport_entry.logs import ROOT, log_event

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
HEALTHY_AFTER_S = 10.0

logger = logging.getLogger(ROOT)


class Supervisor:
    """Run children in a task group and restart those that raise.

    A child that returns has finished and is not restarted. The delay before a restart doubles with
    each failure, and starts anew when the child has run for more than :data:`HEALTHY_AFTER_S`.

    :param task_group: task group that runs the children.
    :param name: name of this node of the tree, for the log.
    """

    def __init__(self, task_group: TaskGroup, name: str) -> None:
        self.task_group = task_group
        self.name = name

    def start(self, name: str, child: Callable[[], Awaitable[None]]) -> None:
        """Start a child.

        :param name: name of the child.
        :param child: coroutine function without parameters.
        """
        self.task_group.start_soon(self._run, name, child, name=f"{self.name}/{name}")

    async def _run(self, name: str, child: Callable[[], Awaitable[None]]) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            started_at = anyio.current_time()
            try:
                await child()
                return
            except Exception as error:
                log_event(
                    logger,
                    logging.ERROR,
                    "child-failed",
                    child=f"{self.name}/{name}",
                    error=f"{type(error).__name__}: {error}",
                )
                logger.debug("child-failed", exc_info=True)
            if anyio.current_time() - started_at > HEALTHY_AFTER_S:
                backoff_s = FIRST_BACKOFF_S
            await anyio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
