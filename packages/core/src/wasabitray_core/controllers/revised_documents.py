"""Documents that know the revision of their last change."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wasabitray_core.ids import Revision
from wasabitray_core.messages import DocumentEdit
from wasabitray_core.sizes import get_size

# Keys of removed documents are kept up to this size.
MAX_REMOVED_BYTES = 262_144


class RevisedDocuments:
    """The documents of a configuration, with what changed since a revision.

    The state at a revision and the merged edits since an earlier one are all
    that other hosts need, whatever the number of changes in between.
    """

    def __init__(self) -> None:
        """Start without documents at revision 0."""
        self._revision = Revision(0)
        self._documents: dict[str, str] = {}
        # Both in the order of the revisions.
        self._changed: dict[str, Revision] = {}
        self._removed: dict[str, Revision] = {}
        self._removed_bytes = 0
        self._oldest_known = Revision(0)

    @property
    def revision(self) -> Revision:
        """The revision of the documents."""
        return self._revision

    @property
    def documents(self) -> Mapping[str, str]:
        """The documents by key."""
        return self._documents

    def apply(self, revision: Revision, edits: Iterable[DocumentEdit]) -> None:
        """Advance to a revision.

        Args:
            revision: the new revision.
            edits: the documents that differ, and those removed.
        """
        self._revision = revision
        for edit in edits:
            self._changed.pop(edit.key, None)
            self._forget_removed(edit.key)
            if edit.body is None:
                self._documents.pop(edit.key, None)
                self._removed[edit.key] = revision
                self._removed_bytes += get_size(edit.key)
            else:
                self._documents[edit.key] = edit.body
                self._changed[edit.key] = revision
        self._limit_removed()

    def replace(
        self, revision: Revision, documents: Mapping[str, str]
    ) -> None:
        """Replace all documents by those of a revision."""
        self._revision = self._oldest_known = revision
        self._documents = dict(documents)
        self._changed.clear()
        self._removed.clear()
        self._removed_bytes = 0

    def find_edits_after(
        self, revision: Revision
    ) -> tuple[DocumentEdit, ...] | None:
        """Return the merged edits since a revision.

        Returns:
            None if the changes since then aren't known, or if the documents
            as a whole are no larger.
        """
        if revision < self._oldest_known:
            return None
        changed = _find_keys_after(self._changed, revision)
        if len(changed) == len(self._documents):
            return None
        removed = _find_keys_after(self._removed, revision)
        return (
            *(DocumentEdit(key, self._documents[key]) for key in changed),
            *(DocumentEdit(key, None) for key in removed),
        )

    def _limit_removed(self) -> None:
        """Forget the oldest removals if there are too many."""
        while self._removed_bytes > MAX_REMOVED_BYTES:
            key = next(iter(self._removed))
            self._oldest_known = self._removed[key]
            self._forget_removed(key)

    def _forget_removed(self, key: str) -> None:
        if self._removed.pop(key, None) is not None:
            self._removed_bytes -= get_size(key)

    def __repr__(self) -> str:
        return f"<RevisedDocuments [{self._revision}]>"


def _find_keys_after(
    revisions: dict[str, Revision], revision: Revision
) -> list[str]:
    """Return the keys with a later revision, the newest ones first."""
    keys = []
    for key in reversed(revisions):
        if revisions[key] <= revision:
            break
        keys.append(key)
    return keys
