// What an intake (a controller that holds workers' connections and does not lead) and the leader say to each other: batches of
// reports, and a batch of answers. Packed structs in frames.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/types.hpp"
#include "transport/frames.hpp"

namespace thistle {

// One attempt of a task, as a report names it.
struct AttemptKey {
  PieceId id;
  std::uint64_t attempt = 0;
};

// A worker's report as it travels in a batch: whole, or by what differs from an earlier one of the same session.
struct ReportDelta {
  enum class Kind : std::uint8_t {
    whole = 1,
    difference,  // other tasks, or other states of them, than the report with `base_serial`
    unchanged,   // all as in that report, but for serial, epoch and the time until a recall
  };
  Kind kind = Kind::whole;
  std::string host;
  std::uint64_t tenure = 0, serial = 0, epoch = 0;
  std::optional<double> recall_s;
  std::uint64_t base_serial = 0;            // not of a whole report
  std::string address, machine_type, yard;  // of a whole report alone
  bool loaner = false;
  std::vector<ReportedPiece> tasks;  // all of them, or those that are new or have changed
  std::vector<AttemptKey> removed;   // of a difference
};

struct IntakeBatch {
  std::string sender;                // label of the controller
  std::uint64_t takeover_epoch = 0;  // epoch of the lead that it is meant for
  std::uint32_t worker_count = 0;    // that the sender heard of lately
  std::vector<ReportDelta> reports;
};

struct WorkerAnswer {
  enum class Outcome : std::uint8_t {
    renewed = 1,    // the worker's lease is renewed; its orders go along
    refused,        // the worker is to be told 421
    full_required,  // the leader does not have what the difference builds on
    retry_later,    // asked again soon: the leader is still reading the ledger
  };
  Outcome outcome = Outcome::refused;
  std::vector<Order> orders;
};

struct IntakeAnswer {
  std::uint64_t takeover_epoch = 0, epoch = 0;  // of the lead that made it
  std::uint32_t redirect_count = 0;             // workers that the sender is to send to `send_to`, where it has more than its share
  std::string redirect_target;                  // label of a controller
  std::vector<WorkerAnswer> answers;            // one for each report, in their order
};

// Bytes that a delta takes in a batch, at most.
std::size_t packed_size(const ReportDelta& delta);

Frame pack(const IntakeBatch& batch);
Frame pack(const IntakeAnswer& answer);
// Nothing where any part of the frame is malformed: a batch is taken as a whole or not at all.
std::optional<IntakeBatch> unpack_intake_batch(const Frame& frame);
std::optional<IntakeAnswer> unpack_intake_answer(const Frame& frame);

}  // namespace thistle
