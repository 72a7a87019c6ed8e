"""A simulated control group whose hosts are replaced by others for good."""

from __future__ import annotations

from core.controllers.consensus.network import Disk, empty_snapshot
from core.controllers.consensus.timed_network import Host, TimedNetwork
from result import Err, Ok

from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import HostId, LogIndex, MemberId, Revision, Term
from wasabitray_core.local_messages import (
    FleetView,
    HostView,
    LeaveGroup,
    ReadDocuments,
)
from wasabitray_core.messages import LogRecord, Member, Members
from wasabitray_core.states import HostFlag

CONTACTS = 3
VIEW_INTERVAL_S = 0.5
# Operators and settings know this long after a change which hosts there are.
LIST_LAG_S = 3.0
# A host ends by then whether it has left the group or not.
STOP_LIMIT_S = 4.8
PROBE_INTERVAL_S = 0.5
REPLY_S = 0.2
# A host may send operators to one that is gone for this long.
REDIRECT_LAG_S = 2.0


class ChangingNetwork(TimedNetwork):
    """Control hosts that come and go; checks the invariants on each step.

    Attributes:
        removed_at: when hosts were removed for good.
        known: the hosts that a running host has heard of.
        isolated: hosts that are cut off from all others.
        half: the hosts on one side of a split.
        stale_redirects: what hosts said that sent operators to one that had
            gone too long ago.
    """

    def __init__(
        self, size: int, seed: int | str, tolerated_losses: int
    ) -> None:
        self.tolerated_losses = tolerated_losses
        self.removed_at: dict[HostId, float] = {}
        self.known: dict[HostId, set[HostId]] = {}
        self.isolated: set[HostId] = set()
        self.half: set[HostId] = set()
        self.thawed_at: dict[HostId, float] = {}
        self.stale_redirects: list[str] = []
        self.leaders: dict[Term, MemberId] = {}
        self.committed: dict[LogIndex, LogRecord] = {}
        self.observed: dict[Host, LogIndex] = {}
        super().__init__(size, seed)
        self.after(PROBE_INTERVAL_S, self.probe)

    @property
    def running(self) -> list[HostId]:
        return [h.name for h in self.hosts.values() if not h.is_ended]

    # Hosts

    def get_contacts(self, name: HostId) -> tuple[HostId, ...]:
        others = [h for h in self.listed if h != name]
        contacts = self.random.sample(others, min(CONTACTS, len(others)))
        self.known[name] = set(contacts)
        return tuple(contacts)

    def start(self, name: HostId) -> None:
        super().start(name)
        host = self.hosts[name]
        self.after(VIEW_INTERVAL_S, lambda: self.show_fleet(host))

    def add(self, name: HostId) -> None:
        """Start a new host with an empty disk."""
        self.names.append(name)
        self.after(LIST_LAG_S, lambda: self.listed.append(name))
        if self.half and self.random.random() < 0.5:
            self.half.add(name)
        member = Member(MemberId(f"{name}.0"), name)
        self.disks[name] = Disk(member, empty_snapshot(Members(())))
        self.start(name)

    def remove(self, name: HostId) -> None:
        """Kill a host that does not come back."""
        if name not in self.removed_at:
            self.kill(name)
            self.removed_at[name] = self.clock.now
            self.after(LIST_LAG_S, lambda: self.listed.remove(name))

    def stop(self, name: HostId) -> None:
        """Stop a host as planned; it does not come back."""

        def end() -> None:
            self.remove(name)

        self.ask(name, LeaveGroup(), lambda _: end())
        self.after(STOP_LIMIT_S, end)

    def show_fleet(self, host: Host) -> None:
        """Tell a host which hosts are up, as far as it can learn that."""
        if host.is_ended:
            return
        known = self.known[host.name]
        reachable = {
            name
            for name in self.running
            if not self.hosts[name].is_frozen
            and self.has_path(host.name, name)
        }
        if not host.is_frozen and known & (reachable - {host.name}):
            known |= reachable
            views = (
                HostView(name, Revision(0), HostFlag.CONTROL, True)
                for name in sorted(reachable)
            )
            host.put(FleetView(tuple(views)), Origin())
        self.after(VIEW_INTERVAL_S, lambda: self.show_fleet(host))

    def get_named_leaders(self) -> dict[HostId, str]:
        """Return where each running host sends an operator who reads.

        That is the host itself if it serves the read, and an empty id if it
        knows no leader.
        """
        leaders: dict[HostId, str] = {}

        def note(name: HostId, result: Ok | Err) -> None:
            is_served = isinstance(result, Ok)
            leaders[name] = name if is_served else result.err_value.peer

        for name in self.running:
            self.ask(name, ReadDocuments(), lambda r, n=name: note(n, r))
        self.run(REPLY_S)
        return leaders

    # Paths

    def has_path(self, one: HostId, other: HostId) -> bool:
        if one != other and self.isolated & {one, other}:
            return False
        return (one in self.half) == (other in self.half)

    def split(self, half: list[HostId]) -> None:
        self.half = set(half)

    def heal(self) -> None:
        self.half.clear()

    def thaw(self, name: HostId) -> None:
        self.thawed_at[name] = self.clock.now
        super().thaw(name)

    # Invariants

    def observe(self, host: Host) -> None:
        controller = host.controller
        if host.is_leader:
            member = host.disk.member.member
            leader = self.leaders.setdefault(controller.term, member)
            assert leader == member, f"two leaders in term {controller.term}"
        log = controller._log
        first = max(self.observed.get(host, LogIndex(0)), log.base_index)
        for index in range(first + 1, controller.commit_index + 1):
            record = log.get(LogIndex(index))
            committed = self.committed.setdefault(record.index, record)
            assert committed == record, f"record {index} was replaced"
        self.observed[host] = controller.commit_index

    def probe(self) -> None:
        """Ask all hosts but the leaders where the leader is."""
        for name in self.running:
            host = self.hosts[name]
            thawed_at = self.thawed_at.get(name, float("-inf"))
            has_thawed = self.clock.now - thawed_at > REDIRECT_LAG_S
            if has_thawed and not host.is_frozen and not host.is_leader:
                self.ask(
                    name,
                    ReadDocuments(),
                    lambda result, n=name: self.check_redirect(n, result),
                )
        self.after(PROBE_INTERVAL_S, self.probe)

    def check_redirect(self, name: HostId, result: object) -> None:
        peer = HostId(result.err_value.peer) if isinstance(result, Err) else ""
        if peer in self.removed_at:
            gone_s = self.clock.now - self.removed_at[peer]
            if gone_s > REDIRECT_LAG_S:
                self.stale_redirects.append(
                    f"{name} sends to {peer}, gone for {gone_s:.2f} s"
                )
