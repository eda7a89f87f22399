"""Series of measured points and the straight line through them."""

import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Series:
    """Hold measured values of one quantity against a size.

    :param name: what was measured, with its unit.
    :param size: what was varied.
    :param points: pairs of size and value, at least four.
    """

    name: str
    size: str
    points: tuple[tuple[float, float], ...]

    def line(self) -> tuple[float, float]:
        """Return slope and intercept of the least-squares line."""
        sizes, values = zip(*self.points, strict=True)
        fit = statistics.linear_regression(sizes, values)
        return fit.slope, fit.intercept

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        slope, intercept = self.line()
        return slope * size + intercept

    def row(self, planned: float) -> str:
        """Return a row of a Markdown table.

        :param planned: size to which the line is extended.
        """
        slope, intercept = self.line()
        points = ", ".join(f"{size:g}: {value:.4g}" for size, value in self.points)
        return (
            f"| {self.name} | {self.size} | {points} | {slope:.3g} | {intercept:.3g} "
            f"| {planned:g} | {self.value_at(planned):.4g} |"
        )


TABLE_HEAD = (
    "| quantity | against | measured points | slope | intercept | planned size | extended |\n"
    "|---|---|---|---|---|---|---|"
)
