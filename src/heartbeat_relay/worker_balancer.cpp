#include "heartbeat_relay/worker_balancer.hpp"

#include <algorithm>
#include <cmath>

namespace thistlefront {

namespace {

constexpr double kRecentS = 3.0;       // a relay sends a message at least once a second
constexpr double kLeaderWeight = 0.5;  // of a relay's share, as the leader has other work as well
// A controller may serve this many times its share, and this many agents more, before any are redirected.
constexpr double kToleranceFactor = 1.2;
constexpr double kToleranceWorkers = 4;
constexpr double kRebalanceAllS = 30;  // within this time all agents may be redirected once
constexpr double kMaxBurst = 16;       // redirections that may be saved up

}  // namespace

void WorkerBalancer::record_worker_count(const std::string& relay, std::uint32_t workers, double now) {
  relays_[relay] = {workers, now};
}

bool WorkerBalancer::is_recent(const Relay& relay, double now) {
  return now - relay.heard_at < kRecentS;
}

std::size_t WorkerBalancer::workers_at_relays(double now) const {
  std::size_t out = 0;
  for (const auto& [name, relay] : relays_)
    if (is_recent(relay, now)) out += relay.workers;
  return out;
}

double WorkerBalancer::relay_share(double now) const {
  const auto active = std::count_if(relays_.begin(), relays_.end(), [&](const auto& entry) { return is_recent(entry.second, now); });
  return static_cast<double>(workers_at_relays(now) + own_) / (static_cast<double>(active) + kLeaderWeight);
}

const std::pair<const std::string, WorkerBalancer::Relay>* WorkerBalancer::least_loaded(const std::string& excluded, double now) const {
  const std::pair<const std::string, Relay>* least = nullptr;
  for (const auto& entry : relays_) {
    if (entry.first == excluded || !is_recent(entry.second, now)) continue;
    if (!least || entry.second.workers < least->second.workers) least = &entry;
  }
  return least;
}

std::uint32_t WorkerBalancer::take_allowance(double wanted, double now) {
  const double per_second = std::max(1.0, static_cast<double>(workers_at_relays(now) + own_) / kRebalanceAllS);
  const double max_allowance = std::max(1.0, std::min(per_second, kMaxBurst));
  const double elapsed_s = std::max(0.0, now - allowance_as_of_);
  allowance_ = std::min(allowance_ + elapsed_s * per_second, max_allowance);
  allowance_as_of_ = now;
  const double taken = std::floor(std::min(wanted, allowance_));
  allowance_ -= taken;
  return static_cast<std::uint32_t>(taken);
}

WorkerBalancer::Redirection WorkerBalancer::redirect_from_relay(const std::string& relay, double now) {
  const auto it = relays_.find(relay);
  const auto* least = least_loaded(relay, now);
  if (it == relays_.end() || !least) return {};
  const double share = relay_share(now), workers = it->second.workers;
  const bool overloaded = workers > share * kToleranceFactor + kToleranceWorkers;
  const bool target_has_room = least->second.workers + 1 <= share;
  if (!overloaded || !target_has_room) return {};
  const auto count = take_allowance(std::min(workers - share, share - least->second.workers), now);
  const std::string target = least->first;
  relays_[target].workers += count;  // until it tells its count itself
  return {count, count > 0 ? target : std::string()};
}

std::optional<std::string> WorkerBalancer::redirect_from_leader(std::size_t own, double now) {
  own_ = own;
  const auto* least = least_loaded({}, now);
  if (!least) return std::nullopt;
  const double share = relay_share(now);
  const bool overloaded = static_cast<double>(own) > share * kLeaderWeight * kToleranceFactor + kToleranceWorkers;
  const bool target_has_room = least->second.workers <= share;
  if (!overloaded || !target_has_room) return std::nullopt;
  if (take_allowance(1, now) == 0) return std::nullopt;
  std::string target = least->first;
  ++relays_[target].workers;  // until it tells its count itself
  --own_;
  return target;
}

}  // namespace thistlefront
