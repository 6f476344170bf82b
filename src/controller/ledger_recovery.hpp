// Reads the ledger into a cluster state: before this controller takes the lead, and after, when something changed in between.
// Used by LeaderElection and LedgerCommitter, each on its own thread; reads from the key-value store without any lock held.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <variant>

#include "controller/commit_queue.hpp"
#include "controller/shared_state.hpp"
#include "controller/store_client.hpp"
#include "ledger/ledger_reader.hpp"

namespace thistlefront {

// The ledger holds something that this build can't read.
struct UnreadableLedger {
  std::string reason;
};
// The key-value store did not answer, or reading was given up.
struct ReadAborted {};

using LedgerReadResult = std::variant<LedgerSnapshot, UnreadableLedger, ReadAborted>;

class LedgerRecovery {
 public:
  LedgerRecovery(SharedState& shared, CommitQueue& commit_queue);

  // Reads the whole ledger. Where the store does not answer, `retry` says whether to ask again.
  LedgerReadResult read(StoreClient& store, std::stop_token stop, const std::function<bool()>& retry) const;
  // Makes the cluster state of the given term, which then leads; false when it could not, or the term has ended.
  bool recover(StoreClient& store, std::stop_token stop, std::uint64_t term);

 private:
  // The ledger as it was read before the lead was taken, if nothing was written since. `aborted`: that is not known.
  std::optional<LedgerSnapshot> unchanged_preread(StoreClient& store, std::stop_token stop, std::uint64_t term, bool& aborted);
  void begin_leading(LedgerSnapshot ledger, double began);
  void handle_unreadable(const std::string& reason);

  SharedState& shared_;
  CommitQueue& commit_queue_;
};

}  // namespace thistlefront
