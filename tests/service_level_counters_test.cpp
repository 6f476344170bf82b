// Each step of a job is counted once, by whoever wrote it.
#include "cluster_state/service_level_counters.hpp"

#include <gtest/gtest.h>

#include "job_builders.hpp"
#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"

namespace thistlefront {
namespace {

JobSpec due(const std::string& uid, double deadline_s, const std::string& job_class = "c") {
  auto s = submission(uid, 2, 1);
  s.job_class = job_class;
  s.deadline_s = deadline_s;
  return s;
}

struct Leader {
  ClusterState cluster_state = book_of_red(100);
  ServiceLevelCounters served{{"c", "web"}};
  void write(const Record& record, double wall) {
    served.before_apply(record, cluster_state);
    cluster_state.apply(record);
    served.after_apply(record, cluster_state, wall);
  }
};

TEST(ServiceLevelCounters, CountsStartsOnceEndsByTheirDeadlineAndWhatWasGivenUpOn) {
  Leader l;
  for (const auto* uid : {"j-1", "j-2", "j-3"}) l.write(JobAcceptedRecord{due(uid, 50), 0.5, 100}, 100);
  l.write(JobAcceptedRecord{due("j-1", 50), 0.5, 100}, 101);  // once more: it changes nothing
  l.write(JobAcceptedRecord{due("j-4", 50, "unheard-of"), 0.5, 100}, 101);
  l.write(TasksStartedRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 2}}}}}, 110);
  l.write(TasksRemovedRecord{"j-1", 1, {{1, 2}}}, 115);
  l.write(TasksStartedRecord{"j-1", 2, 116, {{"m-1", 1, {{1, 2}}}}}, 116);
  l.write(TasksCompletedRecord{"j-1", {{0, 1}}}, 120);
  l.write(TasksCompletedRecord{"j-1", {{1, 2}}}, 140);
  l.write(TasksCompletedRecord{"j-1", {{1, 2}}}, 141);
  l.write(TasksStartedRecord{"j-2", 1, 130, {{"m-1", 1, {{0, 2}}}}}, 130);
  l.write(TasksCompletedRecord{"j-2", {{0, 2}}}, 151);
  l.write(JobCancelledRecord{"j-3"}, 160);
  const ServiceLevelCounters::Counts c{3, 2, 2, 2, 1, 1, 0, 0}, other{1, 0, 0, 0, 0, 0, 0, 0};
  EXPECT_EQ(l.served.counts(),
            (std::map<ServiceLevelCounters::Key, ServiceLevelCounters::Counts>{{{"red", "c"}, c}, {{"red", "other"}, other}}));
}

// The successor reads what the one before wrote, counts none of it, and goes on: both together are the whole.
TEST(ServiceLevelCounters, OverATakeoverTheSumOfBothIsTheWhole) {
  Leader first;
  const std::vector<Record> written{JobAcceptedRecord{due("j-1", 50), 0.5, 100}, JobAcceptedRecord{due("j-2", 50), 0.5, 100},
                                    TasksStartedRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 2}}}}}};
  for (const auto& r : written) first.write(r, 110);
  Leader next;
  for (const auto& r : written) next.cluster_state.apply(r);
  next.write(TasksCompletedRecord{"j-1", {{0, 2}}}, 120);
  next.write(TasksStartedRecord{"j-2", 1, 125, {{"m-1", 1, {{0, 2}}}}}, 125);
  const auto& a = first.served.counts().at({"red", "c"});
  const auto& b = next.served.counts().at({"red", "c"});
  EXPECT_EQ(a.accepted + b.accepted, 2u);
  EXPECT_EQ(a.started + b.started, 2u);
  EXPECT_EQ(a.done + b.done, 1u);
  EXPECT_EQ(b.in_time, 1u);
}

TEST(ServiceLevelCounters, ReplicasCountWhileTheyRun) {
  Leader l;
  auto web = submission("j-1", 4, 1);
  web.job_type = JobType::service;
  web.job_class = "web";
  l.write(JobAcceptedRecord{web, 0.5, 100}, 100);
  l.write(TasksStartedRecord{"j-1", 1, 110, {{"m-1", 1, {{0, 3}}}}}, 110);
  auto& first = l.cluster_state.job(l.cluster_state.find("j-1")).placed.at(0);
  first.phase = TaskPhase::running;
  first.reported = true;
  l.served.add_replica_time(l.cluster_state, 2);
  const auto& f = l.served.counts().at({"red", "web"});
  EXPECT_DOUBLE_EQ(f.replica_s, 8);
  EXPECT_DOUBLE_EQ(f.replica_up_s, 2);
}

// Said by what the class asked for lately: a large gang among small ones, and none where all are alike.
TEST(JobSizeRanking, AreToldByWhatTheClassAskedForLately) {
  const JobClassIndex gangs{0}, alike{1};
  JobSizeRanking largest;
  EXPECT_FALSE(largest.is_among_largest(gangs, 8));
  for (int i = 0; i < 40; ++i) {
    largest.record(gangs, i % 5 == 0 ? 8 : 1);
    largest.record(alike, 3);
  }
  EXPECT_TRUE(largest.is_among_largest(gangs, 8));
  EXPECT_FALSE(largest.is_among_largest(gangs, 1));
  EXPECT_FALSE(largest.is_among_largest(alike, 3));
  for (int i = 0; i < 64; ++i) largest.record(gangs, 8);
  EXPECT_FALSE(largest.is_among_largest(gangs, 8)) << "what was small is long past";
  EXPECT_TRUE(largest.is_among_largest(gangs, 16));

  ClusterState cluster_state = book_of_red(100);
  ServiceLevelCounters served({"c"});
  for (int i = 0; i < 20; ++i)
    cluster_state.apply(JobAcceptedRecord{submission("j-" + std::to_string(i), i % 10 == 9 ? 8 : 1, 1), 0.5, 10});
  const auto begins = [&](const std::string& uid, double at) {
    const Record start = TasksStartedRecord{uid, 1, at, {{"m-1", 1, {{0, 1}}}}};
    served.before_apply(start, cluster_state);
    cluster_state.apply(start);
  };
  begins("j-9", 100), begins("j-19", 300), begins("j-3", 400);
  const auto& f = served.counts().begin()->second;
  EXPECT_EQ(f.started, 3u);
  EXPECT_EQ(f.largest, 2u);
  EXPECT_EQ(f.largest_in_time, 1u) << "one began after four minutes";
}

}  // namespace
}  // namespace thistlefront
