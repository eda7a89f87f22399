"""Sum the results of the fault tests by guarantee."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

VIOLATIONS = ("duplicates", "partial", "false_not_run")


@dataclass(slots=True)
class GuaranteeTotals:
    """Store the totals of one guarantee.

    :param faults: faults that were injected, in the order of the tests.
    :param counts: starts counted by the stand-ins, answers, and violations found.
    """

    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


class Ledger:
    """Collect the totals of all guarantees."""

    def __init__(self) -> None:
        self.row_by_guarantee: dict[str, GuaranteeTotals] = defaultdict(GuaranteeTotals)

    def add(self, guarantee: str, faults: tuple[str, ...], counts: Counter[str]) -> None:
        """Add the faults and the counts of one test."""
        row = self.row_by_guarantee[guarantee]
        row.faults.extend(fault for fault in faults if fault not in row.faults)
        row.counts.update(counts)

    def lines(self) -> list[str]:
        """Return one line per guarantee."""
        return [
            f"{guarantee}: {len(row.faults)} faults ({', '.join(row.faults)}); "
            f"{row.counts['starts']} starts, {row.counts['answers']} answers; "
            + ", ".join(f"{row.counts[name]} {name.replace('_', ' ')}" for name in VIOLATIONS)
            for guarantee, row in sorted(self.row_by_guarantee.items())
        ]


ledger = Ledger()
