"""Organisations in the route table: their keys, priority and quota."""

from __future__ import annotations

import hashlib
import re
import secrets
from collections import Counter
from collections.abc import Iterable
from typing import Annotated, ClassVar

from pydantic import AfterValidator, ConfigDict, Field

from wasabitray_core.documents import Document, Problems
from wasabitray_core.ids import ApiKey

# The visible ASCII characters: a key or a name is sent as a header value.
_HEADER_VALUE = re.compile(r"[!-~]+")
MAX_HEADER_VALUE_BYTES = 1_024
_DIGEST_BYTES = 16


def _check_header_value(value: str) -> str:
    if not _HEADER_VALUE.fullmatch(value):
        raise ValueError("must be visible ASCII characters without spaces")
    if len(value) > MAX_HEADER_VALUE_BYTES:
        raise ValueError(f"must be at most {MAX_HEADER_VALUE_BYTES} bytes")
    return value


HeaderValue = Annotated[str, AfterValidator(_check_header_value)]


class OrganisationPolicy(Document):
    """How an organisation's requests are recognised and limited.

    Attributes:
        api_keys: keys that its callers send.
        priority: rank of its requests under load, which goes before the
            route's; None uses the route's.
        rate_per_s: requests per second over all entries; 0 or None is no
            limit.
        burst: requests beyond the rate at one time, over all entries.
    """

    # Errors would quote the invalid input, which may contain keys.
    model_config = ConfigDict(hide_input_in_errors=True)
    has_secrets: ClassVar[bool] = True

    name: HeaderValue
    api_keys: tuple[HeaderValue, ...] = ()
    priority: int | None = Field(default=None, ge=0)
    rate_per_s: float | None = Field(default=None, ge=0, allow_inf_nan=False)
    burst: float | None = Field(default=None, ge=0, allow_inf_nan=False)

    @property
    def has_quota(self) -> bool:
        """Whether the number of its requests is limited."""
        return bool(self.rate_per_s)

    def __repr__(self) -> str:
        return f"<OrganisationPolicy [{self.name}]>"

    __str__ = __repr__


def find_organisation_problems(
    organisations: Iterable[OrganisationPolicy],
) -> Problems:
    """Return the problems among several organisations, without their keys."""
    policies = tuple(organisations)
    names = Counter(policy.name for policy in policies)
    problems = [
        f"organisations: {name} is listed twice"
        for name, count in names.items()
        if count > 1
    ]
    holders: dict[str, str] = {}
    for policy in policies:
        for number, key in enumerate(policy.api_keys):
            holder = holders.setdefault(key, policy.name)
            where = f"organisations.{policy.name}.api_keys.{number}"
            if holder != policy.name:
                problems.append(f"{where}: is also a key of {holder}")
            elif key in policy.api_keys[:number]:
                problems.append(f"{where}: is listed twice")
    return problems


class KeyIndex:
    """Finds the organisation that holds a key.

    Keys are looked up by a digest with a secret of this process, so that the
    time of a look-up does not depend on how much of a key is right.
    """

    def __init__(self, organisations: Iterable[OrganisationPolicy]) -> None:
        """Index the keys of all organisations."""
        self._secret = secrets.token_bytes(_DIGEST_BYTES)
        self._by_digest = {
            self._digest(ApiKey(key)): policy
            for policy in organisations
            for key in policy.api_keys
        }

    def find(self, key: ApiKey) -> OrganisationPolicy | None:
        """Return the organisation that holds a key, None if there is none."""
        return self._by_digest.get(self._digest(key))

    def _digest(self, key: ApiKey) -> bytes:
        data = key.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(
            data, digest_size=_DIGEST_BYTES, key=self._secret
        ).digest()

    def __repr__(self) -> str:
        return f"<KeyIndex [{len(self._by_digest)} keys]>"
