// Team quotas: quotas in force while controllers' settings differ, usage, and correction of accounts by an independent count.
#include "cluster_state/quota_accounts.hpp"

#include <gtest/gtest.h>

#include <random>

#include "cluster_state/pending_summary.hpp"
#include "cluster_state/quota_agreement.hpp"
#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"

namespace thistlefront {
namespace {

TeamQuota quota(double guarantee, double limit) {
  return {{guarantee, 0, 0}, {limit, 0, 0}};
}
constexpr double kUnlimited = 1e9;

// Controllers with their settings files, and the quota accounts that result from the ledger.
class ControllerFleet {
 public:
  explicit ControllerFleet(std::vector<TeamQuotas> known_files) : quota_accounts({}) {
    for (std::size_t i = 0; i < known_files.size(); ++i) files["host-" + std::to_string(i)] = std::move(known_files[i]);
    std::vector<Team> teams;
    for (const auto& [name, quota] : *files.begin()->second) teams.push_back({name, quota.guarantee, quota.limit});
    quota_accounts = QuotaAccounts(teams);
  }
  // Applies the quota records that this leader writes, and checks that it then has none left to write. Returns their number.
  std::size_t write_quota_records(const std::string& leader) {
    const TeamQuotas own = files.at(leader).value_or(TeamQuotas{});
    const auto records = next_quota_records(quota_accounts, own, files);
    for (const auto& record : records) quota_accounts.apply_record(record);
    EXPECT_TRUE(next_quota_records(quota_accounts, own, files).empty());
    return records.size();
  }
  double limit(const std::string& team) const { return quota_accounts.team(quota_accounts.find(team)).limit.cores; }
  double guarantee(const std::string& team) const { return quota_accounts.team(quota_accounts.find(team)).guarantee.cores; }
  bool accepts_jobs(const std::string& team) const {
    return quota_accounts.find(team).valid() && quota_accounts.accepts_jobs(quota_accounts.find(team));
  }

  QuotaAccounts quota_accounts;
  std::map<std::string, std::optional<TeamQuotas>> files;
};

// A settings file is rolled out controller by controller. Whichever controller leads, the lower limit and the higher guarantee are in
// force until all have the new file.
TEST(QuotaAgreement, StricterQuotaIsInForceUntilAllControllersHaveTheChange) {
  const TeamQuotas initial{{"red", quota(8, 16)}};
  for (const double changed : {10.0, 24.0}) {
    ControllerFleet fleet({initial, initial, initial});
    fleet.write_quota_records("host-0");
    for (const auto* next : {"host-1", "host-2"}) {
      fleet.files[next] = TeamQuotas{{"red", quota(12, changed)}};
      for (const auto* leader : {"host-0", "host-1", "host-2"}) {
        fleet.write_quota_records(leader);
        EXPECT_EQ(fleet.limit("red"), std::min(16.0, changed)) << leader;
        EXPECT_EQ(fleet.guarantee("red"), std::min(12.0, changed)) << leader << ": capped at the limit";
      }
    }
    fleet.files["host-0"] = fleet.files["host-1"];
    fleet.write_quota_records("host-0");
    EXPECT_EQ(fleet.limit("red"), changed);
    EXPECT_EQ(fleet.quota_accounts.changing_team(), std::nullopt);
  }
}

TEST(QuotaAgreement, RevertedChangeNoLongerNarrowsTheQuota) {
  const TeamQuotas initial{{"red", quota(8, 16)}};
  ControllerFleet fleet({initial, initial, initial});
  fleet.write_quota_records("host-0");
  fleet.files["host-2"] = TeamQuotas{{"red", quota(8, 4)}};
  fleet.write_quota_records("host-1");
  EXPECT_EQ(fleet.limit("red"), 4);
  // host-2 is unreachable and may still have the changed file.
  fleet.files["host-2"] = std::nullopt;
  EXPECT_EQ(fleet.write_quota_records("host-0"), 0u);
  EXPECT_EQ(fleet.limit("red"), 4);
  fleet.files["host-2"] = initial;
  fleet.write_quota_records("host-0");
  EXPECT_EQ(fleet.limit("red"), 16);
}

TEST(QuotaAgreement, AddedTeamIsAcceptedAtOnceAndRemovedTeamKeepsItsLimit) {
  const TeamQuotas initial{{"red", quota(8, 16)}, {"blue", quota(0, 6)}};
  ControllerFleet fleet({initial, initial, initial});
  fleet.write_quota_records("host-0");
  // One controller's file removes blue and adds green: blue is unchanged, and green has the quota of that file.
  const TeamQuotas changed{{"red", quota(8, 16)}, {"green", quota(2, 5)}};
  fleet.files["host-1"] = changed;
  fleet.write_quota_records("host-0");
  EXPECT_TRUE(fleet.accepts_jobs("blue"));
  EXPECT_EQ(fleet.limit("blue"), 6);
  EXPECT_TRUE(fleet.accepts_jobs("green"));
  EXPECT_EQ(fleet.limit("green"), 5);
  fleet.files["host-0"] = fleet.files["host-2"] = changed;
  fleet.write_quota_records("host-2");
  EXPECT_FALSE(fleet.accepts_jobs("blue")) << "no new jobs are accepted";
  EXPECT_EQ(fleet.limit("blue"), 6) << "its existing jobs keep the last limit";
  EXPECT_TRUE(fleet.accepts_jobs("green"));
  // Blue is added again with a higher limit: the lower one is in force until all files have the change.
  fleet.files["host-0"] = TeamQuotas{{"red", quota(8, 16)}, {"green", quota(2, 5)}, {"blue", quota(0, 9)}};
  fleet.write_quota_records("host-0");
  EXPECT_EQ(fleet.limit("blue"), 6);
  fleet.files["host-1"] = fleet.files["host-2"] = fleet.files["host-0"];
  fleet.write_quota_records("host-1");
  EXPECT_TRUE(fleet.accepts_jobs("blue"));
  EXPECT_EQ(fleet.limit("blue"), 9);
}

TEST(QuotaAgreement, MissingLimitIsHigherThanAnyLimit) {
  EXPECT_EQ(stricter_quota(quota(3, 0), quota(5, 4)), quota(4, 4));
  EXPECT_EQ(stricter_quota(quota(3, 0), quota(5, 0)), quota(5, 0));
  ControllerFleet fleet({{{"red", quota(1, 0)}}, {{"red", quota(1, 7)}}});
  fleet.write_quota_records("host-0");
  EXPECT_EQ(fleet.limit("red"), 7);
}

// Random sequences of changed files, unknown files and leader changes: the limit in force is never above the agreed one, nor above
// that of any file known at the leader's latest decision.
TEST(QuotaAgreement, LimitInForceIsNeverAboveThatOfAnyKnownFile) {
  const std::vector<std::optional<TeamQuotas>> choices{TeamQuotas{{"red", quota(2, 10)}}, TeamQuotas{{"red", quota(4, 6)}},
                                                       TeamQuotas{{"red", quota(1, 14)}}, TeamQuotas{}, std::nullopt};
  std::mt19937 random(3);
  for (int run = 0; run < 300; ++run) {
    ControllerFleet fleet({*choices[0], *choices[0], *choices[0]});
    fleet.write_quota_records("host-0");
    for (int step = 0; step < 30; ++step) {
      const auto controller = "host-" + std::to_string(random() % 3);
      fleet.files[controller] = choices[random() % choices.size()];
      const auto leader = "host-" + std::to_string(random() % 3);
      if (!fleet.files[leader]) continue;
      fleet.write_quota_records(leader);
      const auto& record = *fleet.quota_accounts.team(fleet.quota_accounts.find("red")).record;
      for (const auto& [label, file] : fleet.files)
        if (file && file->contains("red")) {
          ASSERT_LE(fleet.limit("red"), file->at("red").limit.cores) << "run " << run << " step " << step << " " << label;
        }
      ASSERT_LE(fleet.guarantee("red"), fleet.limit("red"));
      if (record.agreed) {
        ASSERT_LE(fleet.limit("red"), record.agreed->limit.cores);
      }
    }
  }
}

// Guards against teams without an account: the planner started any number of their tasks.
TEST(QuotaAccounts, JobsOfATeamWithoutQuotaDoNotStart) {
  ClusterState cluster_state = cluster_state_with_core_limit(4);
  auto blue = submission("j-1", 3, 1);
  blue.owner = "blue";
  cluster_state.apply(JobAcceptedRecord{blue, 0.5, 1});
  const Job& job = cluster_state.job(cluster_state.find("j-1"));
  ASSERT_TRUE(job.team.valid());
  EXPECT_LT(cluster_state.quota_accounts().headroom(job.team, kUnlimited).cores, 0);
  EXPECT_FALSE(cluster_state.quota_accounts().accepts_jobs(job.team));
  EXPECT_TRUE(cluster_state.rejection_reason(blue).has_value());
  EXPECT_EQ(cluster_state.quota_accounts().headroom(cluster_state.quota_accounts().find("red"), kUnlimited).cores, 4);
  // When a quota from the ledger comes into force, the team's jobs may start.
  cluster_state.apply(TeamQuotaRecord{"blue", quota(0, 2), std::nullopt, false});
  EXPECT_EQ(cluster_state.quota_accounts().headroom(job.team, kUnlimited).cores, 2);
}

// A team with a limit of 4 cores, and one running task of one core on m-1.
struct OneRunningTask {
  OneRunningTask() {
    cluster_state.apply(JobAcceptedRecord{submission("j-1", 3, 1), 0.5, 1});
    job = cluster_state.find("j-1");
    node = cluster_state.find_or_add_node("m-1");
    cluster_state.apply(TasksStartedRecord{"j-1", 1, 2, {{"m-1", 1, {{0, 1}}}}});
    red = cluster_state.quota_accounts().find("red");
    placed().reported = true;
    placed().phase = TaskPhase::running;
  }
  Placement& placed() { return *cluster_state.placement({job, 0}); }
  ClusterState cluster_state = cluster_state_with_core_limit(4);
  JobIndex job;
  NodeIndex node;
  TeamIndex red;
};

TEST(QuotaAccounts, ReportedTasksThatAreNotPlacedCountAsUsed) {
  OneRunningTask scenario;
  auto& [cluster_state, job, node, red] = scenario;
  cluster_state.node(node).agent.tasks = {{{job, 0}, 1, TaskPhase::running, ""}};
  cluster_state.recount_unplaced_usage();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kUnlimited).cores, 3);
  // A reported task without a placement is added, so that usage is not underestimated.
  cluster_state.node(node).agent.tasks.push_back({{job, 1}, 1, TaskPhase::running, ""});
  cluster_state.recount_unplaced_usage();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kUnlimited).cores, 2);
  cluster_state.node(node).agent.tasks.back().phase = TaskPhase::exited;
  cluster_state.recount_unplaced_usage();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kUnlimited).cores, 3);
}

// Guards against placements of the agent's earlier incarnation hiding the same number of unplaced tasks that run now.
TEST(QuotaAccounts, TasksOfAnEarlierIncarnationDoNotHideUnplacedRunningTasks) {
  OneRunningTask scenario;
  auto& [cluster_state, job, node, red] = scenario;
  cluster_state.node(node).agent.incarnation = 2;
  cluster_state.node(node).agent.tasks = {{{job, 1}, 1, TaskPhase::running, ""}};
  cluster_state.recount_unplaced_usage();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kUnlimited).cores, 2)
      << "the removal of the earlier task is not in the ledger yet";
  cluster_state.node(node).agent.incarnation = 1;
  scenario.placed().removal_pending = true;
  cluster_state.recount_unplaced_usage();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kUnlimited).cores, 2) << "the removal of the placed task is pending";
}

// A team's jobs are ordered as in the ledger, despite clock skew between the controllers that accepted them.
TEST(QuotaAccounts, AcceptanceTimesFollowTheOrderOfTheLedger) {
  ClusterState cluster_state = cluster_state_with_core_limit(4);
  cluster_state.apply(JobAcceptedRecord{submission("j-1", 1, 1), 0.5, 100.02});
  EXPECT_GT(cluster_state.next_acceptance_time(100.0, 0.025), 100.02) << "a clock that is slow within the maximum skew";
  EXPECT_EQ(cluster_state.next_acceptance_time(100.5, 0.025), 100.5);
  EXPECT_EQ(cluster_state.next_acceptance_time(50, 0.025), 50) << "a clock that was far ahead does not affect all later times";
}

TEST(QuotaAccounts, PendingSummaryShowsTheReason) {
  ClusterState cluster_state({Team{"red", {}, {2, 0, 0}}, Team{"blue", {}, {0, 0, 0}}});
  const auto accept = [&](const std::string& uid, const std::string& team, std::uint32_t tasks, double at) {
    auto spec = submission(uid, tasks, 1);
    spec.owner = team;
    cluster_state.apply(JobAcceptedRecord{spec, 0.5, at});
  };
  accept("j-1", "red", 4, 10);
  accept("j-2", "blue", 1, 20);
  accept("j-3", "blue", 1, 30);
  accept("j-4", "green", 2, 40);
  const auto line = [&](std::size_t i) {
    const auto summary = summarize_pending(cluster_state, 100).at(i);
    return summary.team + " " + std::to_string(summary.tasks) + " " + name_of(summary.reason) + " " +
           std::to_string(static_cast<int>(summary.unstarted_s));
  };
  EXPECT_EQ(line(0), "blue 2 room 80");
  EXPECT_EQ(line(1), "green 2 terms 60");
  EXPECT_EQ(line(2), "red 4 room 90");
  cluster_state.apply(TasksStartedRecord{"j-1", 1, 50, {{"m-1", 1, {{0, 2}}}}});
  cluster_state.apply(TasksStartedRecord{"j-2", 1, 50, {{"m-1", 1, {{0, 1}}}}});
  EXPECT_EQ(line(0), "blue 1 room 70");
  EXPECT_EQ(line(2), "red 2 limit 0");
}

// The account is raised to the placed usage, and the team is reported. Accounts above it are reported but not lowered.
TEST(QuotaAccounts, AccountBelowThePlacedUsageIsRaised) {
  ClusterState cluster_state = cluster_state_with_core_limit(10);
  cluster_state.apply(JobAcceptedRecord{submission("j-1", 3, 1), 0.5, 1});
  cluster_state.apply(TasksStartedRecord{"j-1", 1, 2, {{"m-1", 1, {{0, 3}}}}});
  EXPECT_TRUE(cluster_state.correct_accounts().empty());
  const TeamIndex red = cluster_state.quota_accounts().find("red");
  cluster_state.quota_accounts().refund(red, {2, 0, 0});
  EXPECT_EQ(cluster_state.correct_accounts(), std::vector<std::string>{"red"});
  EXPECT_EQ(cluster_state.teams()[0].used.cores, 3);
  cluster_state.quota_accounts().charge(red, {2, 0, 0});
  EXPECT_EQ(cluster_state.correct_accounts(), std::vector<std::string>{"red"});
  EXPECT_EQ(cluster_state.teams()[0].used.cores, 5) << "an account is never lowered";
}

}  // namespace
}  // namespace thistlefront
