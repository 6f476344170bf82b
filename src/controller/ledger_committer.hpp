// Writes the ledger while this controller leads: recovers the cluster state at the begin of a term, then commits queued
// records, many in one transaction. Each transaction is conditional on the leader's key (its modification revision is the
// fencing token), so that a late one of a deposed leader fails. Records are applied to the cluster state only when they are
// known to be committed. It also sends what else must not overlap with a commit: a raised fencing token, a step of a roll-out.
#pragma once
#include <cstdint>
#include <optional>
#include <stop_token>
#include <string>
#include <variant>

#include "controller/commit_queue.hpp"
#include "controller/controller_metrics.hpp"
#include "controller/ledger_recovery.hpp"
#include "controller/rollout_manager.hpp"
#include "controller/shared_state.hpp"
#include "controller/store_client.hpp"
#include "ledger/ledger_writer.hpp"

namespace thistlefront {

class LedgerCommitter {
 public:
  LedgerCommitter(SharedState& shared, CommitQueue& commit_queue, LedgerRecovery& recovery, RolloutManager& rollout,
                  ControllerMetrics& metrics);
  // Until asked to stop.
  void run(std::stop_token stop);

 private:
  // A commit on its way. Not touched by other threads.
  struct Transaction {
    std::uint64_t term = 0;
    LedgerWriter::PendingCommit pending;
    std::string body, leader_key;
    std::string last_key;             // of the entries that it writes, or the leader's where it writes none
    std::size_t largest_value = 0;    // bytes
    bool only_leader_guards = false;  // nothing but the leader's key conditions it: the first entry ever
    bool was_in_doubt = false;        // some try of it got no answer
  };
  // What became of a transaction.
  struct Committed {
    std::uint64_t revision = 0;
  };
  struct Deposed {
    const char* reason = "";
  };
  struct Refused {};    // by the store: it is too large, or malformed
  struct Abandoned {};  // the term has ended, or the thread is to stop
  using Outcome = std::variant<Committed, Deposed, Refused, Abandoned>;

  void lead(StoreClient& store, std::stop_token stop, Lock& lock, std::uint64_t term);
  // Waits until something must be written; false when the term has ended or the thread is to stop.
  bool wait_for_work(Lock& lock, std::stop_token stop, std::uint64_t term);
  [[nodiscard]] bool has_urgent_change(std::uint64_t term) const;
  // Entries of another format version are rewritten also while nothing else is to be written.
  [[nodiscard]] bool is_rewrite_due() const;
  [[nodiscard]] double rewrite_period_s() const;

  void commit(StoreClient& store, std::stop_token stop, Lock& lock);
  // Nothing where there is nothing to write.
  std::optional<Transaction> prepare();
  Outcome send(StoreClient& store, std::stop_token stop, Transaction& transaction);
  // After a conflict, or a refusal where an earlier try is in doubt: whether an earlier try was committed, or another leader
  // wrote. Nothing where that is not known.
  static std::optional<Outcome> resolve_conflict(StoreClient& store, StoreStatus status, const std::vector<std::string>& failed,
                                                 const Transaction& transaction);
  // Pauses before the next try; false when it is given up.
  bool pause_before_retry(std::stop_token stop, std::uint64_t term);
  void handle_refusal(const Lock& lock, Transaction& transaction);
  void apply(Transaction& transaction, std::uint64_t revision);
  void apply_record(const QueuedRecord& queued, std::uint64_t entry);
  void observe_before_apply(const Record& record);

  // Raises the fencing token of the same term: commands sent under the lower one are refused by every agent that has seen it.
  // False when the token is not raised yet.
  bool raise_fencing_token(StoreClient& store, std::stop_token stop, Lock& lock);
  // The leader's key after a conflict: `token` if this process raised it; `deposed` if it is another's.
  void resolve_raise(StoreClient& store, const std::string& key, std::uint64_t old_token, std::optional<std::uint64_t>& token,
                     bool& deposed) const;

  void record_start(const TasksStartedRecord& start);
  void record_completion(const TasksCompletedRecord& completion);
  // Logs which jobs and nodes were judged to be at fault for failures.
  void log_verdicts();
  void charge_writes(std::size_t changes);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  LedgerRecovery& recovery_;
  RolloutManager& rollout_;
  ControllerMetrics& metrics_;
};

}  // namespace thistlefront
