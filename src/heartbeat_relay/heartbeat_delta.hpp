// The two ends of a stream of reports between an intake and the leader. The sender turns a report into what differs from the last
// one that the leader is known to have; the receiver turns that into the report again, or asks for the whole of it. A report is
// known by its worker, session and serial, so a difference is never applied to another report than it was made from. Pure.
#pragma once
#include <string>

#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "protocol/relay_messages.hpp"

namespace thistlefront {

// On the intake, for one lead.
class HeartbeatDeltaEncoder {
 public:
  // What is to be sent of this report.
  [[nodiscard]] HeartbeatDelta encode(const Heartbeat& heartbeat) const;
  // The leader has this report.
  void record_acknowledged(const Heartbeat& heartbeat);
  // The leader does not have the report that the last delta of this worker was built on.
  void forget(const std::string& node);
  // Another lead: nothing is known of what it has.
  void clear() { acknowledged_.clear(); }

 private:
  NameMap<Heartbeat> acknowledged_;  // by worker: the newest
};

// On the leader, for one lead.
class HeartbeatDeltaDecoder {
 public:
  // The report that was sent, valid until the next call; null where the whole of it is needed.
  const Heartbeat* decode(const HeartbeatDelta& delta);
  [[nodiscard]] std::size_t size() const { return received_.size(); }

 private:
  NameMap<Heartbeat> received_;  // by worker: the newest
};

}  // namespace thistlefront
