#include "heartbeat_relay/relay_mode.hpp"

namespace thistlefront {

namespace {
constexpr double kCoresPerWorker = 1.17e-4;  // of a leader that holds each worker's connection (docs/CAPACITY.md, `one-leader`)
constexpr double kMostOfProcessor = 0.75;    // of its share
constexpr double kMostOfConnections = 0.75;  // the rest is for users, and for workers that come anew
}  // namespace

bool is_relay_needed(std::size_t workers, double processor_share, std::size_t most_connections) {
  const auto count = static_cast<double>(workers);
  const bool short_of_processor = processor_share > 0 && count * kCoresPerWorker > processor_share * kMostOfProcessor;
  return short_of_processor || count > static_cast<double>(most_connections) * kMostOfConnections;
}

}  // namespace thistlefront
