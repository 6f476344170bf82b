// The balancer spreads agents evenly over the controllers, at a limited rate, from any initial distribution.
#include "heartbeat_relay/agent_balancer.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace thistlefront {
namespace {

// A leader and relays. Ten times a second each relay reports how many agents it serves, and 20 heartbeats reach the leader.
struct SimulatedControllers {
  std::map<std::string, std::uint32_t> agents_by_relay;
  std::size_t leader_agents = 0;
  AgentBalancer balancer;
  double now = 100;
  std::size_t redirections = 0;

  [[nodiscard]] std::size_t count_agents() const {
    std::size_t total = leader_agents;
    for (const auto& [relay, agents] : agents_by_relay) total += agents;
    return total;
  }
  void simulate(double seconds) {
    for (const double end = now + seconds; now < end; now += 0.1) {
      for (auto& [relay, agents] : agents_by_relay) {
        balancer.record_agent_count(relay, agents, now);
        const auto redirection = balancer.redirect_from_relay(relay, now);
        ASSERT_LE(redirection.count, agents);
        agents -= redirection.count;
        if (redirection.count > 0) agents_by_relay.at(redirection.target) += redirection.count;
        redirections += redirection.count;
      }
      for (int heartbeats = 0; heartbeats < 20; ++heartbeats) {
        const auto target = balancer.redirect_from_leader(leader_agents, now);
        if (!target) continue;
        --leader_agents;
        ++agents_by_relay.at(*target);
        ++redirections;
      }
    }
  }
};

TEST(AgentBalancer, RedirectsAgentsFromTheLeaderToAllRelays) {
  SimulatedControllers controllers{{{"host-1", 0}, {"host-2", 0}, {"host-3", 0}, {"host-4", 0}}, 300, {}, 100, 0};
  controllers.simulate(60);
  EXPECT_EQ(controllers.count_agents(), 300u);
  EXPECT_LE(controllers.leader_agents, 50u) << "half of a relay's fair share, plus the tolerance";
  for (const auto& [relay, agents] : controllers.agents_by_relay) EXPECT_NEAR(agents, 66, 20) << relay;
}

TEST(AgentBalancer, RedirectsAgentsToARelayThatReturns) {
  SimulatedControllers controllers{{{"host-1", 170}, {"host-2", 0}}, 40, {}, 100, 0};
  controllers.simulate(60);
  EXPECT_NEAR(controllers.agents_by_relay["host-1"], 84, 25);
  EXPECT_NEAR(controllers.agents_by_relay["host-2"], 84, 25);
}

TEST(AgentBalancer, RedirectsNoAgentWithinTheTolerance) {
  SimulatedControllers controllers{{{"host-1", 60}, {"host-2", 66}, {"host-3", 70}}, 33, {}, 100, 0};
  controllers.simulate(30);
  EXPECT_EQ(controllers.redirections, 0u);
}

TEST(AgentBalancer, LimitsTheRateOfRedirections) {
  SimulatedControllers controllers{{{"host-1", 0}, {"host-2", 0}}, 600, {}, 100, 0};
  controllers.simulate(5);
  EXPECT_LE(controllers.redirections, 130u) << "20 per second, plus the unused allowance";
  EXPECT_GT(controllers.redirections, 50u);
}

TEST(AgentBalancer, RedirectsNoAgentToASilentRelay) {
  AgentBalancer balancer;
  balancer.record_agent_count("host-1", 0, 100);
  EXPECT_TRUE(balancer.redirect_from_leader(300, 101));
  EXPECT_FALSE(balancer.redirect_from_leader(300, 110));
  balancer.record_agent_count("host-2", 200, 110);
  EXPECT_EQ(balancer.redirect_from_relay("host-2", 110).count, 0u);
}

}  // namespace
}  // namespace thistlefront
