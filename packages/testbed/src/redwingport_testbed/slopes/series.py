"""Series of measured points with a least-squares line."""

import statistics
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Series:
    """Store measured values of one quantity by size.

    :param name: measured quantity with its unit.
    :param size: varied quantity.
    :param points: at least four pairs of size and value.
    """

    name: str
    size: str
    points: tuple[tuple[float, float], ...]

    def line(self) -> tuple[float, float]:
        """Return the slope and the intercept of the least-squares line."""
        sizes, values = zip(*self.points, strict=True)
        fit = statistics.linear_regression(sizes, values)
        return fit.slope, fit.intercept

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        slope, intercept = self.line()
        return slope * size + intercept

    def row(self, planned: float) -> str:
        """Return a row of a Markdown table.

        :param planned: size to which the line is extrapolated.
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
