"""The client's settings file, with the addresses of the fleet."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wasabitray_cli.errors import InputError
from wasabitray_core.documents import describe_problems

DEFAULT_FILE = "wasabitray.toml"


class ClientSettings(BaseModel):
    """Addresses of the fleet's hosts, as `IP:PORT`.

    Attributes:
        control: operators' addresses of the control hosts.
        entries: operators' addresses of the entries.
        callers: callers' addresses of a few entries, which return the
            addresses that a caller should use.
        secret_file: file with the secret that the hosts and clients share.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    control: tuple[str, ...] = Field(min_length=1)
    entries: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    secret_file: Path | None = None

    def read_secret(self) -> str:
        """Return the shared secret, empty if no file is set."""
        if self.secret_file is None:
            return ""
        try:
            return self.secret_file.read_text().strip()
        except OSError as error:
            raise InputError(
                str(error), step="read secret", peer=str(self.secret_file)
            ) from None


def load_client_settings(path: Path) -> ClientSettings:
    """Read the client's settings.

    Raises:
        InputError: the file is invalid; the error lists all problems.
    """
    try:
        raw = tomllib.loads(path.read_text())
        return ClientSettings.model_validate(raw)
    except ValidationError as error:
        detail = "\n".join(describe_problems(error, str(path)))
    except (OSError, ValueError) as error:
        detail = str(error)
    raise InputError(detail, step="read settings", peer=str(path))
