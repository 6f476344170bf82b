// Service level counters: each job event is counted once, by the leader that wrote its record.
#include "cluster_state/service_level_counters.hpp"

#include <gtest/gtest.h>

#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"

namespace thistlefront {
namespace {

JobSpec job_with_deadline(const std::string& uid, double deadline_s, const std::string& job_class = "c") {
  auto spec = submission(uid, 2, 1);
  spec.job_class = job_class;
  spec.deadline_s = deadline_s;
  return spec;
}

struct Leader {
  ClusterState cluster_state = cluster_state_with_core_limit(100);
  ServiceLevelCounters counters{{"c", "web"}};
  void write(const Record& record, double wall_s) {
    counters.before_apply(record, cluster_state);
    cluster_state.apply(record);
    counters.after_apply(record, cluster_state, wall_s);
  }
};

TEST(ServiceLevelCounters, CountsStartsCompletionsDeadlinesAndWithdrawalsOnce) {
  Leader leader;
  for (const auto* uid : {"j-1", "j-2", "j-3"}) leader.write(JobAcceptedRecord{job_with_deadline(uid, 50), 0.5, 100}, 100);
  leader.write(JobAcceptedRecord{job_with_deadline("j-1", 50), 0.5, 100}, 101);  // a duplicate is not counted
  leader.write(JobAcceptedRecord{job_with_deadline("j-4", 50, "unheard-of"), 0.5, 100}, 101);
  leader.write(TasksStartedRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 2}}}}}, 110);
  leader.write(TasksRemovedRecord{"j-1", 1, {{1, 2}}}, 115);
  leader.write(TasksStartedRecord{"j-1", 2, 116, {{"m-1", 1, {{1, 2}}}}}, 116);
  leader.write(TasksCompletedRecord{"j-1", {{0, 1}}}, 120);
  leader.write(TasksCompletedRecord{"j-1", {{1, 2}}}, 140);
  leader.write(TasksCompletedRecord{"j-1", {{1, 2}}}, 141);
  leader.write(TasksStartedRecord{"j-2", 1, 130, {{"m-1", 1, {{0, 2}}}}}, 130);
  leader.write(TasksCompletedRecord{"j-2", {{0, 2}}}, 151);
  leader.write(JobCancelledRecord{"j-3"}, 160);
  const ServiceLevelCounters::Counts class_c{3, 2, 2, 2, 1, 1, 0, 0}, other{1, 0, 0, 0, 0, 0, 0, 0};
  EXPECT_EQ(leader.counters.counts(),
            (std::map<ServiceLevelCounters::Key, ServiceLevelCounters::Counts>{{{"red", "c"}, class_c}, {{"red", "other"}, other}}));
}

// After a failover, the next leader replays the records of the previous one without counting them: the sum counts every event once.
TEST(ServiceLevelCounters, CountsOfBothLeadersAddUpOverAFailover) {
  Leader first;
  const std::vector<Record> written{JobAcceptedRecord{job_with_deadline("j-1", 50), 0.5, 100},
                                    JobAcceptedRecord{job_with_deadline("j-2", 50), 0.5, 100},
                                    TasksStartedRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 2}}}}}};
  for (const auto& record : written) first.write(record, 110);
  Leader second;
  for (const auto& record : written) second.cluster_state.apply(record);
  second.write(TasksCompletedRecord{"j-1", {{0, 2}}}, 120);
  second.write(TasksStartedRecord{"j-2", 1, 125, {{"m-1", 1, {{0, 2}}}}}, 125);
  const auto& first_counts = first.counters.counts().at({"red", "c"});
  const auto& second_counts = second.counters.counts().at({"red", "c"});
  EXPECT_EQ(first_counts.accepted + second_counts.accepted, 2u);
  EXPECT_EQ(first_counts.started + second_counts.started, 2u);
  EXPECT_EQ(first_counts.done + second_counts.done, 1u);
  EXPECT_EQ(second_counts.done_in_time, 1u);
}

TEST(ServiceLevelCounters, ReplicaTimeIsCountedForRequestedAndRunningReplicas) {
  Leader leader;
  auto web = submission("j-1", 4, 1);
  web.job_type = JobType::service;
  web.job_class = "web";
  leader.write(JobAcceptedRecord{web, 0.5, 100}, 100);
  leader.write(TasksStartedRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 3}}}}}, 110);
  auto& first = leader.cluster_state.job(leader.cluster_state.find("j-1")).placed.at(0);
  first.phase = TaskPhase::running;
  first.reported = true;
  leader.counters.add_replica_time(leader.cluster_state, 2);
  const auto& counts = leader.counters.counts().at({"red", "web"});
  EXPECT_DOUBLE_EQ(counts.replica_requested_s, 8);
  EXPECT_DOUBLE_EQ(counts.replica_running_s, 2);
}

// A job is large compared with recent submissions of its class; none is large where all have the same size.
TEST(JobSizeRanking, ComparesWithRecentJobsOfTheClass) {
  const JobClassIndex mixed_sizes{0}, equal_sizes{1};
  JobSizeRanking ranking;
  EXPECT_FALSE(ranking.is_among_largest(mixed_sizes, 8));
  for (int i = 0; i < 40; ++i) {
    ranking.record(mixed_sizes, i % 5 == 0 ? 8 : 1);
    ranking.record(equal_sizes, 3);
  }
  EXPECT_TRUE(ranking.is_among_largest(mixed_sizes, 8));
  EXPECT_FALSE(ranking.is_among_largest(mixed_sizes, 1));
  EXPECT_FALSE(ranking.is_among_largest(equal_sizes, 3));
  for (int i = 0; i < 64; ++i) ranking.record(mixed_sizes, 8);
  EXPECT_FALSE(ranking.is_among_largest(mixed_sizes, 8)) << "the small jobs are no longer recent";
  EXPECT_TRUE(ranking.is_among_largest(mixed_sizes, 16));

  ClusterState cluster_state = cluster_state_with_core_limit(100);
  ServiceLevelCounters counters({"c"});
  for (int i = 0; i < 20; ++i)
    cluster_state.apply(JobAcceptedRecord{submission("j-" + std::to_string(i), i % 10 == 9 ? 8 : 1, 1), 0.5, 10});
  const auto start_job = [&](const std::string& uid, double at) {
    const Record start = TasksStartedRecord{uid, 1, at, {{"m-1", 1, {{0, 1}}}}};
    counters.before_apply(start, cluster_state);
    cluster_state.apply(start);
  };
  start_job("j-9", 100);
  start_job("j-19", 300);
  start_job("j-3", 400);
  const auto& counts = counters.counts().begin()->second;
  EXPECT_EQ(counts.started, 3u);
  EXPECT_EQ(counts.largest_started, 2u);
  EXPECT_EQ(counts.largest_started_in_time, 1u) << "the other one started after more than four minutes";
}

}  // namespace
}  // namespace thistlefront
