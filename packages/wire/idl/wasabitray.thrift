// Messages between hosts, and stored records. Each struct has the name and the
// fields of a class in wasabitray_core.messages; a field whose name is reserved
// in Thrift has an underscore after it. The fields of a union are the class
// names in snake case.
namespace py wasabitray_wire.gen

struct Hello { 1: string host, 2: string address, 3: string secret }

struct HostStatus { 1: string host, 2: i64 counter, 3: i64 revision, 4: i32 flags }
struct Announcement {
  1: string target, 2: string service_, 3: string region, 4: string failure_domain,
  5: i32 slots, 6: i64 generation, 7: i64 sequence, 8: i32 phase, 9: double lease_s,
  10: string address
}
struct Ejection {
  1: string target, 2: string service_, 3: i64 version, 4: i32 phase,
  5: double duration_s, 6: string evidence
}
struct Quarantine {
  1: string fingerprint, 2: list<string> targets, 3: i32 epoch,
  4: i32 trials, 5: i32 unused_trials
}
struct TrialRequest { 1: Quarantine record }
struct TrialReply { 1: Quarantine record, 2: bool granted }
struct TargetReport {
  1: string target, 2: i64 number, 3: double duration_s, 4: i32 kind,
  5: double suspicion, 6: i32 successes
}
struct EntryState {
  1: string host, 2: i64 counter, 3: bool present, 4: i32 flags, 5: string region,
  6: string failure_domain, 7: string caller_address, 8: string hub
}
struct HostAddress {
  1: string host, 2: string address, 3: string region, 4: string failure_domain
}
struct FeedMark { 1: string hub, 2: string incarnation, 3: i64 position }
struct Presence {
  1: i64 counter, 2: i64 revision, 3: i32 flags, 4: string region,
  5: string failure_domain, 6: string caller_address, 7: list<FeedMark> marks
}
struct Unsubscribe {}
struct Feed {
  1: string origin, 2: string incarnation, 3: i64 after, 4: i64 position,
  5: i64 revision, 6: bool in_contact, 7: i32 entries, 8: list<HostAddress> hubs,
  9: list<Announcement> announcements, 10: list<Ejection> ejections,
  11: list<Quarantine> quarantines, 12: list<TargetReport> reports,
  13: list<EntryState> entry_states, 14: string leader
}
struct News {
  1: list<Announcement> announcements, 2: list<Ejection> ejections,
  3: list<Quarantine> quarantines, 4: list<TargetReport> reports
}
struct Gossip {
  1: list<HostStatus> statuses, 2: list<Announcement> announcements,
  3: list<Ejection> ejections, 4: list<Quarantine> quarantines
}

struct LeaseRequest { 1: i64 number }
struct LeaseReply { 1: i64 number, 2: i64 revision, 3: double age_s }
struct RevisionQuery { 1: i64 number }
struct RevisionAnswer {
  1: i64 number, 2: i64 revision, 3: i32 voters, 4: bool is_voter,
  5: bool is_settled
}
struct QuotaRequest { 1: i64 number, 2: string organisation }
struct QuotaReply { 1: i64 number, 2: i32 decision, 3: double retry_after_s }
struct BorrowRequest { 1: i64 number, 2: string organisation, 3: double tokens }
struct BorrowReply { 1: i64 number, 2: double tokens }

struct DocumentEdit { 1: string key, 2: optional string body }
struct Change {
  1: string change, 2: i64 expected, 3: string author, 4: string wall_time,
  5: list<DocumentEdit> edits, 6: bool forced, 7: i64 version
}
struct CommittedChange { 1: i64 revision, 2: Change change }
struct ChangeSummary {
  1: i64 revision, 2: string change, 3: string author, 4: string wall_time,
  5: list<string> written, 6: list<string> deleted
}
// An earlier version doesn't send accepts_delta.
struct ConfigPull { 1: i64 after, 2: bool accepts_delta = false }
struct ConfigPush { 1: list<CommittedChange> changes }
struct ConfigDelta { 1: i64 after, 2: i64 revision, 3: list<DocumentEdit> edits }
struct ConfigState { 1: i64 revision, 2: map<string, string> documents }

struct Member { 1: string member, 2: string host }
struct Members { 1: list<Member> voters, 2: list<Member> learners }
struct Noop {}
union Command { 1: Change change, 2: Members members, 3: Noop noop }
struct LogRecord { 1: i64 index, 2: i64 term, 3: Command command }
struct AnsweredChange { 1: string change, 2: string digest, 3: i64 revision }
struct Snapshot {
  1: i64 index, 2: i64 term, 3: Members members, 4: i64 revision,
  5: map<string, string> documents, 6: list<AnsweredChange> answered,
  7: list<CommittedChange> recent, 8: list<ChangeSummary> history
}
struct Ballot { 1: i64 term, 2: string voted_for }
struct VoteRequest {
  1: i64 term, 2: string candidate, 3: i64 last_index, 4: i64 last_term, 5: bool pre,
  6: bool transfer
}
struct VoteReply { 1: i64 term, 2: string voter, 3: bool granted, 4: bool pre }
struct AppendRequest {
  1: i64 term, 2: string leader, 3: i64 previous_index, 4: i64 previous_term,
  5: list<LogRecord> records, 6: i64 commit, 7: i64 round
}
struct AppendReply {
  1: i64 term, 2: string member, 3: bool accepted, 4: i64 index, 5: i64 round,
  6: bool stopping
}
struct InstallSnapshot { 1: i64 term, 2: string leader, 3: Snapshot snapshot }
struct CampaignNow { 1: i64 term, 2: string leader }
struct JoinRequest { 1: Member member }
struct LeaveRequest { 1: string member }
struct LeaveReply { 1: i64 term }

struct ClaimRequest { 1: string key, 2: string claim, 3: i32 epoch, 4: double ttl_s }
struct MemberIncarnation { 1: string host, 2: string incarnation }
struct ClaimReply {
  1: string key, 2: string claim, 3: i32 status, 4: string incarnation,
  5: list<MemberIncarnation> known
}
struct ClaimRelease { 1: string key, 2: string claim }
struct HeldClaim { 1: string key, 2: string claim, 3: double remaining_s }
struct RecallRequest { 1: string incarnation }
struct RecallChallenge { 1: string incarnation, 2: i64 nonce }
struct RecallConfirm { 1: string incarnation, 2: i64 nonce }
struct RecallState {
  1: string incarnation, 2: string responder, 3: list<HeldClaim> claims,
  4: list<MemberIncarnation> known
}

struct TargetSample { 1: string target, 2: i32 good, 3: i32 bad }
struct Evidence { 1: string service_, 2: string region, 3: list<TargetSample> samples }

struct LongSlotRequest {
  1: i64 request, 2: string service_, 3: double long_share, 4: double ttl_s,
  5: list<string> excluded
}
struct LongSlotReply { 1: i64 request, 2: string target }
struct LongSlotRelease { 1: i64 request }
struct TargetWork { 1: string target, 2: i32 attempts }
struct RequestCounts { 1: string service_, 2: i32 ended, 3: i32 lost }
struct EntryWork {
  1: list<TargetWork> targets, 2: bool full, 3: list<RequestCounts> requests
}
struct OthersWork {
  1: list<TargetWork> targets, 2: bool full, 3: list<RequestCounts> requests
}
struct LongHeld { 1: string target, 2: i32 slots }
struct LongOccupancy { 1: string service_, 2: list<LongHeld> held }

struct Part { 1: binary data, 2: bool last }

union PeerMessage {
  2: Gossip gossip, 3: ConfigPull config_pull, 4: ConfigPush config_push,
  5: ConfigState config_state, 6: VoteRequest vote_request, 7: VoteReply vote_reply,
  8: AppendRequest append_request, 9: AppendReply append_reply,
  10: InstallSnapshot install_snapshot, 11: JoinRequest join_request,
  12: ClaimRequest claim_request, 13: ClaimReply claim_reply,
  14: ClaimRelease claim_release, 15: RecallRequest recall_request,
  16: RecallChallenge recall_challenge, 17: RecallConfirm recall_confirm,
  18: RecallState recall_state, 19: Evidence evidence,
  20: LongSlotRequest long_slot_request, 21: LongSlotReply long_slot_reply,
  22: LongSlotRelease long_slot_release,
  23: CampaignNow campaign_now, 24: LongOccupancy long_occupancy,
  25: Presence presence, 26: Unsubscribe unsubscribe, 27: Feed feed, 28: News news,
  29: EntryWork entry_work, 30: OthersWork others_work,
  31: TrialRequest trial_request, 32: TrialReply trial_reply,
  33: LeaveRequest leave_request, 34: LeaveReply leave_reply,
  35: LeaseRequest lease_request, 36: LeaseReply lease_reply,
  37: RevisionQuery revision_query, 38: RevisionAnswer revision_answer,
  39: QuotaRequest quota_request, 40: QuotaReply quota_reply,
  41: BorrowRequest borrow_request, 42: BorrowReply borrow_reply,
  // A serialized PeerMessage, compressed with zlib.
  43: binary packed,
  44: ConfigDelta config_delta,
  // The next bytes of a packed message that is sent in parts.
  45: Part part
}

struct StoredQuarantine { 1: Quarantine record, 2: double stored_at }
union StoredItem {
  1: Ballot ballot, 2: LogRecord log_record, 3: Snapshot snapshot, 4: Member member,
  5: Announcement announcement, 6: StoredQuarantine stored_quarantine
}

// A link carries messages in one direction. Each batch is acknowledged, so that
// the sender notices a connection that no longer responds.
service Peer {
  void hello(1: Hello hello),
  void deliver(1: list<PeerMessage> messages)
}
