// Messages of the heartbeat relay, packed into frames: a follower receives heartbeats of agents and sends them to the leader in
// batches, and the leader replies to each batch. The packed bytes of an existing version never change.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/command.hpp"
#include "model/task.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

/// Identifies an attempt of a task in a heartbeat.
struct AttemptKey {
  TaskId id;
  std::uint64_t attempt = 0;
};

/// A heartbeat in a batch: complete, or its difference to an earlier heartbeat of the same agent incarnation.
struct HeartbeatDelta {
  /// How the heartbeat is encoded.
  enum class Kind : std::uint8_t {
    full = 1,    ///< the complete heartbeat
    difference,  ///< tasks or their states differ from those of the heartbeat with `base_serial`
    unchanged,   ///< differs from the heartbeat with `base_serial` only in serial, fencing token and `interruption_in_s`
  };
  Kind kind = Kind::full;
  std::string node;
  std::uint64_t agent_incarnation = 0, serial = 0, fencing_token = 0;
  std::optional<double> interruption_in_s;
  std::uint64_t base_serial = 0;            ///< serial of the earlier heartbeat; not set if `full`
  std::string address, machine_type, zone;  ///< set only if `full`
  bool spot = false;
  std::vector<TaskReport> tasks;    ///< if `full`: all tasks; otherwise: the new and changed ones
  std::vector<AttemptKey> removed;  ///< only of a `difference`: tasks no longer reported
};

/// A batch of heartbeats from a relay to the leader.
struct HeartbeatBatch {
  std::string sender;                ///< label of the relay
  std::uint64_t takeover_token = 0;  ///< of the leader to which the batch is addressed
  std::uint32_t agent_count = 0;     ///< agents from which the relay has recently received heartbeats
  std::vector<HeartbeatDelta> heartbeats;
};

/// The leader's reply to one heartbeat.
struct HeartbeatReply {
  /// Outcome of the heartbeat.
  enum class Outcome : std::uint8_t {
    renewed = 1,    ///< the node's lease is renewed; `commands` are for its agent
    refused,        ///< the relay must reply 421 to the agent
    full_required,  ///< the leader does not have the heartbeat with `base_serial`: the relay must send the full one
    retry_later,    ///< the leader is still reading the ledger: the relay must send the heartbeat again soon
  };
  Outcome outcome = Outcome::refused;
  std::vector<Command> commands;
};

/// The leader's reply to a batch.
struct HeartbeatBatchReply {
  std::uint64_t takeover_token = 0, fencing_token = 0;  ///< of the leader that sent the reply
  std::uint32_t redirect_count = 0;                     ///< agents that the relay must redirect; 0 unless the relay serves too many
  std::string redirect_target;                          ///< label of the controller to redirect them to
  std::vector<HeartbeatReply> replies;                  ///< one per heartbeat, in the order of the batch
};

/// Upper bound for the packed size of a delta, in bytes.
std::size_t packed_size(const HeartbeatDelta& delta);

/// Packs a message into a frame.
Frame pack(const HeartbeatBatch& batch);
Frame pack(const HeartbeatBatchReply& reply);
/// Unpacks a frame; nothing if it has another kind or version, or if any part of it is malformed.
std::optional<HeartbeatBatch> unpack_heartbeat_batch(const Frame& frame);
std::optional<HeartbeatBatchReply> unpack_heartbeat_batch_reply(const Frame& frame);

}  // namespace thistlefront
