"""One host's share of an organisation's tokens, and when it has one.

The load: hundreds of entries spend one organisation's quota through the
control hosts, from less than one request a second over all of them to a
quarter of the fleet's requests.
"""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct

from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import VoterEvidence

# As old as this, evidence that a host is a voter is no longer used.
EVIDENCE_VALID_S = 4.5
# A change that makes shares larger waits until the evidence of any host that
# doesn't know of it has expired, on clocks that differ by a tenth in rate.
SETTLE_S = 5.0
# A share, and a host without one, may hold a whole token, or small shares
# could never grant a request.
MIN_CAPACITY = 1.0


class ShareSize(Struct, frozen=True):
    """How fast a share fills and how much it holds.

    Attributes:
        rate: tokens per second.
    """

    rate: float
    capacity: float


NO_SHARE = ShareSize(0.0, MIN_CAPACITY)
"""A host without a share keeps only the rest of what it borrowed."""


def compute_size(rate: float, burst: float, voters: int | None) -> ShareSize:
    """Return the size of one host's share.

    Args:
        rate: requests per second over the whole fleet.
        burst: requests beyond the rate at one time, over the whole fleet.
        voters: number of shares; None if this host has none.
    """
    if voters is None:
        return NO_SHARE
    return ShareSize(rate / voters, max(MIN_CAPACITY, burst / voters))


class TokenShare:
    """A token bucket that lends and borrows."""

    def __init__(self, size: ShareSize, now: Seconds) -> None:
        """Start with at most one token, and without one if there's no rate.

        A host that restarts often must not fill the bucket each time.
        """
        self._size = size
        self._tokens = MIN_CAPACITY if size.rate else 0.0
        self._updated_at = now

    @property
    def size(self) -> ShareSize:
        """How fast the share fills and how much it holds."""
        return self._size

    def get_tokens(self, now: Seconds) -> float:
        """Return the tokens at a time."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        capacity = max(self._size.capacity, self._tokens)
        filled = self._tokens + self._size.rate * elapsed
        self._tokens = min(capacity, filled)
        return self._tokens

    def resize(self, size: ShareSize, now: Seconds) -> None:
        """Change the size; a smaller one takes effect on the tokens, too.

        A host that gets or loses its share doesn't keep tokens of before.
        """
        if size == self._size:
            return
        tokens = self.get_tokens(now)
        if not size.rate:
            tokens = 0.0
        elif not self._size.rate:
            tokens = MIN_CAPACITY
        self._size = size
        self._tokens = min(tokens, size.capacity)

    def try_take(self, now: Seconds) -> bool:
        """Take a whole token, if there is one."""
        # Tokens that were lent in parts must sum to a whole one again.
        if self.get_tokens(now) < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def lend(self, tokens: float, now: Seconds) -> float:
        """Take up to a number of tokens, also a part of one."""
        if not math.isfinite(tokens) or tokens <= 0.0:
            return 0.0
        lent = min(tokens, self.get_tokens(now))
        self._tokens -= lent
        return lent

    def lend_whole(self, tokens: float, now: Seconds) -> float:
        """Take up to a number of whole tokens."""
        if not math.isfinite(tokens) or tokens <= 0.0:
            return 0.0
        available = math.floor(self.get_tokens(now) + 1e-9)
        lent = float(min(math.floor(tokens), available))
        self._tokens = max(0.0, self._tokens - lent)
        return lent

    def deposit(self, tokens: float, now: Seconds) -> None:
        """Add borrowed tokens; `trim` removes what exceeds the capacity."""
        self._tokens = self.get_tokens(now) + tokens

    def trim(self) -> None:
        """Remove tokens beyond the capacity."""
        self._tokens = min(self._tokens, self._size.capacity)

    def __repr__(self) -> str:
        return f"<TokenShare [{self._tokens:.2f} of {self._size.capacity}]>"


class SettledVoters:
    """The number of shares to divide a quota by, if this host has one.

    All times are on the boot-time clock of this host. Evidence states what was
    true at a time, so only these times are compared: a host that was frozen
    for a while can't take the time for evidence.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._newest: VoterEvidence | None = None
        self._voter_since = Seconds(math.inf)
        self._history: deque[VoterEvidence] = deque()

    @property
    def newest(self) -> VoterEvidence | None:
        """The newest evidence, None without any."""
        return self._newest

    def record(self, evidence: VoterEvidence) -> None:
        """Record what the leader confirmed; older evidence is ignored."""
        newest = self._newest
        if newest is not None and evidence.confirmed_at < newest.confirmed_at:
            return
        is_voter = evidence.is_voter and evidence.voters > 0
        if is_voter and evidence.is_settled:
            self._newest = evidence
            self._voter_since = Seconds(-math.inf)
            self._history = deque((evidence,))
            return
        is_gap = (
            newest is None
            or evidence.confirmed_at - newest.confirmed_at > EVIDENCE_VALID_S
        )
        if is_gap or not is_voter:
            # It may have been replaced in the meantime.
            self._voter_since = Seconds(math.inf)
            self._history.clear()
        self._newest = evidence
        if not is_voter:
            return
        self._voter_since = min(self._voter_since, evidence.confirmed_at)
        if not self._history or self._history[-1].voters != evidence.voters:
            self._history.append(evidence)
        # Each item is the first evidence with its number of voters. The one
        # before it may have been true until then.
        settled_at = evidence.confirmed_at - SETTLE_S
        while len(self._history) > 1 and (
            self._history[1].confirmed_at <= settled_at
        ):
            self._history.popleft()

    def get_voters(self, now: Seconds) -> int | None:
        """Return the number of shares, None if this host has none."""
        newest = self._newest
        if newest is None or now - newest.confirmed_at > EVIDENCE_VALID_S:
            return None
        if now - self._voter_since < SETTLE_S:
            return None
        return max(evidence.voters for evidence in self._history)

    def __repr__(self) -> str:
        return f"<SettledVoters [{self._newest}]>"
