"""Load-balancing algorithms, selected by name."""

import random
from collections.abc import Callable

from redwingport_policy.backends.completion_time import CompletionTimeChooser
from redwingport_policy.backends.least_outstanding import LeastOutstandingChooser
from redwingport_policy.backends.power_of_two import PowerOfTwoChooser
from redwingport_policy.backends.random_choice import RandomChooser
from redwingport_policy.backends.round_robin import RoundRobinChooser
from redwingport_policy.base import ServerChooser

CHOOSER_BY_NAME: dict[str, Callable[[random.Random], ServerChooser]] = {
    "completion-time": lambda rng: CompletionTimeChooser(rng),
    "least-outstanding": lambda rng: LeastOutstandingChooser(rng),
    "power-of-two": lambda rng: PowerOfTwoChooser(rng),
    "random": lambda rng: RandomChooser(rng),
    "round-robin": lambda rng: RoundRobinChooser(),
}
