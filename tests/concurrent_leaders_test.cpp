// Two controllers may both believe that they lead. There are two teams with a quota of one core each, three jobs and two nodes. The test
// explores every interleaving, up to a number of events, of decisions, transactions that are delayed, lost or applied without a reply,
// commands that are delayed or lost, task exits, heartbeats, expired session leases and takeovers. Cluster state, quota accounts and
// reconciliation are those of the service. The tasks that the nodes run must stay within the quotas.
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

const std::vector<std::pair<std::string, std::string>> kJobTeams{{"j-1", "red"}, {"j-2", "red"}, {"j-3", "blue"}};

struct Transaction {
  std::size_t sender = 0;  // index of the controller
  // `fencing_token`: condition on the leader key. `term`: the sender's fencing token when it sent the transaction; in a later term, the
  // sender ignores the reply.
  std::uint64_t fencing_token = 0, term = 0;
  Record record;
};
struct CommandInFlight {
  std::uint64_t fencing_token = 0;
  std::size_t node = 0;
  Command command;
};
// The state of one controller, which may differ from the state of the system.
struct ControllerView {
  bool leads = false;  // it believes that it leads
  bool awaits_transaction = false;
  std::uint64_t fencing_token = 0;
  std::size_t ledger_size_at_takeover = 0;
  std::vector<std::variant<Record, Heartbeat>> applied;  // records and heartbeats since its takeover, in order
};
// The actual state of a node and its agent.
struct NodeState {
  std::uint64_t fencing_token = 0, serial = 0;
  std::map<std::pair<std::string, std::uint64_t>, bool> tasks;  // by uid and attempt: whether it has exited
};
template <class... Numbers>
std::string text_of_numbers(const Numbers&... values) {
  return ((("," + std::to_string(values))) + ...);
}

std::string text_of(const Heartbeat& heartbeat) {
  std::string out = heartbeat.node + text_of_numbers(heartbeat.fencing_token);
  for (const auto& task : heartbeat.tasks) out += task.id.uid + text_of_numbers(task.attempt, static_cast<int>(task.phase));
  return out;
}

std::string text_of(const ControllerView& controller) {
  std::string out =
      "|" + text_of_numbers(controller.leads, controller.awaits_transaction, controller.fencing_token, controller.ledger_size_at_takeover);
  for (const auto& applied : controller.applied) {
    if (const auto* record = std::get_if<Record>(&applied)) out += encode_record(*record, 1).text;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&applied)) out += text_of(*heartbeat);
  }
  return out;
}

// The state of the whole system.
struct SystemState {
  std::uint64_t leader_token = 0, revision = 0;  // leader_token 0: the session lease has expired
  bool users_cancel = false;
  std::vector<Record> ledger;
  std::vector<ControllerView> controllers{2};
  std::vector<Transaction> transactions;
  std::vector<CommandInFlight> commands_in_flight;
  std::vector<NodeState> nodes{2};

  // Equal for states that differ only in the serials of heartbeats.
  [[nodiscard]] std::string text() const {
    std::string out = std::to_string(leader_token) + "," + std::to_string(revision);
    for (const auto& record : ledger) out += encode_record(record, 1).text;
    for (const auto& controller : controllers) out += text_of(controller);
    for (const auto& transaction : transactions)
      out += "/" + text_of_numbers(transaction.sender, transaction.fencing_token) + encode_record(transaction.record, 1).text;
    for (const auto& [fencing_token, node, command] : commands_in_flight)
      out += ">" + text_of_numbers(fencing_token, node) + command.id.uid + text_of_numbers(command.attempt, static_cast<int>(command.type));
    for (const auto& node : nodes) {
      out += "m" + text_of_numbers(node.fencing_token);
      for (const auto& [task, exited] : node.tasks) out += task.first + text_of_numbers(task.second, exited);
    }
    return out;
  }
  [[nodiscard]] Heartbeat heartbeat(std::size_t node_number) {
    NodeState& node = nodes[node_number];
    Heartbeat out = heartbeat_of_node("m-" + std::to_string(node_number), 1, ++node.serial, node.fencing_token);
    for (const auto& [task, exited] : node.tasks) out.tasks.push_back(running_or_completed(task.first, 0, task.second, exited));
    return out;
  }
  [[nodiscard]] std::string violation() const {
    std::map<std::string, int> running_by_team, running_by_job;
    for (const auto& node : nodes)
      for (const auto& [task, exited] : node.tasks) {
        if (exited) continue;
        const auto job = std::find_if(kJobTeams.begin(), kJobTeams.end(), [&](const auto& entry) { return entry.first == task.first; });
        if (++running_by_team[job->second] > 1) return "quota: " + job->second;
        if (++running_by_job[task.first] > 1) return "two attempts running: " + task.first;
      }
    return "";
  }
};

// The safety guard that is removed.
enum class RemovedGuard : std::uint8_t { none, mod_revision_check, durability_before_commands, quota_check, cancelled_tasks_in_quota };

class Explorer {
 public:
  explicit Explorer(RemovedGuard removed) : removed_(removed) {}
  // Explores all states up to `max_events` events away. Returns the events that lead to a violation, or an empty string.
  std::string run(SystemState initial, std::size_t max_events) {
    std::deque<std::pair<SystemState, std::string>> queue;
    std::deque<std::size_t> event_counts{0};
    visited_.insert(initial.text());
    queue.push_back({std::move(initial), ""});
    while (!queue.empty()) {
      auto [state, path] = std::move(queue.front());
      queue.pop_front();
      const auto events = event_counts.front();
      event_counts.pop_front();
      if (events >= max_events) continue;
      std::string violation_path;
      for_each_successor(state, [&](SystemState next, const std::string& event) {
        if (const auto violation = next.violation(); violation_path.empty() && !violation.empty())
          violation_path = path + event + "; " + violation;
        if (!visited_.insert(next.text()).second) return;
        queue.push_back({std::move(next), path + event + "; "});
        event_counts.push_back(events + 1);
      });
      if (!violation_path.empty()) return violation_path;
    }
    return "";
  }
  [[nodiscard]] std::size_t state_count() const { return visited_.size(); }

 private:
  static ClusterState initial_cluster_state() { return ClusterState({Team{"red", {}, {1, 0, 0}}, Team{"blue", {}, {1, 0, 0}}}); }
  // Returns the controller's cluster state. `last_records`, if given, receives the records that its last heartbeat produced.
  static ClusterState cluster_state_of(const SystemState& state, const ControllerView& controller,
                                       std::vector<Record>* last_records = nullptr) {
    ClusterState cluster_state = initial_cluster_state();
    for (std::size_t i = 0; i < controller.ledger_size_at_takeover; ++i) cluster_state.apply(state.ledger[i]);
    for (const auto& applied : controller.applied) {
      if (const auto* record = std::get_if<Record>(&applied)) cluster_state.apply(*record);
      if (const auto* heartbeat = std::get_if<Heartbeat>(&applied)) {
        auto outcome = apply_heartbeat(cluster_state, *heartbeat, {1, 1}, true, controller.fencing_token);
        if (last_records) *last_records = std::move(outcome.records);
      }
    }
    return cluster_state;
  }

  // Calls `visit` with each state that one event leads to.
  template <class Visit>
  void for_each_successor(const SystemState& state, const Visit& visit) {
    for (std::size_t transaction_index = 0; transaction_index < state.transactions.size(); ++transaction_index)
      transaction_events(state, transaction_index, visit);
    for (std::size_t command_index = 0; command_index < state.commands_in_flight.size(); ++command_index)
      command_events(state, command_index, visit);
    task_exit_events(state, visit);
    if (state.leader_token != 0) {
      SystemState next = state;
      next.leader_token = 0;
      visit(std::move(next), "the session lease expires");
    }
    for (std::size_t i = 0; i < state.controllers.size(); ++i) controller_events(state, i, visit);
  }

  // The transaction is applied or refused, and its sender receives the reply or not; or the transaction is lost.
  template <class Visit>
  void transaction_events(const SystemState& state, std::size_t transaction_index, const Visit& visit) {
    for (const bool replied : {true, false}) {
      SystemState next = state;
      const Transaction transaction = next.transactions[transaction_index];
      next.transactions.erase(next.transactions.begin() + static_cast<long>(transaction_index));
      ControllerView& controller = next.controllers[transaction.sender];
      const bool committed = transaction.fencing_token == next.leader_token || removed_ == RemovedGuard::mod_revision_check;
      if (committed) next.ledger.push_back(transaction.record);
      if (replied && controller.leads && controller.fencing_token == transaction.term) {
        controller.awaits_transaction = false;
        if (!committed) controller.leads = false;
        if (committed && removed_ != RemovedGuard::durability_before_commands) controller.applied.emplace_back(transaction.record);
      }
      visit(std::move(next), committed ? "applied" : "refused");
    }
    SystemState lost = state;
    lost.transactions.erase(lost.transactions.begin() + static_cast<long>(transaction_index));
    visit(std::move(lost), "lost");
  }

  // The command is lost or arrives.
  template <class Visit>
  void command_events(const SystemState& state, std::size_t command_index, const Visit& visit) {
    SystemState next = state;
    const CommandInFlight in_flight = next.commands_in_flight[command_index];
    next.commands_in_flight.erase(next.commands_in_flight.begin() + static_cast<long>(command_index));
    visit(next, "command lost");
    NodeState& node = next.nodes[in_flight.node];
    if (in_flight.fencing_token < node.fencing_token) return;
    node.fencing_token = in_flight.fencing_token;
    const std::pair key{in_flight.command.id.uid, in_flight.command.attempt};
    if (in_flight.command.type == CommandType::run) node.tasks.emplace(key, false);
    if (in_flight.command.type == CommandType::acknowledge_exit) node.tasks.erase(key);
    if (in_flight.command.type == CommandType::kill && node.tasks.contains(key)) node.tasks[key] = true;
    visit(std::move(next), "executed on m-" + std::to_string(in_flight.node));
  }

  template <class Visit>
  void task_exit_events(const SystemState& state, const Visit& visit) {
    for (std::size_t node_number = 0; node_number < state.nodes.size(); ++node_number)
      for (const auto& [task, exited] : state.nodes[node_number].tasks) {
        if (exited) continue;
        SystemState next = state;
        next.nodes[node_number].tasks[task] = true;
        visit(std::move(next), task.first + " exits");
      }
  }

  // The controller takes over, receives a heartbeat, sends a command, or decides a cancellation or start.
  template <class Visit>
  void controller_events(const SystemState& state, std::size_t i, const Visit& visit) {
    const std::string name = "controller " + std::to_string(i);
    if (state.leader_token == 0) {
      SystemState next = state;
      next.leader_token = ++next.revision;
      next.controllers[i] = {true, false, next.leader_token, next.ledger.size(), {}};
      visit(std::move(next), name + " takes over");
    }
    const ControllerView& controller = state.controllers[i];
    if (!controller.leads) return;
    heartbeat_events(state, i, visit);
    const ClusterState cluster_state = cluster_state_of(state, controller);
    send_events(state, i, cluster_state, visit);
    if (controller.awaits_transaction || state.transactions.size() >= 2) return;
    // Users cancel only in scenarios that begin with running tasks.
    if (const JobIndex job_index = cluster_state.find(kJobTeams[0].first); state.users_cancel && !cluster_state.job(job_index).ended()) {
      SystemState next = state;
      next.transactions.push_back({i, controller.fencing_token, controller.fencing_token, JobCancelledRecord{kJobTeams[0].first}});
      next.controllers[i].awaits_transaction = true;
      visit(std::move(next), name + " cancels " + kJobTeams[0].first);
    }
    for (const auto& [uid, team] : kJobTeams) start_events(state, i, cluster_state, uid, visit);
  }

  // The controller receives a heartbeat of a node, and commits the records that follow from it.
  template <class Visit>
  void heartbeat_events(const SystemState& state, std::size_t i, const Visit& visit) {
    const ControllerView& controller = state.controllers[i];
    for (std::size_t node_number = 0; node_number < state.nodes.size() && controller.applied.size() < 4; ++node_number) {
      SystemState next = state;
      const Heartbeat heartbeat = next.heartbeat(node_number);
      next.controllers[i].applied.emplace_back(heartbeat);
      std::vector<Record> records;
      cluster_state_of(next, next.controllers[i], &records);
      for (auto& record : records) next.transactions.push_back({i, controller.fencing_token, controller.fencing_token, std::move(record)});
      if (next.transactions.size() <= 2)
        visit(std::move(next), "controller " + std::to_string(i) + " receives a heartbeat of m-" + std::to_string(node_number));
    }
  }

  // The controller sends a pending command of a node.
  template <class Visit>
  void send_events(const SystemState& state, std::size_t i, const ClusterState& cluster_state, const Visit& visit) {
    const ControllerView& controller = state.controllers[i];
    for (std::uint32_t index = 0; index < cluster_state.node_count() && state.commands_in_flight.size() < 2; ++index) {
      const Node& node = cluster_state.node(NodeIndex{index});
      for (const auto& command : pending_commands(cluster_state, NodeIndex{index}, {controller.fencing_token, controller.fencing_token})) {
        SystemState next = state;
        next.commands_in_flight.push_back({controller.fencing_token, static_cast<std::size_t>(node.name.back() - '0'), command});
        visit(std::move(next), "controller " + std::to_string(i) + " sends to " + node.name);
      }
    }
  }

  // The controller decides to start the job on a node.
  template <class Visit>
  void start_events(const SystemState& state, std::size_t i, const ClusterState& cluster_state, const std::string& uid,
                    const Visit& visit) {
    const ControllerView& controller = state.controllers[i];
    const Job& job = cluster_state.job(cluster_state.find(uid));
    if (job.ended() || job.pending == 0) return;
    double free_cores = cluster_state.quota_accounts().headroom(job.team, 1e9).cores;
    if (removed_ == RemovedGuard::cancelled_tasks_in_quota)
      for (JobIndex job_index : cluster_state.live())
        free_cores += cluster_state.job(job_index).ended() && cluster_state.job(job_index).team == job.team
                          ? cluster_state.job(job_index).placed.size()
                          : 0;
    if (free_cores < 1 && removed_ != RemovedGuard::quota_check) return;
    for (std::size_t node_number = 0; node_number < state.nodes.size(); ++node_number) {
      SystemState next = state;
      const TasksStartedRecord start{uid, job.attempts + 1, 1, {{"m-" + std::to_string(node_number), 1, {{0, 1}}}}};
      next.transactions.push_back({i, controller.fencing_token, controller.fencing_token, start});
      next.controllers[i].awaits_transaction = true;
      if (removed_ == RemovedGuard::durability_before_commands) next.controllers[i].applied.emplace_back(Record{start});
      visit(std::move(next), "controller " + std::to_string(i) + " starts " + uid + " on m-" + std::to_string(node_number));
    }
  }

  RemovedGuard removed_;
  std::unordered_set<std::string> visited_;
};

// All jobs are accepted and no controller leads.
SystemState accepted_jobs() {
  SystemState state;
  state.ledger.emplace_back(big_machine_type());
  for (const auto& [uid, team] : kJobTeams) {
    auto spec = submission(uid, 1, 1);
    spec.owner = team;
    state.ledger.emplace_back(JobAcceptedRecord{spec, 0.5, 1});
  }
  return state;
}

// One controller led, was suspended, and believes that it still leads; the other took over. Both have received heartbeats of all nodes.
SystemState two_leaders(std::size_t nodes) {
  SystemState state = accepted_jobs();
  state.nodes.resize(nodes);
  for (auto& controller : state.controllers) {
    state.leader_token = ++state.revision;
    controller = {true, false, state.leader_token, state.ledger.size(), {}};
    for (std::size_t node_number = 0; node_number < nodes; ++node_number) controller.applied.emplace_back(state.heartbeat(node_number));
  }
  return state;
}

// Each team is at its quota: one job of each team runs, both on the same node, and another job of the first team is pending. Both
// controllers believe that they lead, and either may cancel the running job of the first team. Commands and replies are delayed or lost.
SystemState quotas_used_up() {
  SystemState state = accepted_jobs();
  state.users_cancel = true;
  state.nodes.resize(1);
  for (const std::size_t job_index : {0, 2}) {
    state.ledger.emplace_back(TasksStartedRecord{kJobTeams[job_index].first, 1, 1, {{"m-0", 1, {{0, 1}}}}});
    state.nodes[0].tasks[{kJobTeams[job_index].first, 1}] = false;
  }
  for (auto& controller : state.controllers) {
    state.leader_token = ++state.revision;
    controller = {true, false, state.leader_token, state.ledger.size(), {}};
    controller.applied.emplace_back(state.heartbeat(0));
  }
  return state;
}

TEST(ConcurrentLeaders, CancelledTasksCountAgainstTheQuotaUntilTheyHaveExited) {
  Explorer explorer(RemovedGuard::none);
  EXPECT_EQ(explorer.run(quotas_used_up(), 8), "");
  std::printf("%zu states\n", explorer.state_count());
  EXPECT_GT(explorer.state_count(), 10000u);
  const auto violation_path = Explorer(RemovedGuard::cancelled_tasks_in_quota).run(quotas_used_up(), 8);
  EXPECT_NE(violation_path.find("quota: red"), std::string::npos) << violation_path;
  std::printf("%s\n", violation_path.c_str());
}

TEST(ConcurrentLeaders, NoInterleavingExceedsAQuota) {
  Explorer without_leader(RemovedGuard::none), two_nodes(RemovedGuard::none), one_node(RemovedGuard::none);
  EXPECT_EQ(without_leader.run(accepted_jobs(), 6), "");
  EXPECT_EQ(two_nodes.run(two_leaders(2), 5), "");
  EXPECT_EQ(one_node.run(two_leaders(1), 8), "");
  std::printf("%zu + %zu + %zu states\n", without_leader.state_count(), two_nodes.state_count(), one_node.state_count());
  EXPECT_GT(one_node.state_count(), 10000u);
}

class RemovedGuardTest : public testing::TestWithParam<RemovedGuard> {};
TEST_P(RemovedGuardTest, LeadsToAViolation) {
  const auto violation_path = Explorer(GetParam()).run(two_leaders(1), 8);
  EXPECT_NE(violation_path, "");
  std::printf("%s\n", violation_path.c_str());
}
INSTANTIATE_TEST_SUITE_P(ConcurrentLeaders, RemovedGuardTest,
                         testing::Values(RemovedGuard::mod_revision_check, RemovedGuard::durability_before_commands,
                                         RemovedGuard::quota_check));

}  // namespace
}  // namespace thistlefront
