// Delta compression of the heartbeats that a relay (a follower that accepts agents' heartbeats) sends to the leader. The encoder
// computes the difference from the last heartbeat that the leader acknowledged; the decoder restores the heartbeat, or reports that
// it needs the full one. Both do no I/O. A heartbeat is identified by node, incarnation and serial, so a difference is applied only
// to the heartbeat that it was computed from.
#pragma once
#include <cstddef>
#include <string>

#include "model/heartbeat.hpp"
#include "model/identifiers.hpp"
#include "protocol/relay_messages.hpp"

namespace thistlefront {

// Used on the relay, for one term of the leader.
class HeartbeatDeltaEncoder {
 public:
  // Returns the difference from the acknowledged heartbeat or the full heartbeat, whichever is smaller.
  [[nodiscard]] HeartbeatDelta encode(const Heartbeat& heartbeat) const;
  // Records that the leader has this heartbeat.
  void record_acknowledged(const Heartbeat& heartbeat);
  // Records that the leader lacks the heartbeat on which the node's last delta was based. The next delta will be a full heartbeat.
  void forget_node(const std::string& node);
  // Called when another term begins: it is not known which heartbeats the new leader has.
  void clear() { acknowledged_.clear(); }

 private:
  NameMap<Heartbeat> acknowledged_;  // newest acknowledged heartbeat by node
};

// Used on the leader, for one term.
class HeartbeatDeltaDecoder {
 public:
  // Returns the restored heartbeat, valid until the next call, or nullptr if the full heartbeat is needed.
  const Heartbeat* decode(const HeartbeatDelta& delta);
  [[nodiscard]] std::size_t size() const { return received_.size(); }

 private:
  NameMap<Heartbeat> received_;  // newest received heartbeat by node
};

}  // namespace thistlefront
