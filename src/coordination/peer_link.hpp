// What a controller knows of another one, and its connections to it.
#pragma once
#include <cstdint>
#include <memory>

#include "fleet/custody.hpp"
#include "protocol/settings.hpp"
#include "transport/frames.hpp"

namespace thistle {

struct PeerLink {
  Settings::Peer peer;
  std::unique_ptr<FramePool> calls;  // users' requests and reports, when the peer leads
  std::unique_ptr<FramePool> beats;
  Granted granted;
  std::uint64_t marked_by = 0, mark = 0;  // of its latest answer in this term
  double marked_sent_at = 0;              // steady seconds: when the beat was sent that it answered so
};

}  // namespace thistle
