"""Settings of a process, read from a TOML file."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from result import Err, Ok, Result

from wasabitray_core.documents import NAME_PATTERN, Faults, describe_faults
from wasabitray_core.states import Role

MIN_SECRET_LENGTH = 16


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of `IP:PORT`.

    Raises:
        ValueError: it is something else.
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


Address = Annotated[str, AfterValidator(_check_address)]
HostName = Annotated[str, Field(pattern=NAME_PATTERN)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Listeners(_Section):
    """Addresses that the process listens on."""

    peers: Address
    operators: Address
    callers: Address | None = None
    targets: Address | None = None

    def all(self) -> list[str]:
        """Return the addresses that are set."""
        found = (self.peers, self.operators, self.callers, self.targets)
        return [address for address in found if address is not None]


class Limits(_Section):
    """Bounds on what callers may send and targets may answer."""

    hold_bytes: int = Field(default=262_144, ge=1_024)
    max_body_bytes: int = Field(default=1_073_741_824, ge=1_024)
    connect_timeout_s: float = Field(default=1.0, gt=0)
    stream_idle_s: float = Field(default=30.0, gt=0)
    body_timeout_s: float = Field(default=30.0, gt=0)
    idle_connections_per_target: int = Field(default=16, ge=0)
    idle_connection_s: float = Field(default=30.0, ge=0)


class Settings(_Section):
    """All settings of one process.

    Attributes:
        seeds: peer address of hosts to contact first, by host name; every
            control host and a few entries.
        advertised_peers: where other hosts reach `listen.peers`, if that
            is another address.
        secret_file: file with the secret that peers and operators prove.
        data_folder: a control host's durable state.
    """

    host: HostName
    role: Role
    region: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    listen: Listeners
    seeds: dict[HostName, Address]
    advertised_peers: Address | None = None
    initial_control: tuple[HostName, ...] = ()
    secret_file: Path | None = None
    data_folder: Path | None = None
    limits: Limits = Limits()

    @model_validator(mode="after")
    def _check_role(self) -> Settings:
        if self.role is Role.CONTROL and self.data_folder is None:
            raise ValueError("a control host needs data_folder")
        if self.role is Role.ENTRY and not (
            self.listen.callers and self.listen.targets
        ):
            raise ValueError(
                "an entry host needs listen.callers and listen.targets"
            )
        unknown = sorted(set(self.initial_control) - set(self.seeds))
        if unknown:
            raise ValueError(f"initial_control hosts not in seeds: {unknown}")
        if self.secret_file is None and not self._is_loopback():
            raise ValueError(
                "secret_file is needed unless every listener is on loopback"
            )
        return self

    def _is_loopback(self) -> bool:
        hosts = (split_address(a)[0] for a in self.listen.all())
        return all(ipaddress.ip_address(h).is_loopback for h in hosts)

    def read_secret(self) -> Result[str, Faults]:
        """Return the shared secret; empty when none is set."""
        if self.secret_file is None:
            return Ok("")
        try:
            secret = self.secret_file.read_text().strip()
        except OSError as error:
            return Err([f"secret_file: {error}"])
        if len(secret) < MIN_SECRET_LENGTH:
            return Err(
                [f"secret_file: under {MIN_SECRET_LENGTH} characters long"]
            )
        return Ok(secret)


def load_settings(path: Path) -> Result[Settings, Faults]:
    """Read a settings file and return it or every fault in it."""
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"{path}: {error}"])
    except tomllib.TOMLDecodeError as error:
        return Err([f"{path}: not TOML: {error}"])
    try:
        settings = Settings.model_validate(raw)
    except ValidationError as error:
        return Err(describe_faults(error, str(path)))
    secret = settings.read_secret()
    if isinstance(secret, Err):
        return Err([f"{path}: {fault}" for fault in secret.err_value])
    return Ok(settings)
