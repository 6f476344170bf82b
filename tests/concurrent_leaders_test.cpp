// Two controllers that each may believe they lead, explored exhaustively: two teams that may use one core
// each, three jobs, two machines, and every interleaving (up to a number of events) of decisions,
// transactions that are late, lost or unheard of, commands that are late or lost, tasks that end, reports,
// holds that end and takeovers. Books, accounts and dealings are the ones that the service uses. What
// machines really run must stay within the limits.
#include <gtest/gtest.h>

#include <deque>
#include <unordered_set>

#include "job_builders.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "model/machine.hpp"
#include "model/task.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

const std::vector<std::pair<std::string, std::string>> kJobs{{"j-1", "red"}, {"j-2", "red"}, {"j-3", "blue"}};

struct Txn {
  std::size_t from = 0;
  std::uint64_t fencing_token = 0, term = 0;
  Record record;
};
struct CommandInFlight {
  std::uint64_t fencing_token = 0;
  std::size_t machine = 0;
  Command command;
};
struct Decider {
  bool leads = false, waits = false;  // believes so; a transaction of it is on its way
  std::uint64_t fencing_token = 0;
  std::size_t read = 0;                                // entries of the ledger at its takeover
  std::vector<std::variant<Record, Heartbeat>> since;  // what it learned, in order
};
struct Instance {
  std::uint64_t fencing_token = 0, serial = 0;
  std::map<std::pair<std::string, std::uint64_t>, bool> tasks;  // uid, attempt: ended
};
struct World {
  std::uint64_t lead = 0, revision = 0;
  bool cancels = false;
  std::vector<Record> ledger;
  std::vector<Decider> deciders{2};
  std::vector<Txn> txns;
  std::vector<CommandInFlight> commands_in_flight;
  std::vector<Instance> machines{2};

  // Equal but for the reports' serials.
  [[nodiscard]] std::string text() const {
    std::string out = std::to_string(lead) + "," + std::to_string(revision);
    const auto add = [&](const auto& n) { out += "," + std::to_string(n); };
    for (const auto& r : ledger) out += encode_record(r, 1).text;
    for (const auto& d : deciders) {
      out += "|", add(d.leads), add(d.waits), add(d.fencing_token), add(d.read);
      for (const auto& s : d.since) {
        if (const auto* r = std::get_if<Record>(&s)) out += encode_record(*r, 1).text;
        if (const auto* r = std::get_if<Heartbeat>(&s)) {
          out += r->node, add(r->fencing_token);
          for (const auto& p : r->tasks) out += p.id.uid, add(p.attempt), add(static_cast<int>(p.phase));
        }
      }
    }
    for (const auto& t : txns) out += "/", add(t.from), add(t.fencing_token), out += encode_record(t.record, 1).text;
    for (const auto& c : commands_in_flight)
      out += ">", add(c.fencing_token), add(c.machine), out += c.command.id.uid, add(c.command.attempt),
          add(static_cast<int>(c.command.type));
    for (const auto& m : machines) {
      out += "m", add(m.fencing_token);
      for (const auto& [p, ended] : m.tasks) out += p.first, add(p.second), add(ended);
    }
    return out;
  }
  [[nodiscard]] Heartbeat heartbeat(std::size_t m) {
    Instance& machine = machines[m];
    Heartbeat r;
    r.node = "m-" + std::to_string(m);
    r.address = "a", r.machine_type = "big", r.zone = "x";
    r.agent_incarnation = 1, r.serial = ++machine.serial, r.fencing_token = machine.fencing_token;
    for (const auto& [p, ended] : machine.tasks)
      r.tasks.push_back({{p.first, 0},
                         p.second,
                         ended ? TaskPhase::exited : TaskPhase::running,
                         ended ? ExitReason::completed : ExitReason::none,
                         false});
    return r;
  }
  [[nodiscard]] std::string wrong() const {
    std::map<std::string, int> by_team, by_job;
    for (const auto& m : machines)
      for (const auto& [p, ended] : m.tasks) {
        if (ended) continue;
        const auto job = std::find_if(kJobs.begin(), kJobs.end(), [&](const auto& j) { return j.first == p.first; });
        if (++by_team[job->second] > 1) return "quota: " + job->second;
        if (++by_job[p.first] > 1) return "ran_twice: " + p.first;
      }
    return "";
  }
};

// A guard taken out.
enum class Fault : std::uint8_t { none, no_mod_revision, sends_before_it_is_durable, uses_are_not_counted, cancelled_is_not_counted };

class Explorer {
 public:
  explicit Explorer(Fault fault) : fault_(fault) {}
  std::string run(World first, std::size_t most) {
    std::deque<std::pair<World, std::string>> queue;
    std::deque<std::size_t> depth{0};
    seen_.insert(first.text());
    queue.push_back({std::move(first), ""});
    while (!queue.empty()) {
      auto [world, path] = std::move(queue.front());
      queue.pop_front();
      const auto events = depth.front();
      depth.pop_front();
      if (events >= most) continue;
      std::string found;
      each(world, [&](World next, const std::string& event) {
        if (const auto wrong = next.wrong(); found.empty() && !wrong.empty()) found = path + event + "; " + wrong;
        if (!seen_.insert(next.text()).second) return;
        queue.push_back({std::move(next), path + event + "; "});
        depth.push_back(events + 1);
      });
      if (!found.empty()) return found;
    }
    return "";
  }
  [[nodiscard]] std::size_t worlds() const { return seen_.size(); }

 private:
  static ClusterState fresh() { return ClusterState({Team{"red", {}, {1, 0, 0}}, Team{"blue", {}, {1, 0, 0}}}); }
  // What the decider believes, and what its last report gave rise to.
  static ClusterState book_of(const World& w, const Decider& d, std::vector<Record>* last = nullptr) {
    ClusterState cluster_state = fresh();
    for (std::size_t i = 0; i < d.read; ++i) cluster_state.apply(w.ledger[i]);
    for (const auto& s : d.since) {
      if (const auto* r = std::get_if<Record>(&s)) cluster_state.apply(*r);
      if (const auto* r = std::get_if<Heartbeat>(&s)) {
        auto out = apply_heartbeat(cluster_state, *r, {1, 1}, true, d.fencing_token);
        if (last) *last = std::move(out.records);
      }
    }
    return cluster_state;
  }

  template <class Found>
  void each(const World& world, const Found& found) {
    for (std::size_t t = 0; t < world.txns.size(); ++t) {
      for (const bool heard : {true, false}) {
        World w = world;
        const Txn txn = w.txns[t];
        w.txns.erase(w.txns.begin() + static_cast<long>(t));
        Decider& d = w.deciders[txn.from];
        const bool done = txn.fencing_token == w.lead || fault_ == Fault::no_mod_revision;
        if (done) w.ledger.push_back(txn.record);
        if (heard && d.leads && d.fencing_token == txn.term) {
          d.waits = false;
          if (!done) d.leads = false;
          if (done && fault_ != Fault::sends_before_it_is_durable) d.since.emplace_back(txn.record);
        }
        found(std::move(w), done ? "applied" : "refused");
      }
      World lost = world;
      lost.txns.erase(lost.txns.begin() + static_cast<long>(t));
      found(std::move(lost), "lost");
    }
    for (std::size_t c = 0; c < world.commands_in_flight.size(); ++c) {
      World w = world;
      const CommandInFlight in_flight = w.commands_in_flight[c];
      w.commands_in_flight.erase(w.commands_in_flight.begin() + static_cast<long>(c));
      found(w, "command lost");
      Instance& m = w.machines[in_flight.machine];
      if (in_flight.fencing_token < m.fencing_token) continue;
      m.fencing_token = in_flight.fencing_token;
      const std::pair key{in_flight.command.id.uid, in_flight.command.attempt};
      if (in_flight.command.type == CommandType::run) m.tasks.emplace(key, false);
      if (in_flight.command.type == CommandType::acknowledge_exit) m.tasks.erase(key);
      if (in_flight.command.type == CommandType::kill && m.tasks.contains(key)) m.tasks[key] = true;
      found(std::move(w), "executed on m-" + std::to_string(in_flight.machine));
    }
    for (std::size_t m = 0; m < world.machines.size(); ++m)
      for (const auto& [task_report, ended] : world.machines[m].tasks) {
        if (ended) continue;
        World w = world;
        w.machines[m].tasks[task_report] = true;
        found(std::move(w), task_report.first + " ends");
      }
    if (world.lead != 0) {
      World w = world;
      w.lead = 0;
      found(std::move(w), "the hold ends");
    }
    for (std::size_t i = 0; i < world.deciders.size(); ++i) of_decider(world, i, found);
  }

  template <class Found>
  void of_decider(const World& world, std::size_t i, const Found& found) {
    const std::string name = "decider " + std::to_string(i);
    if (world.lead == 0) {
      World w = world;
      w.lead = ++w.revision;
      w.deciders[i] = {true, false, w.lead, w.ledger.size(), {}};
      found(std::move(w), name + " takes over");
    }
    const Decider& d = world.deciders[i];
    if (!d.leads) return;
    for (std::size_t m = 0; m < world.machines.size() && d.since.size() < 4; ++m) {
      World w = world;
      const Heartbeat heartbeat = w.heartbeat(m);
      w.deciders[i].since.emplace_back(heartbeat);
      std::vector<Record> records;
      book_of(w, w.deciders[i], &records);
      for (auto& r : records) w.txns.push_back({i, d.fencing_token, d.fencing_token, std::move(r)});
      if (w.txns.size() <= 2) found(std::move(w), name + " hears m-" + std::to_string(m));
    }
    const ClusterState cluster_state = book_of(world, d);
    for (std::uint32_t h = 0; h < cluster_state.node_count() && world.commands_in_flight.size() < 2; ++h) {
      const Node& node = cluster_state.node(NodeIndex{h});
      for (const auto& command : pending_commands(cluster_state, NodeIndex{h}, d.fencing_token)) {
        World w = world;
        w.commands_in_flight.push_back({d.fencing_token, static_cast<std::size_t>(node.name.back() - '0'), command});
        found(std::move(w), name + " sends to " + node.name);
      }
    }
    if (d.waits || world.txns.size() >= 2) return;
    // Users cancel what runs, in worlds in which something does from the beginning.
    if (const JobIndex j = cluster_state.find(kJobs[0].first); world.cancels && !cluster_state.job(j).ended()) {
      World w = world;
      w.txns.push_back({i, d.fencing_token, d.fencing_token, JobCancelledRecord{kJobs[0].first}});
      w.deciders[i].waits = true;
      found(std::move(w), name + " cancels " + kJobs[0].first);
    }
    for (const auto& [uid, team] : kJobs) {
      const Job& job = cluster_state.job(cluster_state.find(uid));
      if (job.ended() || job.pending == 0) continue;
      double left = cluster_state.quota_accounts().headroom(job.team, 1e9).cores;
      if (fault_ == Fault::cancelled_is_not_counted)
        for (JobIndex c : cluster_state.live())
          left += cluster_state.job(c).ended() && cluster_state.job(c).team == job.team ? cluster_state.job(c).placed.size() : 0;
      if (left < 1 && fault_ != Fault::uses_are_not_counted) continue;
      for (std::size_t m = 0; m < world.machines.size(); ++m) {
        World w = world;
        const TasksStartedRecord start{uid, job.attempts + 1, 1, {{"m-" + std::to_string(m), 1, {{0, 1}}}}};
        w.txns.push_back({i, d.fencing_token, d.fencing_token, start});
        w.deciders[i].waits = true;
        if (fault_ == Fault::sends_before_it_is_durable) w.deciders[i].since.emplace_back(Record{start});
        found(std::move(w), name + " starts " + uid + " on m-" + std::to_string(m));
      }
    }
  }

  Fault fault_;
  std::unordered_set<std::string> seen_;
};

World accepted() {
  World w;
  MachineType big;
  big.name = "big";
  big.capacity = {8, 0, 32};
  w.ledger.emplace_back(MachineTypesRecord{{big}});
  for (const auto& [uid, team] : kJobs) {
    auto s = submission(uid, 1, 1);
    s.owner = team;
    w.ledger.emplace_back(JobAcceptedRecord{s, 0.5, 1});
  }
  return w;
}

// One led, was frozen, and believes that it leads still; the other took over. Both have heard of all
// machines.
World two_that_believe(std::size_t machines) {
  World w = accepted();
  w.machines.resize(machines);
  for (auto& d : w.deciders) {
    w.lead = ++w.revision;
    d = {true, false, w.lead, w.ledger.size(), {}};
    for (std::size_t m = 0; m < machines; ++m) d.since.emplace_back(w.heartbeat(m));
  }
  return w;
}

// Each team at its limit: one job of each runs, on one machine, and a job of the first one waits. What runs of that is cancelled, by either
// of two that believe they lead; commands and answers are late or lost.
World full_and_cancelled() {
  World w = accepted();
  w.cancels = true;
  w.machines.resize(1);
  for (const std::size_t j : {0, 2}) {
    w.ledger.emplace_back(TasksStartedRecord{kJobs[j].first, 1, 1, {{"m-0", 1, {{0, 1}}}}});
    w.machines[0].tasks[{kJobs[j].first, 1}] = false;
  }
  for (auto& d : w.deciders) {
    w.lead = ++w.revision;
    d = {true, false, w.lead, w.ledger.size(), {}};
    d.since.emplace_back(w.heartbeat(0));
  }
  return w;
}

TEST(Deciders, WhatIsCancelledTakesItsRoomUntilItIsOff) {
  Explorer e(Fault::none);
  EXPECT_EQ(e.run(full_and_cancelled(), 8), "");
  std::printf("%zu worlds\n", e.worlds());
  EXPECT_GT(e.worlds(), 10000u);
  const auto found = Explorer(Fault::cancelled_is_not_counted).run(full_and_cancelled(), 8);
  EXPECT_NE(found.find("quota: red"), std::string::npos) << found;
  std::printf("%s\n", found.c_str());
}

TEST(Deciders, NoInterleavingPassesALimit) {
  Explorer from_nothing(Fault::none), two(Fault::none), one(Fault::none);
  EXPECT_EQ(from_nothing.run(accepted(), 6), "");
  EXPECT_EQ(two.run(two_that_believe(2), 5), "");
  EXPECT_EQ(one.run(two_that_believe(1), 8), "");
  std::printf("%zu + %zu + %zu worlds\n", from_nothing.worlds(), two.worlds(), one.worlds());
  EXPECT_GT(one.worlds(), 10000u);
}

class Guard : public testing::TestWithParam<Fault> {};
TEST_P(Guard, TakenOutIsFound) {
  const auto found = Explorer(GetParam()).run(two_that_believe(1), 8);
  EXPECT_NE(found, "");
  std::printf("%s\n", found.c_str());
}
INSTANTIATE_TEST_SUITE_P(Deciders, Guard,
                         testing::Values(Fault::no_mod_revision, Fault::sends_before_it_is_durable, Fault::uses_are_not_counted));

}  // namespace
}  // namespace thistlefront
