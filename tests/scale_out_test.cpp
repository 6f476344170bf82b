// Which machines are rented while others boot in time, boot late, or never come up.
#include "scheduling/scale_out.hpp"

#include <gtest/gtest.h>

#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"

namespace thistlefront {
namespace {

class ScaleOut : public testing::Test {
 protected:
  ScaleOut() : cluster_state(cluster_state_with_core_limit(1e6)) {
    MachineType small{"small", {4, 0, 16}, 50, 1, 0.2, 0.1, 30, {"x", "y"}};
    MachineType large{"large", {32, 0, 64}, 50, 1, 1.3, 0.6, 30, {"x"}};
    MachineType accelerated{"dear", {64, 8, 384}, 50, 1, 15, 6, 50, {"x", "y"}};
    cluster_state.apply(MachineTypesRecord{{small, large, accelerated}});
    JobSpec s = submission("j-1", 40, 1);
    s.allows_spot = true;
    cluster_state.apply(JobAcceptedRecord{s, 0.5, 0});
  }
  Node& machine(const std::string& name, const std::string& machine_type, const std::string& zone, bool spot, double age_s) {
    const NodeIndex h = cluster_state.find_or_add_node(name);
    cluster_state.set_node_attributes(h, "", machine_type, zone, spot);
    Node& node = cluster_state.node(h);
    node.instance.listed = true;
    node.instance.status = Instance::Status::booting;
    node.instance.requested_at = now - age_s;
    return node;
  }
  std::optional<ScaleOutRequest> choose(std::uint32_t units) {
    return choose_scale_out({cluster_state, {{cluster_state.find("j-1"), units}}, refused, now, 50});
  }
  std::string offer(const ScaleOutRequest& r) const {
    return cluster_state.machine_type_name(r.offer.machine_type) + " " + r.offer.zone + (r.offer.spot ? " spot" : "");
  }

  ClusterState cluster_state;
  std::set<MachineOffer> refused;
  double now = 1000;
};

TEST_F(ScaleOut, RequestsTheCheapestOfferForWhatBootingMachinesOfThatTypeDoNotServe) {
  auto r = choose(40);
  ASSERT_TRUE(r);
  EXPECT_EQ(offer(*r), "large x spot");
  EXPECT_EQ(r->count, 2u);
  machine("m-1", "large", "x", true, 5);
  EXPECT_EQ(choose(40)->count, 1u);
  machine("m-2", "large", "x", false, 5);
  EXPECT_FALSE(choose(40));
}

// Before, a machine that never came up was waited for until four times its boot time.
TEST_F(ScaleOut, ReplacesALateMachineByAnotherOffer) {
  machine("m-1", "large", "x", true, 5);
  machine("m-2", "large", "x", true, 5);
  EXPECT_FALSE(choose(40));
  now += 60;
  const auto r = choose(40);
  ASSERT_TRUE(r);
  EXPECT_EQ(offer(*r), "small x spot") << "not where the others are late";
  EXPECT_EQ(r->late, 2u);
}

TEST_F(ScaleOut, BoundsHowManyLateMachinesAreReplaced) {
  for (int i = 0; i < 10; ++i) machine("m-" + std::to_string(i), "small", i % 2 ? "x" : "y", true, 70);
  machine("m-10", "large", "x", true, 70);
  machine("m-11", "large", "x", false, 70);
  EXPECT_FALSE(choose(4)) << "twelve late machines stand beside one or two wanted";
  EXPECT_TRUE(choose(400));
}

TEST_F(ScaleOut, DoesNotExpectAMachineThatIsUpOrGivenUp) {
  Node& m = machine("m-1", "large", "x", true, 5);
  const MachineType* f = cluster_state.machine_type(m.machine_type);
  EXPECT_EQ(boot_progress(m, f, now), BootProgress::on_time);
  EXPECT_EQ(boot_progress(m, f, now + 60), BootProgress::late);
  EXPECT_FALSE(has_failed_to_boot(m, f, now + 60));
  EXPECT_TRUE(has_failed_to_boot(m, f, now + 130));
  m.agent.has_reported = true;
  EXPECT_EQ(boot_progress(m, f, now), BootProgress::none);
  EXPECT_FALSE(has_failed_to_boot(m, f, now + 130));
}

// Of a machine that an earlier leader requested, only the cloud's list tells the age, and an outdated list may say that it still
// boots.
TEST_F(ScaleOut, TakesTheAgeOfAnEarlierLeadersMachineFromTheList) {
  Node& m = machine("m-1", "large", "x", true, 0);
  m.instance.requested_at = 0;
  m.instance.listed_at = now - 10;
  m.instance.age_s = 45;
  EXPECT_DOUBLE_EQ(instance_age(m, now), 55);
  EXPECT_EQ(boot_progress(m, cluster_state.machine_type(m.machine_type), now), BootProgress::late);
}

TEST_F(ScaleOut, DoesNotRequestRefusedOffers) {
  refused.insert({cluster_state.find_machine_type("large"), "x", true});
  EXPECT_EQ(offer(*choose(40)), "small x spot");
}

}  // namespace
}  // namespace thistlefront
