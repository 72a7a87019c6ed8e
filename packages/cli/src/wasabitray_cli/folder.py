"""The operator's folder of declarations, held in version control.

It holds `fleet.toml`, `templates/*.toml` and `organisations/*.toml`.
"""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

from msgspec import Struct
from result import Err

from wasabitray_cli.errors import InputError
from wasabitray_core.documents import (
    FLEET_KEY,
    ORGANISATION_PREFIX,
    TEMPLATE_PREFIX,
    validate_documents,
)

Documents = dict[str, dict[str, Any]]


class Difference(Struct, frozen=True):
    """The keys in which a folder differs from the newest configuration."""

    added: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there is no difference."""
        return not (self.added or self.changed or self.removed)


def read_folder(folder: Path) -> Documents:
    """Read and validate a folder.

    Raises:
        InputError: a file is invalid; the error lists all problems.
    """
    documents: Documents = {}
    problems: list[str] = []
    for key, path in _find_files(folder):
        try:
            documents[key] = tomllib.loads(path.read_text())
        except (OSError, ValueError) as error:
            problems.append(f"{path}: {error}")
    if not documents and not problems:
        problems.append(f"{folder}: no fleet.toml, templates or organisations")
    if not problems:
        texts = {k: json.dumps(v) for k, v in documents.items()}
        checked = validate_documents(texts, set(texts))
        if isinstance(checked, Err):
            problems = checked.err_value
    if problems:
        raise InputError("\n".join(problems), step="check", peer=str(folder))
    return documents


def _find_files(folder: Path) -> list[tuple[str, Path]]:
    files = []
    fleet = folder / "fleet.toml"
    if fleet.exists():
        files.append((FLEET_KEY, fleet))
    for prefix, name in (
        (TEMPLATE_PREFIX, "templates"),
        (ORGANISATION_PREFIX, "organisations"),
    ):
        for path in sorted((folder / name).glob("*.toml")):
            files.append((prefix + path.stem, path))
    return files


def compare_documents(current: Documents, wanted: Documents) -> Difference:
    """Return the keys that differ between current and wanted documents."""
    return Difference(
        tuple(sorted(wanted.keys() - current.keys())),
        tuple(
            sorted(
                key
                for key in wanted.keys() & current.keys()
                if wanted[key] != current[key]
            )
        ),
        tuple(sorted(current.keys() - wanted.keys())),
    )


def build_edits(difference: Difference, wanted: Documents) -> list[dict]:
    """Return the edits that make the current documents the wanted ones."""
    written = [
        {"key": key, "body": wanted[key]}
        for key in (*difference.added, *difference.changed)
    ]
    return written + [{"key": k, "body": None} for k in difference.removed]
