// Direct commands: a bounded set of senders serves the workers that are due.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <system_error>

#include "controller/controller.hpp"
#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "model/ledger_records.hpp"
#include "transport/clock.hpp"
#include "worker_control/one_way_partition.hpp"

namespace thistlefront {

namespace {
constexpr double kCommandTimeout = 1.5;
constexpr double kPauseAfterFailure = 1.5;
constexpr std::size_t kSenderSlots = 6;
constexpr double kSlotPatience = 0.15;  // seconds: a worker that takes longer is waited for without a turn
}  // namespace

bool Controller::apply_message(const Heartbeat& heartbeat, bool is_heartbeat) {
  const Timestamps now{steady_now(), wall_now()};
  ClusterState& cluster_state = *term_->cluster_state;
  const NodeIndex known = cluster_state.find_node(heartbeat.node);
  if (known.valid() && heartbeat.agent_incarnation > cluster_state.node(known).agent.incarnation) {
    const auto& placed = cluster_state.node(known).placed;
    const auto forgot = std::count_if(placed.begin(), placed.end(),
                                      [&](const auto& p) { return p.placement->agent_incarnation < heartbeat.agent_incarnation; });
    if (forgot > 0) spdlog::info("{}: its worker's lease ran out, {} tasks are off it", heartbeat.node, forgot);
  }
  Node& node = cluster_state.node(cluster_state.find_or_add_node(heartbeat.node));
  const bool unresponsive = node.agent.unresponsive_since > 0;
  observe_message(node, heartbeat, is_heartbeat, now.steady, settings_.lease_s);
  if (node.agent.unresponsive_since > 0 && !unresponsive) {
    ++counters_.unresponsive;
    spdlog::info("{}: its reports come and no answer reaches it; nothing is placed there", heartbeat.node);
  } else if (unresponsive && node.agent.unresponsive_since == 0) {
    spdlog::info("{}: answers reach it again", heartbeat.node);
  }
  auto outcome = apply_heartbeat(cluster_state, heartbeat, now, is_heartbeat, term_->takeover_token);
  if (outcome.stale) return false;
  const bool records = !outcome.records.empty();
  // Tasks that are done can wait a moment for company; the others wait for their places to be seen to.
  const bool done_only = std::all_of(outcome.records.begin(), outcome.records.end(),
                                     [](const Record& r) { return std::holds_alternative<TasksCompletedRecord>(r); });
  if (records) enqueue(std::move(outcome.records), done_only ? CommitPriority::deferrable : CommitPriority::immediate);
  // With records, the pass comes when they are in the ledger.
  if (outcome.changed && !records) request_pass();
  return true;
}

void Controller::enqueue_commands(NodeIndex h, bool greet) {
  command_queue_.enqueue(h, greet, steady_now());
  assign_sender_slots();
}

void Controller::enqueue_commands_for_job(const Job& job) {
  std::set<NodeIndex> nodes;
  for (const auto& [task, p] : job.placed) nodes.insert(p.node);
  for (auto h : nodes) enqueue_commands(h);
}

// Room made for 58 starts at once kept a controller at half speed busy past the end of its hold (lienzo grown, apart): few
// senders make and read commands at a time, and the rest of them wait for slow workers, or rest.
void Controller::assign_sender_slots() {
  while (busy_slots_ < kSenderSlots && assigned_slots_ < command_queue_.size() && command_queue_.has_ready()) {
    if (idle_senders_ > assigned_slots_) {
      ++busy_slots_;
      ++assigned_slots_;
      slot_assigned_.notify_one();
      continue;
    }
    // All are waiting for slow workers. Where no more may be made, or can be, the next one that is free goes on.
    if (senders_.size() >= budget_.senders) return;
    try {
      senders_.emplace_back([this](std::stop_token stop) { sender_duty(stop); });
    } catch (const std::system_error& e) {
      spdlog::error("no thread for a sender: {}", e.what());
      return;
    }
    ++busy_slots_;
    ++assigned_slots_;
    ++idle_senders_;
  }
}

void Controller::sender_duty(std::stop_token stop) {
  Lock lock(mutex_);  // assign_sender_slots() counted it among those that rest
  for (;;) {
    slot_assigned_.wait(lock, stop, [&] { return assigned_slots_ > 0; });
    if (stop.stop_requested()) return;
    --assigned_slots_;
    --idle_senders_;
    bool held = true;
    while (!stop.stop_requested()) {
      // Its turn was given up for a slow worker: it goes on if there is another.
      if (!held && busy_slots_ >= kSenderSlots) break;
      const auto next = command_queue_.dequeue();
      if (!next) break;
      if (!held) ++busy_slots_;
      held = true;
      command(lock, *next, held);
    }
    if (held) --busy_slots_;
    ++idle_senders_;
    assign_sender_slots();
  }
}

void Controller::command(Lock& lock, CommandQueue::Item next, bool& held) {
  const auto number = term_number_;
  const NodeIndex h = next.node;
  if (!term_ || !term_->cluster_state) return;
  Node& node = term_->cluster_state->node(h);
  std::vector<Command> commands;
  const bool may = !node.terminated && !node.address.empty();
  if (may) commands = due_commands(h);
  if (!may || (commands.empty() && !(next.announce && may_decide()))) {
    command_queue_.complete(h);
    return;
  }
  const bool starts = std::any_of(commands.begin(), commands.end(), [](auto& o) { return o.type == CommandType::run; });
  const auto fencing_token = term_->fencing_token;
  const auto body = commands_body(fencing_token, std::max<std::uint64_t>(node.agent.incarnation, 1), commands);
  const auto address = node.address;
  auto client = worker_connections_.acquire(address);
  if (starts) node.commands.in_flight_token = fencing_token;
  lock.unlock();
  Late late{steady_now() + kSlotPatience, [&] {
              Lock again(mutex_);
              held = false;
              --busy_slots_;
              assign_sender_slots();
            }};
  const auto result = client->post(kCommandsPath, body, kCommandTimeout, &late);
  Heartbeat heartbeat;
  bool understood = false;
  if (result.is(200) || result.is(409)) {
    try {
      heartbeat = parse_heartbeat(result.body);
      understood = true;
    } catch (const ProtocolError& e) {
      spdlog::error("malformed answer from worker: {}", e.what());
    }
  }
  lock.lock();
  if (term_number_ != number) return;
  worker_connections_.release(address, std::move(client));
  Node& again = term_->cluster_state->node(h);
  again.commands.in_flight_token = 0;
  if (starts && result.delivery == Delivery::in_doubt) {
    // It may be executed much later. Until the worker has seen a higher epoch, nothing is concluded there.
    again.commands.uncertain_token = std::max(again.commands.uncertain_token, fencing_token);
    request_pass();
    spdlog::debug("{}: a start is in doubt", again.name);
  }
  again.commands.failing = !understood;
  if (understood)
    term_->commands_failing_since = 0;
  else if (term_->commands_failing_since == 0)
    term_->commands_failing_since = steady_now();
  if (!understood) {
    command_queue_.back_off(h, steady_now() + kPauseAfterFailure);
    return;
  }
  command_queue_.complete(h);
  if (heartbeat.fencing_token > term_->fencing_token) {
    step_down(lock, "a worker knows of a higher epoch");
    return;
  }
  if (heartbeat.node != again.name) return;
  again.agent.last_direct_contact_at = steady_now();
  apply_message(heartbeat, false);
}

}  // namespace thistlefront
