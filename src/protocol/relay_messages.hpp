// What an intake (a controller that holds workers' connections and does not lead) and the leader say to each other: batches of
// reports, and a batch of answers. Packed structs in frames.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/command.hpp"
#include "model/task.hpp"
#include "transport/frames.hpp"

namespace thistlefront {

// One attempt of a task, as a report names it.
struct AttemptKey {
  TaskId id;
  std::uint64_t attempt = 0;
};

// A worker's report as it travels in a batch: whole, or by what differs from an earlier one of the same session.
struct HeartbeatDelta {
  enum class Kind : std::uint8_t {
    whole = 1,
    difference,  // other tasks, or other states of them, than the report with `base_serial`
    unchanged,   // all as in that report, but for serial, epoch and the time until a recall
  };
  Kind kind = Kind::whole;
  std::string node;
  std::uint64_t agent_incarnation = 0, serial = 0, fencing_token = 0;
  std::optional<double> interruption_in_s;
  std::uint64_t base_serial = 0;            // not of a whole report
  std::string address, machine_type, zone;  // of a whole report alone
  bool spot = false;
  std::vector<TaskReport> tasks;    // all of them, or those that are new or have changed
  std::vector<AttemptKey> removed;  // of a difference
};

struct HeartbeatBatch {
  std::string sender;                // label of the controller
  std::uint64_t takeover_token = 0;  // epoch of the lead that it is meant for
  std::uint32_t worker_count = 0;    // that the sender heard of lately
  std::vector<HeartbeatDelta> heartbeats;
};

struct HeartbeatAnswer {
  enum class Outcome : std::uint8_t {
    renewed = 1,    // the worker's lease is renewed; its orders go along
    refused,        // the worker is to be told 421
    full_required,  // the leader does not have what the difference builds on
    retry_later,    // asked again soon: the leader is still reading the ledger
  };
  Outcome outcome = Outcome::refused;
  std::vector<Command> commands;
};

struct HeartbeatBatchAnswer {
  std::uint64_t takeover_token = 0, fencing_token = 0;  // of the lead that made it
  std::uint32_t redirect_count = 0;                     // workers that the sender is to send to `send_to`, where it has more than its share
  std::string redirect_target;                          // label of a controller
  std::vector<HeartbeatAnswer> answers;                 // one for each report, in their order
};

// Bytes that a delta takes in a batch, at most.
std::size_t packed_size(const HeartbeatDelta& delta);

Frame pack(const HeartbeatBatch& batch);
Frame pack(const HeartbeatBatchAnswer& answer);
// Nothing where any part of the frame is malformed: a batch is taken as a whole or not at all.
std::optional<HeartbeatBatch> unpack_heartbeat_batch(const Frame& frame);
std::optional<HeartbeatBatchAnswer> unpack_heartbeat_batch_answer(const Frame& frame);

}  // namespace thistlefront
