#include "heartbeat_relay/relay_mode.hpp"

namespace thistlefront {

namespace {

// Processor time that a leader needs for each agent that is connected to it (docs/CAPACITY.md, `one-leader`).
constexpr double kCoresPerWorker = 1.17e-4;
// Shares that agents may take up. The rest of the connections is for users and for agents that connect anew.
constexpr double kMaxProcessorShare = 0.75;
constexpr double kMaxConnectionShare = 0.75;

}  // namespace

bool is_relay_needed(std::size_t workers, double processor_share, std::size_t most_connections) {
  const auto count = static_cast<double>(workers);
  const bool short_of_processor = processor_share > 0 && count * kCoresPerWorker > processor_share * kMaxProcessorShare;
  const bool short_of_connections = count > static_cast<double>(most_connections) * kMaxConnectionShare;
  return short_of_processor || short_of_connections;
}

}  // namespace thistlefront
