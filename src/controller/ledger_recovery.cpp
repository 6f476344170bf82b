#include "controller/ledger_recovery.hpp"

#include <spdlog/spdlog.h>

#include <memory>
#include <utility>
#include <vector>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kRereadPauseS = 1.0;
constexpr double kRetryPauseS = 0.1;          // after the key-value store did not reply
constexpr double kUnreadableHandOverS = 8.0;  // from the takeover to the hand-over, if the ledger was known to be unreadable

std::vector<Team> configured_teams(const Settings& settings) {
  std::vector<Team> teams;
  teams.reserve(settings.teams.size());
  for (const auto& team : settings.teams) teams.push_back({team.name, team.guarantee, team.limit, {}});
  return teams;
}
}  // namespace

LedgerRecovery::LedgerRecovery(SharedState& shared, CommitQueue& commit_queue) : shared_(shared), commit_queue_(commit_queue) {}

LedgerReadResult LedgerRecovery::read(StoreClient& store, std::stop_token stop, const std::function<bool()>& retry) const {
  LedgerSnapshot out;
  out.cluster_state =
      std::make_unique<ClusterState>(configured_teams(shared_.config.settings), max_record_bytes(commit_queue_.max_entry_bytes()));
  LedgerReader reader(*out.cluster_state, shared_.config.supported_versions.min_version, shared_.config.supported_versions.max_version);
  std::string from;
  for (bool first = true;; first = false) {
    EntryPage page;
    while (store.list_entries(kLedgerPrefix, from, page) != StoreStatus::ok)
      if (stop.stop_requested() || !retry() || !pause_for(stop, kRetryPauseS)) return ReadAborted{};
    if (first) out.revision = page.revision;
    bool readable = true;
    for (auto& row : page.rows) {
      from = row.key;
      readable = readable && reader.add_entry(std::move(row));
    }
    if (readable && !page.truncated) readable = reader.finish();
    if (!readable) return UnreadableLedger{reader.error()};
    if (!page.truncated) break;
  }
  out.entries = reader.applied_entries();
  out.contents = std::move(reader).contents();
  return out;
}

bool LedgerRecovery::is_term(std::uint64_t term) const {
  Lock lock(shared_.mutex);
  return shared_.is_term(term);
}

PrereadResult LedgerRecovery::unchanged_preread(StoreClient& store, std::stop_token stop, std::uint64_t term) {
  std::optional<LedgerSnapshot> ledger;
  {
    Lock lock(shared_.mutex);
    if (!shared_.is_term(term)) return ReadAborted{};
    ledger = std::exchange(shared_.term->preread_ledger, std::nullopt);
  }
  if (!ledger) return NoCurrentLedger{};
  // Another controller may have been the leader in between.
  bool changed = true;
  while (store.has_changed(kLedgerPrefix, ledger->revision, changed) != StoreStatus::ok)
    if (!is_term(term) || !pause_for(stop, kRetryPauseS)) return ReadAborted{};
  if (changed) return NoCurrentLedger{};
  return std::move(*ledger);
}

bool LedgerRecovery::recover(StoreClient& store, std::stop_token stop, std::uint64_t term) {
  const double started_at = steady_now();
  auto preread = unchanged_preread(store, stop, term);
  if (auto* ledger = std::get_if<LedgerSnapshot>(&preread)) return lead_with(std::move(*ledger), term, started_at);
  if (std::holds_alternative<ReadAborted>(preread)) return false;
  auto result = read(store, stop, [&] { return is_term(term); });
  if (const auto* unreadable = std::get_if<UnreadableLedger>(&result)) {
    handle_unreadable(unreadable->reason);
    pause_for(stop, kRereadPauseS);
    return false;
  }
  auto* ledger = std::get_if<LedgerSnapshot>(&result);
  return ledger && lead_with(std::move(*ledger), term, started_at);
}

bool LedgerRecovery::lead_with(LedgerSnapshot ledger, std::uint64_t term, double started_at) {
  Lock lock(shared_.mutex);
  if (!shared_.is_term(term)) return false;
  begin_leading(std::move(ledger), started_at);
  return true;
}

void LedgerRecovery::begin_leading(LedgerSnapshot ledger, double started_at) {
  Term& term = *shared_.term;
  shared_.ledger_unreadable_since = 0;
  const auto entries = ledger.entries;
  const auto revision = ledger.revision;
  term.first_term_ever = entries == 0;
  term.ledger_writer = LedgerWriter(std::move(ledger.contents), term.active_version.written_version());
  term.cluster_state = std::move(ledger.cluster_state);
  ClusterState& cluster_state = *term.cluster_state;
  for (const auto& [name, replied_at] : term.early_reply_times)
    cluster_state.node(cluster_state.find_or_add_node(name)).agent.last_replied_heartbeat_at = replied_at;
  term.early_reply_times.clear();
  shared_.partition_lease.revoke();
  commit_queue_.clear();
  cluster_state.failure_attribution().take_decisions();  // discarded: an earlier leader logged them
  shared_.role = Role::leading;
  if (const auto counts = cluster_state.dependency_graph().counts(); counts.unresolved_names > 0)
    spdlog::error("ledger: {} jobs that others depend on are missing, their dependents do not start", counts.unresolved_names);
  spdlog::info("ledger: read, {} entries, {} live jobs, {:.0f} ms after the takeover, store revision {}", entries,
               cluster_state.live().size(), (steady_now() - started_at) * 1000, revision);
  shared_.role_changed.notify_all();
  commit_queue_.notify_progress();
  shared_.request_pass();
}

void LedgerRecovery::handle_unreadable(const std::string& reason) {
  Lock lock(shared_.mutex);
  if (shared_.role != Role::recovering) return;
  spdlog::error("{}", reason);
  const double now = steady_now();
  const bool known_unreadable = shared_.ledger_unreadable_since != 0;
  if (!known_unreadable) shared_.ledger_unreadable_since = now;
  // Hands over at the first failure, so that another controller tries. If the ledger was already known to be unreadable, keeps
  // leadership for kUnreadableHandOverS to renew the agents' leases.
  if (known_unreadable && now < shared_.term->taken_over_at + kUnreadableHandOverS) return;
  shared_.term->hand_over_reason = "ledger unreadable";
}

}  // namespace thistlefront
