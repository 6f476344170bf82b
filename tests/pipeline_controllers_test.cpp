// Pipelines of dependent jobs with real controllers: what a submission costs the leader, and what reading the ledger costs the next one.
// The cost is what the controllers' own metric counts.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cluster.hpp"

namespace thistlefront {
namespace {

using nlohmann::json;
using test_support::Cluster;

class PipelineControllers : public testing::Test {
 protected:
  PipelineControllers() : cluster(3, 1, {options()}) {}

  static Options options() {
    Options out;
    out.format_version_soak_s = 0;
    return out;
  }
  // Submits a job until a controller accepts it. Jobs with dependencies are accepted once the format version is active.
  void submit(const std::string& uid, const std::vector<std::string>& dependencies, double estimated_run_s,
              const json& deadline_s = nullptr) {
    json job = json::parse(test_support::job_body(uid));
    job["waitsOn"] = dependencies;
    job["expectedS"] = estimated_run_s;
    job["dueS"] = deadline_s;
    ASSERT_TRUE(cluster.eventually(30, [&] { return cluster.ask(cluster.leader(), "POST", "/v1/jobs", job.dump()).is(201); })) << uid;
    jobs_and_edges += 1 + dependencies.size();
  }
  // The leader knows these jobs as queued, and the dependency graph that it has built took a few visits of each job and edge.
  void expect_served_by_leader(const std::vector<std::string>& uids) {
    constexpr std::size_t kVisits = 4;
    for (const auto& uid : uids) EXPECT_TRUE(cluster.eventually(20, [&] { return is_queued(uid); })) << uid;
    const std::size_t taken = steps();
    EXPECT_GT(taken, 0u);
    EXPECT_LE(taken, kVisits * jobs_and_edges);
  }
  [[nodiscard]] bool is_queued(const std::string& uid) {
    const auto reply = cluster.ask(cluster.leader(), "GET", "/v1/jobs/" + uid);
    return reply.is(200) && test_support::status_of(reply) == "queued";
  }
  // The steps of the leader's dependency graph.
  [[nodiscard]] std::size_t steps() {
    const std::string line = cluster.metric(cluster.leader(), "dependency_steps_total");
    return line.empty() ? 0 : std::stoul(line.substr(line.rfind(' ') + 1));
  }

  Cluster cluster;
  std::size_t jobs_and_edges = 0;
};

// Guards against controllers that stop replying and cannot be replaced: eight jobs in each stage and one that needs all of them, with
// estimates that grow, and a deadline on the last job only. The leader and each successor visited all 8^6 paths.
TEST_F(PipelineControllers, DeadlineOfTheLastJobCostsLeaderAndSuccessorAFewVisitsOfEachJob) {
  constexpr std::size_t kStages = 6, kWidth = 8;
  constexpr double kUnitS = 0.000002;
  std::vector<std::string> before;
  std::size_t count = 0;
  double unit_s = kUnitS;
  for (std::size_t stage = 0; stage < kStages; ++stage, unit_s *= kWidth) {
    std::vector<std::string> side_by_side;
    for (std::size_t i = 0; i < kWidth; ++i) {
      side_by_side.insert(side_by_side.begin(), "j-" + std::to_string(1000 + count++));
      submit(side_by_side.front(), before, 10 + static_cast<double>(i) * unit_s);
    }
    before = {"j-" + std::to_string(1000 + count++)};
    submit(before.front(), side_by_side, 10);
    if (HasFatalFailure()) return;
  }
  submit("j-9999", before, 8, 30000);
  expect_served_by_leader({"j-1000", "j-9999"});

  const std::size_t leader = cluster.leader();
  cluster.stop(leader);
  ASSERT_TRUE(cluster.eventually(20, [&] { return cluster.leader() != leader; }));
  expect_served_by_leader({"j-1000", "j-9999"});
}

}  // namespace
}  // namespace thistlefront
