"""A budget that bounds retries by the number of first attempts."""

BURST_RETRIES = 3
# Most first attempts whose share of retries is saved up.
MAX_SAVED_ATTEMPTS = 100


class RetryBudget:
    """Allow a share of first attempts to be retried.

    The budget is counted in hundredths of a retry, as sums of floats would fall short of it.

    :param percent: retries allowed per hundred first attempts.
    """

    def __init__(self, percent: int) -> None:
        self._percent = percent
        self._hundredths = 100 * BURST_RETRIES if percent else 0
        self._limit = max(100 * BURST_RETRIES, MAX_SAVED_ATTEMPTS * percent)

    def count_first_attempt(self) -> None:
        """Add the share of one first attempt to the budget."""
        self._hundredths = min(self._hundredths + self._percent, self._limit)

    def take(self) -> bool:
        """Take one retry from the budget.

        :returns: whether the retry is allowed.
        """
        if self._hundredths < 100:
            return False
        self._hundredths -= 100
        return True
