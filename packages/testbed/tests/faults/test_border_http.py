"""Guard against malformed HTTP input that crashes a process or exhausts its memory.

The input is drawn at random, too long, truncated, contradictory or too slow.
"""

import json
from pathlib import Path
from urllib.parse import quote

import anyio
import pytest
from anyio.to_thread import run_sync
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err
from starlette.requests import Request

from redwingport_entry import http_server
from redwingport_entry.api import responses
from redwingport_testbed.cluster.harness import make_fleet, running_cluster
from redwingport_testbed.cluster.inspection import assert_healthy, pid_of
from redwingport_testbed.cluster.raw import (
    peak_memory_mb,
    send_raw,
    status_of,
)
from redwingport_testbed.standins.fleet import HOST

pytestmark = pytest.mark.anyio
FLOOD = [b"x" * 1_000_000] * 200


HEADER_TEXT = st.text(st.characters(max_codepoint=255, exclude_characters="\r\n"), max_size=60)
NAMES = ("redwingport-submission", "redwingport-timeout-ms", "idempotency-key", "if-match")
SEGMENT = st.one_of(st.sampled_from(["rite-plan", "rite-desk", "hold"]), st.text(max_size=20))
PATHS = st.one_of(
    st.builds(lambda s: f"/v1/services/{quote(s, safe='')}/jobs", SEGMENT),
    st.builds(
        lambda s, o: f"/v1/services/{quote(s, safe='')}/operations/{quote(o, safe='')}",
        *(SEGMENT, SEGMENT),
    ),
    st.builds(lambda s: f"/v1/services/{quote(s, safe='')}", SEGMENT),
    st.builds(lambda s: f"/v1/submissions/{quote(s, safe='')}", st.text(max_size=60)),
    st.builds(lambda s: f"/v1/submissions?count={quote(s)}", st.text("0123456789-٣", max_size=5)),
)
BODIES = st.one_of(
    st.binary(max_size=300),
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=10),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(["tasks", "payload", "name", "jobs"]), inner)
        ),
    ).map(lambda value: json.dumps(value).encode()),
)


def _request(method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "host: x", "connection: close"]
    lines += [f"content-length: {len(body)}", *(f"{n}: {v}" for n, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace") + body


def _fuzz_http(port: int, token: str) -> None:
    @given(
        st.sampled_from(["GET", "POST", "PUT", "DELETE", "PATCH"]),
        PATHS,
        st.dictionaries(st.sampled_from([*NAMES, "content-type", "x"]), HEADER_TEXT, max_size=3),
        BODIES,
        st.booleans(),
    )
    def requests(method: str, path: str, headers: dict[str, str], body: bytes, own: bool) -> None:
        if own:
            headers = headers | {"authorization": f"Bearer {token}"}
        answer = send_raw(port, _request(method, path, headers, body))
        status = status_of(answer)
        assert 200 <= status < 500 or status in (503, 504), answer
        if b"application/problem+json" in answer:
            problem = json.loads(answer.partition(b"\r\n\r\n")[2])
            assert problem["outcome"] and problem["step"] and problem["detail"]

    @given(st.binary(max_size=200))
    @settings(max_examples=50)
    def anything(data: bytes) -> None:
        assert status_of(send_raw(port, data, half_close=True)) in (0, 400)

    requests()
    anything()


def _attack_http(port: int, token: str) -> dict[str, int]:
    """Send too long, truncated and contradictory requests; return the status by attack."""
    post, jobs = "POST", "/v1/services/rite-plan/jobs"
    digits = "1" + "0" * 5_000
    chunked = {"transfer-encoding": "chunked"}
    head = _request(post, jobs, {}, b"").replace(
        b"content-length: 0", b"content-length: 999999999"
    )
    # On a persistent connection the server reads the rest of the body, so that its answer arrives.
    head = head.replace(b"connection: close\r\n", b"")
    chunks = _request(post, jobs, chunked, b"").replace(b"content-length: 0\r\n", b"")
    answers = {
        "long count": send_raw(port, _request(post, "/v1/submissions?count=" + digits, {}, b"")),
        "padded count": send_raw(
            port, _request(post, "/v1/submissions?count=00000000199999999999", {}, b"")
        ),
        "long time-out": send_raw(
            port, _request(post, jobs, {"redwingport-timeout-ms": "000000001" + digits}, b"{}")
        ),
        "long revision": send_raw(
            port,
            _request(
                "DELETE",
                "/v1/services/rite-plan",
                {"authorization": f"Bearer {token}", "if-match": digits},
                b"",
            ),
        ),
        "not a number": send_raw(port, _request(post, jobs, {}, b'{"tasks":[{"payload":NaN}]}')),
        "no finite number": send_raw(
            port, _request(post, jobs, {}, b'{"tasks":[{"payload":[1e999]}]}')
        ),
        "deep body": send_raw(port, _request(post, jobs, {}, b'{"tasks":' + b"[" * 100_000)),
        "long body": send_raw(port, head, *FLOOD, half_close=True),
        "long chunks": send_raw(
            port,
            chunks.replace(b"connection: close\r\n", b""),
            *[b"f4240\r\n%b\r\n" % c for c in FLOOD],
            half_close=True,
        ),
        "cut body": send_raw(port, head, b"{", half_close=True),
        "long header": send_raw(port, b"GET / HTTP/1.1\r\nx: ", *FLOOD),
        "many headers": send_raw(
            port, b"GET / HTTP/1.1\r\n", *[b"x: y\r\n" * 100_000 for _ in range(100)]
        ),
        "long path": send_raw(port, b"GET /", *FLOOD),
        "long trailer": send_raw(port, chunks, b"0\r\nx: ", *FLOOD),
        "slow body": send_raw(
            port, _request(post, jobs, {}, b"{}")[:-2], *[b"{", b"}"], read_timeout_s=0.5
        ),
    }
    status_by_attack = {name: status_of(answer) for name, answer in answers.items()}
    for name in ("long header", "many headers", "long path"):
        # The answer may be lost if the connection is reset while the client is still writing.
        status_by_attack[name] = status_by_attack[name] or 431
    return status_by_attack


async def test_malformed_http_input_is_refused_with_a_client_error(tmp_path: Path) -> None:
    async with running_cluster(make_fleet(1, 3), tmp_path) as cluster:
        port, before_mb = cluster.vms[0].port, peak_memory_mb(pid_of(cluster))
        status_by_attack = await run_sync(_attack_http, port, cluster.fleet.token)
        await assert_healthy(cluster, before_mb)
        refused = {name: 400 for name in status_by_attack if name not in ("cut body",)}
        refused |= {"long body": 413, "long chunks": 413, "long header": 431}
        refused |= {"many headers": 431, "long path": 431, "long revision": 428}
        refused |= {"cut body": 0, "long trailer": 0}
        assert status_by_attack == refused
        await run_sync(_fuzz_http, port, cluster.fleet.token)
        await assert_healthy(cluster, before_mb)
        assert (await cluster.submit(0, cluster.job(50.0))).name == "complete"
        cluster.check_guarantee("untrusted input", "HTTP input")


async def test_a_body_that_stalls_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(responses, "BODY_TIMEOUT_S", 0.1)

    async def receive() -> dict[str, object]:
        await anyio.sleep(60)
        return {}

    request = Request({"type": "http", "headers": []}, receive)  # type: ignore[arg-type]
    refused = await responses.read_request_body(request, 1_000)
    assert isinstance(refused, Err) and refused.err_value.status == 408


async def test_a_head_that_stalls_is_refused(
    monkeypatch: pytest.MonkeyPatch, free_tcp_port: int
) -> None:
    monkeypatch.setattr(http_server, "HEAD_TIMEOUT_S", 0.3)
    listener = http_server.Listener(HOST, free_tcp_port, graceful_timeout_s=1)
    server = http_server.build_server(_no_app, listener)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        with anyio.fail_after(10):
            for head in (b"", b"GET / HT"):
                stream = await anyio.connect_tcp(HOST, free_tcp_port)
                await stream.send(head)
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()
                await stream.aclose()
        server.should_exit = True


async def _no_app(scope: object, receive: object, send: object) -> None:
    raise AssertionError("no request head is complete")
