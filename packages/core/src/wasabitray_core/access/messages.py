"""Messages between hosts about how current a configuration is."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.ids import Revision


class LeaseRequest(Struct, frozen=True):
    """Asks a hub how current its newest evidence is.

    Attributes:
        number: identifies the request at its sender.
    """

    number: int


class LeaseReply(Struct, frozen=True):
    """The hub's newest evidence.

    Attributes:
        number: number of the request.
        revision: revision that was the newest committed one.
        age_s: seconds, on the hub's boot-time clock, since it was.
    """

    number: int
    revision: Revision
    age_s: float


class RevisionQuery(Struct, frozen=True):
    """Asks the leader for the newest committed revision.

    Attributes:
        number: identifies the query at its sender.
    """

    number: int


class RevisionAnswer(Struct, frozen=True):
    """The newest committed revision at some time after the query arrived.

    Attributes:
        number: number of the query.
        voters: number of voters of the control group.
        is_voter: whether the host that asked is one of them.
        is_settled: whether the voters have been the same for so long that no
            host still relies on an earlier group.
    """

    number: int
    revision: Revision
    voters: int
    is_voter: bool
    is_settled: bool = False
