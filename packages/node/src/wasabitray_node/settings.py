"""The settings of a process, read from a TOML file."""

from __future__ import annotations

import ipaddress
import re
import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    ValidationInfo,
    field_validator,
    model_validator,
)
from result import Err, Ok, Result

from wasabitray_core.access.lease import MIN_REVOCATION_S
from wasabitray_core.controllers.addresses import (
    ADDRESS_TTL_S,
    MAX_ADDRESSES,
)
from wasabitray_core.controllers.retry_budget import RetryLimits
from wasabitray_core.documents import NAME_PATTERN, Problems, describe_problems
from wasabitray_core.group_size import GroupSize
from wasabitray_core.ids import HostId
from wasabitray_core.quotas.times import find_quota_problems
from wasabitray_core.second_attempts.budget import SecondAttemptLimits
from wasabitray_core.states import IsolationPolicy, Role, Topology

MIN_SECRET_LENGTH = 16
_DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_BYTES_PER_MBIT = 125_000
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}
# A host's name, or its IP address.
HOST_PATTERN = r"^[a-z0-9][a-z0-9.-]{0,62}$"


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of `IP:PORT`.

    Raises:
        ValueError: the text has another form.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not 0 < int(port) < 65_536:
        raise ValueError(f"port {port} is not from 1 to 65535")
    return host, int(port)


def _check_address(address: str) -> str:
    try:
        split_address(address)
    except ValueError as error:
        raise ValueError(f"must be IP:PORT ({error})") from None
    return address


def _parse_duration(value: object) -> object:
    """Return the seconds of a text such as `1500ms` or `2.5s`.

    Other values are returned unchanged, for pydantic to check.
    """
    match = (
        _DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    )
    if match is None:
        return value
    return float(match[1]) * _SECONDS_PER_UNIT[match[2]]


Address = Annotated[str, AfterValidator(_check_address)]
Duration = Annotated[float, BeforeValidator(_parse_duration)]
HostName = Annotated[str, Field(pattern=NAME_PATTERN)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Listeners(_Section):
    """Addresses that the process listens on.

    Attributes:
        peers: for the other hosts of the fleet.
        operators: for operators, over the native interface, and for metrics.
        callers: for requests.
        targets: for announcements of targets, over the native interface.
        readiness: for checks whether callers may be sent to this entry.
        registry: for targets and operators that don't use the native
            interface.
        directory: for callers that look up addresses and don't use the
            native interface.
    """

    peers: Address
    operators: Address
    callers: Address | None = None
    targets: Address | None = None
    readiness: Address | None = None
    registry: Address | None = None
    directory: Address | None = None

    def list_addresses(self) -> list[str]:
        """Return the addresses that are set."""
        configured = (
            self.peers,
            self.operators,
            self.callers,
            self.targets,
            self.readiness,
            self.registry,
            self.directory,
        )
        return [address for address in configured if address is not None]


class Limits(_Section):
    """Limits on the requests of callers and the responses of targets.

    Attributes:
        hold_bytes: bytes of a body that are buffered before any of it is
            forwarded; a longer body is streamed.
        hold_total_bytes: bytes of targets' responses that are kept at the
            same time, until their callers were sent them; beyond it, they are
            forwarded as they arrive.
        max_body_bytes: largest size of a caller's or a target's body.
        stream_idle_s: seconds that a streamed body may go without a byte.
        stream_timeout_s: seconds that forwarding a body may take.
        body_timeout_s: seconds that reading a caller's body may take.
        memory_mb: memory of the host in megabytes.
        max_descriptors: open descriptors that the host allows a process.
    """

    hold_bytes: int = Field(default=262_144, ge=1_024)
    hold_total_bytes: int = Field(default=33_554_432, ge=1_024)
    max_body_bytes: int = Field(default=1_073_741_824, ge=1_024)
    connect_timeout_s: float = Field(default=1.0, gt=0)
    stream_idle_s: float = Field(default=30.0, gt=0)
    stream_timeout_s: float = Field(default=600.0, gt=0)
    body_timeout_s: float = Field(default=30.0, gt=0)
    idle_connections_per_target: int = Field(default=16, ge=0)
    idle_connection_s: float = Field(default=30.0, ge=0)
    memory_mb: int = Field(default=200, ge=32)
    max_descriptors: int = Field(default=4_096, ge=64)


class AddressSettings(_Section):
    """What a list of entries' addresses contains.

    Attributes:
        limit: entries in a list.
        ttl_s: seconds that a caller may use a list.
        spread: whether a list covers failure domains and regions, for
            callers that try one entry after the other; false for callers
            that choose at random.
    """

    limit: int = Field(default=MAX_ADDRESSES, ge=1)
    ttl_s: float = Field(default=ADDRESS_TTL_S, gt=0)
    spread: bool = True


class RetrySettings(_Section):
    """Limits on retries, over all entries together.

    Attributes:
        share: retries for each first attempt; if not set, the policy of the
            service applies.
        fleet_burst: retries of a service beyond its share at one time, over
            all entries.
    """

    share: float | None = Field(default=None, ge=0, le=1)
    fleet_burst: float | None = Field(default=None, ge=0)

    def to_limits(self) -> RetryLimits:
        """Return the limits as the core's type."""
        return RetryLimits(self.share, self.fleet_burst)


class AccessSettings(_Section):
    """How the keys of organisations are accepted.

    Attributes:
        revocation_s: seconds after which a key that was withdrawn is accepted
            by no entry, however it is cut off; if not set, entries accept
            keys without a lease.
    """

    revocation_s: Duration | None = Field(
        default=None, ge=MIN_REVOCATION_S, allow_inf_nan=False
    )


class QuotaSettings(_Section):
    """The bound up to which organisations' limits are enforced.

    In each window, all entries together serve at most (rate x window_s +
    burst) x (1 + excess) + slack requests of an organisation.
    """

    window_s: Duration = Field(gt=0, le=3_600)
    excess: float = Field(ge=0, le=1)
    slack: float = Field(ge=0, allow_inf_nan=False)


class SecondAttemptSettings(_Section):
    """Second attempts of requests that are slow, over all entries together.

    Attributes:
        share: second attempts for each request of a service. They count as
            retries too, so it can't be above the share of these.
        link_mbit_per_s: what an entry's link carries; if not set, requests
            with long responses get no second attempt.
    """

    share: float = Field(gt=0, le=0.5)
    link_mbit_per_s: float | None = Field(default=None, gt=0)

    def to_limits(self) -> SecondAttemptLimits:
        """Return the limits as the core's type."""
        link = self.link_mbit_per_s
        return SecondAttemptLimits(
            self.share, None if link is None else link * _BYTES_PER_MBIT
        )


class Settings(_Section):
    """All settings of one process.

    Attributes:
        seeds: peer addresses of the hosts to contact first, by host name:
            every control host and a few entries.
        advertised_peers: the address at which other hosts reach
            `listen.peers`, if it is another one.
        secret_file: file with the secret that peers and operators send.
        data_folder: folder of a control host's durable state.
        topology: how hosts exchange heartbeats and updates.
        contacts: addresses of control hosts, instead of seeds, in a fleet
            that names hosts by their IP address; their peer listeners use
            the same port as this host's.
        initialise: whether to create the fleet, with the contacts as its
            founding members, if the data folder is empty.
        trusted_network: whether peers and operators need no secret.
        when_isolated: what an entry does while it is cut off from the fleet.
        pauses: whether targets that fail attempts cool down in the whole
            fleet.
        failure_domains: the region of each failure domain.
        startup_wait_s: seconds from the start in which requests wait for the
            first configuration and the first targets.
        tolerated_losses: control hosts that may be lost at the same time; the
            group keeps 2 voters for each and one more, if there are as many.
        second_attempts: limits on second attempts; none are made without.
        grace_s: seconds for a planned stop; if not set, it takes as long as
            it needs.
        quotas: the bound on organisations' requests; without it, their
            limits are not enforced.
    """

    host: Annotated[str, Field(pattern=HOST_PATTERN)]
    role: Role
    region: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    listen: Listeners
    seeds: dict[HostName, Address] = {}
    contacts: tuple[Address, ...] = ()
    initialise: bool = False
    topology: Topology = Topology.MESH
    when_isolated: IsolationPolicy = IsolationPolicy.REFUSE
    pauses: bool = False
    trusted_network: bool = False
    failure_domains: dict[str, str] = {}
    startup_wait_s: Duration = Field(default=0.0, ge=0)
    tolerated_losses: int = Field(default=1, ge=0)
    grace_s: Duration | None = Field(default=None, gt=0)
    addresses: AddressSettings = AddressSettings()
    retries: RetrySettings = RetrySettings()
    access: AccessSettings = AccessSettings()
    second_attempts: SecondAttemptSettings | None = None
    advertised_peers: Address | None = None
    initial_control: tuple[HostName, ...] = ()
    secret_file: Path | None = None
    data_folder: Path | None = None
    limits: Limits = Limits()
    quotas: QuotaSettings | None = None

    @model_validator(mode="after")
    def _check_quotas(self) -> Settings:
        quotas = self.quotas
        if quotas is None:
            return self
        problems = find_quota_problems(
            quotas.window_s,
            quotas.excess,
            quotas.slack,
            GroupSize(self.tolerated_losses).largest,
        )
        if self.topology is not Topology.HUBS:
            problems.append("quotas need a fleet with hubs")
        if problems:
            raise ValueError("quotas: " + "; ".join(problems))
        return self

    @field_validator("second_attempts")
    @classmethod
    def _check_second_attempts(
        cls, value: SecondAttemptSettings | None, info: ValidationInfo
    ) -> SecondAttemptSettings | None:
        retries = info.data.get("retries")
        if value is None or retries is None or retries.share is None:
            return value
        if value.share > retries.share:
            raise ValueError(
                f"share {value.share:g} is above the share of retries, "
                f"{retries.share:g}, which includes second attempts"
            )
        return value

    @model_validator(mode="after")
    def _check_role(self) -> Settings:
        if self.role is Role.CONTROL and self.data_folder is None:
            raise ValueError("a control host needs data_folder")
        if self.role is Role.ENTRY and not self.listen.callers:
            raise ValueError("an entry host needs listen.callers")
        is_mesh = self.topology is Topology.MESH
        if self.role is Role.ENTRY and is_mesh and not self.listen.targets:
            raise ValueError(
                "an entry host needs listen.targets, unless targets announce "
                "themselves to hubs"
            )
        if is_mesh and self.access.revocation_s is not None:
            raise ValueError('access.revocation_s needs topology = "hubs"')
        if not self.seeds and not self.contacts:
            raise ValueError("seeds or contacts must be set")
        unknown = sorted(set(self.initial_control) - set(self.seeds))
        if unknown:
            raise ValueError(f"initial_control hosts not in seeds: {unknown}")
        is_open_network = self.trusted_network or self._is_loopback()
        if self.secret_file is None and not is_open_network:
            raise ValueError(
                "secret_file is needed unless every listener is on loopback "
                "or trusted_network is set"
            )
        return self

    def _is_loopback(self) -> bool:
        hosts = (split_address(a)[0] for a in self.listen.list_addresses())
        return all(ipaddress.ip_address(h).is_loopback for h in hosts)

    @property
    def needs_leader_evidence(self) -> bool:
        """Whether control hosts ask the leader for the newest revision."""
        needs_lease = self.access.revocation_s is not None
        return needs_lease or self.quotas is not None

    def get_peer_seeds(self) -> dict[HostId, str]:
        """Return the peer addresses of the hosts to contact first."""
        _, port = split_address(self.listen.peers)
        addresses = {HostId(h): a for h, a in self.seeds.items()}
        for contact in self.contacts:
            ip, _ = split_address(contact)
            addresses[HostId(ip)] = f"{ip}:{port}"
        return addresses

    def get_founding_hosts(self) -> tuple[HostId, ...]:
        """Return the hosts of the control group's founding members."""
        if self.initial_control:
            return tuple(HostId(h) for h in self.initial_control)
        return tuple(sorted(self.get_peer_seeds()))

    def read_secret(self) -> Result[str, Problems]:
        """Return the shared secret, or a problem; empty if none is set."""
        if self.secret_file is None:
            return Ok("")
        try:
            secret = self.secret_file.read_text().strip()
        except OSError as error:
            return Err([f"secret_file: {error}"])
        if len(secret) < MIN_SECRET_LENGTH:
            return Err(
                [f"secret_file: shorter than {MIN_SECRET_LENGTH} characters"]
            )
        return Ok(secret)


def load_settings(path: Path) -> Result[Settings, Problems]:
    """Read a settings file and return the settings or all its problems."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"{path}: {error}"])
    except tomllib.TOMLDecodeError as error:
        return Err([f"{path}: not TOML: {error}"])
    try:
        settings = Settings.model_validate(raw)
    except ValidationError as error:
        return Err(describe_problems(error, str(path)))
    secret = settings.read_secret()
    if isinstance(secret, Err):
        return Err([f"{path}: {problem}" for problem in secret.err_value])
    return Ok(settings)
