"""A control host's shares of the organisations' quotas."""

from __future__ import annotations

import math
from collections import deque
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct, field

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import HostId, OrganisationName, Seconds
from wasabitray_core.local_messages import (
    ControllerName,
    GetStatus,
    GroupContact,
    QuotaLimits,
    Tick,
    VoterEvidence,
)
from wasabitray_core.organisation_policy import OrganisationPolicy
from wasabitray_core.quotas.counters import QuotaCounters
from wasabitray_core.quotas.lenders import (
    MIN_EMPTY_S,
    Lenders,
    RetrySchedule,
)
from wasabitray_core.quotas.limits import (
    Bucket,
    QuotaBound,
    compute_bucket,
    compute_plain_bucket,
)
from wasabitray_core.quotas.messages import (
    BorrowReply,
    BorrowRequest,
    QuotaReply,
    QuotaRequest,
)
from wasabitray_core.quotas.owners import (
    MIN_SHARED_BURST,
    OWNER_SKIP_S,
    Owners,
    compute_owner_size,
    compute_reserve_size,
)
from wasabitray_core.quotas.shares import (
    NO_SHARE,
    SettledVoters,
    ShareSize,
    TokenShare,
    compute_size,
)
from wasabitray_core.quotas.times import MAX_RETRY_S, QuotaTimes
from wasabitray_core.states import QuotaDecision

IDLE_INTERVAL_S = 0.5
MIN_INTERVAL_S = 0.005
# Entries may ask this long for an organisation whose limit was removed.
FORGET_AFTER_S = 10.0
# The near voters, some of the others and the rest. Without a whole token from
# these, one is hardly anywhere, and a fourth round takes too long.
MAX_ROUNDS = 3
# Voters that lend less than this share of what is missing have little left.
SHORT_SHARE = 0.5
# An entry gives up sooner; more requests at one time exceed any limit.
MAX_WAITING = 4_096


class _Waiting(Struct, frozen=True):
    """An entry's request that waits for borrowed tokens."""

    entry: HostId
    number: int
    since: Seconds


class _Account(Struct):
    """An organisation's share at this host.

    Attributes:
        bucket: the bucket over the whole fleet.
        has_owner: whether one host keeps all of it.
        waiting: requests in the order of arrival.
        loans: number of loans that were requested and not received yet.
        empty_until: until when each voter's share is taken for empty.
        rounds: how often voters were asked since the last request was granted
            or refused.
        short_rounds: how often in turn they lent less than half the need.
        missing: tokens missing when voters were last asked.
        lent: tokens that they have lent since.
        heard_at: when a voter last responded.
        exhausted_until: until when all shares together have less than a
            token, as far as voters responded.
        is_exhausted: whether any of them did.
        removed_at: when its limit was removed, infinity if it has one.
        reserve: tokens for the time in which the quota's owner is silent.
    """

    name: OrganisationName
    bucket: Bucket
    has_owner: bool
    share: TokenShare
    waiting: deque[_Waiting] = field(default_factory=deque)
    loans: int = 0
    empty_until: dict[HostId, Seconds] = field(default_factory=dict)
    rounds: int = 0
    short_rounds: int = 0
    missing: float = 0.0
    lent: float = 0.0
    heard_at: Seconds = Seconds(-math.inf)
    exhausted_until: Seconds = Seconds(-math.inf)
    is_exhausted: bool = False
    removed_at: Seconds = Seconds(math.inf)
    retries: RetrySchedule = field(default_factory=RetrySchedule)
    reserve: TokenShare | None = None


class _Loan(Struct, frozen=True):
    """A loan that was requested.

    Attributes:
        tokens: tokens asked for.
    """

    account: _Account
    voter: HostId
    tokens: float
    sent_at: Seconds


class QuotaShareController(Controller):
    """Grants tokens of this host's shares, borrows and lends them.

    A lender subtracts what it lends before it replies, and a borrower uses
    only a loan that arrives in time, so a lost or late message loses tokens
    and never creates any.
    """

    name: ClassVar[ControllerName] = ControllerName.QUOTAS

    def __init__(
        self,
        context: Context,
        times: QuotaTimes,
        first_number: int,
        bound: QuotaBound | None = None,
        min_shared_burst: float = MIN_SHARED_BURST,
    ) -> None:
        """Start without limits and without a share.

        Args:
            context: shared by all controllers. Its clock must be that of the
                evidence, which continues while the host is suspended.
            times: how long loans are used and requests wait.
            first_number: higher than any number of an earlier process.
            bound: what is allowed beyond a limit; without it, there is no
                reserve for the time in which an owner is silent.
            min_shared_burst: burst from which on a quota is kept in shares.
        """
        super().__init__(context)
        self._times = times
        self._number = first_number
        self._voters = SettledVoters()
        self._shares: int | None = None
        self._accounts: dict[OrganisationName, _Account] = {}
        self._lenders = Lenders(context.host)
        self._owners = Owners(context.host)
        self._bound = bound
        self._min_shared_burst = min_shared_burst
        self._loans: dict[int, _Loan] = {}
        self._counters = QuotaCounters()

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds until a loan or a waiting request is due."""
        if not self._loans:
            return IDLE_INTERVAL_S
        due_at = min(self._find_due(loan) for loan in self._loans.values())
        return min(IDLE_INTERVAL_S, max(MIN_INTERVAL_S, due_at - self._now()))

    def _find_due(self, loan: _Loan) -> Seconds:
        """Return when a loan expires or the request that waits for it does."""
        if loan.account.has_owner:
            is_reserved = self._has_reserve(loan.account, self._now())
            times = self._times
            wait_s = times.loan_s if is_reserved else times.gather_s
            return Seconds(loan.sent_at + wait_s)
        due_at = loan.sent_at + self._times.loan_s
        if loan.account.waiting:
            since = loan.account.waiting[0].since
            due_at = min(due_at, since + self._times.gather_s)
        return Seconds(due_at)

    def get_size(self, organisation: OrganisationName) -> ShareSize:
        """Return the size of this host's share of a limited organisation."""
        self._review_share()
        return self._accounts[organisation].share.size

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    # What is known about the group and the limits

    @receive.register
    def _(self, message: VoterEvidence, origin: Origin) -> None:
        self._voters.record(message)
        self._review_share()

    @receive.register
    def _(self, message: GroupContact, origin: Origin) -> None:
        self._lenders.replace(message.voters)
        now = self._now()
        if self._owners.replace(message.voters, now):
            for account in self._accounts.values():
                self._resize(account, now)

    @receive.register
    def _(self, message: QuotaLimits, origin: Origin) -> None:
        now = self._now()
        self._review_share()
        limited = {OrganisationName(p.name): p for p in message.policies}
        for name, account in self._accounts.items():
            if name not in limited and account.removed_at == math.inf:
                account.removed_at = now
        for name, policy in limited.items():
            self._set_limit(name, policy, now)

    def _set_limit(
        self, name: OrganisationName, policy: OrganisationPolicy, now: Seconds
    ) -> None:
        rate, burst = policy.rate_per_s or 0.0, policy.burst or 0.0
        bucket = (
            compute_bucket(rate, burst, self._bound)
            if self._bound is not None
            else compute_plain_bucket(rate, burst)
        )
        has_owner = burst < self._min_shared_burst
        account = self._accounts.get(name)
        if account is None:
            share = TokenShare(NO_SHARE, now)
            account = _Account(name, bucket, has_owner, share)
            self._accounts[name] = account
        if bucket != account.bucket:
            account.exhausted_until = Seconds(-math.inf)
        account.bucket, account.has_owner = bucket, has_owner
        account.removed_at = Seconds(math.inf)
        self._resize(account, now)

    def _is_owner(self, account: _Account, now: Seconds) -> bool:
        """Return whether this host keeps an organisation's whole quota."""
        return self._shares is not None and self._owners.is_own(
            account.name, now
        )

    def _resize(self, account: _Account, now: Seconds) -> None:
        """Set the size of what this host has of a quota."""
        bucket = account.bucket
        if not account.has_owner:
            size = compute_size(bucket.rate, bucket.capacity, self._shares)
        elif self._is_owner(account, now):
            size = compute_owner_size(bucket)
        else:
            size = NO_SHARE
        account.share.resize(size, now)
        self._resize_reserve(account, now)

    def _resize_reserve(self, account: _Account, now: Seconds) -> None:
        size = None
        if self._shares and account.has_owner:
            size = compute_reserve_size(account.bucket, self._owners.count)
        if size is None:
            account.reserve = None
        elif account.reserve is None:
            account.reserve = TokenShare(size, now)
        else:
            account.reserve.resize(size, now)

    def _review_share(self) -> None:
        """Apply the number of shares, which changes with time, too."""
        now = self._now()
        voters = self._voters.get_voters(now)
        if voters == self._shares:
            return
        before, self._shares = self._shares, voters
        for account in self._accounts.values():
            self._resize(account, now)
            account.exhausted_until = Seconds(-math.inf)
        newest = self._voters.newest
        self._outbox.log_event(
            "quota share lost" if voters is None else "quota share valid",
            voters=voters,
            before=before,
            evidence_age_s=(
                round(now - newest.confirmed_at, 3) if newest else None
            ),
            is_voter=newest.is_voter if newest else None,
        )

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        self._review_share()
        due = [i for i in self._loans.items() if self._find_due(i[1]) <= now]
        for number, loan in due:
            if loan.account.has_owner:
                self._end_loan(number, loan)
                self._lenders.record_silence(loan.voter, now, OWNER_SKIP_S)
                if loan.account.waiting:
                    self._decide_without_owner(loan.account, now)
                continue
            if now - loan.sent_at >= self._times.loan_s:
                self._end_loan(number, loan)
                self._lenders.record_silence(loan.voter, now)
            self._advance(loan.account, now)
        for name, account in list(self._accounts.items()):
            if now - account.removed_at > FORGET_AFTER_S:
                del self._accounts[name]

    # Requests of entries

    @receive.register
    def _(self, message: QuotaRequest, origin: Origin) -> None:
        assert origin.peer is not None
        now = self._now()
        self._review_share()
        account = self._accounts.get(message.organisation)
        if account is None:
            reply = QuotaReply(message.number, QuotaDecision.UNKNOWN, 0.0)
            self._outbox.send(origin.peer, reply)
            return
        account.waiting.append(_Waiting(origin.peer, message.number, now))
        if account.has_owner:
            self._advance_owned(account, now)
        else:
            self._advance(account, now)

    def _advance_owned(self, account: _Account, now: Seconds) -> None:
        """Decide about the requests that wait, or ask the owner."""
        self._resize(account, now)
        if self._is_owner(account, now):
            while account.waiting:
                self._decide_by(account.share, account, now)
            return
        owner = self._owners.find(account.name)
        while len(account.waiting) > account.loans:
            if owner is None or owner == self.host:
                self._decide_without_owner(account, now)
                continue
            is_silent = self._lenders.is_skipped(owner, now)
            if is_silent and self._has_reserve(account, now):
                self._decide_without_owner(account, now)
            else:
                self._request_loan(account, owner, 1.0, now)

    @staticmethod
    def _has_reserve(account: _Account, now: Seconds) -> bool:
        reserve = account.reserve
        return reserve is not None and reserve.get_tokens(now) >= 1.0

    def _decide_by(
        self, share: TokenShare, account: _Account, now: Seconds
    ) -> None:
        """Grant or refuse the first request that waits."""
        if share.try_take(now):
            self._decide(account, QuotaDecision.GRANTED)
        else:
            self._refuse_first(account, share, now)

    def _refuse_first(
        self, account: _Account, share: TokenShare, now: Seconds
    ) -> None:
        missing = max(0.0, 1.0 - share.get_tokens(now))
        retry_after_s = account.retries.plan_retry(
            missing, account.bucket.rate, self._shares or 1, now
        )
        self._decide(account, QuotaDecision.EXCEEDED, retry_after_s)

    def _decide_without_owner(self, account: _Account, now: Seconds) -> None:
        """Decide about the first request that waits while nobody responds."""
        if account.reserve is not None and account.reserve.try_take(now):
            self._decide(account, QuotaDecision.GRANTED)
        else:
            self._decide(account, QuotaDecision.UNKNOWN)

    def _advance(self, account: _Account, now: Seconds) -> None:
        """Grant, refuse or borrow for the requests that wait."""
        while account.waiting and account.share.try_take(now):
            self._decide(account, QuotaDecision.GRANTED)
        oldest_since = now - self._times.gather_s
        while account.waiting and (
            account.waiting[0].since <= oldest_since
            or len(account.waiting) > MAX_WAITING
        ):
            self._decide(account, QuotaDecision.UNKNOWN)
        if account.waiting and not account.loans:
            self._borrow(account, now)
            if not account.loans:
                self._refuse_waiting(account, now)
        if not account.waiting:
            account.rounds = account.short_rounds = 0
            account.missing = account.lent = 0.0
            account.share.trim()

    def _decide(
        self,
        account: _Account,
        decision: QuotaDecision,
        retry_after_s: float = 0.0,
    ) -> None:
        """Reply to the first request that waits."""
        account.rounds = 0
        request = account.waiting.popleft()
        reply = QuotaReply(request.number, decision, retry_after_s)
        self._outbox.send(request.entry, reply)
        self._counters.add(account.name, decision.name.lower())

    def _refuse_waiting(self, account: _Account, now: Seconds) -> None:
        """Refuse requests after nobody was left who might lend."""
        missing = max(0.0, 1.0 - account.share.get_tokens(now))
        if now >= account.exhausted_until:
            pause = min(MAX_RETRY_S, missing / account.bucket.rate)
            pause = max(MIN_EMPTY_S, pause)
            account.exhausted_until = Seconds(now + pause)
            account.is_exhausted = (
                now - account.heard_at <= self._times.gather_s
            )
        is_known = self._shares is not None or account.is_exhausted
        while account.waiting:
            if not is_known:
                self._decide(account, QuotaDecision.UNKNOWN)
                continue
            retry_after_s = account.retries.plan_retry(
                missing, account.bucket.rate, self._shares or 1, now
            )
            self._decide(account, QuotaDecision.EXCEEDED, retry_after_s)

    # Loans

    def _borrow(self, account: _Account, now: Seconds) -> None:
        """Request loans for the requests that wait, if anybody may lend."""
        is_short = account.lent < SHORT_SHARE * account.missing
        account.short_rounds = account.short_rounds + 1 if is_short else 0
        rounds = max(account.rounds, account.short_rounds)
        if rounds >= MAX_ROUNDS or now < account.exhausted_until:
            return
        account.rounds += 1
        need = len(account.waiting) - account.share.get_tokens(now)
        account.missing, account.lent = need, 0.0
        asks = self._lenders.plan_asks(
            need,
            0.0,
            account.empty_until,
            rounds == MAX_ROUNDS - 1,
            now,
        )
        for ask in asks:
            self._request_loan(account, ask.voter, ask.tokens, now)

    def _request_loan(
        self, account: _Account, voter: HostId, tokens: float, now: Seconds
    ) -> None:
        self._number += 1
        self._loans[self._number] = _Loan(account, voter, tokens, now)
        account.loans += 1
        request = BorrowRequest(self._number, account.name, tokens)
        self._outbox.send(voter, request)

    @receive.register
    def _(self, message: BorrowRequest, origin: Origin) -> None:
        assert origin.peer is not None
        self._review_share()
        account = self._accounts.get(message.organisation)
        if account is None or self._shares is None:
            return  # the borrower asks others
        now = self._now()
        if not account.has_owner:
            lent = account.share.lend(message.tokens, now)
        elif self._is_owner(account, now):
            self._resize(account, now)
            lent = account.share.lend_whole(message.tokens, now)
        else:
            return  # the borrower uses its reserve
        self._counters.add(account.name, "lent", lent)
        self._outbox.send(origin.peer, BorrowReply(message.number, lent))

    @receive.register
    def _(self, message: BorrowReply, origin: Origin) -> None:
        loan = self._loans.get(message.number)
        now = self._now()
        if loan is None or loan.voter != origin.peer:
            return
        account = loan.account
        if account.has_owner:
            self._end_loan(message.number, loan)
            self._lenders.record_reply(loan.voter, now - loan.sent_at)
            self._apply_decision(account, message.tokens >= 1.0, now)
            return
        if now - loan.sent_at >= self._times.loan_s:
            return  # the tokens have expired; the next tick ends the loan
        self._end_loan(message.number, loan)
        account.heard_at = now
        self._lenders.record_reply(loan.voter, now - loan.sent_at)
        tokens = message.tokens if math.isfinite(message.tokens) else 0.0
        tokens = min(max(0.0, tokens), loan.tokens)
        # A later request must not get a token that was subtracted before it
        # was sent.
        older = sum(w.since <= loan.sent_at for w in account.waiting)
        account.share.deposit(min(tokens, older), now)
        account.lent += tokens
        self._counters.add(account.name, "borrowed", tokens)
        if tokens < loan.tokens:
            account.empty_until[loan.voter] = Seconds(now + MIN_EMPTY_S)
        self._advance(account, now)

    def _apply_decision(
        self, account: _Account, is_granted: bool, now: Seconds
    ) -> None:
        """Apply the owner's decision to the first request that waits."""
        if not account.waiting:
            return  # it was decided otherwise in the meantime
        if is_granted:
            self._counters.add(account.name, "borrowed", 1.0)
            self._decide(account, QuotaDecision.GRANTED)
        else:
            self._refuse_first(account, account.share, now)

    def _end_loan(self, number: int, loan: _Loan) -> None:
        del self._loans[number]
        loan.account.loans -= 1

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        now = self._now()
        newest = self._voters.newest
        self._reply(
            origin,
            {
                "shares": self._shares,
                "evidence_age_s": (
                    round(now - newest.confirmed_at, 3) if newest else None
                ),
                "lenders": list(self._lenders.voters),
                "organisations": len(self._accounts),
                "counters": self._counters.describe(),
            },
        )
