#include "heartbeat_relay/worker_balancer.hpp"

#include <algorithm>
#include <cmath>

namespace thistlefront {

namespace {
constexpr double kLately = 3.0;          // seconds: an intake speaks each second at least
constexpr double kLeaderWeight = 0.5;    // of an intake's share: the leader has the rest of the work
constexpr double kTolerance = 1.2;       // times its share a controller may hold
constexpr double kToleranceWorkers = 4;  // and so many more
constexpr double kEvenOutSeconds = 30;   // all workers may be moved once within this time
constexpr double kMostAtOnce = 16;
}  // namespace

void WorkerBalancer::record_worker_count(const std::string& relay, std::uint32_t workers, double now) {
  relays_[relay] = {workers, now};
}

bool WorkerBalancer::is_recent(const Relay& relay, double now) const {
  return now - relay.heard_at < kLately;
}

std::size_t WorkerBalancer::workers_at_relays(double now) const {
  std::size_t out = 0;
  for (const auto& [label, relay] : relays_)
    if (is_recent(relay, now)) out += relay.workers;
  return out;
}

double WorkerBalancer::relay_share(double now) const {
  const auto active = std::count_if(relays_.begin(), relays_.end(), [&](const auto& i) { return is_recent(i.second, now); });
  return static_cast<double>(workers_at_relays(now) + own_) / (static_cast<double>(active) + kLeaderWeight);
}

const std::pair<const std::string, WorkerBalancer::Relay>* WorkerBalancer::least_loaded(const std::string& but, double now) const {
  const std::pair<const std::string, Relay>* out = nullptr;
  for (const auto& entry : relays_) {
    if (entry.first == but || !is_recent(entry.second, now)) continue;
    if (!out || entry.second.workers < out->second.workers) out = &entry;
  }
  return out;
}

std::uint32_t WorkerBalancer::take_allowance(double wanted, double now) {
  const double rate = std::max(1.0, static_cast<double>(workers_at_relays(now) + own_) / kEvenOutSeconds);
  allowance_ = std::min(allowance_ + std::max(0.0, now - allowance_at_) * rate, std::max(1.0, std::min(rate, kMostAtOnce)));
  allowance_at_ = now;
  const double out = std::floor(std::min(wanted, allowance_));
  allowance_ -= out;
  return static_cast<std::uint32_t>(out);
}

WorkerBalancer::Redirection WorkerBalancer::redirect_from_relay(const std::string& relay, double now) {
  const auto it = relays_.find(relay);
  const auto* other = least_loaded(relay, now);
  if (it == relays_.end() || !other) return {};
  const double share = relay_share(now), workers = it->second.workers;
  if (workers <= share * kTolerance + kToleranceWorkers || other->second.workers + 1 > share) return {};
  const auto count = take_allowance(std::min(workers - share, share - other->second.workers), now);
  const std::string to = other->first;
  relays_[to].workers += count;  // until it says itself
  return {count, count > 0 ? to : std::string()};
}

std::optional<std::string> WorkerBalancer::redirect_from_leader(std::size_t own, double now) {
  own_ = own;
  const auto* other = least_loaded({}, now);
  if (!other) return std::nullopt;
  const double share = relay_share(now);
  if (static_cast<double>(own) <= share * kLeaderWeight * kTolerance + kToleranceWorkers || other->second.workers > share)
    return std::nullopt;
  if (take_allowance(1, now) == 0) return std::nullopt;
  const std::string to = other->first;
  ++relays_[to].workers;
  --own_;
  return to;
}

}  // namespace thistlefront
