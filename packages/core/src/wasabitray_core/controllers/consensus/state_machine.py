"""The configuration as the replicated log builds it."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque

from result import Err, Ok, Result

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
    CommittedChange,
    DocumentEdit,
    Members,
    Snapshot,
)
from wasabitray_core.route_table import get_table_version

KEPT_ANSWERS = 10_000
KEPT_CHANGES = 512


def digest_of(change: Change) -> str:
    """Return a digest of what a change does."""
    digest = hashlib.sha256()
    for edit in change.edits:
        body = "-" if edit.body is None else "+" + edit.body
        for text in (edit.key, body):
            digest.update(f"{len(text)}:{text}".encode())
    return digest.hexdigest()


class ConfigurationStateMachine:
    """Applies committed changes in order.

    The answer to each change id is kept, so that a resent change gets its
    first answer from any leader, also after a snapshot.
    """

    def __init__(self) -> None:
        """Start with an empty configuration at revision 0."""
        self._revision = Revision(0)
        self._documents: dict[str, str] = {}
        self._version = ConfigVersion(0)
        self._answered: OrderedDict[ChangeId, AnsweredChange] = OrderedDict()
        self._recent: deque[CommittedChange] = deque(maxlen=KEPT_CHANGES)

    @property
    def revision(self) -> Revision:
        """The newest committed revision."""
        return self._revision

    @property
    def version(self) -> ConfigVersion:
        """The operator's number of the newest route table, 0 if none."""
        return self._version

    @property
    def documents(self) -> dict[str, str]:
        """The documents by key."""
        return self._documents

    @property
    def recent(self) -> tuple[CommittedChange, ...]:
        """The newest changes, oldest first."""
        return tuple(self._recent)

    @property
    def fleet(self) -> Fleet | None:
        """The fleet document, if there is one."""
        raw = self._documents.get(FLEET_KEY)
        return Fleet.model_validate_json(raw) if raw else None

    def find_answer(
        self, change: Change
    ) -> Result[Revision, WasabitrayError] | None:
        """Return what a change id got before, or None if it is new.

        A table whose version is not above the one in force changes nothing
        any more, so it gets the newest revision.
        """
        if change.version and change.version <= self._version:
            return Ok(self._revision)
        answered = self._answered.get(change.change)
        if answered is None:
            return None
        if answered.digest == digest_of(change):
            return Ok(answered.revision)
        detail = (
            f"change id {change.change} was used for revision "
            f"{answered.revision} with other content"
        )
        return Err(ConflictError(detail, step="propose"))

    def check(self, change: Change) -> Result[None, WasabitrayError]:
        """Check a new change against the newest state.

        A whole table was checked before its edits were made.
        """
        if change.version:
            return Ok(None)
        if change.expected != self._revision:
            detail = (
                f"change expects revision {change.expected}, "
                f"the newest is {self._revision}"
            )
            return Err(ConflictError(detail, step="propose"))
        edited = _edit(self._documents, change.edits)
        touched = {edit.key for edit in change.edits}
        checked = validate_documents(edited, touched)
        faults = checked.err() or []
        if FLEET_KEY in touched and not faults:
            faults = self._check_fleet(edited)
        if faults:
            return Err(DocumentError("\n".join(faults), step="check change"))
        return Ok(None)

    def _check_fleet(self, edited: dict[str, str]) -> list[str]:
        old = self.fleet
        if old is None:
            return []
        if FLEET_KEY not in edited:
            return [f"{FLEET_KEY}: can't be deleted"]
        new = Fleet.model_validate_json(edited[FLEET_KEY])
        return validate_group_change(old, new)

    def apply(self, change: Change) -> CommittedChange | None:
        """Apply a committed change; None if it has no effect.

        A change that an earlier leader left in the log can meet a newer
        revision or its own resent copy; it is skipped then on all members.
        """
        if change.change in self._answered:
            return None
        if change.version:
            if change.version <= self._version:
                return None
        elif change.expected != self._revision:
            return None
        self._documents = _edit(self._documents, change.edits)
        self._version = get_table_version(self._documents)
        self._revision = Revision(self._revision + 1)
        committed = CommittedChange(self._revision, change)
        self._recent.append(committed)
        self._answered[change.change] = AnsweredChange(
            change.change, digest_of(change), self._revision
        )
        if len(self._answered) > KEPT_ANSWERS:
            self._answered.popitem(last=False)
        return committed

    def snapshot(
        self, index: LogIndex, term: Term, members: Members
    ) -> Snapshot:
        """Return all state as of a log index."""
        return Snapshot(
            index,
            term,
            members,
            self._revision,
            dict(self._documents),
            tuple(self._answered.values()),
            self.recent,
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Replace all state by a snapshot's."""
        self._revision = snapshot.revision
        self._documents = dict(snapshot.documents)
        self._version = get_table_version(self._documents)
        self._answered = OrderedDict((a.change, a) for a in snapshot.answered)
        self._recent = deque(snapshot.recent, maxlen=KEPT_CHANGES)


def _edit(
    documents: dict[str, str], edits: tuple[DocumentEdit, ...]
) -> dict[str, str]:
    edited = dict(documents)
    for edit in edits:
        if edit.body is None:
            edited.pop(edit.key, None)
        else:
            edited[edit.key] = edit.body
    return edited
