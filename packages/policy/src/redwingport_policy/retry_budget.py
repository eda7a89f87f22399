"""A retry budget in proportion to first attempts."""

BURST_RETRIES = 3
# Number of first attempts whose retry allowance can accumulate.
MAX_SAVED_ATTEMPTS = 100


class RetryBudget:
    """Limit retries to a percentage of first attempts.

    The balance is an integer in hundredths of a retry: rounding errors of a float sum would
    leave it below a whole retry.

    :param percent: retries allowed per hundred first attempts.
    """

    def __init__(self, percent: int) -> None:
        self._percent = percent
        self._hundredths = 100 * BURST_RETRIES if percent else 0
        self._limit = max(100 * BURST_RETRIES, MAX_SAVED_ATTEMPTS * percent)

    def count_first_attempt(self) -> None:
        """Credit the allowance of one first attempt."""
        self._hundredths = min(self._hundredths + self._percent, self._limit)

    def take(self) -> bool:
        """Withdraw one retry from the budget.

        :returns: whether the retry is allowed.
        """
        if self._hundredths < 100:
            return False
        self._hundredths -= 100
        return True
