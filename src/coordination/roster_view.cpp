#include "coordination/roster_view.hpp"

#include <spdlog/spdlog.h>

#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {
constexpr double kAskTimeout = 1.0;
constexpr double kTryAgain = 1.0;
}  // namespace

RosterView::RosterView(const Settings& settings, Able able, TeamsFile file, std::vector<FramePool*> pools)
    : settings_(settings), able_(std::move(able)), file_(std::move(file)), pools_(std::move(pools)) {
  expected_.push_back(settings.label);
  for (const auto& p : settings.peers) expected_.push_back(p.label);
  while (expected_.size() < settings.count) expected_.push_back("unnamed-" + std::to_string(expected_.size()));
}

bool RosterView::register_self(StoreClient& store, std::stop_token stop) const {
  const std::string key = kRosterPrefix + settings_.label;
  for (;;) {
    Row row;
    const auto got = store.get(key, row);
    if (got == StoreStatus::ok || got == StoreStatus::missing) {
      rollout::Known known;
      if (got == StoreStatus::ok) known = rollout::roster_of({row}).at(settings_.label);
      const auto step = rollout::enlist(settings_.label, able_, got == StoreStatus::ok ? &known : nullptr);
      std::uint64_t rev = 0;
      std::vector<std::string> failed;
      // Without an answer the record is looked at once more.
      if (step.kind == rollout::Step::Kind::none || store.commit(step.body(), rev, failed) == StoreStatus::ok) break;
    }
    if (!pause_for(stop, kTryAgain)) return false;
  }
  spdlog::info("build {}: state levels {} to {}, at most {} to be switched on", able_.build, able_.least, able_.most, able_.wants);
  return true;
}

std::optional<HttpReply> RosterView::ask(FramePool& peer, const char* target) {
  const double asked = steady_now();
  const auto answer = peer.ask(pack(PeerCall{"GET", target, ""}), kAskTimeout);
  return answer ? unpack_reply(*answer, asked) : std::nullopt;
}

std::map<std::string, Able> RosterView::ask_peers(std::stop_token stop) const {
  std::map<std::string, Able> out;
  for (std::size_t i = 0; i < pools_.size() && !stop.stop_requested(); ++i) {
    const auto reply = ask(*pools_[i], kAbleTarget);
    if (!reply) continue;
    // Another answer than one of 200 is that of a build from before levels.
    const auto able = reply->status == 200 ? unpack_able(reply->body) : std::optional<Able>(Able{});
    if (able) out[settings_.peers[i].label] = *able;
  }
  return out;
}

std::map<std::string, std::optional<TeamsFile>> RosterView::files_of_all(const rollout::Roster& roster) {
  std::map<std::string, std::optional<TeamsFile>> out;
  for (const auto& label : expected_) out[label];
  out[settings_.label] = file_;
  std::map<std::uint64_t, TeamsFile> seen;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    auto& file = out[settings_.peers[i].label];
    const auto it = roster.find(settings_.peers[i].label);
    const auto digest = it == roster.end() ? 0 : it->second.able.teams;
    if (digest == able_.teams) {
      file = file_;
    } else if (const auto known = files_.find(digest); known != files_.end()) {
      file = known->second;
    } else if (digest != 0) {
      const auto reply = ask(*pools_[i], kTeamsTarget);
      auto teams = reply && reply->status == 200 ? unpack_teams(reply->body) : std::nullopt;
      if (teams && digest_of(*teams) == digest) file = std::move(teams);
    }
    if (file && digest != able_.teams) seen[digest] = *file;
  }
  files_ = std::move(seen);
  return out;
}

std::optional<RosterView::Seen> RosterView::observe(StoreClient& store, std::stop_token stop) {
  Rows keys, records;
  // The roster first, then the peers themselves: an answer is newer than the record that it corrects, and a
  // record written in between makes the correction fail.
  if (store.list(kLeadPrefix, keys) != StoreStatus::ok || store.list(kRosterPrefix, records) != StoreStatus::ok) return std::nullopt;
  Seen seen;
  try {
    seen.look = rollout::look(keys.rows);
  } catch (const std::exception& e) {
    spdlog::error("state service: the leader's keys: {}", e.what());
    return std::nullopt;
  }
  seen.roster = rollout::roster_of(records.rows);
  seen.answers = ask_peers(stop);
  seen.files = files_of_all(seen.roster);
  return seen;
}

}  // namespace thistle
