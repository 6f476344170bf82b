// Reads the ledger into a cluster state: before a takeover, and again after it if the ledger changed in between. Used by
// LeaderElection and LedgerCommitter, each on its own thread. Reads from the key-value store without holding a lock.
#pragma once
#include <cstdint>
#include <functional>
#include <stop_token>
#include <string>
#include <variant>

#include "controller/commit_queue.hpp"
#include "controller/shared_state.hpp"
#include "controller/store_client.hpp"
#include "ledger/ledger_reader.hpp"

namespace thistlefront {

// This build cannot read the ledger.
struct UnreadableLedger {
  std::string reason;
};
// The key-value store did not reply, the read was cancelled, or the term ended.
struct ReadAborted {};

// No ledger was read before the takeover, or it has changed since.
struct NoCurrentLedger {};

using LedgerReadResult = std::variant<LedgerSnapshot, UnreadableLedger, ReadAborted>;
using PrereadResult = std::variant<LedgerSnapshot, NoCurrentLedger, ReadAborted>;

class LedgerRecovery {
 public:
  LedgerRecovery(SharedState& shared, CommitQueue& commit_queue);

  // Reads the whole ledger. `retry` decides whether to repeat a request that the store did not reply to.
  LedgerReadResult read(StoreClient& store, std::stop_token stop, const std::function<bool()>& retry) const;
  // Builds the cluster state of the given term and makes this controller the deciding leader. Returns false if it could not, or if
  // the term has ended.
  bool recover(StoreClient& store, std::stop_token stop, std::uint64_t term);

 private:
  // Returns the ledger that was read before the takeover, if it has not changed since.
  PrereadResult unchanged_preread(StoreClient& store, std::stop_token stop, std::uint64_t term);
  // Makes this controller the deciding leader. Returns false if the term has ended.
  bool lead_with(LedgerSnapshot ledger, std::uint64_t term, double started_at);
  // Takes `mutex` of the shared state.
  [[nodiscard]] bool is_term(std::uint64_t term) const;
  void begin_leading(LedgerSnapshot ledger, double started_at);
  void handle_unreadable(const std::string& reason);

  SharedState& shared_;
  CommitQueue& commit_queue_;
};

}  // namespace thistlefront
