#include "controller/command_sender.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <system_error>

#include "protocol/messages.hpp"
#include "transport/clock.hpp"
#include "worker_control/start_fencing.hpp"

namespace thistlefront {

namespace {
constexpr double kCommandTimeoutS = 1.5;
constexpr double kFailureBackoffS = 1.5;
constexpr std::size_t kSlots = 6;
constexpr double kSlotTimeoutS = 0.15;          // a thread whose node has not replied by then goes on waiting without a slot
constexpr std::size_t kSlowThreadsDivisor = 4;  // one in this many threads may wait for slow nodes
}  // namespace

CommandSender::CommandSender(SharedState& shared, AgentMessages& agent_messages)
    : shared_(shared),
      agent_messages_(agent_messages),
      queue_(std::max<std::size_t>(shared.config.budget.sender_threads / kSlowThreadsDivisor, 1)),
      connections_(shared.config.budget.worker_connections) {
  shared_.add_step_down_listener([this] {
    queue_.clear();
    connections_.clear();
  });
}

void CommandSender::enqueue(NodeIndex node, bool announce_leader) {
  queue_.enqueue(node, announce_leader, steady_now());
  assign_slots();
}

void CommandSender::enqueue_nodes_of(const Job& job) {
  std::set<NodeIndex> nodes;
  for (const auto& [task, placement] : job.placed) nodes.insert(placement.node);
  for (const NodeIndex node : nodes) enqueue(node);
}

void CommandSender::stop() {
  for (auto& thread : threads_) thread.request_stop();
  threads_.clear();
}

CommandSender::Load CommandSender::load() const {
  const auto busy = threads_.size() - std::min(threads_.size(), idle_threads_);
  return {threads_.size(), busy, connections_.size(), queue_.size()};
}

// Only kSlots threads build requests and process replies at a time; the others wait for slow nodes or are idle. Without this limit,
// preemptions for 58 simultaneous starts kept a controller on a half-speed CPU busy until its leader lease had expired.
void CommandSender::assign_slots() {
  while (busy_slots_ < kSlots && assigned_slots_ < queue_.size() && queue_.has_ready()) {
    if (idle_threads_ > assigned_slots_) {
      slot_assigned_.notify_one();
    } else if (!add_thread()) {
      // All threads wait for slow nodes. The next thread that becomes free serves the queue.
      return;
    }
    ++busy_slots_;
    ++assigned_slots_;
  }
}

bool CommandSender::add_thread() {
  if (threads_.size() >= shared_.config.budget.sender_threads) return false;
  try {
    threads_.emplace_back([this](std::stop_token stop) { run(stop); });
  } catch (const std::system_error& e) {
    spdlog::error("command sender: no thread available: {}", e.what());
    return false;
  }
  ++idle_threads_;
  return true;
}

void CommandSender::run(std::stop_token stop) {
  Lock lock(shared_.mutex);  // add_thread() counted this thread as idle
  for (;;) {
    slot_assigned_.wait(lock, stop, [&] { return assigned_slots_ > 0; });
    if (stop.stop_requested()) return;
    --assigned_slots_;
    --idle_threads_;
    bool has_slot = true;
    serve_due_nodes(lock, stop, has_slot);
    if (has_slot) --busy_slots_;
    ++idle_threads_;
    assign_slots();
  }
}

void CommandSender::serve_due_nodes(Lock& lock, std::stop_token stop, bool& has_slot) {
  while (!stop.stop_requested()) {
    // The thread lost its slot to a slow node and continues only if another slot is free.
    if (!has_slot && busy_slots_ >= kSlots) return;
    const auto item = queue_.dequeue();
    if (!item) return;
    if (!has_slot) ++busy_slots_;
    has_slot = true;
    send(lock, *item, has_slot);
  }
}

void CommandSender::send(Lock& lock, const CommandQueue::Item& item, bool& has_slot) {
  const auto term = shared_.term_number;
  if (!shared_.term || !shared_.term->cluster_state) return;
  const auto request = make_request(item);
  if (!request) {
    queue_.complete(item.node);
    return;
  }
  auto client = connections_.acquire(request->address);
  lock.unlock();
  bool unacknowledged = false;
  const auto reply = post(*client, *request, has_slot, unacknowledged);
  lock.lock();
  if (!shared_.is_term(term)) return;
  connections_.release(request->address, std::move(client));
  record_outcome(*request, reply.has_value(), unacknowledged);
  if (reply) apply_reply(lock, *request, *reply);
}

std::optional<CommandSender::Request> CommandSender::make_request(const CommandQueue::Item& item) {
  const Term& term = *shared_.term;
  const Node& node = term.cluster_state->node(item.node);
  if (node.terminated || node.address.empty()) return std::nullopt;
  const auto commands = agent_messages_.due_commands(item.node);
  if (commands.empty() && !(item.announce_leader && shared_.may_decide())) return std::nullopt;
  Request request;
  request.node = item.node;
  request.fencing_token = term.fencing_token;
  request.address = node.address;
  request.body = commands_body(term.fencing_token, std::max<std::uint64_t>(node.agent.incarnation, 1), commands);
  request.has_start = includes_start(commands);
  record_direct_call(*term.cluster_state, item.node, request.fencing_token, commands);
  return request;
}

std::optional<Heartbeat> CommandSender::post(HttpClient& client, const Request& request, bool& has_slot, bool& unacknowledged) {
  LateCallback give_up_slot{steady_now() + kSlotTimeoutS, [&] {
                              Lock lock(shared_.mutex);
                              has_slot = false;
                              --busy_slots_;
                              assign_slots();
                            }};
  const auto result = client.post(kCommandsPath, request.body, kCommandTimeoutS, &give_up_slot);
  unacknowledged = result.delivery == Delivery::outcome_unknown;
  if (!result.is(200) && !result.is(409)) return std::nullopt;
  try {
    return parse_heartbeat(result.body);
  } catch (const ProtocolError& e) {
    spdlog::error("command sender: malformed reply from an agent: {}", e.what());
    return std::nullopt;
  }
}

void CommandSender::record_outcome(const Request& request, bool has_valid_reply, bool unacknowledged) {
  Term& term = *shared_.term;
  Node& node = term.cluster_state->node(request.node);
  record_direct_call_end(node, request.fencing_token, request.has_start, unacknowledged);
  if (request.has_start && unacknowledged) {
    shared_.request_pass();
    spdlog::debug("node {}: start command unacknowledged", node.name);
  }
  node.commands.last_command_failed = !has_valid_reply;
  if (has_valid_reply) {
    term.commands_failing_since = 0;
    queue_.complete(request.node);
    return;
  }
  if (term.commands_failing_since == 0) term.commands_failing_since = steady_now();
  queue_.back_off(request.node, steady_now() + kFailureBackoffS);
}

void CommandSender::apply_reply(const Lock& lock, const Request& request, const Heartbeat& reply) {
  Term& term = *shared_.term;
  if (reply.fencing_token > term.fencing_token) {
    shared_.step_down(lock, "a worker reports a higher fencing token");
    return;
  }
  Node& node = term.cluster_state->node(request.node);
  if (reply.node != node.name) return;
  node.agent.last_direct_contact_at = steady_now();
  agent_messages_.apply(reply, MessageKind::command_reply);
}

}  // namespace thistlefront
