"""Operators' documents: templates, organisations and the fleet.

A template describes how a kind of organisation is served. An organisation
names a template and its parameters. Filling the template with them gives
the routes that the organisation's traffic follows.
"""

from __future__ import annotations

import json
import re
from enum import Enum
from typing import Any

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
    """Base of every document."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ParameterType(Enum):
    """Type of a template's parameter."""

    INTEGER = "integer"
    STRING = "string"
    BOOLEAN = "boolean"


class Parameter(Document):
    """A typed parameter with its bounds.

    `minimum` and `maximum` bound an integer's value and a string's length.
    """

    type: ParameterType
    minimum: int | None = None
    maximum: int | None = None
    pattern: str | None = None
    default: int | str | bool | None = None

    def check(self, value: object) -> str | None:
        """Return what is wrong with a value, or None."""
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
    """What a correct answer of a route looks like."""

    statuses: tuple[int, ...] = ()
    content_type: str | None = None
    required_fields: tuple[str, ...] = ()
    max_bytes: int | None = Field(default=None, ge=0)


class Route(Document):
    """Requests under one path prefix and how they are handled.

    Attributes:
        name: names the route in logs, if it has a name.
        target_ms: time within which an answer is worth most, 0 if not said.
        priority: rank under load, 0 is served first.
        attempts: targets that one request may be sent to at most.
        claimed: whether requests that are not idempotent carry a key which
            is claimed, since a caller may send the same request again.
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

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request belongs to this route."""
        if method not in self.methods:
            return False
        prefix = self.path.rstrip("/")
        return path == prefix or path.startswith(prefix + "/")


class ServicePolicy(Document):
    """Limits that hold for a whole service.

    Attributes:
        floor: least number of instances that ejections must leave.
        retry_share: retries allowed as a share of first attempts.
        long_share: share of the service's slots open to long work.
    """

    floor: int = Field(default=1, ge=1)
    retry_share: float = Field(default=0.1, ge=0, le=1)
    long_share: float = Field(default=0.5, ge=0, le=1)


class RenderedTemplate(Document):
    """A template with one organisation's parameters put in."""

    services: dict[str, ServicePolicy]
    routes: tuple[Route, ...] = Field(min_length=1)

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the longest matching route, or None."""
        matching = [r for r in self.routes if r.matches(method, path)]
        return max(matching, key=lambda r: len(r.path), default=None)


class Template(Document):
    """A template as the operator writes it, with `{placeholders}`."""

    name: str = Field(pattern=NAME_PATTERN)
    parameters: dict[str, Parameter] = {}
    services: dict[str, Any]
    routes: tuple[dict[str, Any], ...]


class Organisation(Document):
    """An organisation and the parameters of its template."""

    name: str = Field(pattern=NAME_PATTERN)
    template: str = Field(pattern=NAME_PATTERN)
    parameters: dict[str, int | str | bool] = {}


class EntryHost(Document):
    """An entry host as the fleet document lists it."""

    host: str = Field(pattern=NAME_PATTERN)
    region: str
    failure_domain: str
    peer_address: str
    caller_address: str


class Fleet(Document):
    """The entry hosts and the groups that grant claims.

    `claim_groups` holds one group, or two while a group is replaced: then
    a claim needs a majority of both. A key is claimed for
    `claim_retention_s` seconds; a caller's resend after that runs again.
    """

    entries: tuple[EntryHost, ...]
    claim_groups: tuple[tuple[str, ...], ...] = Field(
        min_length=1, max_length=2
    )
    claim_epoch: int = Field(default=1, ge=1)
    claim_retention_s: float = Field(default=600.0, ge=1.0, le=86_400.0)


Problems = list[str]


def describe_problems(error: ValidationError, where: str) -> Problems:
    """Return one line for each fault a schema check found."""
    return [
        f"{where}: {'.'.join(map(str, fault['loc'])) or 'document'}: "
        f"{fault['msg']}, found {fault.get('input')!r}"
        for fault in error.errors()
    ]


def parse_document(key: str, body: str) -> Result[Document, Problems]:
    """Parse a stored document by its key.

    Args:
        key: `fleet`, `template/NAME` or `organisation/NAME`.
        body: the document as JSON text.
    """
    kind = _kind_of(key)
    if kind is None:
        return Err([f"{key}: unknown kind of document"])
    return parse_as(kind, key, body)


def parse_as(
    kind: type[Document], key: str, body: str
) -> Result[Document, Problems]:
    """Parse a document of a known kind; its name must equal its key's."""
    try:
        document = kind.model_validate_json(body)
    except ValidationError as error:
        return Err(describe_problems(error, key))
    name = getattr(document, "name", None)
    if name is not None and key.split("/", 1)[1] != name:
        return Err([f"{key}: name: found {name!r}, must equal the key"])
    return Ok(document)


def _kind_of(key: str) -> type[Document] | None:
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
    """Put an organisation's parameters into its template."""
    where = f"{ORGANISATION_PREFIX}{organisation.name}"
    values, faults = _collect_parameters(template, organisation, where)
    if faults:
        return Err(faults)
    raw = {"services": template.services, "routes": list(template.routes)}
    try:
        filled = RenderedTemplate.model_validate(_substitute(raw, values))
    except KeyError as missing:
        return Err([f"{where}: {missing.args[0]}: no such parameter"])
    except ValidationError as error:
        return Err(describe_problems(error, where))
    unknown = {r.service for r in filled.routes} - set(filled.services)
    if unknown:
        names = ", ".join(sorted(unknown))
        return Err([f"{where}: routes name services without floor: {names}"])
    return Ok(filled)


def _collect_parameters(
    template: Template, organisation: Organisation, where: str
) -> tuple[dict[str, Any], Problems]:
    values: dict[str, Any] = {}
    faults = [
        f"{where}: parameters.{name}: not a parameter of {template.name}"
        for name in organisation.parameters
        if name not in template.parameters
    ]
    for name, parameter in template.parameters.items():
        value = organisation.parameters.get(name, parameter.default)
        fault = "is required" if value is None else parameter.check(value)
        if fault:
            faults.append(
                f"{where}: parameters.{name}: {fault}, found {value!r}"
            )
        values[name] = value
    return values, faults


def _substitute(value: Any, values: dict[str, Any]) -> Any:
    if isinstance(value, dict):
        return {k: _substitute(v, values) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [_substitute(v, values) for v in value]
    if not isinstance(value, str):
        return value
    whole = _PLACEHOLDER.fullmatch(value)
    if whole:  # keeps the parameter's type
        return values[whole[1]]
    return _PLACEHOLDER.sub(lambda m: str(values[m[1]]), value)


def validate_documents(
    documents: dict[str, str], touched: set[str]
) -> Result[None, Problems]:
    """Check a whole configuration after a change.

    Only organisations that the change can have broken are filled again: the
    touched ones and those whose template was touched.

    Args:
        documents: every document by key, with the change applied.
        touched: keys that the change wrote or deleted.
    """
    faults: Problems = []
    for key in touched & documents.keys():
        faults += parse_document(key, documents[key]).err() or []
    if faults:
        return Err(sorted(faults))
    templates: dict[str, Template | None] = {}
    for key, body in documents.items():
        if key.startswith(ORGANISATION_PREFIX):
            faults += _check_organisation(
                key, body, documents, touched, templates
            )
    if FLEET_KEY in documents:
        faults += validate_fleet(
            Fleet.model_validate_json(documents[FLEET_KEY])
        )
    return Err(sorted(faults)) if faults else Ok(None)


def _check_organisation(
    key: str,
    body: str,
    documents: dict[str, str],
    touched: set[str],
    templates: dict[str, Template | None],
) -> Problems:
    name = json.loads(body)["template"]
    template_key = TEMPLATE_PREFIX + name
    if key not in touched and template_key not in touched:
        return []
    if name not in templates:
        raw = documents.get(template_key)
        templates[name] = Template.model_validate_json(raw) if raw else None
    template = templates[name]
    if template is None:
        return [f"{key}: template: {name} does not exist"]
    organisation = Organisation.model_validate_json(body)
    return render_template(template, organisation).err() or []


def validate_fleet(fleet: Fleet) -> Problems:
    """Return what is wrong within a fleet document."""
    hosts = [entry.host for entry in fleet.entries]
    faults = []
    if len(set(hosts)) != len(hosts):
        faults.append(f"{FLEET_KEY}: entries: a host is listed twice")
    for group in fleet.claim_groups:
        if len(set(group)) != len(group) or not group:
            faults.append(f"{FLEET_KEY}: claim_groups: empty or repeated host")
        strangers = sorted(set(group) - set(hosts))
        if strangers:
            faults.append(
                f"{FLEET_KEY}: claim_groups: not an entry: {strangers}"
            )
    return faults


def validate_group_change(old: Fleet, new: Fleet) -> Problems:
    """Return what is wrong with a change of the claim groups.

    A group is replaced in two steps, so that majorities of any two
    neighbouring epochs intersect: old, then old with new, then new.
    """
    if old.claim_groups == new.claim_groups:
        if old.claim_epoch == new.claim_epoch:
            return []
        return [f"{FLEET_KEY}: claim_epoch: must stay {old.claim_epoch}"]
    if new.claim_epoch != old.claim_epoch + 1:
        return [
            f"{FLEET_KEY}: claim_epoch: must be {old.claim_epoch + 1} when "
            f"claim_groups change, found {new.claim_epoch}"
        ]
    grows = len(old.claim_groups) == 1 and len(new.claim_groups) == 2
    shrinks = len(old.claim_groups) == 2 and len(new.claim_groups) == 1
    shared = set(old.claim_groups) & set(new.claim_groups)
    if (grows or shrinks) and shared:
        return []
    return [
        f"{FLEET_KEY}: claim_groups: replace a group in two steps, first "
        "both groups, then the new one"
    ]
