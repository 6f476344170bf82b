// The two ends of a stream of heartbeats from a relay (a follower that takes agents' heartbeats) to the leader. The encoder sends
// how a heartbeat differs from the last one that the leader is known to have; the decoder restores the heartbeat, or asks for the
// whole of it. Pure. A heartbeat is identified by its node, incarnation and serial, so that a difference is never applied to
// another heartbeat than the one it was made from.
#pragma once
#include <cstddef>
#include <string>

#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "protocol/relay_messages.hpp"

namespace thistlefront {

// On the relay, for one term of the leader.
class HeartbeatDeltaEncoder {
 public:
  // What is to be sent of this heartbeat: the smaller of a difference and the whole.
  [[nodiscard]] HeartbeatDelta encode(const Heartbeat& heartbeat) const;
  // The leader has this heartbeat.
  void record_acknowledged(const Heartbeat& heartbeat);
  // The leader does not have the heartbeat that the last delta of this node was based on.
  void forget(const std::string& node);
  // Another term began: nothing is known of what its leader has.
  void clear() { acknowledged_.clear(); }

 private:
  NameMap<Heartbeat> acknowledged_;  // by node: the newest
};

// On the leader, for one term.
class HeartbeatDeltaDecoder {
 public:
  // The heartbeat that was sent, valid until the next call; null where the whole of it is needed.
  const Heartbeat* decode(const HeartbeatDelta& delta);
  [[nodiscard]] std::size_t size() const { return received_.size(); }

 private:
  NameMap<Heartbeat> received_;  // by node: the newest
};

}  // namespace thistlefront
