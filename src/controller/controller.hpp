// A controller: leads when it holds the leader's key, and otherwise forwards to the one that does.
#pragma once
#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "cluster_state/cluster_state.hpp"
#include "cluster_state/quota_agreement.hpp"
#include "cluster_state/service_level_counters.hpp"
#include "controller/counters.hpp"
#include "controller/heartbeat_relay.hpp"
#include "controller/histograms.hpp"
#include "controller/options.hpp"
#include "controller/peer_link.hpp"
#include "controller/resource_budget.hpp"
#include "controller/store_client.hpp"
#include "heartbeat_relay/worker_balancer.hpp"
#include "leadership/leadership_backoff.hpp"
#include "leadership/partition_lease.hpp"
#include "leadership/quorum_tracker.hpp"
#include "ledger/ledger_reader.hpp"
#include "ledger/ledger_writer.hpp"
#include "ledger/write_rate_limiter.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "protocol/heartbeat_cache.hpp"
#include "protocol/messages.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/settings.hpp"
#include "rollout/format_versions.hpp"
#include "scheduling/capacity_release_rate.hpp"
#include "scheduling/pass_pacing.hpp"
#include "scheduling/planner.hpp"
#include "scheduling/scale_out.hpp"
#include "scheduling/start_stall_detector.hpp"
#include "scheduling/starvation_guard.hpp"
#include "transport/connection_pool.hpp"
#include "transport/frames.hpp"
#include "transport/http.hpp"
#include "worker_control/command_queue.hpp"
#include "worker_control/lease_renewal_policy.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {

class RegistryView;

class Controller {
 public:
  Controller(Settings settings, Options options);
  ~Controller();
  // Serves until asked to stop.
  void run(std::stop_token stop);

 private:
  using Lock = std::unique_lock<std::mutex>;
  enum class Role { follower, recovering, leading };
  // Seconds for which an answer that may grow old can be on its way to its user, other controllers included.
  static constexpr double kAnswerLife = 0.5;

  // One term of leadership: all that goes when it ends.
  struct Term {
    std::uint64_t takeover_token = 0;  // of the takeover
    std::uint64_t fencing_token = 0;   // now; raised to fence commands in doubt
    std::uint64_t session_lease = 0;
    double valid_until = 0;  // steady: until then no one else can lead
    double taken_over_at = 0;
    bool started = false;       // a start of this term is in the ledger
    bool first_of_all = false;  // the ledger was empty: no earlier leader rented or placed anything
    QuorumTracker quorum;       // what the other controllers answered in this term
    bool raise_token_requested = false;
    bool lead_in_doubt = false;       // a change of its own key is on its way, or has no answer yet
    const char* hand_over = nullptr;  // why it is to give leadership up, in order
    double token_raised_at = 0;
    std::optional<ReadLedger> read;               // before it took the lead
    std::unique_ptr<ClusterState> cluster_state;  // set when recovered
    LedgerWriter ledger_writer;
    ActiveVersion format_version;  // the state level that is on
    std::uint64_t version_mod_revision = 0;
    std::optional<rollout::Step> step;         // on its way: the rollout duty's, sent by the ledger's writer
    double rewrote_at = 0;                     // steady seconds of the last commit
    std::uint64_t quotas_ticket = 0;           // of the terms of teams last sent on their way into the ledger
    std::set<JobIndex> within;                 // their teams' guarantees, as the last pass saw it
    StarvationGuard starvation_guard;          // by the numbers of this term's book
    HeartbeatDeltaDecoder relayed_heartbeats;  // that other controllers passed on
    bool accepts_batches = false;              // of reports; once it does, it does so to its end
    WorkerBalancer balancer;                   // of workers over the controllers
    double commands_failing_since = 0;         // steady seconds: no direct command was answered since; 0: the latest one was
    std::size_t own_workers = 0;               // that report to this controller itself, as counted last
    double own_workers_at = 0;                 // steady seconds
    [[nodiscard]] const char* key() const { return leader_key_for(format_version.format_version); }
  };

  // ---- requests (requests.cpp)
  HttpReply on_http(const HttpCall& call);
  Frame on_frame(const Frame& frame);
  HttpReply on_user(const UserRoute& route, std::string_view body);
  // What a user is told. What another leader may make untrue is good for a short time only; `on_user` sees to that for each
  // answer that does not say that it is for good.
  struct Answer {
    Answer(HttpReply r) : reply(std::move(r)) {}  // NOLINT: nearly all answers may grow old
    static Answer for_good(HttpReply r) {
      Answer a(std::move(r));
      a.lasting = true;
      return a;
    }
    HttpReply reply;
    bool lasting = false;
  };
  Answer submit(Lock& lock, std::string_view body);
  // Whether it could be taken, or not, once the terms of its team are the same everywhere.
  bool is_quota_changing_for(const JobSpec& s) const;
  Answer status(const std::string& uid);
  HttpReply unconfirmed_cancellation();
  Answer withdraw(Lock& lock, const std::string& uid);
  // A job as the book has it: its end is for good, if it may be told; all else only while it leads for certain.
  Answer answer_known(const Job& job, unsigned code, bool with_counts);
  FramePool* leader_pool();  // nullptr when no peer is known to lead
  HttpReply forward(Lock& lock, const UserRoute& route, const HttpCall& call);
  // A report as it came: `memo` is of the worker's own connection, or null for one that a peer passed on.
  HttpReply on_heartbeat(std::string_view body, HeartbeatCache* heartbeat_cache);
  // By which way a report came to the leader.
  enum class HeartbeatRoute {
    direct,     // on the worker's own connection
    forwarded,  // by a peer, for a worker that can't reach the leader
    relayed,    // in a batch, of a worker that stays with a peer
  };
  // What a controller that has taken the lead answers. It may step down by what the report says; then it is refused.
  HeartbeatAnswer answer_heartbeat(Lock& lock, const Heartbeat& heartbeat, HeartbeatRoute way);
  std::size_t own_workers(double now);
  HttpReply handle_heartbeat_as_leader(Lock& lock, const Heartbeat& heartbeat, HeartbeatRoute way);
  HttpReply handle_heartbeat_as_follower(Lock& lock, const Heartbeat& heartbeat, std::string_view body, bool forwarded);
  // A follower passes it on in a batch; nothing where the leader takes none.
  std::optional<HttpReply> relay_heartbeat(Lock& lock, const Heartbeat& heartbeat);
  Frame on_heartbeat_batch(const Frame& frame);
  HttpReply health();
  // What a peer is told that asks whether this leader takes batches of reports.
  HttpReply accepts_batches();
  HttpReply metrics();

  // ---- leadership (leadership.cpp)
  void leadership_duty(std::stop_token stop);
  bool take_leadership(StoreClient& store, std::stop_token stop, const rollout::LeadershipSnapshot& look);
  void lead(StoreClient& store, std::stop_token stop);
  void peer_duty(std::stop_token stop, std::size_t peer);
  PeerHeartbeat make_peer_heartbeat(PeerLink& link);
  // Adds until when other controllers may have answered workers on their own.
  void add_peer_renewals(FencingState& fencing_state, double now);
  // Whether it goes on answering this worker though it can't tell what the leader, or another one, decides.
  bool keeps(const Heartbeat& heartbeat, double now) const;
  // Reports that come while the ledger is read wait for that, for a short while.
  void await_ledger(Lock& lock);
  void observe_leader(std::uint64_t fencing_token, const std::string& label);
  // Cut off from its peers and from most workers, though not from the state service: another serves better.
  bool is_isolated() const;
  // Whether most workers are heard by way of other controllers only.
  bool are_workers_heard_through_peers() const;
  // Of an earlier process of this controller, which ended with its hold alive: its key goes, so that another one leads.
  // Whether there was nothing to wait for.
  bool clear_own_lead(StoreClient& store, std::stop_token stop, const rollout::LeadershipSnapshot& look);
  // Another lead than the one known before, if under the same name: what was kept of that one is over, and where it is
  // known who leads, calls that wait for it are too.
  void on_leader_change(bool known);
  // Whether the higher epoch that a peer tells of is this term's own, raised by a change that it has no answer to yet.
  bool raised_in_doubt(const PeerHeartbeatAck& ack) const;
  // Waits until no answer that may grow old can be given any more, by this controller or one that it was passed on to.
  void wait_out_answers(Lock& lock) const;
  // Gives the hold back when nothing is on its way into the ledger, so that another controller leads at once.
  void hand_over(Lock& lock, StoreClient& store, std::uint64_t session_lease, const char* why, double backoff_s);
  void step_down(Lock& lock, const char* why);
  // How it stands towards this worker; only while it has taken the lead.
  LeadershipEvidence leadership_evidence(const Heartbeat& heartbeat, double now) const;
  // What the worker is due: all of it, or what stays right under every later leader.
  std::vector<Command> due_commands(NodeIndex h) const;
  // Whether users may be told how it stands: that it is cancelled only when nothing of it is on a machine, or no earlier leader
  // can go on renewing leases without knowing of it.
  bool may_confirm(const Job& job) const;
  // Leads for certain at this moment: may decide, and may tell users what the book says.
  bool may_decide() const;

  // ---- ledger (ledger.cpp)
  void ledger_duty(std::stop_token stop);
  bool recover(StoreClient& store, std::stop_token stop, std::uint64_t term);
  // Nothing when it can't be read, and `unreadable` says why, or when the state service does not answer and `again` says so.
  std::optional<ReadLedger> read_ledger(StoreClient& store, std::stop_token stop, const std::function<bool()>& again,
                                        std::string& unreadable);
  bool commit(StoreClient& store, std::stop_token stop, Lock& lock);
  // Bytes that an entry of the ledger stays below.
  [[nodiscard]] std::size_t entry_bytes() const { return static_cast<std::size_t>(settings_.value_kb * 1024 * 0.9) / shrunk_; }
  // The state service takes less than the settings say: smaller pieces from now on; false where they are small already.
  bool shrink_writes();
  bool raise_fencing_token(StoreClient& store, std::stop_token stop, Lock& lock);
  // The ledger holds something that this build can't read: the lead is given back, so that one that can read it leads.
  void hand_back_unreadable_ledger(const std::string& why);

  // ---- roll-outs (rollout.cpp)
  void rollout_duty(std::stop_token stop);
  // The next step towards another state level, or changed terms of teams; whether there was one.
  bool plan_step(RegistryView& view, StoreClient& store, std::stop_token stop);
  // Sends the step that is due and takes in what came of it.
  bool take_step(StoreClient& store, std::stop_token stop, Lock& lock);
  void adopt_version(const ActiveVersion& on, std::uint64_t mod_revision);
  // Brings changed terms of teams into the ledger; whether there were any.
  bool agree_on_quotas(Lock& lock, const std::map<std::string, std::optional<TeamQuotas>>& files);
  // Users are waiting for some records; others can wait a moment and join the next commit, so that many ends cost few
  // writes.
  enum class CommitPriority { user_waiting, immediate, deferrable };
  std::uint64_t enqueue(std::vector<Record> records, CommitPriority commit_priority = CommitPriority::immediate);
  // Waits until the record with this ticket is in the ledger and applied; false when that is not certain.
  bool wait_applied(Lock& lock, std::uint64_t ticket, double timeout_s);
  // Waits until a write may be made; what was written is then taken off. Some of the writes are kept for users.
  void await_write(Lock& lock, std::stop_token stop, bool for_users);
  void charge_writes(std::size_t changes);
  // Tells the operator who was judged to be at fault for failures.
  void log_verdicts();

  // ---- passes (passes.cpp)
  void pass_duty(std::stop_token stop);
  // Makes one plan and commits its starts; what making the plan cost.
  PassCost pass(Lock& lock);
  PlanInput make_plan_input(double wall, double steady, const std::set<JobIndex>& within);
  std::set<JobIndex> within_guarantee() const;
  void reserve_accelerators(PlanInput& in, double steady);
  // What has waited long with nothing of it running goes first, as far as the floor's share lasts; which that is.
  std::set<JobIndex> promote_starving_jobs(PlanInput& in, double wall, double steady, const std::set<JobIndex>& within);
  // The aims for the wait of this class, as the settings name them.
  const std::vector<double>& wait_aims(const std::string& job_class) const;
  double patience_of(const Job& job, double wall) const;
  PlanJob plan_job(JobIndex j, const PlanInput& in, double wall);
  void request_pass();

  // ---- workers (workers.cpp)
  void enqueue_commands(NodeIndex h, bool greet = false);
  void enqueue_commands_for_job(const Job& job);
  // Gives turns to senders that rest, or to new ones, while workers are due and turns are left.
  void assign_sender_slots();
  void sender_duty(std::stop_token stop);
  // Sends the worker what it is due; `held` is the sender's turn, given up when the worker is slow.
  void command(Lock& lock, CommandQueue::Item next, bool& held);
  // Whether it was newer than what was heard before.
  bool apply_message(const Heartbeat& heartbeat, bool is_heartbeat);

  // ---- cloud (cloud.cpp)
  void cloud_duty(std::stop_token stop);
  bool refresh_machine_types(HttpClient& cloud);
  bool refresh_instances(HttpClient& cloud);
  bool is_worth_scaling_out(const Job& job, double wall) const;
  // Asks for machines once; whether more may be asked for at once.
  bool request_scale_out(HttpClient& cloud);
  // Whether all that is up is known, so that what is missing is not rented twice.
  bool is_fleet_known(double now) const;
  void release_unneeded_instances(HttpClient& cloud);
  void release_silent_instances(HttpClient& cloud, std::stop_token stop);
  // Those silent though they should not be, where it hears enough itself to judge.
  std::vector<NodeIndex> suspect_silent_nodes() const;
  // Tells the operator when work that fits does not start for long, what waits for long and for what, and when the accounts
  // of teams do not agree with a count of what is placed.
  void report_start_stalls();
  double waits_told_at_ = 0;  // steady seconds
  // A leader that the workers can't reach, while other controllers can, hands over.
  void check_worker_reachability();
  struct Probe {
    std::string name, address;
    bool answered = false;
  };
  // Asks all of them at once for their status.
  void probe(std::vector<Probe>& probes);
  void release(HttpClient& cloud, const std::vector<std::string>& names, const char* why);
  void update_idle_times(double steady);

  Settings settings_;
  Options options_;
  const ResourceBudget budget_;
  const std::uint64_t incarnation_;
  const TeamQuotas team_quotas_;                // the teams of its settings
  const SupportedVersions supported_versions_;  // state levels of this process

  mutable std::mutex mutex_;
  Role role_ = Role::follower;
  std::uint64_t term_number_ = 0;  // counts terms of this process; threads of an old one leave
  std::unique_ptr<Term> term_;
  std::uint64_t known_token_ = 0, known_takeover_token_ = UINT64_MAX;
  std::string known_leader_;
  std::uint64_t leads_known_ = 0;  // counts the leads that it learned of, one after the other under the same name too
  double follower_since_ = 0, last_peer_heartbeat_at_ = 0, leader_since_ = 0;
  double store_failing_since_ = 0;  // 0: the last write went through
  bool committing_ = false;
  std::size_t shrunk_ = 1;
  StartStallDetector start_stall_detector_;
  std::atomic<double> lag_{0};  // seconds by which the leader's renewals run late, lately
  // Steady seconds: since when no leader is known that could read the ledger; 0: one is.
  double unread_since_ = 0;
  std::string version_blocked_by_;  // for what the next state level is waited; empty: for nothing
  LeadershipBackoff leadership_backoff_;

  std::condition_variable_any role_changed_;
  std::condition_variable_any queue_filled_;
  std::condition_variable_any applied_;
  std::condition_variable_any pass_wanted_;
  std::deque<QueuedRecord> queue_;
  std::uint64_t tickets_ = 0, applied_ticket_ = 0;
  bool users_wait_ = false;                                   // some of what is queued is a user's
  double commit_at_ = 0;                                      // steady seconds: when what is queued must go
  std::unordered_map<std::string, std::uint64_t> accepting_;  // uid -> ticket
  bool pass_due_ = false;
  WriteRateLimiter write_limiter_;
  std::mt19937_64 random_;

  std::unordered_map<std::string, std::vector<double>> wait_aims_;  // by job class, as the settings name them
  std::vector<Plan::Unserved> unserved_;
  std::set<NodeIndex> starting_;  // a start there is on its way into the ledger
  double active_at_ = 0;          // steady seconds: when work last waited or ended
  struct Demand {
    double machines = 0, widest = 0, at = 0, patience = 1e9;  // widest: of one gang
  };
  CapacityReleaseRate release_rate_;
  std::map<MachineTypeIndex, Demand> accelerator_demand_;  // machines' worth of accelerator work lately
  CommandQueue command_queue_;
  ConnectionPool worker_connections_;
  std::size_t busy_slots_ = 0;      // held by senders, or given to some that have not woken yet
  std::size_t assigned_slots_ = 0;  // the latter
  std::size_t idle_senders_ = 0;
  std::condition_variable_any slot_assigned_;
  std::vector<std::jthread> senders_;
  struct Redirect {  // steady seconds
    double redirected_at = -1e9, forward_until = 0;
  };
  std::unordered_map<std::string, Redirect> redirects_;  // by worker
  // Reports answered while the ledger was still being read: their leases count from then.
  std::unordered_map<std::string, double> early_answers_;
  std::map<MachineOffer, double> refused_offers_;  // steady time to try again
  std::uint64_t scale_out_count_ = 0;
  struct PendingScaleOut {
    std::uint64_t term = 0;
    std::string name;
    ScaleOutRequest rental;
  };
  std::optional<PendingScaleOut> pending_scale_out_;  // made and not answered; used by the cloud's duty alone

  std::vector<PeerLink> links_;
  const double began_;              // steady seconds: what an earlier process of this controller did ended before
  double answers_valid_until_ = 0;  // steady seconds: until then answers that it gave, and that may grow old, may be on their way
  PartitionLease partition_lease_;

  Counters counters_;

  // Of what this controller did as a leader. Classes that no aim names are counted together.
  void record_starts(const TasksStartedRecord& start);
  std::map<std::string, SecondsHistogram> start_waits_;  // by class: from acceptance to the start in the ledger
  SecondsHistogram accept_waits_, pass_times_, guarantee_waits_;
  ServiceLevelCounters service_levels_;
  double served_looked_at_ = 0;  // steady seconds

  StoreClient relay_store_;  // used by the intake's duty alone
  HeartbeatRelay heartbeat_relay_;
  std::unique_ptr<FrameServer> frame_server_;
  std::unique_ptr<HttpServer> http_server_;
  std::vector<std::jthread> duties_;
};

HttpReply error_reply(unsigned status, std::string_view reason, int retry_after_s = 0);

}  // namespace thistlefront
