"""A budget that bounds retries by the number of first attempts."""

BURST_RETRIES = 3.0


class RetryBudget:
    """Allow a share of first attempts to be retried.

    :param percent: retries allowed per hundred first attempts.
    """

    def __init__(self, percent: int) -> None:
        self._gain = percent / 100.0
        self._tokens = BURST_RETRIES if percent else 0.0

    def count_first_attempt(self) -> None:
        """Add the share of one first attempt to the budget."""
        self._tokens = min(self._tokens + self._gain, max(BURST_RETRIES, 100 * self._gain))

    def take(self) -> bool:
        """Take one retry from the budget.

        :returns: whether the retry is allowed.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
