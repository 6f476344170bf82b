#include "heartbeat_relay/agent_balancer.hpp"

#include <algorithm>
#include <cmath>

namespace thistlefront {

namespace {

constexpr double kMaxMessageAgeS = 3.0;  // of an active relay; relays send a message at least once a second
constexpr double kLeaderWeight = 0.5;    // the leader's fair share relative to a relay's, because the leader has other work as well
// A controller redirects agents only if it serves more than kToleranceFactor times its fair share plus kToleranceAgents.
constexpr double kToleranceFactor = 1.2;
constexpr double kToleranceAgents = 4;
constexpr double kFullRebalanceS = 30;        // the rate limit lets all agents be redirected once in this time
constexpr double kMaxBurstRedirections = 16;  // upper bound of the unused allowance

}  // namespace

void AgentBalancer::record_agent_count(const std::string& relay, std::uint32_t agents, double now) {
  relays_[relay] = {agents, now};
}

bool AgentBalancer::is_active(const Relay& relay, double now) {
  return now - relay.last_message_at < kMaxMessageAgeS;
}

std::size_t AgentBalancer::count_agents_at_relays(double now) const {
  std::size_t agents = 0;
  for (const auto& [name, relay] : relays_)
    if (is_active(relay, now)) agents += relay.agents;
  return agents;
}

double AgentBalancer::relay_fair_share(double now) const {
  const auto active_relays = std::count_if(relays_.begin(), relays_.end(), [&](const auto& entry) { return is_active(entry.second, now); });
  return static_cast<double>(count_agents_at_relays(now) + leader_agents_) / (static_cast<double>(active_relays) + kLeaderWeight);
}

const std::pair<const std::string, AgentBalancer::Relay>* AgentBalancer::find_least_loaded(const std::string& excluded, double now) const {
  const std::pair<const std::string, Relay>* least_loaded = nullptr;
  for (const auto& entry : relays_) {
    if (entry.first == excluded || !is_active(entry.second, now)) continue;
    if (!least_loaded || entry.second.agents < least_loaded->second.agents) least_loaded = &entry;
  }
  return least_loaded;
}

std::uint32_t AgentBalancer::consume_allowance(double wanted, double now) {
  const double per_second = std::max(1.0, static_cast<double>(count_agents_at_relays(now) + leader_agents_) / kFullRebalanceS);
  const double max_allowance = std::max(1.0, std::min(per_second, kMaxBurstRedirections));
  const double elapsed_s = std::max(0.0, now - allowance_updated_at_);
  allowance_ = std::min(allowance_ + elapsed_s * per_second, max_allowance);
  allowance_updated_at_ = now;
  const double taken = std::floor(std::min(wanted, allowance_));
  allowance_ -= taken;
  return static_cast<std::uint32_t>(taken);
}

AgentBalancer::Redirection AgentBalancer::redirect_from_relay(const std::string& relay, double now) {
  const auto it = relays_.find(relay);
  const auto* least_loaded = find_least_loaded(relay, now);
  if (it == relays_.end() || !least_loaded) return {};
  const double fair_share = relay_fair_share(now), agents = it->second.agents;
  const bool is_overloaded = agents > fair_share * kToleranceFactor + kToleranceAgents;
  const bool target_has_capacity = least_loaded->second.agents + 1 <= fair_share;
  if (!is_overloaded || !target_has_capacity) return {};
  const auto count = consume_allowance(std::min(agents - fair_share, fair_share - least_loaded->second.agents), now);
  const std::string target = least_loaded->first;
  relays_[target].agents += count;  // replaced by the relay's next message
  return {count, count > 0 ? target : std::string()};
}

std::optional<std::string> AgentBalancer::redirect_from_leader(std::size_t leader_agents, double now) {
  leader_agents_ = leader_agents;
  const auto* least_loaded = find_least_loaded({}, now);
  if (!least_loaded) return std::nullopt;
  const double fair_share = relay_fair_share(now);
  const bool is_overloaded = static_cast<double>(leader_agents) > fair_share * kLeaderWeight * kToleranceFactor + kToleranceAgents;
  const bool target_has_capacity = least_loaded->second.agents <= fair_share;
  if (!is_overloaded || !target_has_capacity) return std::nullopt;
  if (consume_allowance(1, now) == 0) return std::nullopt;
  std::string target = least_loaded->first;
  ++relays_[target].agents;  // replaced by the relay's next message
  --leader_agents_;
  return target;
}

}  // namespace thistlefront
