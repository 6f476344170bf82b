#include "ledger/ledger_writer.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"

namespace thistlefront {

namespace {
constexpr std::uint32_t kWidestLevel = UINT32_MAX;  // of all, the one whose records say the most
constexpr std::size_t kEndedInRecord = 100;
constexpr std::size_t kLookedBack = 256;   // records of the queue
constexpr std::size_t kMostJoined = 40;    // ranges of ends in one record: well inside an entry
constexpr std::size_t kEndedExtras = 30;   // bytes, of an ended job whose end must stay known
constexpr std::size_t kItemsBeside = 250;  // bytes kept for a job's tasks beside its description
constexpr double kRecordShare = 0.9;       // of an entry's room, for one record
constexpr std::size_t kRemovesACommit = 2;
constexpr std::size_t kKeyDigits = 12;
constexpr std::size_t kHeadBytes = 64;      // of an entry of level 1, beside its records
constexpr std::size_t kCheckedBytes = 200;  // of one from level 2 on
constexpr std::size_t kSpareSlots = 4;
}  // namespace

std::string entry_key(std::uint64_t n) {
  auto digits = std::to_string(n);
  return kLedgerPrefix + std::string(kKeyDigits - std::min(kKeyDigits, digits.size()), '0') + digits;
}

std::uint64_t entry_number(const std::string& key) {
  return std::stoull(key.substr(std::string(kLedgerPrefix).size()));
}

LedgerWriter::LedgerWriter(Contents found, std::uint32_t format_version)
    : format_version_(found.format_version == 0 ? format_version : found.format_version),
      generation_(found.generation),
      first_(found.first),
      next_(found.next),
      seq_(found.seq),
      same_version_from_(found.same_version_from),
      before_(found.link),
      compactor_(std::move(found.compactor)),
      kept_(std::move(found.kept)),
      free_(std::move(found.free)) {
  // The newest entry found is left as it is; this writer's records go into entries of its own.
  set_format_version(format_version);
}

void LedgerWriter::set_format_version(std::uint32_t format_version) {
  if (format_version == format_version_) return;
  if (newest_mod_revision_ != 0) before_ = newest_link_;
  newest_mod_revision_ = 0;
  newest_records_.clear();
  newest_digest_ = 0;
  format_version_ = format_version;
  same_version_from_ = next_;
}

namespace {
const std::string* uid_of(const Record& record) {
  struct Of {
    const std::string* operator()(const JobAcceptedRecord& r) const { return &r.job.uid; }
    const std::string* operator()(const JobSnapshotRecord& r) const { return &r.accept.job.uid; }
    const std::string* operator()(const TasksStartedRecord& r) const { return &r.uid; }
    const std::string* operator()(const TasksCompletedRecord& r) const { return &r.uid; }
    const std::string* operator()(const TasksRemovedRecord& r) const { return &r.uid; }
    const std::string* operator()(const JobCancelledRecord& r) const { return &r.uid; }
    const std::string* operator()(const MachineTypesRecord&) const { return nullptr; }
    const std::string* operator()(const JobsEndedRecord&) const { return nullptr; }
    const std::string* operator()(const TeamQuotaRecord&) const { return nullptr; }
  };
  return std::visit(Of{}, record);
}
}  // namespace

bool is_as_written(const Put& put, const std::string& value) {
  const auto there = nlohmann::json::parse(value, nullptr, false);
  return !there.is_discarded() && there == nlohmann::json::parse(put.value);
}

bool merge_completions(std::deque<QueuedRecord>& queue, const Record& record) {
  const auto* ends = std::get_if<TasksCompletedRecord>(&record);
  if (!ends) return false;
  std::size_t looked = 0;
  for (auto it = queue.rbegin(); it != queue.rend() && looked < kLookedBack; ++it, ++looked) {
    const auto* uid = uid_of(it->record);
    if (!uid || *uid != ends->uid) continue;
    auto* earlier = std::get_if<TasksCompletedRecord>(&it->record);
    if (!earlier || earlier->tasks.size() + ends->tasks.size() > kMostJoined) return false;
    TaskRanges all = earlier->tasks;
    all.insert(all.end(), ends->tasks.begin(), ends->tasks.end());
    std::sort(all.begin(), all.end(), [](const TaskRange& a, const TaskRange& b) { return a.first < b.first; });
    earlier->tasks.clear();
    for (const auto& r : all) {
      if (!earlier->tasks.empty() && earlier->tasks.back().last >= r.first) {
        earlier->tasks.back().last = std::max(earlier->tasks.back().last, r.last);
      } else {
        earlier->tasks.push_back(r);
      }
    }
    earlier->at = std::max(earlier->at, ends->at);
    return true;
  }
  return false;
}

std::size_t max_record_bytes(std::size_t value_bytes) {
  const auto room = value_bytes > 2 * kCheckedBytes ? value_bytes - kCheckedBytes : kCheckedBytes;
  return std::min(kRecordBytes, static_cast<std::size_t>(static_cast<double>(room) * kRecordShare));
}

bool LedgerWriter::fits_in_entry(const JobAcceptedRecord& accept, std::size_t value_bytes) {
  JobSnapshotRecord job;
  job.accept = accept;
  return encode_record(job, kWidestLevel).text.size() + kItemsBeside + kCheckedBytes <= value_bytes;
}

bool LedgerWriter::fits_in_entry(const MachineTypesRecord& machine_types, std::size_t value_bytes) {
  return encode_record(machine_types, kWidestLevel).text.size() + kCheckedBytes <= value_bytes;
}

LedgerWriter::PendingCommit LedgerWriter::prepare_commit(const ClusterState& cluster_state, std::deque<QueuedRecord>& queue,
                                                         const Limits& limits) const {
  PendingCommit out;
  out.first = first_;
  out.seq = seq_ + 1;
  auto& entries = out.entries;
  entries.push_back({newest_mod_revision_ ? next_ - 1 : next_, {}, newest_records_, newest_digest_, before_, 0});
  const std::size_t head = has_checksums(format_version_) ? kCheckedBytes : kHeadBytes;
  const auto fit = [&](const Record& record) {
    const auto encoded = encode_record(record, format_version_);
    const auto& text = encoded.text;
    if (text.size() + head > limits.value_bytes) out.too_large.push_back(std::to_string(text.size()) + " bytes: " + text.substr(0, 60));
    const auto& last = entries.back();
    if (!last.records.empty() && last.records.size() + text.size() + head > limits.value_bytes) {
      if (entries.size() >= limits.max_puts) return false;
      entries.push_back({last.n + 1, {}, {}, 0, 0, 0});
    }
    auto& to = entries.back();
    if (!to.records.empty()) to.records += ',';
    to.records += text;
    to.digest = digest_with_record(to.digest, encoded);
    return true;
  };
  // First what is written anew: it is true at this point of the ledger, before the records that follow.
  auto& rewrites = out.rewrites;
  rewrites = compactor_.next_rewrites(cluster_state, first_, next_, limits.value_bytes, limits.length_factor);
  // Entries of another level go a little sooner than the ledger's length asks for.
  if (rewrites.empty() && has_old_entries())
    rewrites = compactor_.rewrites_of_oldest(cluster_state, newest_mod_revision_ ? next_ : next_ + 1, limits.value_bytes / 8);
  JobsEndedRecord ended[2] = {{JobStatus::done, {}}, {JobStatus::cancelled, {}}};
  std::size_t ended_bytes[2] = {0, 0};
  bool all_fit = true;
  const auto join = [&](JobsEndedRecord& e) {
    if (!e.uids.empty()) all_fit = fit(e) && all_fit;
    ended_bytes[e.status == JobStatus::cancelled] = 0;
    e = {e.status, {}};
  };
  // Ended jobs are joined into few records; where these do not fit, nothing counts as written anew.
  std::stable_partition(rewrites.begin(), rewrites.end(),
                        [](const LedgerCompactor::Item& r) { return std::holds_alternative<JobsEndedRecord>(r.record); });
  for (auto& r : rewrites) {
    if (const auto* e = std::get_if<JobsEndedRecord>(&r.record)) {
      auto& to = ended[e->status == JobStatus::cancelled];
      auto& bytes = ended_bytes[e->status == JobStatus::cancelled];
      const auto more = e->uids.front().size() + 3 + (e->done_at.empty() && e->services.empty() ? 0 : kEndedExtras);
      if (to.uids.size() >= kEndedInRecord || bytes + more > cluster_state.record_bytes() / 2) join(to);
      bytes += more;
      const auto place = static_cast<std::uint32_t>(to.uids.size());
      if (!e->done_at.empty()) to.done_at.emplace_back(place, e->done_at.front().second);
      if (!e->services.empty()) to.services.push_back(place);
      to.uids.push_back(e->uids.front());
      out.rewritten_in.push_back(entries.back().n);
      continue;
    }
    // A level without a form for teams' terms is lowered to only where they are the settings'.
    // A list of machine types that fits into no entry is each leader's own, from the cloud.
    const auto* machine_types = std::get_if<MachineTypesRecord>(&r.record);
    const bool no_form = (std::holds_alternative<TeamQuotaRecord>(r.record) && !has_team_quotas(format_version_)) ||
                         (machine_types && !fits_in_entry(*machine_types, limits.value_bytes));
    if (!no_form && !fit(r.record)) break;
    out.rewritten_in.push_back(entries.back().n);
  }
  join(ended[0]);
  join(ended[1]);
  if (!all_fit) out.rewritten_in.clear();
  while (!queue.empty()) {
    if (!fit(queue.front().record)) break;
    out.batch.push_back(std::move(queue.front()));
    out.batch_entries.push_back(entries.back().n);
    queue.pop_front();
  }
  // A tail already full needs no rewriting.
  const bool tail_as_it_was = entries.front().records.size() == newest_records_.size();
  const bool nothing = tail_as_it_was && entries.size() == 1;
  out.free = free_;
  if (nothing && !has_old_entries()) return out;
  const auto written_from = tail_as_it_was ? 1u : 0u;
  // The oldest entries in which no job begins any more. One entry stays, whatever it holds: an empty ledger would be a new
  // fleet's.
  const auto below =
      std::min({compactor_.oldest_needed(next_), entries.front().n + (nothing ? 0 : written_from), nothing ? next_ - 1 : next_});
  shorten(out, below, nothing ? 0 : entries.size() - written_from, limits);
  if (nothing) return out;
  // Each is linked to the one before, the one that is not written again included.
  EntryHead said{format_version_, generation_, out.seq, 0, 0, reuses_keys(format_version_) || !out.free.empty() ? out.first : 0};
  for (std::size_t i = 0; i < entries.size(); ++i) {
    auto& e = entries[i];
    if (i > 0) e.before = entries[i - 1].link;
    said.number = e.n;
    const bool unchanged = i < written_from && newest_mod_revision_ != 0;
    e.link = unchanged ? newest_link_ : has_checksums(format_version_) ? link_of(e.before, e.n, check_of(said, e.digest)) : 0;
  }
  // A new entry hangs on the one before it, too. Carried out late, after newer ones of the same lead had removed it again, it
  // found its key as absent as at first and came back: at levels 2 and 3 a ledger that nobody can read. What is removed goes
  // oldest first, so the one before is gone by then.
  if ((newest_mod_revision_ == 0 || tail_as_it_was) && !kept_.empty()) {
    const LedgerSlot& newest = kept_.rbegin()->second;
    out.conditions.push_back({entry_key(newest.number), newest.mod_revision});
  }
  if (tail_as_it_was) entries.erase(entries.begin());
  for (const auto& e : entries) {
    assert(e.n >= same_version_from_);
    said.number = e.n;
    said.previous_link = e.before;
    out.conditions.push_back({entry_key(e.slot.number), e.slot.mod_revision});
    out.puts.push_back({entry_key(e.slot.number), entry_value(said, e.records, e.digest), 0});
  }
  return out;
}

void LedgerWriter::shorten(PendingCommit& out, std::uint64_t below, std::size_t puts, const Limits& limits) const {
  const auto room = [&] { return out.removes.size() < kRemovesACommit && puts + out.removes.size() < limits.max_changes; };
  const auto remove = [&](const LedgerSlot& slot) { out.removes.push_back(entry_key(slot.number)); };
  const bool reuses = reuses_keys(format_version_) && puts > 0;
  if (reuses) {
    // What the newest entry says is not needed is passed over, whether it is still there or not.
    for (; out.first < below; ++out.first) out.free.push_back(kept_.at(out.first));
  } else {
    // An older build would read all that is there: first what is left of that.
    for (; !out.free.empty() && room(); out.free.pop_front()) remove(out.free.front());
    for (; out.free.empty() && out.first < below && room(); ++out.first) remove(kept_.at(out.first));
  }
  for (auto& e : out.entries) {
    if (e.n < next_) {
      e.slot = kept_.at(e.n);
    } else if (reuses && !out.free.empty()) {
      e.slot = out.free.front();
      out.free.pop_front();
    } else {
      e.slot = {e.n, 0};  // higher than any key before it
    }
  }
  for (; reuses && out.free.size() > kSpareSlots && room(); out.free.pop_back()) remove(out.free.back());
}

void LedgerWriter::record_committed(const PendingCommit& pending_commit, std::uint64_t mod_revision) {
  first_ = pending_commit.first;
  free_ = pending_commit.free;
  kept_.erase(kept_.begin(), kept_.lower_bound(first_));
  if (!pending_commit.puts.empty()) {
    const auto& last = pending_commit.entries.back();
    seq_ = pending_commit.seq;
    newest_records_ = last.records;
    newest_digest_ = last.digest;
    before_ = last.before;
    newest_link_ = last.link;
    newest_mod_revision_ = mod_revision;
    next_ = last.n + 1;
    for (const auto& e : pending_commit.entries) kept_[e.n] = {e.slot.number, mod_revision};
  }
  compactor_.record_rewritten(pending_commit.rewrites, pending_commit.rewritten_in);
}

}  // namespace thistlefront
