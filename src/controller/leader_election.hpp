// Leader election. The leader holds one key of the key-value store, attached to a session lease that it renews; the key's
// modification revision is the fencing token. This duty watches the key, takes it when it is free, and holds it until leadership
// is lost or handed over.
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
  // Until asked to stop; then leadership is given back, so that another controller takes over at once.
  void run(std::stop_token stop);

 private:
  using Snapshot = rollout::LeadershipSnapshot;

  // The leader's lease as the key-value store granted it.
  struct AcquiredLease {
    std::uint64_t session_lease = 0;
    std::uint64_t fencing_token = 0;
    double requested_at = 0;  // steady seconds
  };

  // Looks at the keys once and acts on what it sees; false when the thread is to stop.
  bool step(StoreClient& store, std::stop_token stop);
  std::optional<Snapshot> read_snapshot(StoreClient& store, std::stop_token stop, std::uint64_t& revision);
  void log_unreadable_version(const ActiveVersion& active);
  // Nobody leads: takes the lead, unless it is better left to others for a moment. False when the thread is to stop.
  bool campaign(StoreClient& store, std::stop_token stop, const Snapshot& snapshot);
  bool take_leadership(StoreClient& store, std::stop_token stop, const Snapshot& snapshot);
  std::optional<AcquiredLease> acquire_lease(StoreClient& store, std::stop_token stop, const Snapshot& snapshot);
  // After a transaction without a clear answer: the token, if the key is this process's and attached to this lease.
  std::optional<std::uint64_t> find_own_key(StoreClient& store, const char* key, std::uint64_t session_lease) const;
  void begin_term(const AcquiredLease& lease, const Snapshot& snapshot, std::optional<LedgerSnapshot> ledger);
  std::unique_ptr<Term> make_term(const AcquiredLease& lease, const Snapshot& snapshot, std::optional<LedgerSnapshot> ledger) const;
  [[nodiscard]] double lease_valid_until(double requested_at) const;

  // Renews the lease until leadership ends.
  void hold_leadership(StoreClient& store, std::stop_token stop);
  // One renewal; false when leadership has ended.
  bool renew(StoreClient& store, std::uint64_t session_lease, std::uint64_t term, double slept_at);
  // What the answer to a renewal means; false when leadership has ended.
  bool apply_renewal(Lock& lock, StoreClient& store, std::uint64_t session_lease, StoreStatus status, double requested_at);
  void give_back_on_stop(std::uint64_t session_lease, std::uint64_t term);
  // Gives the lease back when nothing is on its way into the ledger, so that another controller leads at once.
  void hand_over(Lock& lock, StoreClient& store, std::uint64_t session_lease, const char* reason, double backoff_s);
  // Waits until no answer that may become outdated can be given any more, by this controller or one that it was passed on to.
  void wait_out_answers(Lock& lock) const;
  // The leader's key is of an earlier process of this controller: it goes, so that another one leads. Whether it was not.
  bool clear_own_key(StoreClient& store, std::stop_token stop, const Snapshot& snapshot);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  LedgerRecovery& recovery_;
  HeartbeatRelay& relay_;
  ControllerMetrics& metrics_;
  // Used by this duty's thread alone:
  LeadershipBackoff backoff_;
  std::mt19937_64 random_{std::random_device{}()};
  std::uint32_t logged_version_ = 0;
  double vacant_since_ = 0;  // steady seconds; 0: some controller leads, as far as is known
  bool uncertain_ = false;   // the lease could not be renewed in time
};

}  // namespace thistlefront
