// Leader election. The leader owns one key of the key-value store, attached to a session lease that it renews. The key's
// modification revision is the fencing token. LeaderElection watches the key, acquires it when it does not exist, and keeps it
// until leadership is lost or handed over.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <stop_token>

#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/heartbeat_relay.hpp"
#include "controller/ledger_recovery.hpp"
#include "controller/shared_state.hpp"
#include "controller/store_client.hpp"
#include "leadership/leadership_backoff.hpp"
#include "rollout/format_versions.hpp"

namespace thistlefront {

class LeaderElection {
 public:
  LeaderElection(SharedState& shared, CommitQueue& commit_queue, LedgerRecovery& recovery, HeartbeatRelay& relay,
                 ControllerMetrics& metrics);
  // Runs until a stop is requested. Then releases leadership, so that another controller takes over at once.
  void run(std::stop_token stop);

 private:
  using Snapshot = rollout::LeadershipSnapshot;

  // The leader lease as the key-value store granted it.
  struct AcquiredLease {
    std::uint64_t session_lease = 0;
    std::uint64_t fencing_token = 0;
    double requested_at = 0;  // steady seconds
  };

  // Reads the leadership keys once and acts on them. Returns false if the thread has to stop.
  bool run_once(StoreClient& store, std::stop_token stop);
  std::optional<Snapshot> read_snapshot(StoreClient& store, std::stop_token stop, std::uint64_t& revision);
  void log_unreadable_version(const ActiveVersion& active);
  // Called while there is no leader: tries to acquire leadership, unless this controller is backing off. Returns false if the
  // thread has to stop.
  bool campaign(StoreClient& store, std::stop_token stop, const Snapshot& snapshot);
  bool acquire_leadership(StoreClient& store, std::stop_token stop, const Snapshot& snapshot);
  std::optional<AcquiredLease> acquire_lease(StoreClient& store, std::stop_token stop, const Snapshot& snapshot);
  // Resolves a transaction whose outcome is unknown: returns the fencing token if the key belongs to this process and is attached
  // to this session lease.
  std::optional<std::uint64_t> find_own_fencing_token(StoreClient& store, const char* key, std::uint64_t session_lease) const;
  void begin_term(const AcquiredLease& lease, const Snapshot& snapshot, std::optional<LedgerSnapshot> ledger);
  std::unique_ptr<Term> make_term(const AcquiredLease& lease, const Snapshot& snapshot, std::optional<LedgerSnapshot> ledger) const;
  [[nodiscard]] double session_lease_valid_until(double requested_at) const;

  // Renews the lease periodically until leadership ends.
  void hold_leadership(StoreClient& store, std::stop_token stop);
  // Renews the lease once. Returns false if leadership has ended.
  bool renew_lease(StoreClient& store, std::uint64_t session_lease, std::uint64_t term, double sleep_started_at);
  // Applies the result of a renewal. Returns false if leadership has ended.
  bool apply_renewal_result(Lock& lock, StoreClient& store, std::uint64_t session_lease, StoreStatus status, double requested_at);
  void release_on_stop(std::uint64_t session_lease, std::uint64_t term);
  // Revokes the lease once no commit is under way, so that another controller takes over at once.
  void hand_over(Lock& lock, StoreClient& store, std::uint64_t session_lease, const char* reason, double backoff_s);
  // Waits until every reply that may become outdated has expired, including replies forwarded by other controllers.
  void wait_for_outstanding_replies(Lock& lock) const;
  // Removes the leader's key if an earlier process of this controller left it, so that another controller can lead. Returns true
  // if the key belongs to this process.
  bool remove_key_of_earlier_process(StoreClient& store, std::stop_token stop, const Snapshot& snapshot);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  LedgerRecovery& recovery_;
  HeartbeatRelay& relay_;
  ControllerMetrics& metrics_;
  // Only used by the election thread:
  LeadershipBackoff backoff_;
  std::mt19937_64 random_{std::random_device{}()};
  std::uint32_t last_logged_version_ = 0;
  double no_leader_since_ = 0;         // steady seconds; 0: there is a leader, as far as this controller knows
  bool leadership_uncertain_ = false;  // the lease could not be renewed in time
};

}  // namespace thistlefront
