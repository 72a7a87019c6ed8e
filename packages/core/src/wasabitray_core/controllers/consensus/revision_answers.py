"""The leader's answers to hosts that ask for the newest revision."""

from __future__ import annotations

import math

from wasabitray_core.access.messages import RevisionAnswer, RevisionQuery
from wasabitray_core.ids import HostId, Revision, Seconds
from wasabitray_core.messages import Member, Members

# Ten times the queries of 11 control hosts in the second after which a leader
# without a majority steps down. A query beyond it gets no answer.
MAX_PENDING_READS = 256
# Evidence of an earlier group is used for up to 4.5 s; the rest covers clocks
# that differ by a tenth in rate.
SETTLE_S = 5.0


class VoterHistory:
    """Since when a member knows the committed voters.

    What the group was before the member's process started is not known. A
    change just before that, while a host that was removed by it is cut off
    and keeps running, is not noticed.
    """

    def __init__(self) -> None:
        """Start without voters."""
        self._voters: tuple[Member, ...] | None = None
        self._changed_at = Seconds(-math.inf)

    def record(self, members: Members, now: Seconds) -> None:
        """Record the committed group."""
        if members.voters == self._voters:
            return
        if self._voters is not None:
            self._changed_at = now
        self._voters = members.voters

    def is_settled(self, now: Seconds) -> bool:
        """Return whether the voters have been the same for long enough."""
        return now - self._changed_at >= SETTLE_S


def build_revision_answer(
    query: RevisionQuery,
    host: HostId,
    revision: Revision,
    members: Members,
    is_settled: bool = False,
) -> RevisionAnswer:
    """Return the answer to a query that a majority has confirmed.

    Args:
        query: the query.
        host: the host that asked.
        revision: the newest committed revision.
        members: the committed group.
        is_settled: whether the voters have been the same for a while.
    """
    return RevisionAnswer(
        query.number,
        revision,
        len(members.voters),
        any(m.host == host for m in members.voters),
        is_settled,
    )
