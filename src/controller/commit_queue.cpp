#include "controller/commit_queue.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <iterator>

#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kDeferralInWrites = 2.5;     // a deferrable record waits for the duration of this many writes at the allowed rate
constexpr double kMinValueKb = 1;             // the size limit of a value is not shrunk below this
constexpr std::size_t kMinChanges = 4;        // the limit of changes in one transaction is not shrunk below this
constexpr std::size_t kMaxPuts = 6;           // entries written in one transaction
constexpr double kUsableValueFraction = 0.9;  // of the store's size limit for a value
constexpr double kBytesPerKb = 1024;

auto to_duration(double seconds) {
  return std::chrono::duration<double>(seconds);
}
}  // namespace

CommitQueue::CommitQueue(SharedState& shared, double allowed_writes_per_s) : shared_(shared), write_limiter_(allowed_writes_per_s) {
  shared_.add_step_down_listener([this] {
    clear();
    failing_since_ = 0;  // a later term must not refuse users because writes of this term failed
    work_added_.notify_all();
    progress_.notify_all();
  });
}

void CommitQueue::clear() {
  records_.clear();
  users_waiting_ = false;
  submissions_.clear();
}

std::uint64_t CommitQueue::enqueue(std::vector<Record> records, CommitPriority priority) {
  const double deferred = priority == CommitPriority::deferrable ? kDeferralInWrites / write_limiter_.rate() : 0;
  const double due_at = steady_now() + deferred;
  due_at_ = records_.empty() ? due_at : std::min(due_at_, due_at);
  if (priority == CommitPriority::user_waiting) users_waiting_ = true;
  for (auto& record : records)
    if (!merge_completions(records_, record)) records_.push_back({std::move(record), ++last_ticket_});
  work_added_.notify_all();
  return last_ticket_;
}

bool CommitQueue::wait_applied(Lock& lock, std::uint64_t ticket, double timeout_s) {
  const auto term = shared_.term_number;
  progress_.wait_for(lock, to_duration(timeout_s), [&] { return !shared_.is_term(term) || is_applied(ticket); });
  return shared_.is_term(term) && is_applied(ticket);
}

void CommitQueue::wait_for_progress(Lock& lock, double timeout_s, const std::function<bool()>& done) {
  progress_.wait_for(lock, to_duration(timeout_s), done);
}

std::optional<std::uint64_t> CommitQueue::ticket_of_submission(const std::string& uid) const {
  const auto it = submissions_.find(uid);
  return it == submissions_.end() ? std::nullopt : std::optional(it->second);
}

std::size_t CommitQueue::max_entry_bytes() const {
  return static_cast<std::size_t>(shared_.config.settings.max_value_kb * kBytesPerKb * kUsableValueFraction) / shrink_factor_;
}

LedgerWriter::Limits CommitQueue::transaction_limits() const {
  const auto changes = static_cast<std::size_t>(shared_.config.settings.max_txn_ops) / shrink_factor_;
  const auto puts = std::max<std::size_t>(2, std::min<std::size_t>(changes - 1, kMaxPuts));
  return {max_entry_bytes(), puts, changes, write_limiter_.length_factor(max_entry_bytes())};
}

bool CommitQueue::shrink_writes() {
  const auto next = shrink_factor_ * 2;
  const auto& settings = shared_.config.settings;
  if (settings.max_value_kb / static_cast<double>(next) < kMinValueKb || settings.max_txn_ops / next < kMinChanges) return false;
  shrink_factor_ = next;
  spdlog::error("ledger: entries and transactions limited to 1/{} of what the settings allow", shrink_factor_);
  return true;
}

void CommitQueue::wait_for_work(Lock& lock, std::stop_token stop, const std::function<bool()>& wanted) {
  work_added_.wait(lock, stop, wanted);
}

void CommitQueue::wait_for_work(Lock& lock, std::stop_token stop, double timeout_s, const std::function<bool()>& wanted) {
  work_added_.wait_for(lock, stop, to_duration(timeout_s), wanted);
}

void CommitQueue::wait_for_write_permit(Lock& lock, std::stop_token stop, bool for_users) {
  const auto term = shared_.term_number;
  while (!stop.stop_requested() && shared_.is_term(term)) {
    const bool use_reserve = for_users || users_waiting_;
    const double delay = write_limiter_.delay_s(steady_now(), use_reserve);
    if (delay == 0) return;
    work_added_.wait_for(lock, stop, to_duration(delay), [&] { return !shared_.is_term(term) || (users_waiting_ && !use_reserve); });
  }
}

void CommitQueue::handle_records_taken() {
  due_at_ = 0;
  if (records_.empty()) users_waiting_ = false;
}

void CommitQueue::requeue(std::vector<QueuedRecord> batch) {
  records_.insert(records_.begin(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
  users_waiting_ = true;
}

bool CommitQueue::record_failure(double now) {
  if (failing_since_ != 0) return false;
  failing_since_ = now;
  return true;
}

double CommitQueue::record_success(double now) {
  const double failed_for = failing_duration_s(now);
  failing_since_ = 0;
  return failed_for;
}

}  // namespace thistlefront
