"""Guard against misleading load results: hidden waits, unchecked answers, unequal runs."""

import json
import random

import anyio
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from redwingport_testbed.entry_client import COMPLETE, WRONG_ANSWER, judge, make_job, make_request
from redwingport_testbed.http_client import HttpAnswer
from redwingport_testbed.load import LoadPlan, LoadRun, Stream, schedule
from redwingport_testbed.standins.server import Site, serving

PATH = "/v1/services/route-desk/operations/stop-check"
ANSWER_S = 0.1


def plan(url: str, **members: float) -> LoadPlan:
    stream = Stream("route-desk", "stop-check", burst_size=10, burst_every_s=0.1)
    return LoadPlan(((url, 1.0),), (stream,), seconds=0.1, **members)  # type: ignore[arg-type]


def test_schedules_depend_only_on_the_plan_and_its_seed() -> None:
    stream = Stream("route-build", per_s=50, tasks=3, burst_size=5, burst_every_s=1)
    plans = [LoadPlan((("a", 1), ("b", 2)), (stream,), 4, seed=seed) for seed in (1, 1, 2)]
    first, same, other = ([(a.at, a.target, a.call) for a in schedule(p)] for p in plans)
    assert first == same != other
    assert [at for at, _, _ in first] == sorted(at for at, _, _ in first)


@pytest.mark.anyio
async def test_response_time_counts_the_wait_for_a_connection() -> None:
    async def answer(request: Request) -> Response:
        await anyio.sleep(ANSWER_S)
        token = json.loads(await request.body())["token"]
        return Response(json.dumps({"token": token, "operation": "stop-check"}))

    app = Starlette(routes=[Route(PATH, answer, methods=["POST"])])
    async with serving([Site(app, 0)]) as ports:
        results = await LoadRun(plan(f"http://127.0.0.1:{ports[0]}", connections=2)).run()
    stream = results["streams"][0]
    assert stream["outcomes"] == {COMPLETE: 10}
    # Ten requests share two connections: the last pair waits for four earlier pairs.
    assert stream["response_ms"]["max"] >= 5 * ANSWER_S * 1_000 * 0.99


@pytest.mark.anyio
async def test_a_refused_connection_is_recorded_as_no_answer() -> None:
    async with serving([Site(Starlette(), 0)]) as ports:
        port = ports[0]
    results = await LoadRun(plan(f"http://127.0.0.1:{port}")).run()
    assert results["streams"][0]["outcomes"] == {"no-answer": 10}


@pytest.mark.parametrize("fault", ["swapped", "missing", "foreign"])
def test_an_incorrect_job_answer_is_detected(fault: str) -> None:
    call = make_job("route-build", [10.0, 20.0], random.Random(1))
    results = [{"task": number, "token": token} for number, token in enumerate(call.tokens)]
    complete_answer = HttpAnswer(200, {}, json.dumps({"results": results}).encode())
    assert judge(call, complete_answer).name == COMPLETE
    broken = {
        "swapped": results[::-1],
        "missing": results[:1],
        "foreign": [results[0], {"task": 1, "token": "another"}],
    }
    answer = HttpAnswer(200, {}, json.dumps({"results": broken[fault]}).encode())
    assert judge(call, answer).name == WRONG_ANSWER


def test_a_request_answer_for_another_caller_is_detected() -> None:
    call = make_request("route-desk", "stop-check", 10.0, random.Random(1))
    other = json.dumps({"token": "another", "operation": "stop-check"}).encode()
    assert judge(call, HttpAnswer(200, {}, other)).name == WRONG_ANSWER
