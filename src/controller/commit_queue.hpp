// Records on their way into the ledger. Any duty queues them and may wait until they are committed and applied;
// LedgerCommitter alone takes them out. Guarded by SharedState::mutex throughout; emptied when the term ends.
#pragma once
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <stop_token>
#include <string>
#include <unordered_map>
#include <vector>

#include "controller/shared_state.hpp"
#include "ledger/ledger_writer.hpp"
#include "ledger/write_rate_limiter.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {

// How soon a record must go. Deferrable ones wait a moment and join the next commit, so that many ends of tasks cost few writes.
enum class CommitPriority { user_waiting, immediate, deferrable };

class CommitQueue {
 public:
  // `allowed_writes_per_s`: changes that the key-value store takes in a second from all controllers.
  CommitQueue(SharedState& shared, double allowed_writes_per_s);

  // ---- for any duty
  // Returns the ticket of the last record.
  std::uint64_t enqueue(std::vector<Record> records, CommitPriority priority = CommitPriority::immediate);
  // Waits until the record with this ticket is in the ledger and applied; false when that is not certain.
  bool wait_applied(Lock& lock, std::uint64_t ticket, double timeout_s);
  [[nodiscard]] bool is_applied(std::uint64_t ticket) const { return applied_ticket_ >= ticket; }
  // Waits for `done`, which is looked at after each commit, once the ledger has been read, and when the term ends.
  void wait_for_progress(Lock& lock, double timeout_s, const std::function<bool()>& done);
  [[nodiscard]] std::size_t size() const { return records_.size(); }
  // Nothing is queued, and no commit is under way.
  [[nodiscard]] bool is_idle() const { return records_.empty() && !committing_; }
  // For how long commits have failed, in seconds; 0: the latest one succeeded.
  [[nodiscard]] double failing_for(double now) const { return failing_since_ != 0 ? now - failing_since_ : 0; }
  [[nodiscard]] bool is_failing() const { return failing_since_ != 0; }
  [[nodiscard]] double allowed_writes_per_s() const { return write_limiter_.rate(); }
  // Wakes the committer for something that is not a record: a raised token, a step of a roll-out.
  void wake_committer() { work_added_.notify_all(); }

  // ---- submissions whose acceptance is queued
  [[nodiscard]] std::optional<std::uint64_t> ticket_of_submission(const std::string& uid) const;
  [[nodiscard]] bool has_submission(const std::string& uid) const { return submissions_.contains(uid); }
  void add_submission(const std::string& uid, std::uint64_t ticket) { submissions_.emplace(uid, ticket); }
  void remove_submission(const std::string& uid) { submissions_.erase(uid); }

  // ---- limits of one write
  // Bytes that an entry of the ledger stays below.
  [[nodiscard]] std::size_t entry_bytes() const;
  // Limits of one transaction.
  [[nodiscard]] LedgerWriter::Limits transaction_limits() const;
  // The key-value store takes less than the settings say: smaller writes from now on; false where they are small already.
  bool shrink_writes();

  // ---- for the committer
  [[nodiscard]] std::deque<QueuedRecord>& records() { return records_; }
  // Some record must go now.
  [[nodiscard]] bool is_due(double now) const { return !records_.empty() && now >= due_at_; }
  [[nodiscard]] double due_at() const { return due_at_; }
  // Waits until `wanted`, or until the time is over.
  void wait_for_work(Lock& lock, std::stop_token stop, const std::function<bool()>& wanted);
  void wait_for_work(Lock& lock, std::stop_token stop, double timeout_s, const std::function<bool()>& wanted);
  // Waits until the rate limit allows a write. Some of the writes are kept for records that users wait for.
  void await_write(Lock& lock, std::stop_token stop, bool for_users);
  void charge_writes(std::size_t changes) { write_limiter_.charge(static_cast<double>(changes)); }
  // Some of the records were taken out for a commit.
  void records_taken();
  // Puts records back in front, in their order.
  void requeue(std::vector<QueuedRecord> batch);
  void set_committing(bool committing) { committing_ = committing; }
  void set_applied(std::uint64_t ticket) { applied_ticket_ = ticket; }
  void notify_progress() { progress_.notify_all(); }
  // Notes that a write failed at `now`; true if the one before it had not.
  bool record_failure(double now);
  // Notes that a write succeeded; for how long none had.
  double record_success(double now);
  // Drops what an earlier term queued.
  void clear();

 private:
  SharedState& shared_;
  std::deque<QueuedRecord> records_;
  std::uint64_t last_ticket_ = 0, applied_ticket_ = 0;
  bool users_waiting_ = false;  // for some of what is queued
  double due_at_ = 0;           // steady seconds: when what is queued must go
  bool committing_ = false;
  double failing_since_ = 0;  // steady seconds
  std::size_t shrink_factor_ = 1;
  WriteRateLimiter write_limiter_;
  std::unordered_map<std::string, std::uint64_t> submissions_;  // uid -> ticket
  std::condition_variable_any work_added_;
  std::condition_variable_any progress_;
};

}  // namespace thistlefront
