// Records waiting to be committed to the ledger. Any part of the controller enqueues records and may wait until they are committed
// and applied; only LedgerCommitter dequeues them. Guarded by SharedState::mutex; emptied when the term ends.
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

// How soon a record has to be committed. Deferrable records wait briefly to join a later commit, so that many task completions cost
// few writes.
enum class CommitPriority { user_waiting, immediate, deferrable };

class CommitQueue {
 public:
  // `allowed_writes_per_s`: changes per second that the key-value store accepts from all controllers together.
  CommitQueue(SharedState& shared, double allowed_writes_per_s);

  // ---- for all parts of the controller
  // Returns the ticket of the last record.
  std::uint64_t enqueue(std::vector<Record> records, CommitPriority priority = CommitPriority::immediate);
  // Waits until the record with this ticket is committed and applied. Returns false on a time-out or if the term has ended.
  bool wait_applied(Lock& lock, std::uint64_t ticket, double timeout_s);
  [[nodiscard]] bool is_applied(std::uint64_t ticket) const { return applied_ticket_ >= ticket; }
  // Waits until `done` returns true. It is evaluated after each commit, after the ledger has been read, and at the end of the term.
  void wait_for_progress(Lock& lock, double timeout_s, const std::function<bool()>& done);
  [[nodiscard]] std::size_t size() const { return records_.size(); }
  // Whether nothing is queued and no commit is under way.
  [[nodiscard]] bool is_idle() const { return records_.empty() && !committing_; }
  // Seconds since the first failed commit after the latest successful one; 0: the latest commit succeeded.
  [[nodiscard]] double failing_duration_s(double now) const { return failing_since_ != 0 ? now - failing_since_ : 0; }
  [[nodiscard]] bool is_failing() const { return failing_since_ != 0; }
  [[nodiscard]] double allowed_writes_per_s() const { return write_limiter_.rate(); }
  // Wakes the committer for a change that is not a record: a requested fencing token or a rollout step.
  void wake_committer() { work_added_.notify_all(); }

  // ---- submissions whose acceptance records are queued
  [[nodiscard]] std::optional<std::uint64_t> ticket_of_submission(const std::string& uid) const;
  [[nodiscard]] bool has_submission(const std::string& uid) const { return submissions_.contains(uid); }
  void add_submission(const std::string& uid, std::uint64_t ticket) { submissions_.emplace(uid, ticket); }
  void remove_submission(const std::string& uid) { submissions_.erase(uid); }

  // ---- size limits of writes
  // Maximum size of a ledger entry in bytes.
  [[nodiscard]] std::size_t max_entry_bytes() const;
  [[nodiscard]] LedgerWriter::Limits transaction_limits() const;
  // Halves the size limits, after the key-value store refused a write within the configured limits. Returns false if they are at
  // their minimum.
  bool shrink_writes();

  // ---- for the committer
  [[nodiscard]] std::deque<QueuedRecord>& records() { return records_; }
  // Whether a queued record has to be committed now.
  [[nodiscard]] bool is_due(double now) const { return !records_.empty() && now >= due_at_; }
  [[nodiscard]] double due_at() const { return due_at_; }
  // Waits until `wanted` returns true or the time-out expires.
  void wait_for_work(Lock& lock, std::stop_token stop, const std::function<bool()>& wanted);
  void wait_for_work(Lock& lock, std::stop_token stop, double timeout_s, const std::function<bool()>& wanted);
  // Waits until the rate limit allows a write. Part of the rate is reserved for records that users wait for.
  void wait_for_write_permit(Lock& lock, std::stop_token stop, bool for_users);
  void charge_writes(std::size_t changes) { write_limiter_.charge(static_cast<double>(changes)); }
  // Called after records were dequeued for a commit.
  void handle_records_taken();
  // Puts records back at the front of the queue, in their order.
  void requeue(std::vector<QueuedRecord> batch);
  void set_committing(bool committing) { committing_ = committing; }
  void set_applied(std::uint64_t ticket) { applied_ticket_ = ticket; }
  void notify_progress() { progress_.notify_all(); }
  // Records that a write failed at `now`. Returns true if the write before it had succeeded.
  bool record_failure(double now);
  // Records that a write succeeded. Returns for how many seconds writes had failed before.
  double record_success(double now);
  // Discards what an earlier term queued.
  void clear();

 private:
  SharedState& shared_;
  std::deque<QueuedRecord> records_;
  std::uint64_t last_ticket_ = 0, applied_ticket_ = 0;
  bool users_waiting_ = false;  // for some of the queued records
  double due_at_ = 0;           // steady seconds at which the queued records have to be committed
  bool committing_ = false;
  double failing_since_ = 0;  // steady seconds; 0: the latest write succeeded
  std::size_t shrink_factor_ = 1;
  WriteRateLimiter write_limiter_;
  std::unordered_map<std::string, std::uint64_t> submissions_;  // uid -> ticket
  std::condition_variable_any work_added_;
  std::condition_variable_any progress_;
};

}  // namespace thistlefront
