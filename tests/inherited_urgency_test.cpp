// Cost and result of the urgency that jobs inherit from their dependents. The cost is counted in steps, the jobs and edges that the
// dependency graph visits, so that the tests do not depend on the speed of the machine.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "in_memory_ledger.hpp"
#include "job_builders.hpp"
#include "model/job.hpp"
#include "model/ledger_records.hpp"

namespace thistlefront {
namespace {

constexpr double kAcceptedAt = 100;

// Jobs in the order in which their user submits them, each after its dependencies.
struct Pipeline {
  std::vector<JobSpec> jobs;

  const std::string& add(std::vector<std::string> dependencies, double estimated_run_s) {
    JobSpec spec = job_with_dependencies("j-" + std::to_string(1000000 + jobs.size()), std::move(dependencies), 1);
    spec.estimated_run_s = estimated_run_s;
    jobs.push_back(std::move(spec));
    return jobs.back().uid;
  }
  // Only the last job of a pipeline has a priority and a deadline.
  void add_urgent(std::vector<std::string> dependencies) {
    add(std::move(dependencies), 8);
    jobs.back().priority = Priority::high;
    jobs.back().deadline_s = 30000;
  }
  [[nodiscard]] std::size_t edges() const {
    std::size_t count = 0;
    for (const auto& job : jobs) count += job.depends_on.size();
    return count;
  }
  // What a traversal that visits each job and each edge once takes.
  [[nodiscard]] std::size_t size() const { return jobs.size() + edges(); }
};

// `width` jobs side by side and one that needs all of them, on which the next stage waits. Estimates grow so that each path through a
// stage requires an earlier deadline than the paths before it.
Pipeline stages_with_joint_jobs(std::size_t stages, std::size_t width = 8) {
  constexpr double kUnitS = 0.000002;
  Pipeline pipeline;
  std::vector<std::string> before;
  double unit_s = kUnitS;
  for (std::size_t stage = 0; stage < stages; ++stage, unit_s *= static_cast<double>(width)) {
    std::vector<std::string> side_by_side;
    for (std::size_t i = 0; i < width; ++i) side_by_side.push_back(pipeline.add(before, 10 + static_cast<double>(i) * unit_s));
    std::reverse(side_by_side.begin(), side_by_side.end());
    before = {pipeline.add(side_by_side, 10)};
  }
  pipeline.add_urgent(before);
  return pipeline;
}

// Each job needs all jobs of the stage before, with random estimates.
Pipeline complete_stages(std::size_t stages, std::size_t width) {
  std::mt19937 random(1);
  Pipeline pipeline;
  std::vector<std::string> before;
  for (std::size_t stage = 0; stage < stages; ++stage) {
    std::vector<std::string> side_by_side;
    for (std::size_t i = 0; i < width; ++i)
      side_by_side.push_back(pipeline.add(before, std::uniform_real_distribution<double>(8, 30)(random)));
    before = side_by_side;
  }
  pipeline.add_urgent(before);
  return pipeline;
}

Pipeline chain(std::size_t length) {
  Pipeline pipeline;
  std::vector<std::string> before;
  for (std::size_t i = 0; i < length; ++i) before = {pipeline.add(before, 10)};
  pipeline.add_urgent(before);
  return pipeline;
}

// Two jobs that all others but the last need, each with an urgency of its own.
Pipeline shared_dependencies(std::size_t dependents) {
  Pipeline pipeline;
  const std::vector<std::string> shared{pipeline.add({}, 10), pipeline.add({}, 20)};
  for (std::size_t i = 0; i < dependents; ++i) {
    pipeline.add(shared, 10 + static_cast<double>(i));
    pipeline.jobs.back().priority = Priority::standard;
  }
  pipeline.add_urgent({pipeline.jobs.back().uid});
  return pipeline;
}

std::uint64_t steps(const ClusterState& cluster_state) {
  return cluster_state.dependency_graph().counts().steps;
}

std::uint64_t steps_of(ClusterState& cluster_state, const Record& record) {
  const std::uint64_t before = steps(cluster_state);
  cluster_state.apply(record);
  return steps(cluster_state) - before;
}

// The steps of related events.
struct Cost {
  std::uint64_t acceptances = 0;        // of all jobs but the last
  std::uint64_t urgent_acceptance = 0;  // of the last job
  std::uint64_t cancellation = 0;       // of the first job, with all its dependents
  std::uint64_t completions = 0;        // of all jobs, one after the other
  std::uint64_t replay = 0;             // of a ledger with the acceptances in any order
};

Cost cost_of(const Pipeline& pipeline, unsigned replay_seed) {
  Cost cost;
  ClusterState cluster_state = empty_cluster_state();
  for (const auto& job : pipeline.jobs) {
    cost.acceptances += cost.urgent_acceptance;
    cost.urgent_acceptance = steps_of(cluster_state, accept_record(job, kAcceptedAt));
  }
  ClusterState completing = empty_cluster_state();
  for (const auto& job : pipeline.jobs) completing.apply(accept_record(job, kAcceptedAt));
  for (const auto& job : pipeline.jobs) cost.completions += steps_of(completing, TasksCompletedRecord{job.uid, {{0, 1}}, 2 * kAcceptedAt});
  EXPECT_EQ(completing.live().size(), 0u) << "all jobs must be done";
  for (const auto& job : pipeline.jobs) EXPECT_FALSE(completing.dependency_graph().has_dependents(completing.find(job.uid))) << job.uid;
  cost.cancellation = steps_of(cluster_state, JobCancelledRecord{pipeline.jobs.front().uid});
  // Compaction moves jobs behind their dependents.
  std::vector<JobSpec> moved = pipeline.jobs;
  std::shuffle(moved.begin(), moved.end(), std::mt19937(replay_seed));
  ClusterState replayed = empty_cluster_state();
  for (const auto& job : moved) replayed.replay(accept_record(job, kAcceptedAt));
  replayed.finish_replay();
  cost.replay = steps(replayed);
  return cost;
}

// Guards against controllers that stop replying: the submission of a pipeline's last job, the only one with a deadline, visited each
// path through the pipeline, 8^11 of them in review/1, under the mutex of the leader and in every takeover.
TEST(InheritedUrgency, DeadlineOfTheLastJobOfAPipelineVisitsEachJobOnce) {
  for (std::size_t stages = 1; stages <= 6; ++stages) {
    const Pipeline pipeline = stages_with_joint_jobs(stages);
    ClusterState cluster_state = empty_cluster_state();
    for (std::size_t i = 0; i + 1 < pipeline.jobs.size(); ++i) cluster_state.apply(accept_record(pipeline.jobs[i], kAcceptedAt));
    const auto taken = steps_of(cluster_state, accept_record(pipeline.jobs.back(), kAcceptedAt));
    std::cout << stages << " stages: " << pipeline.jobs.size() << " jobs, " << pipeline.edges() << " edges, " << taken << " steps\n";
    EXPECT_LE(taken, pipeline.size()) << stages << " stages";
    EXPECT_EQ(cluster_state.job(cluster_state.find(pipeline.jobs.front().uid)).urgency.priority, Priority::high);
  }
}

// Guards against a new leader that does not finish reading the ledger, for the same reason.
TEST(InheritedUrgency, ReadingTheLedgerOfAPipelineVisitsEachJobAConstantNumberOfTimes) {
  for (std::size_t stages = 1; stages <= 6; ++stages) {
    const Pipeline pipeline = stages_with_joint_jobs(stages);
    InMemoryLedger ledger;
    ledger.ledger_writer.set_format_version(4);
    std::vector<Record> records;
    for (const auto& job : pipeline.jobs) records.emplace_back(accept_record(job, kAcceptedAt));
    ClusterState cluster_state = empty_cluster_state();
    ledger.commit(cluster_state, records);
    LedgerWriter new_writer;
    const ClusterState replayed = ledger.read(new_writer, 4);
    EXPECT_LE(steps(replayed), 4 * pipeline.size()) << stages << " stages";
    expect_same_state(replayed, cluster_state, 0);
  }
}

// Related events and shapes: no cancellation, no replay in any order and no series of acceptances or completions takes more steps than a
// few visits of each job and edge.
TEST(InheritedUrgency, StepsOfEachEventGrowWithTheSizeOfThePipelineOnly) {
  constexpr unsigned kSeed = 7;
  constexpr std::size_t kVisits = 4;
  const std::vector<std::pair<std::string, std::vector<Pipeline>>> shapes{
      {"stages with joint jobs", {stages_with_joint_jobs(11), stages_with_joint_jobs(22)}},
      {"complete stages", {complete_stages(20, 25), complete_stages(20, 50), complete_stages(20, 100)}},
      {"chain", {chain(5000), chain(10000), chain(20000)}},
      {"two shared dependencies", {shared_dependencies(5000), shared_dependencies(10000), shared_dependencies(20000)}},
  };
  for (const auto& [name, pipelines] : shapes) {
    for (const auto& pipeline : pipelines) {
      const Cost cost = cost_of(pipeline, kSeed);
      std::cout << name << ": " << pipeline.jobs.size() << " jobs, " << pipeline.edges() << " edges; steps: acceptances "
                << cost.acceptances << ", urgent acceptance " << cost.urgent_acceptance << ", cancellation " << cost.cancellation
                << ", completions " << cost.completions << ", replay " << cost.replay << "\n";
      EXPECT_LE(cost.acceptances, kVisits * pipeline.size()) << name;
      EXPECT_LE(cost.completions, kVisits * pipeline.size()) << name;
      EXPECT_LE(cost.urgent_acceptance, kVisits * pipeline.size()) << name;
      EXPECT_LE(cost.cancellation, kVisits * pipeline.size()) << name;
      EXPECT_LE(cost.replay, kVisits * pipeline.size()) << name;
    }
  }
}

// Computes the urgency of all jobs from the submissions alone, in the plainest way.
class PlainUrgency {
 public:
  void accept(const JobSpec& spec, double accepted_at) {
    Urgency own;
    own.priority = spec.priority;
    if (spec.deadline_s) own.deadline_at = accepted_at + *spec.deadline_s;
    jobs_.push_back({spec, own});
  }

  // The urgency of each job, given the status that `status_of(uid)` tells.
  template <class Status>
  [[nodiscard]] std::map<std::string, Urgency> compute(const Status& status_of) const {
    std::map<std::string, Urgency> urgency;
    for (const auto& job : jobs_) urgency[job.spec.uid] = job.own;
    // Dependencies are submitted before their dependents, so what is required of a job is final when its turn comes.
    for (auto job = jobs_.rbegin(); job != jobs_.rend(); ++job) {
      const JobStatus status = status_of(job->spec.uid);
      if (status == JobStatus::done || status == JobStatus::cancelled) continue;
      for (const auto& dependency : job->spec.depends_on) {
        if (status_of(dependency) == JobStatus::done) continue;
        Urgency required = urgency.at(job->spec.uid);
        required.deadline_at -= job->spec.estimated_run_s;
        urgency.at(dependency) = more_urgent(urgency.at(dependency), required);
      }
    }
    return urgency;
  }

 private:
  struct SubmittedJob {
    JobSpec spec;
    Urgency own;
  };
  std::vector<SubmittedJob> jobs_;
};

// Compares the urgency of all jobs that have not ended. Returns it, by UID.
std::map<std::string, Urgency> expect_plain_urgency(const ClusterState& cluster_state, const PlainUrgency& plain, unsigned seed) {
  const auto status_of = [&](const std::string& uid) { return cluster_state.job(cluster_state.find(uid)).status; };
  std::map<std::string, Urgency> compared;
  for (const auto& [uid, urgency] : plain.compute(status_of)) {
    const Job& job = cluster_state.job(cluster_state.find(uid));
    if (job.ended()) continue;
    EXPECT_EQ(job.urgency, urgency) << uid << ", seed " << seed;
    compared[uid] = urgency;
  }
  return compared;
}

// Random jobs with random dependencies, estimates, priorities and deadlines.
class RandomJobs {
 public:
  explicit RandomJobs(unsigned seed) : random_(seed) {}
  std::size_t below(std::size_t bound) { return random_() % bound; }

  JobAcceptedRecord next(const std::vector<std::string>& earlier) {
    JobSpec spec = job_with_dependencies("j-" + std::to_string(1000 + ++count_), {}, 1);
    spec.estimated_run_s = static_cast<double>(below(40));
    for (auto n = below(5); n > 0 && !earlier.empty(); --n) {
      const std::size_t age = below(below(3) == 0 ? earlier.size() : std::min<std::size_t>(earlier.size(), 8));
      const std::string& name = earlier[earlier.size() - 1 - age];
      if (std::find(spec.depends_on.begin(), spec.depends_on.end(), name) == spec.depends_on.end()) spec.depends_on.push_back(name);
    }
    if (below(3) == 0) spec.deadline_s = static_cast<double>(below(300));
    if (below(3) == 0) spec.priority = below(2) == 0 ? Priority::high : Priority::standard;
    return accept_record(std::move(spec), static_cast<double>(count_));
  }

  std::mt19937& generator() { return random_; }

 private:
  std::mt19937 random_;
  std::size_t count_ = 0;
};

// After each acceptance, cancellation and completion.
TEST(InheritedUrgency, EqualsAPlainComputationAfterEachRecord) {
  std::size_t raised = 0, lowered = 0;
  for (unsigned seed = 1; seed <= 150; ++seed) {
    RandomJobs random(seed);
    PlainUrgency plain;
    ClusterState cluster_state = empty_cluster_state();
    std::vector<std::string> uids;
    std::map<std::string, Urgency> before;
    for (int step = 0; step < 150; ++step) {
      const auto chosen = uids.empty() ? std::string() : uids[random.below(uids.size())];
      const auto kind = random.below(8);
      if (kind == 0 && !chosen.empty()) {
        cluster_state.apply(JobCancelledRecord{chosen});
      } else if (kind <= 2 && !cluster_state.live().empty()) {
        const auto& live = cluster_state.live();
        cluster_state.apply(TasksCompletedRecord{cluster_state.job(live[random.below(live.size())]).uid, {{0, 1}}, 1.0 * step});
      } else {
        const JobAcceptedRecord accepted = random.next(uids);
        plain.accept(accepted.job, accepted.accepted_at);
        uids.push_back(accepted.job.uid);
        cluster_state.apply(accepted);
      }
      const auto after = expect_plain_urgency(cluster_state, plain, seed);
      if (testing::Test::HasFailure()) return;
      for (const auto& [uid, urgency] : after) {
        const auto it = before.find(uid);
        if (it == before.end() || it->second == urgency) continue;
        ++(more_urgent(it->second, urgency) == urgency ? raised : lowered);
      }
      before = after;
    }
  }
  EXPECT_GT(raised, 1000u);
  EXPECT_GT(lowered, 100u);
}

// While the ledger is read, jobs come before their dependencies and end at any moment, and the urgency is computed at any moment.
TEST(InheritedUrgency, EqualsAPlainComputationForEveryOrderOfReading) {
  for (unsigned seed = 1; seed <= 400; ++seed) {
    RandomJobs random(seed);
    PlainUrgency plain;
    std::vector<std::string> uids;
    std::vector<JobAcceptedRecord> accepted;
    for (int i = 0; i < 60; ++i) {
      accepted.push_back(random.next(uids));
      plain.accept(accepted.back().job, accepted.back().accepted_at);
      uids.push_back(accepted.back().job.uid);
    }
    std::shuffle(accepted.begin(), accepted.end(), random.generator());
    ClusterState cluster_state = empty_cluster_state();
    for (const auto& record : accepted) {
      cluster_state.replay(record);
      if (random.below(10) == 0) cluster_state.finish_replay();
      if (random.below(12) == 0) cluster_state.replay(JobCancelledRecord{record.job.uid});
      if (random.below(12) == 0 && record.job.depends_on.empty()) cluster_state.replay(JobsEndedRecord{JobStatus::done, {record.job.uid}});
    }
    cluster_state.finish_replay();
    EXPECT_EQ(cluster_state.dependency_graph().counts().unresolved_names, 0u);
    static_cast<void>(expect_plain_urgency(cluster_state, plain, seed));
    if (testing::Test::HasFailure()) return;
  }
}

}  // namespace
}  // namespace thistlefront
