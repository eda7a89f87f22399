"""Test CPU time ratios within one run, to detect cost regressions.

The bounds are targets. A request is served like an echo, recorded, placed, and forwarded in one
more HTTP exchange by a client written in Python: 10 times the echo. Batches must halve the cost
of a task; otherwise 100,000 starts per second need twice the processors. Decision log lines may
add 30 %.
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
