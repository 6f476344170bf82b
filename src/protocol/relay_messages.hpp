// Messages of the heartbeat relay: a controller that does not lead holds connections of agents and sends their heartbeats to the
// leader in batches, and the leader answers each batch. Packed structs in frames; the bytes never change for a version that exists.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/command.hpp"
#include "model/task.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

/// One attempt of a task, as a heartbeat names it.
struct AttemptKey {
  TaskId id;
  std::uint64_t attempt = 0;
};

/// A heartbeat in a batch: whole, or what differs from an earlier one of the same incarnation of the agent.
struct HeartbeatDelta {
  /// How much of the heartbeat it holds.
  enum class Kind : std::uint8_t {
    whole = 1,
    difference,  ///< other tasks, or other states of them, than the heartbeat with `base_serial`
    unchanged,   ///< as in that heartbeat but for serial, fencing token and time until an interruption
  };
  Kind kind = Kind::whole;
  std::string node;
  std::uint64_t agent_incarnation = 0, serial = 0, fencing_token = 0;
  std::optional<double> interruption_in_s;
  std::uint64_t base_serial = 0;            ///< not of a whole one
  std::string address, machine_type, zone;  ///< of a whole one alone
  bool spot = false;
  std::vector<TaskReport> tasks;    ///< all of them, or those that are new or have changed
  std::vector<AttemptKey> removed;  ///< of a difference alone: tasks that are gone
};

/// Heartbeats that a relay sends to the leader.
struct HeartbeatBatch {
  std::string sender;                ///< label of the relay
  std::uint64_t takeover_token = 0;  ///< of the leader that it is meant for
  std::uint32_t worker_count = 0;    ///< agents that the relay heard from lately
  std::vector<HeartbeatDelta> heartbeats;
};

/// The leader's answer to one heartbeat.
struct HeartbeatAnswer {
  /// What became of it.
  enum class Outcome : std::uint8_t {
    renewed = 1,    ///< the node's lease is renewed; its commands go with the answer
    refused,        ///< the agent is to be answered 421
    full_required,  ///< the leader does not have the heartbeat that the difference builds on
    retry_later,    ///< to be sent again soon: the leader is still reading the ledger
  };
  Outcome outcome = Outcome::refused;
  std::vector<Command> commands;
};

/// The answers to a batch.
struct HeartbeatBatchAnswer {
  std::uint64_t takeover_token = 0, fencing_token = 0;  ///< of the leader that made it
  std::uint32_t redirect_count = 0;                     ///< agents that the relay is to redirect, if it has more than its share
  std::string redirect_target;                          ///< where to: label of a controller
  std::vector<HeartbeatAnswer> answers;                 ///< one for each heartbeat, in the order of the batch
};

/// Upper bound of the bytes that a delta takes in a batch.
std::size_t packed_size(const HeartbeatDelta& delta);

/// Packs a message into a frame.
Frame pack(const HeartbeatBatch& batch);
Frame pack(const HeartbeatBatchAnswer& answer);
/// Unpacks a frame; nothing if any part of it is malformed: a batch is accepted as a whole or not at all.
std::optional<HeartbeatBatch> unpack_heartbeat_batch(const Frame& frame);
std::optional<HeartbeatBatchAnswer> unpack_heartbeat_batch_answer(const Frame& frame);

}  // namespace thistlefront
