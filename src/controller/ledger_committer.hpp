// Writes the ledger while this controller leads: recovers the cluster state at the start of a term, then commits queued records,
// many in one transaction. Each transaction is conditional on the leader's key (its modification revision is the fencing token),
// so that a late transaction of a deposed leader fails. Records are applied to the cluster state only once they are known to be
// committed. The committer's thread also sends the changes that must not overlap with a commit: raising the fencing token and
// rollout steps.
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
  // Runs until a stop is requested.
  void run(std::stop_token stop);

 private:
  // A transaction that is being sent. Used only by the committer's thread.
  struct Transaction {
    std::uint64_t term = 0;
    LedgerWriter::PendingCommit pending;
    std::string body, leader_key;
    std::string last_key;                     // of the last entry that it writes; the leader's key if it writes no entry
    std::size_t largest_value = 0;            // bytes
    bool only_leader_key_guards = false;      // all other conditions only require keys to be absent: the first entry ever
    bool has_unacknowledged_attempt = false;  // the outcome of some attempt is unknown
  };
  // Outcomes of a transaction.
  struct Committed {
    std::uint64_t revision = 0;
  };
  struct Deposed {
    const char* reason = "";
  };
  struct Refused {};    // the store found it too large or malformed
  struct Abandoned {};  // the term has ended, or the thread has to stop
  using Outcome = std::variant<Committed, Deposed, Refused, Abandoned>;

  // Commits records until the term ends or the thread has to stop.
  void run_term(StoreClient& store, std::stop_token stop, Lock& lock, std::uint64_t term);
  // Waits until a write is due. Returns false if the term has ended or the thread has to stop.
  bool wait_for_due_work(Lock& lock, std::stop_token stop, std::uint64_t term);
  [[nodiscard]] bool has_urgent_change(std::uint64_t term) const;
  // Whether it is time to rewrite entries of another format version. They are rewritten even if no record is queued.
  [[nodiscard]] bool is_rewrite_due() const;
  [[nodiscard]] double rewrite_period_s() const;

  void commit(StoreClient& store, std::stop_token stop, Lock& lock);
  // Returns nullopt if there is nothing to write.
  std::optional<Transaction> prepare();
  Outcome send_until_resolved(StoreClient& store, std::stop_token stop, Transaction& transaction);
  // After a conflict, or a refusal while the outcome of an earlier attempt is unknown: finds out whether an earlier attempt was
  // committed or another leader wrote. Returns nullopt if neither is known.
  static std::optional<Outcome> resolve_conflict(StoreClient& store, StoreStatus status, const std::vector<std::string>& failed,
                                                 const Transaction& transaction);
  // Pauses before the next attempt. Returns false if the transaction is abandoned.
  bool pause_before_retry(std::stop_token stop, std::uint64_t term);
  void handle_refusal(const Lock& lock, Transaction& transaction);
  void apply(Transaction& transaction, std::uint64_t revision);
  void apply_record(const QueuedRecord& queued, std::uint64_t entry);
  void observe_before_apply(const Record& record);

  // Raises the fencing token within the term: an agent that has seen the new token refuses commands sent under the old one. Returns
  // false if the token has not been raised.
  bool raise_fencing_token(StoreClient& store, std::stop_token stop, Lock& lock);
  // Reads the leader's key after a conflict. Sets `token` if this process has raised it, else `deposed`; sets neither if the store does
  // not reply.
  void read_back_raised_token(StoreClient& store, const std::string& key, std::uint64_t old_token, std::optional<std::uint64_t>& token,
                              bool& deposed) const;

  void record_task_start(const TasksStartedRecord& start);
  void record_task_completion(const TasksCompletedRecord& completion);
  // Logs the jobs and nodes that failures were attributed to.
  void log_attribution_decisions();
  void charge_writes(std::size_t changes);

  SharedState& shared_;
  CommitQueue& commit_queue_;
  LedgerRecovery& recovery_;
  RolloutManager& rollout_;
  ControllerMetrics& metrics_;
};

}  // namespace thistlefront
