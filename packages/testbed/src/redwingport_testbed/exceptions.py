"""Exceptions of the test bed."""


class TestbedError(Exception):
    """Report a run of the test bed that cannot start or did not go as it must.

    :param step: what was being done.
    :param reason: what went wrong.
    """

    __test__ = False  # pytest would otherwise collect the class by its name.

    def __init__(self, step: str, reason: str) -> None:
        super().__init__(f"{step}: {reason}")
        self.step = step
        self.reason = reason
