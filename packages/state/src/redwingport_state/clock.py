"""The clock of a process, as a type that tests can replace."""

import time
from collections.abc import Callable

Clock = Callable[[], float]

# Steps of the wall clock must not move a deadline, so all deadlines use this clock.
monotonic: Clock = time.monotonic
