// Teams' limits: what is in force while controllers' settings differ, what counts as used, and that the
// accounts agree with an independent count.
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
constexpr double kNone = 1e9;

class Fleet {  // of controllers with settings files, and the ledger's accounts
 public:
  explicit Fleet(std::vector<TeamQuotas> files) : quota_accounts({}) {
    for (std::size_t i = 0; i < files.size(); ++i) of["host-" + std::to_string(i)] = std::move(files[i]);
    std::vector<Team> teams;
    for (const auto& [name, t] : *of.begin()->second) teams.push_back({name, t.guarantee, t.limit});
    quota_accounts = QuotaAccounts(teams);
  }
  // A leader looks: what it writes is applied. It comes to rest at once.
  std::size_t agree(const std::string& leader) {
    const TeamQuotas own = of.at(leader).value_or(TeamQuotas{});
    const auto records = next_quota_records(quota_accounts, own, of);
    for (const auto& r : records) quota_accounts.apply_record(r);
    EXPECT_TRUE(next_quota_records(quota_accounts, own, of).empty());
    return records.size();
  }
  double limit(const std::string& team) const { return quota_accounts.team(quota_accounts.find(team)).limit.cores; }
  double guarantee(const std::string& team) const { return quota_accounts.team(quota_accounts.find(team)).guarantee.cores; }
  bool open(const std::string& team) const {
    return quota_accounts.find(team).valid() && quota_accounts.accepts_jobs(quota_accounts.find(team));
  }

  QuotaAccounts quota_accounts;
  std::map<std::string, std::optional<TeamQuotas>> of;
};

// Rolled out controller by controller: whoever leads, the lower limit and the higher guarantee hold until all
// have the file.
TEST(Agreement, AChangedLimitNarrowsUntilAllHaveIt) {
  const TeamQuotas old{{"red", quota(8, 16)}};
  for (const double changed : {10.0, 24.0}) {
    Fleet f({old, old, old});
    f.agree("host-0");
    for (const auto* next : {"host-1", "host-2"}) {
      f.of[next] = TeamQuotas{{"red", quota(12, changed)}};
      for (const auto* leader : {"host-0", "host-1", "host-2"}) {
        f.agree(leader);
        EXPECT_EQ(f.limit("red"), std::min(16.0, changed)) << leader;
        EXPECT_EQ(f.guarantee("red"), std::min(12.0, changed)) << leader << ": as far as it fits";
      }
    }
    f.of["host-0"] = f.of["host-1"];
    f.agree("host-0");
    EXPECT_EQ(f.limit("red"), changed);
    EXPECT_EQ(f.quota_accounts.changing_team(), std::nullopt);
  }
}

TEST(Agreement, AChangeThatIsTakenBackNarrowsNoLonger) {
  const TeamQuotas old{{"red", quota(8, 16)}};
  Fleet f({old, old, old});
  f.agree("host-0");
  f.of["host-2"] = TeamQuotas{{"red", quota(8, 4)}};
  f.agree("host-1");
  EXPECT_EQ(f.limit("red"), 4);
  // Its controller can't be asked, and may still have it.
  f.of["host-2"] = std::nullopt;
  EXPECT_EQ(f.agree("host-0"), 0u);
  EXPECT_EQ(f.limit("red"), 4);
  f.of["host-2"] = old;
  f.agree("host-0");
  EXPECT_EQ(f.limit("red"), 16);
}

TEST(Agreement, TeamsThatComeAndGo) {
  const TeamQuotas old{{"red", quota(8, 16)}, {"blue", quota(0, 6)}};
  Fleet f({old, old, old});
  f.agree("host-0");
  // Blue goes, green comes, on one controller: blue is as it was, and green may work within what that one
  // says.
  const TeamQuotas changed{{"red", quota(8, 16)}, {"green", quota(2, 5)}};
  f.of["host-1"] = changed;
  f.agree("host-0");
  EXPECT_TRUE(f.open("blue"));
  EXPECT_EQ(f.limit("blue"), 6);
  EXPECT_TRUE(f.open("green"));
  EXPECT_EQ(f.limit("green"), 5);
  f.of["host-0"] = f.of["host-2"] = changed;
  f.agree("host-2");
  EXPECT_FALSE(f.open("blue")) << "no more jobs";
  EXPECT_EQ(f.limit("blue"), 6) << "its last limit, for those that it has";
  EXPECT_TRUE(f.open("green"));
  // It comes back with another limit: the lower one until all have it.
  f.of["host-0"] = TeamQuotas{{"red", quota(8, 16)}, {"green", quota(2, 5)}, {"blue", quota(0, 9)}};
  f.agree("host-0");
  EXPECT_EQ(f.limit("blue"), 6);
  f.of["host-1"] = f.of["host-2"] = f.of["host-0"];
  f.agree("host-1");
  EXPECT_TRUE(f.open("blue"));
  EXPECT_EQ(f.limit("blue"), 9);
}

TEST(Agreement, NoLimitIsTheHighestOfAll) {
  EXPECT_EQ(stricter_quota(quota(3, 0), quota(5, 4)), quota(4, 4));
  EXPECT_EQ(stricter_quota(quota(3, 0), quota(5, 0)), quota(5, 0));
  Fleet f({{{"red", quota(1, 0)}}, {{"red", quota(1, 7)}}});
  f.agree("host-0");
  EXPECT_EQ(f.limit("red"), 7);
}

// Every sequence of changes of files, looks by any leader and unknown files: whatever is in force is never
// above the limit that was in force for all, nor above that of any file that is known and was there at the
// last look.
TEST(Agreement, WhatIsInForceIsNeverAboveAnyKnownFile) {
  const std::vector<std::optional<TeamQuotas>> choices{TeamQuotas{{"red", quota(2, 10)}}, TeamQuotas{{"red", quota(4, 6)}},
                                                       TeamQuotas{{"red", quota(1, 14)}}, TeamQuotas{}, std::nullopt};
  std::mt19937 random(3);
  for (int day = 0; day < 300; ++day) {
    Fleet f({*choices[0], *choices[0], *choices[0]});
    f.agree("host-0");
    for (int step = 0; step < 30; ++step) {
      const auto node = "host-" + std::to_string(random() % 3);
      f.of[node] = choices[random() % choices.size()];
      const auto leader = "host-" + std::to_string(random() % 3);
      if (!f.of[leader]) continue;
      f.agree(leader);
      const auto& record = *f.quota_accounts.team(f.quota_accounts.find("red")).record;
      for (const auto& [label, file] : f.of)
        if (file && file->contains("red")) {
          ASSERT_LE(f.limit("red"), file->at("red").limit.cores) << "day " << day << " step " << step << " " << label;
        }
      ASSERT_LE(f.guarantee("red"), f.limit("red"));
      if (record.agreed) {
        ASSERT_LE(f.limit("red"), record.agreed->limit.cores);
      }
    }
  }
}

// As it was: no account, and the planner let any number of its units start.
TEST(QuotaAccounts, WorkOfATeamThatNobodyTellsTermsOfDoesNotStart) {
  ClusterState cluster_state = book_of_red(4);
  auto blue = submission("j-1", 3, 1);
  blue.owner = "blue";
  cluster_state.apply(JobAcceptedRecord{blue, 0.5, 1});
  const Job& job = cluster_state.job(cluster_state.find("j-1"));
  ASSERT_TRUE(job.team.valid());
  EXPECT_LT(cluster_state.quota_accounts().headroom(job.team, kNone).cores, 0);
  EXPECT_FALSE(cluster_state.quota_accounts().accepts_jobs(job.team));
  EXPECT_TRUE(cluster_state.rejection_reason(blue).has_value());
  EXPECT_EQ(cluster_state.quota_accounts().headroom(cluster_state.quota_accounts().find("red"), kNone).cores, 4);
  // The ledger's terms come into force, and its work with them.
  cluster_state.apply(TeamQuotaRecord{"blue", quota(0, 2), std::nullopt, false});
  EXPECT_EQ(cluster_state.quota_accounts().headroom(job.team, kNone).cores, 2);
}

// A limit of 4 cores, and one task of one core that runs on m-1.
struct OneRuns {
  OneRuns() {
    cluster_state.apply(JobAcceptedRecord{submission("j-1", 3, 1), 0.5, 1});
    j = cluster_state.find("j-1");
    h = cluster_state.find_or_add_node("m-1");
    cluster_state.apply(TasksStartedRecord{"j-1", 1, 2, {{"m-1", 1, {{0, 1}}}}});
    red = cluster_state.quota_accounts().find("red");
    placed().reported = true;
    placed().phase = TaskPhase::running;
  }
  Placement& placed() { return *cluster_state.placement({j, 0}); }
  ClusterState cluster_state = book_of_red(4);
  JobIndex j;
  NodeIndex h;
  TeamIndex red;
};

TEST(QuotaAccounts, WhatWorkersReportBesideWhatIsPlacedCounts) {
  OneRuns w;
  auto& [cluster_state, j, h, red] = w;
  cluster_state.node(h).agent.tasks = {{{j, 0}, 1, TaskPhase::running, ""}};
  cluster_state.recount_unplaced();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kNone).cores, 3);
  // One that the book knows nothing of: never under.
  cluster_state.node(h).agent.tasks.push_back({{j, 1}, 1, TaskPhase::running, ""});
  cluster_state.recount_unplaced();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kNone).cores, 2);
  cluster_state.node(h).agent.tasks.back().phase = TaskPhase::exited;
  cluster_state.recount_unplaced();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kNone).cores, 3);
}

// Found by reading: as many tasks of its earlier session as it holds now hid those.
TEST(QuotaAccounts, WhatAnEarlierSessionHeldHidesNothingThatRunsNow) {
  OneRuns w;
  auto& [cluster_state, j, h, red] = w;
  cluster_state.node(h).agent.incarnation = 2;
  cluster_state.node(h).agent.tasks = {{{j, 1}, 1, TaskPhase::running, ""}};
  cluster_state.recount_unplaced();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kNone).cores, 2) << "the end of the earlier one is not in the ledger yet";
  cluster_state.node(h).agent.incarnation = 1;
  w.placed().end_pending = true;
  cluster_state.recount_unplaced();
  EXPECT_EQ(cluster_state.quota_accounts().headroom(red, kNone).cores, 2) << "nor is this one";
}

// The order of a team's jobs is the ledger's, whatever the clock of the controller that accepted them.
TEST(QuotaAccounts, JobsAreAcceptedInTheLedgersOrder) {
  ClusterState cluster_state = book_of_red(4);
  cluster_state.apply(JobAcceptedRecord{submission("j-1", 1, 1), 0.5, 100.02});
  EXPECT_GT(cluster_state.next_acceptance_time(100.0, 0.025), 100.02) << "a clock that is behind, within its bound";
  EXPECT_EQ(cluster_state.next_acceptance_time(100.5, 0.025), 100.5);
  EXPECT_EQ(cluster_state.next_acceptance_time(50, 0.025), 50) << "a clock that was hours ahead once does not bend all that follow";
}

TEST(QuotaAccounts, WhatWaitsIsToldWithItsReason) {
  ClusterState cluster_state({Team{"red", {}, {2, 0, 0}}, Team{"blue", {}, {0, 0, 0}}});
  const auto accept = [&](const std::string& uid, const std::string& team, std::uint32_t tasks, double at) {
    auto s = submission(uid, tasks, 1);
    s.owner = team;
    cluster_state.apply(JobAcceptedRecord{s, 0.5, at});
  };
  accept("j-1", "red", 4, 10);
  accept("j-2", "blue", 1, 20);
  accept("j-3", "blue", 1, 30);
  accept("j-4", "green", 2, 40);
  const auto line = [&](std::size_t i) {
    const auto w = summarize_pending(cluster_state, 100).at(i);
    return w.team + " " + std::to_string(w.tasks) + " " + name_of(w.reason) + " " + std::to_string(static_cast<int>(w.unstarted_s));
  };
  EXPECT_EQ(line(0), "blue 2 room 80");
  EXPECT_EQ(line(1), "green 2 terms 60");
  EXPECT_EQ(line(2), "red 4 room 90");
  cluster_state.apply(TasksStartedRecord{"j-1", 1, 50, {{"m-1", 1, {{0, 2}}}}});
  cluster_state.apply(TasksStartedRecord{"j-2", 1, 50, {{"m-1", 1, {{0, 1}}}}});
  EXPECT_EQ(line(0), "blue 1 room 70");
  EXPECT_EQ(line(2), "red 2 limit 0");
}

// The larger figure holds, and it is told.
TEST(QuotaAccounts, AnAccountThatSaysLessThanIsPlacedIsCorrected) {
  ClusterState cluster_state = book_of_red(10);
  cluster_state.apply(JobAcceptedRecord{submission("j-1", 3, 1), 0.5, 1});
  cluster_state.apply(TasksStartedRecord{"j-1", 1, 2, {{"m-1", 1, {{0, 3}}}}});
  EXPECT_TRUE(cluster_state.correct_accounts().empty());
  const TeamIndex red = cluster_state.quota_accounts().find("red");
  cluster_state.quota_accounts().refund(red, {2, 0, 0});
  EXPECT_EQ(cluster_state.correct_accounts(), std::vector<std::string>{"red"});
  EXPECT_EQ(cluster_state.teams()[0].used.cores, 3);
  cluster_state.quota_accounts().charge(red, {2, 0, 0});
  EXPECT_EQ(cluster_state.correct_accounts(), std::vector<std::string>{"red"});
  EXPECT_EQ(cluster_state.teams()[0].used.cores, 5) << "never under";
}

}  // namespace
}  // namespace thistlefront
