"""Which voters to ask for tokens, and for how many.

The load: an organisation that sends less than one request a second to six
voters in three regions 30 ms apart, so that no share has a whole token, and
one that sends many times its limit, for which no share has any.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from wasabitray_core.ids import HostId, Seconds
from wasabitray_core.quotas.times import MAX_RETRY_S

# A voter that responds in less is asked before those that are farther away.
NEAR_S = 0.01
# A voter that doesn't respond is not asked for this long.
SKIP_S = 1.0
# A voter whose share was empty is not asked for this long at least.
MIN_EMPTY_S = 0.05
_NEWEST_WEIGHT = 0.25


class Ask(Struct, frozen=True):
    """How many tokens to ask a voter for."""

    voter: HostId
    tokens: float


class Lenders:
    """The other voters, with their response times."""

    def __init__(self, host: HostId) -> None:
        """Start without voters; `host` is this host, which is none."""
        self._host = host
        self._voters: tuple[HostId, ...] = ()
        self._turn = 0
        self._times: dict[HostId, float] = {}
        self._skipped_until: dict[HostId, Seconds] = {}

    @property
    def voters(self) -> tuple[HostId, ...]:
        """The other voters."""
        return self._voters

    def replace(self, voters: Iterable[HostId]) -> None:
        """Replace the voters of the control group."""
        self._voters = tuple(v for v in voters if v != self._host)
        known = frozenset(self._voters)
        for facts in (self._times, self._skipped_until):
            for host in facts.keys() - known:
                del facts[host]

    def record_reply(self, voter: HostId, elapsed: float) -> None:
        """Record the response time of a voter."""
        if voter in self._voters:
            self._skipped_until.pop(voter, None)
            usual = self._times.get(voter, elapsed)
            self._times[voter] = usual + _NEWEST_WEIGHT * (elapsed - usual)

    def record_silence(
        self, voter: HostId, now: Seconds, skip_s: float = SKIP_S
    ) -> None:
        """Record that a voter did not respond in time."""
        if voter in self._voters:
            self._skipped_until[voter] = Seconds(now + skip_s)

    def is_skipped(self, voter: HostId, now: Seconds) -> bool:
        """Return whether a voter did not respond a moment ago."""
        return self._skipped_until.get(voter, now) > now

    def plan_asks(
        self,
        need: float,
        spare: float,
        empty: dict[HostId, Seconds],
        is_last: bool,
        now: Seconds,
    ) -> tuple[Ask, ...]:
        """Return whom to ask next and for how much; empty if nobody is left.

        The voters near this host are asked first, and the others all at once,
        each for a part.

        Args:
            need: tokens that are missing.
            spare: tokens beyond these that this host can keep. They are asked
                of several voters, since some of them may have less than a
                part.
            empty: until when each voter's share is taken for empty.
            is_last: whether nobody is asked later for the same need.
            now: the current time.
        """
        candidates = [
            voter
            for voter in self._voters
            if self._skipped_until.get(voter, now) <= now
            and empty.get(voter, now) <= now
        ]
        near = [v for v in candidates if self._times.get(v, 1.0) < NEAR_S]
        chosen = near or self._choose_distant(candidates, is_last)
        total = need + spare
        return tuple(Ask(v, total / len(chosen)) for v in chosen)

    def _choose_distant(
        self, candidates: list[HostId], is_last: bool
    ) -> list[HostId]:
        """Return half of the voters, in turn, or all of them at last."""
        if is_last:
            return candidates
        self._turn += 1
        turn = self._turn % max(1, len(candidates))
        count = (len(candidates) + 1) // 2
        return (candidates[turn:] + candidates[:turn])[:count]

    def __repr__(self) -> str:
        return f"<Lenders [{len(self._voters)}]>"


class RetrySchedule:
    """Times at which refused requests may fit, one after the other."""

    def __init__(self) -> None:
        """Start without refused requests."""
        self._last = Seconds(0.0)

    def plan_retry(
        self, missing: float, rate: float, voters: int, now: Seconds
    ) -> float:
        """Return the seconds after which a refused request may fit.

        Each share spreads the requests that it refuses over its own part of
        the rate, so that they don't return together.

        Args:
            missing: part of a token that no share had.
            rate: tokens per second of all shares.
            voters: number of shares.
            now: the current time.
        """
        # Nobody is asked for a token sooner than this.
        fits_at = now + max(MIN_EMPTY_S, missing / rate)
        if self._last > now:
            fits_at = max(fits_at, self._last + voters / rate)
        self._last = Seconds(min(fits_at, now + MAX_RETRY_S))
        return self._last - now
