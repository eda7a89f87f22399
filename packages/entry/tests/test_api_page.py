"""Guard against an API page whose examples do not match the routes of the application."""

import re
from pathlib import Path
from typing import Any, cast

from starlette.routing import Match, Route

from redwingport_entry.api.application import build_application
from redwingport_entry.api.callers import CallerRoutes
from redwingport_entry.api.operators import OperatorRoutes
from redwingport_entry.metrics import Metrics

PAGE = Path(__file__).parents[3] / "docs" / "api.md"


def _routes() -> list[Route]:
    unused = cast(Any, None)
    callers = CallerRoutes(unused, 1024)
    operators = OperatorRoutes(unused, unused, {}, unused, unused)
    application = build_application(callers, operators, Metrics(), lambda: "")
    return [route for route in application.routes if isinstance(route, Route)]


def _examples() -> list[tuple[str, str]]:
    """Return the method and the path of every curl example on the page."""
    text = PAGE.read_text(encoding="utf-8").replace("\\\n", " ")
    examples = []
    for line in re.findall(r"^(?:ID=\$\()?(curl [^\n]*)", text, re.MULTILINE):
        url = re.search(r'"\$ENTRY(/[^"?]*)', line)
        assert url is not None, line
        named = re.search(r"-X (\w+)", line)
        method = named.group(1) if named else ("POST" if " -d " in line else "GET")
        examples.append((method, url.group(1)))
    return examples


def test_every_curl_example_names_a_route() -> None:
    routes = _routes()
    for method, path in _examples():
        scope = {"type": "http", "path": path, "method": method, "root_path": ""}
        matches = [route.matches(scope)[0] for route in routes]
        assert Match.FULL in matches, f"{method} {path}"


def test_every_route_has_a_curl_example() -> None:
    examples = _examples()
    for route in _routes():
        methods = (route.methods or set()) - {"HEAD"}
        shown = {m for m, path in examples if route.path_regex.match(path)}
        assert methods <= shown, f"{methods} {route.path}"
