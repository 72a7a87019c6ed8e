"""The state machine that builds the configuration from the log."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from result import Err, Ok, Result

from wasabitray_core.controllers.consensus.history import ChangeHistory
from wasabitray_core.documents import (
    FLEET_KEY,
    Fleet,
    validate_documents,
    validate_group_change,
)
from wasabitray_core.errors import (
    ConflictError,
    DocumentError,
    WasabitrayError,
)
from wasabitray_core.ids import (
    ChangeId,
    ConfigVersion,
    LogIndex,
    Revision,
    Term,
)
from wasabitray_core.messages import (
    AnsweredChange,
    Change,
    ChangeSummary,
    CommittedChange,
    DocumentEdit,
    Members,
    Snapshot,
)
from wasabitray_core.route_table import VERSION_KEY, get_table_version

MAX_KEPT_RESULTS = 10_000


def compute_digest(change: Change) -> str:
    """Return a digest of a change's edits."""
    digest = hashlib.sha256()
    for edit in change.edits:
        body = "-" if edit.body is None else "+" + edit.body
        for text in (edit.key, body):
            digest.update(f"{len(text)}:{text}".encode())
    return digest.hexdigest()


class ConfigurationStateMachine:
    """Applies committed changes in order.

    The results of the newest changes are kept by change id, so that a change
    that is sent again gets its first result from any leader, also after a
    snapshot was restored.
    """

    def __init__(self) -> None:
        """Start with an empty configuration at revision 0."""
        self._revision = Revision(0)
        self._documents: dict[str, str] = {}
        self._version = ConfigVersion(0)
        self._results_by_change: OrderedDict[ChangeId, AnsweredChange] = (
            OrderedDict()
        )
        self._history = ChangeHistory()

    @property
    def revision(self) -> Revision:
        """The newest committed revision."""
        return self._revision

    @property
    def version(self) -> ConfigVersion:
        """The operator's version of the newest route table, 0 if none."""
        return self._version

    @property
    def documents(self) -> dict[str, str]:
        """The documents by key."""
        return self._documents

    @property
    def history(self) -> tuple[ChangeSummary, ...]:
        """The newest changes, oldest first."""
        return self._history.summaries

    @property
    def fleet(self) -> Fleet | None:
        """The fleet document, if there is one."""
        raw = self._documents.get(FLEET_KEY)
        return Fleet.model_validate_json(raw) if raw else None

    def has_overtaken(self, version: ConfigVersion) -> bool:
        """Return whether a route table of this version changes nothing."""
        return VERSION_KEY in self._documents and version <= self._version

    def find_previous_result(
        self, change: Change
    ) -> Result[Revision, WasabitrayError] | None:
        """Return the result of an earlier change with the same id, if any.

        Reusing the id with different edits is a conflict.
        """
        previous = self._results_by_change.get(change.change)
        if previous is None:
            return None
        if previous.digest == compute_digest(change):
            return Ok(previous.revision)
        detail = (
            f"change id {change.change} was already used for revision "
            f"{previous.revision} with different content"
        )
        return Err(ConflictError(detail, step="propose"))

    def validate(self, change: Change) -> Result[None, WasabitrayError]:
        """Check a new change of single documents against the newest state."""
        if change.expected != self._revision:
            detail = (
                f"change expects revision {change.expected}, "
                f"but the newest is {self._revision}"
            )
            return Err(ConflictError(detail, step="propose"))
        edited = _apply_edits(self._documents, change.edits)
        modified = {edit.key for edit in change.edits}
        checked = validate_documents(edited, modified)
        errors = checked.err() or []
        if FLEET_KEY in modified and not errors:
            errors = self._validate_fleet(edited)
        if errors:
            return Err(DocumentError("\n".join(errors), step="check change"))
        return Ok(None)

    def _validate_fleet(self, edited: dict[str, str]) -> list[str]:
        old = self.fleet
        if old is None:
            return []
        if FLEET_KEY not in edited:
            return [f"{FLEET_KEY}: the fleet document can't be deleted"]
        new = Fleet.model_validate_json(edited[FLEET_KEY])
        return validate_group_change(old, new)

    def apply(self, change: Change) -> CommittedChange | None:
        """Apply a committed change; return None if it has no effect.

        A change that an earlier leader left in the log may come after a
        newer revision, or after another copy of it that was sent again. All
        members skip it then.
        """
        if change.change in self._results_by_change:
            return None
        if change.version:
            if change.version <= self._version:
                return None
        elif change.expected != self._revision:
            return None
        self._documents = _apply_edits(self._documents, change.edits)
        self._version = get_table_version(self._documents)
        self._revision = Revision(self._revision + 1)
        committed = CommittedChange(self._revision, change)
        self._history.add(committed)
        self._results_by_change[change.change] = AnsweredChange(
            change.change, compute_digest(change), self._revision
        )
        if len(self._results_by_change) > MAX_KEPT_RESULTS:
            self._results_by_change.popitem(last=False)
        return committed

    def snapshot(
        self, index: LogIndex, term: Term, members: Members
    ) -> Snapshot:
        """Return a snapshot of the state as of a log index."""
        return Snapshot(
            index,
            term,
            members,
            self._revision,
            dict(self._documents),
            tuple(self._results_by_change.values()),
            history=self.history,
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace all state with a snapshot's."""
        self._revision = snapshot.revision
        self._documents = dict(snapshot.documents)
        self._version = get_table_version(self._documents)
        self._results_by_change = OrderedDict(
            (a.change, a) for a in snapshot.answered
        )
        self._history = ChangeHistory(snapshot.history)
        for committed in snapshot.recent:
            self._history.add(committed)


def _apply_edits(
    documents: dict[str, str], edits: tuple[DocumentEdit, ...]
) -> dict[str, str]:
    edited = dict(documents)
    for edit in edits:
        if edit.body is None:
            edited.pop(edit.key, None)
        else:
            edited[edit.key] = edit.body
    return edited
