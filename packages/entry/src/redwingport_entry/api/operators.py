"""Routes of operators: service documents, the state of this process, and drain."""

import hashlib
import hmac
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from redwingport_entry.api.responses import (
    is_number,
    json_response,
    problem_response,
    read_request_body,
)
from redwingport_entry.configuration import Configuration
from redwingport_entry.exceptions import PeerError
from redwingport_entry.peers.link import PeerLink
from redwingport_entry.peers.mesh import PeerMesh
from redwingport_entry.settings import OperatorSettings
from redwingport_messages.documents import (
    MAX_DOCUMENT_BYTES,
    ServiceDocument,
    StoredDocument,
    parse_document,
)
from redwingport_messages.outcomes import Problem, not_run

STATUS_TIMEOUT_S = 2.0
MAX_REVISION = 10**18 - 1


@dataclass(frozen=True, slots=True)
class Operator:
    """Identify an authenticated operator.

    :param name: name of the operator in the settings.
    :param settings: rights of the operator.
    """

    name: str
    settings: OperatorSettings

    def may_act_for(self, team: str) -> bool:
        """Return whether the operator may change the documents of a team."""
        return "*" in self.settings.teams or team in self.settings.teams


class OperatorRoutes:
    """Serve the routes of operators.

    :param configuration: service documents.
    :param mesh: links to peers, used to query the revisions in force.
    :param operator_by_name: operators of the settings.
    :param state: returns the state of this process on a topic: jobs, servers or entries.
    :param drain: starts the graceful shutdown.
    """

    def __init__(
        self,
        configuration: Configuration,
        mesh: PeerMesh,
        operator_by_name: dict[str, OperatorSettings],
        state: Callable[[str], list[dict[str, Any]]],
        drain: Callable[[], None],
    ) -> None:
        self._configuration = configuration
        self._mesh = mesh
        self._operator_by_name = operator_by_name
        self._state = state
        self._drain = drain

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/services", self.list_services, methods=["GET"]),
            Route("/v1/services/{service}", self.read_service, methods=["GET"]),
            Route("/v1/services/{service}", self.write_service, methods=["PUT"]),
            Route("/v1/services/{service}", self.delete_service, methods=["DELETE"]),
            Route("/v1/services/{service}/status", self.service_status, methods=["GET"]),
            Route("/v1/jobs", self.show_state, methods=["GET"]),
            Route("/v1/servers", self.show_state, methods=["GET"]),
            Route("/v1/entries", self.show_state, methods=["GET"]),
            Route("/v1/drain", self.start_drain, methods=["POST"]),
        ]

    async def list_services(self, request: Request) -> Response:
        """List the services: ``GET /v1/services``."""
        operator = self._authenticate(request)
        if isinstance(operator, Err):
            return problem_response(operator.err_value)
        rows = [
            {"name": s.name, "revision": s.revision, "team": s.document.team}
            for s in self._configuration.store.live()
        ]
        return json_response({"services": rows})

    async def read_service(self, request: Request) -> Response:
        """Return the document in force: ``GET /v1/services/{service}``."""
        operator = self._authenticate(request)
        if isinstance(operator, Err):
            return problem_response(operator.err_value)
        found = self._find(request.path_params["service"])
        if isinstance(found, Err):
            return problem_response(found.err_value)
        return _document_response(found.ok_value)

    async def write_service(self, request: Request) -> Response:
        """Create or replace a document: ``PUT /v1/services/{service}``."""
        operator = self._authenticate(request)
        if isinstance(operator, Err):
            return problem_response(operator.err_value)
        expected = _expected_revision(request)
        if isinstance(expected, Err):
            return problem_response(expected.err_value)
        body = await read_request_body(request, MAX_DOCUMENT_BYTES)
        if isinstance(body, Err):
            return problem_response(body.err_value)
        parsed = parse_document(body.ok_value)
        if isinstance(parsed, Err):
            errors = parsed.err_value
            detail = "The document is not valid; the one in force is unchanged."
            return problem_response(
                not_run(422, "invalid-document", detail, errors=errors, step="validate")
            )
        document = parsed.ok_value
        if document.name != request.path_params["service"] or document.deleted:
            detail = "name must match the service in the path, and deleted must not be set."
            return problem_response(not_run(422, "invalid-document", detail, step="validate"))
        return await self._change(operator.ok_value, document, expected.ok_value)

    async def delete_service(self, request: Request) -> Response:
        """Delete a service: ``DELETE /v1/services/{service}``."""
        operator = self._authenticate(request)
        if isinstance(operator, Err):
            return problem_response(operator.err_value)
        expected = _expected_revision(request)
        if isinstance(expected, Err):
            return problem_response(expected.err_value)
        found = self._find(request.path_params["service"])
        if isinstance(found, Err):
            return problem_response(found.err_value)
        document = found.ok_value.document.model_copy(update={"deleted": True})
        return await self._change(operator.ok_value, document, expected.ok_value)

    async def service_status(self, request: Request) -> Response:
        """Return the revision in force in each process: ``GET /v1/services/{service}/status``."""
        operator = self._authenticate(request)
        if isinstance(operator, Err):
            return problem_response(operator.err_value)
        name = request.path_params["service"]
        own = self._mesh.own_name
        revision = self._configuration.store.revision(name)
        in_force = {own: revision}
        deadline = anyio.current_time() + STATUS_TIMEOUT_S

        async def ask(vm: str) -> None:
            try:
                link: PeerLink = await self._mesh.reach(vm)
                in_force[vm] = await link.call_revision(name, deadline)
            except PeerError:
                pass

        vms = [row["vm"] for row in self._state("entries") if row["vm"] != own]
        async with anyio.create_task_group() as task_group:
            for vm in vms:
                task_group.start_soon(ask, vm)
        not_answered = sorted(set(vms) - in_force.keys())
        return json_response(
            {
                "name": name,
                "revision": revision,
                "in_force": in_force,
                "not_answered": not_answered,
            }
        )

    async def show_state(self, request: Request) -> Response:
        """Return what this process knows: ``GET /v1/jobs``, ``/v1/servers`` or ``/v1/entries``."""
        operator = self._authenticate(request)
        if isinstance(operator, Err):
            return problem_response(operator.err_value)
        topic = request.url.path.rsplit("/", 1)[1]
        return json_response({topic: self._state(topic)})

    async def start_drain(self, request: Request) -> Response:
        """Start the graceful shutdown of this process: ``POST /v1/drain``."""
        operator = self._authenticate(request)
        if isinstance(operator, Err):
            return problem_response(operator.err_value)
        if not operator.ok_value.may_act_for("*"):
            return problem_response(_forbidden(operator.ok_value.name, "drain"))
        self._drain()
        return json_response({"state": "draining"}, 202)

    async def _change(
        self, operator: Operator, document: ServiceDocument, expected: int
    ) -> Response:
        # Rights are checked against the revision that is replaced, not against an older one.
        current = await self._configuration.require_revision(document.name, expected)
        if isinstance(current, Err):
            return problem_response(current.err_value)
        refused = self._check_teams(operator, document)
        if refused is not None:
            return problem_response(refused)
        changed = await self._configuration.change(document, expected)
        if isinstance(changed, Err):
            return problem_response(changed.err_value)
        return _document_response(changed.ok_value)

    def _check_teams(self, operator: Operator, document: ServiceDocument) -> Problem | None:
        """Check the right to the team of the new document and to that of the replaced one.

        :returns: the refusal, or None when the operator has both.
        """
        stored = self._configuration.store.stored_by_name.get(document.name)
        teams = {document.team}
        if stored is not None and not stored.document.deleted:
            teams.add(stored.document.team)
        for team in sorted(teams):
            if not operator.may_act_for(team):
                return _forbidden(operator.name, f"team {team}")
        return None

    def _find(self, name: str) -> Result[StoredDocument, Problem]:
        stored = self._configuration.store.stored_by_name.get(name)
        if stored is None or stored.document.deleted:
            detail = f"There is no service {name}."
            return Err(not_run(404, "unknown-service", detail, step="read document"))
        return Ok(stored)

    def _authenticate(self, request: Request) -> Result[Operator, Problem]:
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        for name, settings in self._operator_by_name.items():
            if scheme.lower() == "bearer" and hmac.compare_digest(digest, settings.token_sha256):
                return Ok(Operator(name, settings))
        detail = "A valid operator token is required."
        return Err(not_run(401, "not-authenticated", detail, step="authenticate"))


def _document_response(stored: StoredDocument) -> Response:
    body = {"revision": stored.revision, "document": stored.document.model_dump(mode="json")}
    return json_response(body, headers={"ETag": f'"{stored.revision}"'})


def _expected_revision(request: Request) -> Result[int, Problem]:
    if request.headers.get("if-none-match") == "*":
        return Ok(0)
    text = request.headers.get("if-match", "").strip('"')
    if is_number(text, 1, MAX_REVISION):
        return Ok(int(text))
    detail = "If-Match with the revision to replace, or If-None-Match: *, is required."
    return Err(not_run(428, "revision-needed", detail, step="parse"))


def _forbidden(name: str, what: str) -> Problem:
    detail = f"The operator {name} has no permission for {what}."
    return not_run(403, "forbidden", detail, step="authorize")
