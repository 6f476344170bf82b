// Two controllers that each may believe that they lead, explored exhaustively: two teams that may use one core each, three jobs, two
// nodes, and every interleaving (up to a number of events) of decisions, transactions that are late, lost or applied without an
// answer, commands that are late or lost, tasks that end, heartbeats, session leases that expire, and takeovers. Cluster state, quota
// accounts and reconciliation are those of the service. What the nodes really run must stay within the quotas.
#include <gtest/gtest.h>

#include <deque>
#include <unordered_set>

#include "heartbeat_builders.hpp"
#include "job_builders.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "model/task.hpp"
#include "worker_control/reconciliation.hpp"

namespace thistlefront {
namespace {

const std::vector<std::pair<std::string, std::string>> kJobs{{"j-1", "red"}, {"j-2", "red"}, {"j-3", "blue"}};

struct Transaction {
  std::size_t from = 0;
  std::uint64_t fencing_token = 0, term = 0;
  Record record;
};
struct CommandInFlight {
  std::uint64_t fencing_token = 0;
  std::size_t node = 0;
  Command command;
};
// What one controller believes.
struct ControllerView {
  bool leads = false, waits = false;  // it believes so; a transaction of it is on its way
  std::uint64_t fencing_token = 0;
  std::size_t ledger_read = 0;                         // entries of the ledger at its takeover
  std::vector<std::variant<Record, Heartbeat>> since;  // what it learned, in order
};
// What a node really runs.
struct NodeState {
  std::uint64_t fencing_token = 0, serial = 0;
  std::map<std::pair<std::string, std::uint64_t>, bool> tasks;  // uid, attempt: ended
};
template <class... Numbers>
std::string numbers(const Numbers&... values) {
  return ((("," + std::to_string(values))) + ...);
}

std::string text_of(const Heartbeat& heartbeat) {
  std::string out = heartbeat.node + numbers(heartbeat.fencing_token);
  for (const auto& task : heartbeat.tasks) out += task.id.uid + numbers(task.attempt, static_cast<int>(task.phase));
  return out;
}

std::string text_of(const ControllerView& controller) {
  std::string out = "|" + numbers(controller.leads, controller.waits, controller.fencing_token, controller.ledger_read);
  for (const auto& learned : controller.since) {
    if (const auto* record = std::get_if<Record>(&learned)) out += encode_record(*record, 1).text;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&learned)) out += text_of(*heartbeat);
  }
  return out;
}

struct World {
  std::uint64_t lead = 0, revision = 0;
  bool cancels = false;
  std::vector<Record> ledger;
  std::vector<ControllerView> controllers{2};
  std::vector<Transaction> transactions;
  std::vector<CommandInFlight> commands_in_flight;
  std::vector<NodeState> nodes{2};

  // Equal for worlds that differ only in the serials of heartbeats.
  [[nodiscard]] std::string text() const {
    std::string out = std::to_string(lead) + "," + std::to_string(revision);
    for (const auto& record : ledger) out += encode_record(record, 1).text;
    for (const auto& controller : controllers) out += text_of(controller);
    for (const auto& transaction : transactions)
      out += "/" + numbers(transaction.from, transaction.fencing_token) + encode_record(transaction.record, 1).text;
    for (const auto& [fencing_token, node, command] : commands_in_flight)
      out += ">" + numbers(fencing_token, node) + command.id.uid + numbers(command.attempt, static_cast<int>(command.type));
    for (const auto& node : nodes) {
      out += "m" + numbers(node.fencing_token);
      for (const auto& [task, ended] : node.tasks) out += task.first + numbers(task.second, ended);
    }
    return out;
  }
  [[nodiscard]] Heartbeat heartbeat(std::size_t m) {
    NodeState& node = nodes[m];
    Heartbeat out = heartbeat_of_node("m-" + std::to_string(m), 1, ++node.serial, node.fencing_token);
    for (const auto& [task, ended] : node.tasks) out.tasks.push_back(running_or_completed(task.first, 0, task.second, ended));
    return out;
  }
  [[nodiscard]] std::string violation() const {
    std::map<std::string, int> by_team, by_job;
    for (const auto& m : nodes)
      for (const auto& [p, ended] : m.tasks) {
        if (ended) continue;
        const auto job = std::find_if(kJobs.begin(), kJobs.end(), [&](const auto& j) { return j.first == p.first; });
        if (++by_team[job->second] > 1) return "quota: " + job->second;
        if (++by_job[p.first] > 1) return "ran_twice: " + p.first;
      }
    return "";
  }
};

// A safety guard that is removed.
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
        if (const auto violation = next.violation(); found.empty() && !violation.empty()) found = path + event + "; " + violation;
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
  // What the controller believes, and which records its last heartbeat led to.
  static ClusterState state_of(const World& w, const ControllerView& d, std::vector<Record>* last = nullptr) {
    ClusterState cluster_state = fresh();
    for (std::size_t i = 0; i < d.ledger_read; ++i) cluster_state.apply(w.ledger[i]);
    for (const auto& s : d.since) {
      if (const auto* r = std::get_if<Record>(&s)) cluster_state.apply(*r);
      if (const auto* r = std::get_if<Heartbeat>(&s)) {
        auto out = apply_heartbeat(cluster_state, *r, {1, 1}, true, d.fencing_token);
        if (last) *last = std::move(out.records);
      }
    }
    return cluster_state;
  }

  // Calls `found` with each world that one event leads to.
  template <class Found>
  void each(const World& world, const Found& found) {
    for (std::size_t t = 0; t < world.transactions.size(); ++t) transaction_events(world, t, found);
    for (std::size_t c = 0; c < world.commands_in_flight.size(); ++c) command_events(world, c, found);
    task_end_events(world, found);
    if (world.lead != 0) {
      World w = world;
      w.lead = 0;
      found(std::move(w), "the session lease expires");
    }
    for (std::size_t i = 0; i < world.controllers.size(); ++i) controller_events(world, i, found);
  }

  // The transaction is applied or refused, and its sender hears of that or not; or it is lost.
  template <class Found>
  void transaction_events(const World& world, std::size_t t, const Found& found) {
    for (const bool answered : {true, false}) {
      World w = world;
      const Transaction transaction = w.transactions[t];
      w.transactions.erase(w.transactions.begin() + static_cast<long>(t));
      ControllerView& d = w.controllers[transaction.from];
      const bool done = transaction.fencing_token == w.lead || fault_ == Fault::no_mod_revision;
      if (done) w.ledger.push_back(transaction.record);
      if (answered && d.leads && d.fencing_token == transaction.term) {
        d.waits = false;
        if (!done) d.leads = false;
        if (done && fault_ != Fault::sends_before_it_is_durable) d.since.emplace_back(transaction.record);
      }
      found(std::move(w), done ? "applied" : "refused");
    }
    World lost = world;
    lost.transactions.erase(lost.transactions.begin() + static_cast<long>(t));
    found(std::move(lost), "lost");
  }

  // The command is lost, or arrives.
  template <class Found>
  void command_events(const World& world, std::size_t c, const Found& found) {
    World w = world;
    const CommandInFlight in_flight = w.commands_in_flight[c];
    w.commands_in_flight.erase(w.commands_in_flight.begin() + static_cast<long>(c));
    found(w, "command lost");
    NodeState& m = w.nodes[in_flight.node];
    if (in_flight.fencing_token < m.fencing_token) return;
    m.fencing_token = in_flight.fencing_token;
    const std::pair key{in_flight.command.id.uid, in_flight.command.attempt};
    if (in_flight.command.type == CommandType::run) m.tasks.emplace(key, false);
    if (in_flight.command.type == CommandType::acknowledge_exit) m.tasks.erase(key);
    if (in_flight.command.type == CommandType::kill && m.tasks.contains(key)) m.tasks[key] = true;
    found(std::move(w), "executed on m-" + std::to_string(in_flight.node));
  }

  template <class Found>
  void task_end_events(const World& world, const Found& found) {
    for (std::size_t m = 0; m < world.nodes.size(); ++m)
      for (const auto& [task, ended] : world.nodes[m].tasks) {
        if (ended) continue;
        World w = world;
        w.nodes[m].tasks[task] = true;
        found(std::move(w), task.first + " ends");
      }
  }

  // What the controller may do next.
  template <class Found>
  void controller_events(const World& world, std::size_t i, const Found& found) {
    const std::string name = "controller " + std::to_string(i);
    if (world.lead == 0) {
      World w = world;
      w.lead = ++w.revision;
      w.controllers[i] = {true, false, w.lead, w.ledger.size(), {}};
      found(std::move(w), name + " takes over");
    }
    const ControllerView& d = world.controllers[i];
    if (!d.leads) return;
    heartbeat_events(world, i, found);
    const ClusterState cluster_state = state_of(world, d);
    send_events(world, i, cluster_state, found);
    if (d.waits || world.transactions.size() >= 2) return;
    // Users cancel what runs, in worlds in which something does from the beginning.
    if (const JobIndex j = cluster_state.find(kJobs[0].first); world.cancels && !cluster_state.job(j).ended()) {
      World w = world;
      w.transactions.push_back({i, d.fencing_token, d.fencing_token, JobCancelledRecord{kJobs[0].first}});
      w.controllers[i].waits = true;
      found(std::move(w), name + " cancels " + kJobs[0].first);
    }
    for (const auto& [uid, team] : kJobs) start_events(world, i, cluster_state, uid, found);
  }

  // It hears a heartbeat of a node, and writes what follows from it.
  template <class Found>
  void heartbeat_events(const World& world, std::size_t i, const Found& found) {
    const ControllerView& d = world.controllers[i];
    for (std::size_t m = 0; m < world.nodes.size() && d.since.size() < 4; ++m) {
      World w = world;
      const Heartbeat heartbeat = w.heartbeat(m);
      w.controllers[i].since.emplace_back(heartbeat);
      std::vector<Record> records;
      state_of(w, w.controllers[i], &records);
      for (auto& r : records) w.transactions.push_back({i, d.fencing_token, d.fencing_token, std::move(r)});
      if (w.transactions.size() <= 2) found(std::move(w), "controller " + std::to_string(i) + " hears m-" + std::to_string(m));
    }
  }

  // It sends a command that a node is due.
  template <class Found>
  void send_events(const World& world, std::size_t i, const ClusterState& cluster_state, const Found& found) {
    const ControllerView& d = world.controllers[i];
    for (std::uint32_t n = 0; n < cluster_state.node_count() && world.commands_in_flight.size() < 2; ++n) {
      const Node& node = cluster_state.node(NodeIndex{n});
      for (const auto& command : pending_commands(cluster_state, NodeIndex{n}, d.fencing_token)) {
        World w = world;
        w.commands_in_flight.push_back({d.fencing_token, static_cast<std::size_t>(node.name.back() - '0'), command});
        found(std::move(w), "controller " + std::to_string(i) + " sends to " + node.name);
      }
    }
  }

  // It decides to start the job on some node.
  template <class Found>
  void start_events(const World& world, std::size_t i, const ClusterState& cluster_state, const std::string& uid, const Found& found) {
    const ControllerView& d = world.controllers[i];
    const Job& job = cluster_state.job(cluster_state.find(uid));
    if (job.ended() || job.pending == 0) return;
    double left = cluster_state.quota_accounts().headroom(job.team, 1e9).cores;
    if (fault_ == Fault::cancelled_is_not_counted)
      for (JobIndex c : cluster_state.live())
        left += cluster_state.job(c).ended() && cluster_state.job(c).team == job.team ? cluster_state.job(c).placed.size() : 0;
    if (left < 1 && fault_ != Fault::uses_are_not_counted) return;
    for (std::size_t m = 0; m < world.nodes.size(); ++m) {
      World w = world;
      const TasksStartedRecord start{uid, job.attempts + 1, 1, {{"m-" + std::to_string(m), 1, {{0, 1}}}}};
      w.transactions.push_back({i, d.fencing_token, d.fencing_token, start});
      w.controllers[i].waits = true;
      if (fault_ == Fault::sends_before_it_is_durable) w.controllers[i].since.emplace_back(Record{start});
      found(std::move(w), "controller " + std::to_string(i) + " starts " + uid + " on m-" + std::to_string(m));
    }
  }

  Fault fault_;
  std::unordered_set<std::string> seen_;
};

World accepted() {
  World w;
  w.ledger.emplace_back(big_machine_type());
  for (const auto& [uid, team] : kJobs) {
    auto s = submission(uid, 1, 1);
    s.owner = team;
    w.ledger.emplace_back(JobAcceptedRecord{s, 0.5, 1});
  }
  return w;
}

// One led, was suspended, and believes that it still leads; the other took over. Both have heard from all nodes.
World two_leaders(std::size_t nodes) {
  World w = accepted();
  w.nodes.resize(nodes);
  for (auto& d : w.controllers) {
    w.lead = ++w.revision;
    d = {true, false, w.lead, w.ledger.size(), {}};
    for (std::size_t m = 0; m < nodes; ++m) d.since.emplace_back(w.heartbeat(m));
  }
  return w;
}

// Each team is at its quota: one job of each runs, all on one node, and another job of the first team waits. What runs of that team is
// cancelled by either of two controllers that believe they lead; commands and answers are late or lost.
World quotas_used_up() {
  World w = accepted();
  w.cancels = true;
  w.nodes.resize(1);
  for (const std::size_t j : {0, 2}) {
    w.ledger.emplace_back(TasksStartedRecord{kJobs[j].first, 1, 1, {{"m-0", 1, {{0, 1}}}}});
    w.nodes[0].tasks[{kJobs[j].first, 1}] = false;
  }
  for (auto& d : w.controllers) {
    w.lead = ++w.revision;
    d = {true, false, w.lead, w.ledger.size(), {}};
    d.since.emplace_back(w.heartbeat(0));
  }
  return w;
}

TEST(ConcurrentLeaders, CancelledTasksCountAgainstTheQuotaUntilTheyHaveEnded) {
  Explorer e(Fault::none);
  EXPECT_EQ(e.run(quotas_used_up(), 8), "");
  std::printf("%zu worlds\n", e.worlds());
  EXPECT_GT(e.worlds(), 10000u);
  const auto found = Explorer(Fault::cancelled_is_not_counted).run(quotas_used_up(), 8);
  EXPECT_NE(found.find("quota: red"), std::string::npos) << found;
  std::printf("%s\n", found.c_str());
}

TEST(ConcurrentLeaders, NoInterleavingExceedsAQuota) {
  Explorer from_nothing(Fault::none), two(Fault::none), one(Fault::none);
  EXPECT_EQ(from_nothing.run(accepted(), 6), "");
  EXPECT_EQ(two.run(two_leaders(2), 5), "");
  EXPECT_EQ(one.run(two_leaders(1), 8), "");
  std::printf("%zu + %zu + %zu worlds\n", from_nothing.worlds(), two.worlds(), one.worlds());
  EXPECT_GT(one.worlds(), 10000u);
}

class RemovedGuard : public testing::TestWithParam<Fault> {};
TEST_P(RemovedGuard, LeadsToAViolation) {
  const auto found = Explorer(GetParam()).run(two_leaders(1), 8);
  EXPECT_NE(found, "");
  std::printf("%s\n", found.c_str());
}
INSTANTIATE_TEST_SUITE_P(ConcurrentLeaders, RemovedGuard,
                         testing::Values(Fault::no_mod_revision, Fault::sends_before_it_is_durable, Fault::uses_are_not_counted));

}  // namespace
}  // namespace thistlefront
