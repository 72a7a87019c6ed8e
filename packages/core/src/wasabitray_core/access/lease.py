"""Decides whether a configuration is current enough to accept its keys."""

from __future__ import annotations

import math
from collections import OrderedDict

from msgspec import Struct

from wasabitray_core.ids import HostId, Revision, Seconds

# Share of the revocation time that evidence isn't used for: it covers clocks
# whose rates differ by up to a tenth.
CLOCK_TOLERANCE = 0.1
# An entry's evidence is up to 1.3 s old before it is renewed, over links with
# a round trip of 60 ms.
MIN_REVOCATION_S = 2.0
# Evidence of one revision replaces older evidence of it, and it is renewed a
# few times a second, so only a burst of changes reaches this number.
MAX_EVIDENCE = 32
# More than are unanswered at a time: a new one is sent every 0.4 s.
MAX_UNANSWERED = 32


def get_lease_s(revocation_s: float) -> float:
    """Return how old evidence may be, for a time to revoke keys."""
    return revocation_s * (1.0 - CLOCK_TOLERANCE)


class ConfigEvidence(Struct, frozen=True):
    """Shows which revision was the newest committed one.

    Attributes:
        revision: a revision that was the newest committed one at some time
            not before `confirmed_at`.
        confirmed_at: reading of this host's boot-time clock.
    """

    revision: Revision
    confirmed_at: Seconds


class ConfigLease:
    """The evidence of an entry, and which revisions it may still use.

    A request that was resolved with a revision may run if evidence of that
    revision, or of an earlier one, isn't too old: then the revision is at
    least as new as the newest that was acknowledged before the evidence.
    """

    def __init__(self, lease_s: float) -> None:
        """Start without evidence.

        Args:
            lease_s: how old evidence may be.
        """
        self._lease_s = lease_s
        # In the order of both revision and time: evidence of a higher
        # revision that is not newer shows nothing more.
        self._evidence: list[ConfigEvidence] = []

    def add(self, added: ConfigEvidence) -> None:
        """Add evidence."""
        if any(
            e.revision <= added.revision
            and e.confirmed_at >= added.confirmed_at
            for e in self._evidence
        ):
            return
        kept = [
            e
            for e in self._evidence
            if e.revision < added.revision
            or e.confirmed_at > added.confirmed_at
        ]
        kept.append(added)
        kept.sort(key=lambda e: e.confirmed_at)
        self._evidence = kept[-MAX_EVIDENCE:]

    def covers(self, revision: Revision, now: Seconds) -> bool:
        """Return whether requests resolved with a revision may run."""
        return any(
            e.revision <= revision and now - e.confirmed_at <= self._lease_s
            for e in self._evidence
        )

    def is_valid(self, now: Seconds) -> bool:
        """Return whether there is evidence of any revision."""
        age = self.get_age(now)
        return age is not None and age <= self._lease_s

    def get_age(self, now: Seconds) -> float | None:
        """Return the age of the newest evidence, None without any."""
        if not self._evidence:
            return None
        return now - self._evidence[-1].confirmed_at

    @property
    def newest_revision(self) -> Revision:
        """Revision of the newest evidence, 0 without any."""
        return self._evidence[-1].revision if self._evidence else Revision(0)

    def __repr__(self) -> str:
        return f"<ConfigLease [revision {self.newest_revision}]>"


class _Unanswered(Struct, frozen=True):
    host: HostId
    sent_at: Seconds


class SentRequests:
    """Numbered requests without a reply, and when they were sent."""

    def __init__(self, first_number: int) -> None:
        """Start without requests.

        Args:
            first_number: number of the first request. It must be one that no
                earlier process of this host used: a late reply to that
                process would make old evidence look new.
        """
        self._next_number = first_number
        self._requests: OrderedDict[int, _Unanswered] = OrderedDict()

    def add(self, host: HostId, now: Seconds) -> int:
        """Store a request to a host; return its number."""
        number = self._next_number
        self._next_number += 1
        self._requests[number] = _Unanswered(host, now)
        while len(self._requests) > MAX_UNANSWERED:
            self._requests.popitem(last=False)
        return number

    def take(self, number: int, host: HostId | None) -> Seconds | None:
        """Remove a request that was answered; return when it was sent.

        Returns:
            The time, None if no such request was sent to the host.
        """
        request = self._requests.get(number)
        if request is None or request.host != host:
            return None
        del self._requests[number]
        return request.sent_at


def is_valid_age(age_s: float) -> bool:
    """Return whether a peer's statement of an age can be true."""
    return math.isfinite(age_s) and age_s >= 0.0
