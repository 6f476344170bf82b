// The heartbeat relay with real controllers: agents send to any controller, and followers relay the heartbeats to the leader. A fault
// of a relay, of the leader or of the link between them must not expire a lease or release a node.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <numeric>

#include "cluster_fixture.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/relay_messages.hpp"

namespace thistlefront {
namespace {

using test_support::wait;

constexpr testbed::ProtocolTimes kTimes{.heartbeat_interval_s = 0.5, .lease_s = 5, .cancel_s = 20, .image_pull_s = 0.1};
constexpr std::size_t kNodesPerController = 8, kTasksPerJob = 2;

class HeartbeatRelayTest : public test_support::ClusterFixture, public testing::WithParamInterface<std::size_t> {
 protected:
  HeartbeatRelayTest() : ClusterFixture(kTimes) {
    cloud = [this](const HttpCall& call) -> HttpReply {
      if (call.target == kMachineTypesPath) return {200, test_support::kMachineTypes};
      if (call.method == "GET") return {200, workers_created ? instance_list() : R"({"hosts":[],"truncated":false})"};
      if (call.target == "/rentals/release") ++release_requests;
      return {503, R"({"error":"no capacity"})"};
    };
  }
  static Options options(bool relay) {
    Options out = test_support::fixed_version_options();
    out.relay_mode = relay ? RelayMode::on : RelayMode::off;
    return out;
  }
  void start_cluster_with_running_jobs(bool relay = true) {
    start_cluster(GetParam(), kNodesPerController * GetParam(), "x", options(relay));
    workers_created = true;
    for (int i = 0; i < 6; ++i) {
      job_uids.push_back("j-" + std::to_string(i + 1));
      checker.record_submission({job_uids.back(), "red", "batch", "", kTasksPerJob, 1, 1000}, steady_now());
      ASSERT_TRUE(cluster->submit_until(job_uids.back(), 20));
      checker.record_reply(job_uids.back(), "queued", steady_now());
    }
    ASSERT_TRUE(cluster->eventually(20, [&] { return all_tasks_run(); }));
  }
  bool all_tasks_run() {
    return std::all_of(job_uids.begin(), job_uids.end(), [&](const auto& uid) { return count_running_tasks(uid) == kTasksPerJob; });
  }
  // An agent starts another incarnation when its lease expires.
  void expect_no_lease_expired(const char* when) {
    for (auto& worker : workers) EXPECT_EQ(worker->agent_incarnation(), 1u) << worker->name() << ", " << when;
    EXPECT_EQ(release_requests, 0) << "no node is released, " << when;
  }
  double metric(std::size_t controller, const std::string& name) const {
    const auto text = cluster->metric(controller, name + " ");
    return text.empty() ? 0 : std::strtod(text.substr(text.find(' ')).c_str(), nullptr);
  }
  // Heartbeats that all controllers have relayed so far.
  double count_relayed_heartbeats() {
    double out = 0;
    for (std::size_t i = 0; i < GetParam(); ++i) out += metric(i, "reports_passed_on_total");
    return out;
  }
  bool heartbeats_are_relayed() {
    const double before = count_relayed_heartbeats();
    return cluster->eventually(5, [&] { return count_relayed_heartbeats() > before + 3; });
  }
  std::string instance_list() {
    nlohmann::json nodes = nlohmann::json::array();
    for (const auto& worker : workers)
      nodes.push_back({{"uid", worker->name()},
                       {"address", worker->address()},
                       {"hostKind", "big"},
                       {"yard", "x"},
                       {"loaners", false},
                       {"status", "running"},
                       {"heldS", 100}});
    return nlohmann::json{{"hosts", nodes}, {"truncated", false}}.dump();
  }

  std::vector<std::string> job_uids;
  std::atomic<int> release_requests{0};
  std::atomic<bool> workers_created{false};  // whether the cloud lists their instances
};

TEST_P(HeartbeatRelayTest, TasksAreStartedAndCancelledThroughTheRelay) {
  start_cluster_with_running_jobs();
  EXPECT_TRUE(heartbeats_are_relayed());
  checker.record_withdrawal("j-1");
  ASSERT_TRUE(cluster->eventually(10, [&] { return withdraw(0, "j-1") == "aborted"; }));
  wait(1);
  // Without direct commands, replies to heartbeats carry the cancellations.
  for (auto& worker : workers) worker->drop_commands(true);
  checker.record_withdrawal("j-2");
  ASSERT_TRUE(cluster->eventually(10, [&] { return withdraw(0, "j-2") == "aborted"; }));
  EXPECT_TRUE(cluster->eventually(10, [&] {
    return std::accumulate(workers.begin(), workers.end(), std::size_t{0},
                           [](auto sum, auto& worker) { return sum + worker->unfinished_tasks(); }) == 4 * kTasksPerJob;
  }));
  expect_no_lease_expired("after the cancellations");
}

TEST_P(HeartbeatRelayTest, NoLeaseExpiresWhenTheLeaderStops) {
  start_cluster_with_running_jobs();
  for (int repetition = 0; repetition < 2; ++repetition) {
    const auto first = cluster->leader();
    cluster->stop(first);
    ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->leader() != first; }));
    cluster->start(first, options(true));
    wait(2 * kTimes.lease_s);
    expect_no_lease_expired("after a leader stopped");
    EXPECT_TRUE(cluster->eventually(20, [&] { return all_tasks_run(); }));
  }
}

// The leader must not treat the stop of a relay as the loss of its nodes: their heartbeats arrive through another controller.
TEST_P(HeartbeatRelayTest, NoLeaseExpiresAndNoNodeIsReleasedWhenARelayStops) {
  start_cluster_with_running_jobs();
  for (double downtime_s : {0.05, 2 * kTimes.lease_s}) {
    const auto relay = (cluster->leader() + 1) % GetParam();
    cluster->stop(relay);
    wait(downtime_s);
    cluster->start(relay, options(true));
    wait(2 * kTimes.lease_s);
    expect_no_lease_expired("after a relay stopped");
    EXPECT_TRUE(all_tasks_run());
  }
}

// The agents can still reach the leader, and the relay redirects them to it.
TEST_P(HeartbeatRelayTest, NoLeaseExpiresWhenARelayIsPartitionedFromTheLeaderOnly) {
  start_cluster_with_running_jobs();
  const auto leader = cluster->leader();
  const auto relay = (leader + 1) % GetParam();
  set_partition(relay, leader, true);
  wait(3 * kTimes.lease_s);
  set_partition(relay, leader, false);
  expect_no_lease_expired("after the partition");
  EXPECT_TRUE(all_tasks_run());
  // The relay works again afterwards.
  EXPECT_TRUE(cluster->eventually(30, [&] {
    const double before = metric(relay, "reports_passed_on_total");
    wait(0.7);
    return metric(relay, "reports_passed_on_total") > before;
  }));
}

// A relay partitioned from leader and store renews the leases of the nodes in its own zone, since they are most likely partitioned as
// well. Redirecting their agents to the leader instead expired the leases of 120 to 151 of some 400 nodes.
TEST_P(HeartbeatRelayTest, NoLeaseExpiresWhenARelayIsPartitionedFromLeaderAndStore) {
  start_cluster_with_running_jobs();
  const auto relay = (cluster->leader() + 1) % GetParam();
  ASSERT_TRUE(cluster->eventually(20, [&] { return metric(relay, "reports_passed_on_total") > 3; }));
  set_partition(relay, true);
  cluster->store.endpoint(relay).rejects_requests = true;
  EXPECT_TRUE(cluster->eventually(6, [&] { return metric(relay, "kept_in_cuts_total") > 0; }));
  wait(2 * kTimes.lease_s);
  expect_no_lease_expired("during the partition");
  set_partition(relay, false);
  cluster->store.endpoint(relay).rejects_requests = false;
  wait(kTimes.lease_s);
  expect_no_lease_expired("after the partition");
  EXPECT_TRUE(cluster->eventually(20, [&] { return all_tasks_run(); }));
}

// A partition delays batches until their leader is deposed; its replies arrive late.
TEST_P(HeartbeatRelayTest, LateRepliesOfADeposedLeaderDoNotAffectTasks) {
  start_cluster_with_running_jobs();
  const auto first = cluster->leader();
  set_partition(first, true);
  cluster->store.endpoint(first).rejects_requests = true;
  ASSERT_TRUE(cluster->eventually(20, [&] { return cluster->leader() != first; }));
  checker.record_withdrawal("j-1");
  const auto next = cluster->leader();
  wait(1);
  set_partition(first, false);
  cluster->store.endpoint(first).rejects_requests = false;
  ASSERT_TRUE(cluster->eventually(20, [&] { return withdraw(next, "j-1") == "aborted"; }));
  wait(kTimes.lease_s + 1);
  EXPECT_TRUE(cluster->eventually(10, [&] {
    return std::all_of(job_uids.begin() + 1, job_uids.end(), [&](const auto& uid) { return count_running_tasks(uid) == kTasksPerJob; });
  }));
  EXPECT_EQ(release_requests, 0);
}

// Operators turn the relay on and off by restarting one controller at a time. Older builds behave as with the relay off.
TEST_P(HeartbeatRelayTest, RelayCanBeTurnedOnAndOffOneControllerAtATime) {
  start_cluster_with_running_jobs(false);
  EXPECT_EQ(count_relayed_heartbeats(), 0) << "relay off: agents send to the leader";
  for (const bool on : {true, false}) {
    for (std::size_t i = 0; i < GetParam(); ++i) {
      cluster->start(i, options(on));
      wait(1.5);
      EXPECT_TRUE(cluster->eventually(20, [&] { return all_tasks_run(); })) << i << (on ? " on" : " off");
    }
    if (!on) continue;
    EXPECT_TRUE(heartbeats_are_relayed());
  }
  const double before = count_relayed_heartbeats();
  wait(2);
  EXPECT_EQ(count_relayed_heartbeats(), before);
  expect_no_lease_expired("after turning the relay on and off");
}

TEST_P(HeartbeatRelayTest, MalformedBatchIsRejectedWithoutEffect) {
  start_cluster_with_running_jobs();
  const auto leader = cluster->leader();
  FrameConnectionPool peer(cluster->settings(leader).peer_listen, 2);
  for (const std::string& payload : {std::string(), std::string("\1\2\3"), std::string(5000, '\xff'), std::string(64, '\1')}) {
    const auto reply_frame = peer.call({static_cast<std::uint8_t>(PeerFrameKind::heartbeat_batch), payload}, 2);
    ASSERT_TRUE(reply_frame) << payload.size();
    const auto reply = unpack_reply(*reply_frame, steady_now());
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->status, 400u);
  }
  // A well-formed batch for another leader is refused.
  const auto reply_frame = peer.call(pack(HeartbeatBatch{"host-9", 1000000, 1, {}}), 2);
  ASSERT_TRUE(reply_frame);
  const auto refusal = unpack_heartbeat_batch_reply(*reply_frame);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->takeover_token, 0u);
  wait(kTimes.lease_s);
  expect_no_lease_expired("after malformed batches");
  EXPECT_TRUE(all_tasks_run());
}

// Copies of some heartbeats arrive at a random controller, up to three leases later, after newer heartbeats of the same agent.
TEST_P(HeartbeatRelayTest, NoLeaseExpiresAndAllTasksRunWhenCopiesOfHeartbeatsArriveLate) {
  start_cluster_with_running_jobs();
  for (auto& worker : workers) worker->duplicate_heartbeats(true);
  wait(3 * kTimes.lease_s);
  expect_no_lease_expired("with delayed copies of heartbeats");
  EXPECT_TRUE(all_tasks_run());
}

INSTANTIATE_TEST_SUITE_P(Controllers, HeartbeatRelayTest, testing::Values(3, 5));

}  // namespace
}  // namespace thistlefront
