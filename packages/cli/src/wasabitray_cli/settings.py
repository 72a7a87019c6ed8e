"""Where the fleet is, from the client's settings file."""

from __future__ import annotations

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wasabitray_cli.errors import InputError
from wasabitray_core.documents import describe_problems

DEFAULT_FILE = "wasabitray.toml"


class ClientSettings(BaseModel):
    """Operator addresses of the fleet.

    Attributes:
        control: of the control hosts, as `IP:PORT`.
        entries: of the entry hosts.
        callers: caller addresses of a few entries, for address answers.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    control: tuple[str, ...] = Field(min_length=1)
    entries: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    secret_file: Path | None = None

    def read_secret(self) -> str:
        """Return the shared secret, empty if there is none."""
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
        InputError: it names every fault in the file.
    """
    try:
        raw = tomllib.loads(path.read_text())
        return ClientSettings.model_validate(raw)
    except ValidationError as error:
        detail = "\n".join(describe_problems(error, str(path)))
    except (OSError, ValueError) as error:
        detail = str(error)
    raise InputError(detail, step="read settings", peer=str(path))
