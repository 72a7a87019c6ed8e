"""Operators' documents: templates, organisations and the fleet.

A template describes how a kind of organisation is served. An organisation
names a template and the values of its parameters. The template rendered with
these values gives the routes of the organisation's requests.
"""

from __future__ import annotations

import json
import re
from enum import Enum
from typing import Any, ClassVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from wasabitray_core.states import WorkClass

FLEET_KEY = "fleet"
TEMPLATE_PREFIX = "template/"
ORGANISATION_PREFIX = "organisation/"

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
_PLACEHOLDER = re.compile(r"\{([a-z][a-z0-9_]*)\}")
MAX_DEADLINE_MS = 3_600_000


class Document(BaseModel):
    """Base class of the documents.

    Attributes:
        has_secrets: whether its content must not be quoted.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)
    has_secrets: ClassVar[bool] = False


class ParameterType(Enum):
    """Type of a template parameter."""

    INTEGER = "integer"
    STRING = "string"
    BOOLEAN = "boolean"


class Parameter(Document):
    """A template parameter with its type and bounds.

    Attributes:
        minimum: lowest value of an integer, or shortest length of a string.
        maximum: highest value of an integer, or longest length of a string.
        pattern: regular expression that a whole string must match.
        default: value for organisations that give none.
    """

    type: ParameterType
    minimum: int | None = None
    maximum: int | None = None
    pattern: str | None = None
    default: int | str | bool | None = None

    def find_problem(self, value: object) -> str | None:
        """Return what is wrong with a value, None if it is valid."""
        if self.type is ParameterType.BOOLEAN:
            return None if isinstance(value, bool) else "must be a boolean"
        if self.type is ParameterType.INTEGER:
            if isinstance(value, bool) or not isinstance(value, int):
                return "must be an integer"
            return self._check_bounds(value, "")
        if not isinstance(value, str):
            return "must be a string"
        if self.pattern and not re.fullmatch(self.pattern, value):
            return f"must match {self.pattern}"
        return self._check_bounds(len(value), " characters")

    def _check_bounds(self, size: int, unit: str) -> str | None:
        if self.minimum is not None and size < self.minimum:
            return f"must be at least {self.minimum}{unit}, is {size}"
        if self.maximum is not None and size > self.maximum:
            return f"must be at most {self.maximum}{unit}, is {size}"
        return None


class ExpectedResponse(Document):
    """Properties that a route's successful response must have."""

    statuses: tuple[int, ...] = ()
    content_type: str | None = None
    required_fields: tuple[str, ...] = ()
    max_bytes: int | None = Field(default=None, ge=0)


class Route(Document):
    """Handling of the requests under one path prefix.

    Attributes:
        name: name of the route in logs, empty if it has none.
        work: expected length of the requests.
        deadline_ms: time after which a response is of no use.
        target_ms: time within which a response has its full value, 0 if the
            operator gave none.
        priority: rank under load; 0 is served first.
        attempts: maximum number of targets that a request may be sent to.
        claimed: whether non-idempotent requests carry a key that is claimed,
            since a caller may send the same request again.
        good_answer: what a successful response must look like.
        public: whether a request needs no key.
        has_large_responses: whether responses are costly to send from another
            failure domain or region.
    """

    name: str = ""
    path: str = Field(pattern=r"^/")
    service: str = Field(pattern=NAME_PATTERN)
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = True
    work: WorkClass = WorkClass.SHORT
    deadline_ms: float = Field(default=2_000, ge=1, le=MAX_DEADLINE_MS)
    target_ms: float = Field(default=0, ge=0, le=MAX_DEADLINE_MS)
    priority: int = Field(default=0, ge=0)
    attempts: int = Field(default=3, ge=1)
    claimed: bool = True
    good_answer: ExpectedResponse = ExpectedResponse()
    public: bool = False
    has_large_responses: bool = False

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request belongs to this route."""
        if method not in self.methods:
            return False
        prefix = self.path.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class ServicePolicy(Document):
    """Limits of one service.

    Attributes:
        floor: minimum number of targets that ejections must leave in use.
        retry_share: retries allowed, as a share of first attempts.
        long_share: share of the service's slots open to long work.
    """

    floor: int = Field(default=1, ge=1)
    retry_share: float = Field(default=0.1, ge=0, le=1)
    long_share: float = Field(default=0.5, ge=0, le=1)


class RenderedTemplate(Document):
    """A template rendered with the parameters of one organisation."""

    services: dict[str, ServicePolicy]
    routes: tuple[Route, ...] = Field(min_length=1)

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the matching route with the longest path, or None."""
        matching = [r for r in self.routes if r.matches(method, path)]
        return max(matching, key=lambda r: len(r.path), default=None)


class Template(Document):
    """A template as the operator writes it, with `{name}` placeholders."""

    name: str = Field(pattern=NAME_PATTERN)
    parameters: dict[str, Parameter] = {}
    services: dict[str, Any]
    routes: tuple[dict[str, Any], ...]


class Organisation(Document):
    """An organisation, its template and the values of the parameters."""

    name: str = Field(pattern=NAME_PATTERN)
    template: str = Field(pattern=NAME_PATTERN)
    parameters: dict[str, int | str | bool] = {}


class EntryHost(Document):
    """An entry host in the fleet document."""

    host: str = Field(pattern=NAME_PATTERN)
    region: str
    failure_domain: str
    peer_address: str
    caller_address: str


class Fleet(Document):
    """The entry hosts and the groups that grant claims.

    Attributes:
        claim_groups: one group, or two while a group is being replaced. A
            claim needs a majority of each group.
        claim_epoch: number that rises by one with each change of the groups.
        claim_retention_s: seconds that a key stays claimed. If a caller sends
            the same request after that, it runs again.
    """

    entries: tuple[EntryHost, ...]
    claim_groups: tuple[tuple[str, ...], ...] = Field(
        min_length=1, max_length=2
    )
    claim_epoch: int = Field(default=1, ge=1)
    claim_retention_s: float = Field(default=600.0, ge=1.0, le=86_400.0)


Problems = list[str]


def describe_problems(
    error: ValidationError, where: str, quotes_input: bool = True
) -> Problems:
    """Return one line for each problem that a schema check found.

    Args:
        error: what the check raised.
        where: what was checked.
        quotes_input: whether the lines contain what was found.
    """
    lines = []
    for problem in error.errors(include_context=False, include_url=False):
        place = ".".join(map(str, problem["loc"])) or "document"
        line = f"{where}: {place}: {problem['msg']}"
        found = f", found {problem.get('input')!r}" if quotes_input else ""
        lines.append(line + found)
    return lines


def parse_document(key: str, body: str) -> Result[Document, Problems]:
    """Parse a stored document by its key.

    Args:
        key: `fleet`, `template/NAME` or `organisation/NAME`.
        body: the document as JSON text.
    """
    kind = _get_kind(key)
    if kind is None:
        return Err(
            [
                f"{key}: unknown kind of document, expected fleet, "
                "template/NAME or organisation/NAME"
            ]
        )
    return parse_as(kind, key, body)


def parse_as(
    kind: type[Document], key: str, body: str
) -> Result[Document, Problems]:
    """Parse a document of a known kind; its name must match its key."""
    try:
        document = kind.model_validate_json(body)
    except ValidationError as error:
        return Err(describe_problems(error, key, not kind.has_secrets))
    name = getattr(document, "name", None)
    if name is not None and key.split("/", 1)[1] != name:
        return Err([f"{key}: name: found {name!r}, must match the key"])
    return Ok(document)


def _get_kind(key: str) -> type[Document] | None:
    if key == FLEET_KEY:
        return Fleet
    if key.startswith(TEMPLATE_PREFIX):
        return Template
    if key.startswith(ORGANISATION_PREFIX):
        return Organisation
    return None


def render_template(
    template: Template, organisation: Organisation
) -> Result[RenderedTemplate, Problems]:
    """Render a template with the parameters of an organisation."""
    where = f"{ORGANISATION_PREFIX}{organisation.name}"
    values, problems = _collect_parameters(template, organisation, where)
    if problems:
        return Err(problems)
    raw = {"services": template.services, "routes": list(template.routes)}
    try:
        rendered = RenderedTemplate.model_validate(_substitute(raw, values))
    except KeyError as missing:
        return Err(
            [
                f"{where}: {missing.args[0]}: the template doesn't declare "
                "this parameter"
            ]
        )
    except ValidationError as error:
        return Err(describe_problems(error, where))
    unknown = {r.service for r in rendered.routes} - set(rendered.services)
    if unknown:
        names = ", ".join(sorted(unknown))
        return Err(
            [
                f"{where}: the template doesn't define these services "
                f"of its routes: {names}"
            ]
        )
    return Ok(rendered)


def _collect_parameters(
    template: Template, organisation: Organisation, where: str
) -> tuple[dict[str, Any], Problems]:
    values: dict[str, Any] = {}
    problems = [
        f"{where}: parameters.{name}: template {template.name} has no "
        "such parameter"
        for name in organisation.parameters
        if name not in template.parameters
    ]
    for name, parameter in template.parameters.items():
        value = organisation.parameters.get(name, parameter.default)
        problem = (
            "is required" if value is None else parameter.find_problem(value)
        )
        if problem:
            problems.append(
                f"{where}: parameters.{name}: {problem}, found {value!r}"
            )
        values[name] = value
    return values, problems


def _substitute(value: Any, values: dict[str, Any]) -> Any:
    if isinstance(value, dict):
        return {k: _substitute(v, values) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [_substitute(v, values) for v in value]
    if not isinstance(value, str):
        return value
    placeholder = _PLACEHOLDER.fullmatch(value)
    if placeholder:  # the value keeps its type
        return values[placeholder[1]]
    return _PLACEHOLDER.sub(lambda m: str(values[m[1]]), value)


def validate_documents(
    documents: dict[str, str], modified: set[str]
) -> Result[None, Problems]:
    """Validate a whole configuration after a change.

    Renders only the organisations that the change may have made invalid: the
    modified ones and those whose template was modified.

    Args:
        documents: all documents by key, with the change applied.
        modified: keys that the change wrote or deleted.
    """
    problems: Problems = []
    for key in modified & documents.keys():
        problems += parse_document(key, documents[key]).err() or []
    if problems:
        return Err(sorted(problems))
    templates: dict[str, Template | None] = {}
    for key, body in documents.items():
        if key.startswith(ORGANISATION_PREFIX):
            problems += _validate_organisation(
                key, body, documents, modified, templates
            )
    if FLEET_KEY in documents:
        problems += validate_fleet(
            Fleet.model_validate_json(documents[FLEET_KEY])
        )
    return Err(sorted(problems)) if problems else Ok(None)


def _validate_organisation(
    key: str,
    body: str,
    documents: dict[str, str],
    modified: set[str],
    templates: dict[str, Template | None],
) -> Problems:
    name = json.loads(body)["template"]
    template_key = TEMPLATE_PREFIX + name
    if key not in modified and template_key not in modified:
        return []
    if name not in templates:
        raw = documents.get(template_key)
        templates[name] = Template.model_validate_json(raw) if raw else None
    template = templates[name]
    if template is None:
        return [f"{key}: template: there is no template {name}"]
    organisation = Organisation.model_validate_json(body)
    return render_template(template, organisation).err() or []


def validate_fleet(fleet: Fleet) -> Problems:
    """Return the problems within a fleet document."""
    hosts = [entry.host for entry in fleet.entries]
    problems = []
    if len(set(hosts)) != len(hosts):
        problems.append(f"{FLEET_KEY}: entries: a host is listed twice")
    for group in fleet.claim_groups:
        if len(set(group)) != len(group) or not group:
            problems.append(
                f"{FLEET_KEY}: claim_groups: a group is empty or lists a "
                "host twice"
            )
        unknown_hosts = sorted(set(group) - set(hosts))
        if unknown_hosts:
            problems.append(
                f"{FLEET_KEY}: claim_groups: not listed in entries: "
                f"{unknown_hosts}"
            )
    return problems


def validate_group_change(old: Fleet, new: Fleet) -> Problems:
    """Return the problems of a change of the claim groups.

    A group is replaced in two steps: from the old group to both groups, then
    to the new group. So the majorities of two successive epochs always
    intersect.
    """
    if old.claim_groups == new.claim_groups:
        if old.claim_epoch == new.claim_epoch:
            return []
        return [
            f"{FLEET_KEY}: claim_epoch: must stay {old.claim_epoch} while "
            "claim_groups stay the same"
        ]
    if new.claim_epoch != old.claim_epoch + 1:
        return [
            f"{FLEET_KEY}: claim_epoch: must be {old.claim_epoch + 1} when "
            f"claim_groups change, found {new.claim_epoch}"
        ]
    adds_group = len(old.claim_groups) == 1 and len(new.claim_groups) == 2
    drops_group = len(old.claim_groups) == 2 and len(new.claim_groups) == 1
    kept = set(old.claim_groups) & set(new.claim_groups)
    if (adds_group or drops_group) and kept:
        return []
    return [
        f"{FLEET_KEY}: claim_groups: a group must be replaced in two "
        "steps: first list both groups, then only the new one"
    ]
