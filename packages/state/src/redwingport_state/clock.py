"""The monotonic clock of a process, which tests can replace."""

import time
from collections.abc import Callable

Clock = Callable[[], float]

# All deadlines use this clock, so that adjustments of the wall clock do not move them.
monotonic: Clock = time.monotonic
