"""Guard against costs that grow unnoticed, by ratios within one run.

The bounds are targets, not measurements. A request is served as the echo is, recorded, placed,
and sent on as one more HTTP exchange by a client written in Python: 10 times the echo. Batches
have to halve the cost of a task, or 100,000 starts a second need twice the processors. Decision
lines may cost 30 %.
"""

import anyio

from redwingport_testbed.slopes.ratios import measure_ratios

MAX_REQUEST_OVER_ECHO = 10.0
MAX_BATCHED_OVER_SINGLE = 0.5
MAX_LOGGED_OVER_SILENT = 1.3


def test_costs_stay_within_their_ratios() -> None:
    ratios = anyio.run(measure_ratios, backend_options={"use_uvloop": True})
    print(ratios)
    assert ratios.request_over_echo <= MAX_REQUEST_OVER_ECHO
    assert ratios.batched_over_single <= MAX_BATCHED_OVER_SINGLE
    assert ratios.logged_over_silent <= MAX_LOGGED_OVER_SILENT
