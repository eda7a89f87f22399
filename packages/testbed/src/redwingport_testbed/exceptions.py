"""Exceptions of the test bed."""


class TestbedError(Exception):
    """Signal a run of the test bed that cannot start or did not go as expected.

    :param step: the step that failed.
    :param reason: why it failed.
    """

    __test__ = False  # Keeps pytest from collecting the class because of its name.

    def __init__(self, step: str, reason: str) -> None:
        super().__init__(f"{step}: {reason}")
        self.step = step
        self.reason = reason
