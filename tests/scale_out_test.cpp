// Which instances are requested while others boot on time, boot late, or never come up.
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
    JobSpec spec = submission("j-1", 40, 1);
    spec.allows_spot = true;
    cluster_state.apply(JobAcceptedRecord{spec, 0.5, 0});
  }
  Node& add_instance(const std::string& name, const std::string& machine_type, const std::string& zone, bool spot, double age_s) {
    const NodeIndex index = cluster_state.find_or_add_node(name);
    cluster_state.set_node_attributes(index, "", machine_type, zone, spot);
    Node& node = cluster_state.node(index);
    node.instance.listed = true;
    node.instance.status = Instance::Status::booting;
    node.instance.requested_at = now - age_s;
    return node;
  }
  std::optional<ScaleOutRequest> choose(std::uint32_t units) {
    return choose_scale_out({cluster_state, {{cluster_state.find("j-1"), units}}, refused_offers, now, 50});
  }
  std::string describe_offer(const ScaleOutRequest& request) const {
    return cluster_state.machine_type_name(request.offer.machine_type) + " " + request.offer.zone + (request.offer.spot ? " spot" : "");
  }

  ClusterState cluster_state;
  std::set<InstanceOffer> refused_offers;
  double now = 1000;
};

TEST_F(ScaleOut, RequestsTheCheapestOfferForDemandThatBootingInstancesOfThatTypeDoNotServe) {
  auto request = choose(40);
  ASSERT_TRUE(request);
  EXPECT_EQ(describe_offer(*request), "large x spot");
  EXPECT_EQ(request->count, 2u);
  add_instance("m-1", "large", "x", true, 5);
  EXPECT_EQ(choose(40)->count, 1u);
  add_instance("m-2", "large", "x", false, 5);
  EXPECT_FALSE(choose(40));
}

// Guards against waiting four times the boot time for an instance that never comes up.
TEST_F(ScaleOut, ReplacesALateInstanceByAnotherOffer) {
  add_instance("m-1", "large", "x", true, 5);
  add_instance("m-2", "large", "x", true, 5);
  EXPECT_FALSE(choose(40));
  now += 60;
  const auto request = choose(40);
  ASSERT_TRUE(request);
  EXPECT_EQ(describe_offer(*request), "small x spot") << "not the offer whose instances are late";
  EXPECT_EQ(request->late_instances, 2u);
}

TEST_F(ScaleOut, BoundsHowManyLateInstancesAreReplaced) {
  for (int i = 0; i < 10; ++i) add_instance("m-" + std::to_string(i), "small", i % 2 ? "x" : "y", true, 70);
  add_instance("m-10", "large", "x", true, 70);
  add_instance("m-11", "large", "x", false, 70);
  EXPECT_FALSE(choose(4)) << "twelve instances are late for one or two needed";
  EXPECT_TRUE(choose(400));
}

TEST_F(ScaleOut, DoesNotExpectAnInstanceThatIsUpOrGivenUp) {
  Node& node = add_instance("m-1", "large", "x", true, 5);
  const MachineType* machine_type = cluster_state.machine_type(node.machine_type);
  EXPECT_EQ(boot_progress(node, machine_type, now), BootProgress::on_time);
  EXPECT_EQ(boot_progress(node, machine_type, now + 60), BootProgress::late);
  EXPECT_FALSE(has_failed_to_boot(node, machine_type, now + 60));
  EXPECT_TRUE(has_failed_to_boot(node, machine_type, now + 130));
  node.agent.has_reported = true;
  EXPECT_EQ(boot_progress(node, machine_type, now), BootProgress::none);
  EXPECT_FALSE(has_failed_to_boot(node, machine_type, now + 130));
}

// The age of an instance that an earlier leader requested is known only from the cloud's instance list, and an outdated list may
// show it as still booting.
TEST_F(ScaleOut, TakesTheAgeOfAnEarlierLeadersInstanceFromTheList) {
  Node& node = add_instance("m-1", "large", "x", true, 0);
  node.instance.requested_at = 0;
  node.instance.listed_at = now - 10;
  node.instance.age_s = 45;
  EXPECT_DOUBLE_EQ(instance_age(node, now), 55);
  EXPECT_EQ(boot_progress(node, cluster_state.machine_type(node.machine_type), now), BootProgress::late);
}

TEST_F(ScaleOut, DoesNotRequestRefusedOffers) {
  refused_offers.insert({cluster_state.find_machine_type("large"), "x", true});
  EXPECT_EQ(describe_offer(*choose(40)), "small x spot");
}

}  // namespace
}  // namespace thistlefront
