#include "controller/resource_budget.hpp"

#include <algorithm>

namespace thistlefront {

namespace {
constexpr std::size_t kDuties = 16;               // and one for each peer
constexpr std::size_t kOwnSockets = 12;           // two that listen, the key-value store, the cloud, and some to spare
constexpr std::size_t kHeartbeatConnections = 1;  // connections to a peer that carry beats
constexpr std::size_t kMinClients = 8, kMinWorkerConnections = 4;

std::size_t left_of(std::size_t all, std::size_t taken, std::size_t least) {
  return all > taken + least ? all - taken : least;
}

std::size_t own_sockets(std::size_t peers) {
  return kOwnSockets + peers * (ResourceBudget::kCallsToAPeer + kHeartbeatConnections);
}
}  // namespace

std::size_t ResourceBudget::most_sockets() const {
  return own_sockets(own - kDuties) + clients + peers + 2 * kOver + senders + probes + worker_connections;
}

ResourceBudget split_resource_budget(std::size_t threads, std::size_t sockets, std::size_t peers) {
  ResourceBudget b;
  b.threads = threads;
  b.sockets = sockets;
  b.own = kDuties + peers;
  // Twice what a peer opens: it may have begun anew before the connections of its earlier process are known
  // to be dead.
  b.peers = std::clamp<std::size_t>(2 * peers * (ResourceBudget::kCallsToAPeer + kHeartbeatConnections), 8,
                                    std::max<std::size_t>(sockets / 16, 8));
  b.senders = std::clamp<std::size_t>(std::min(threads, sockets) / 16, 4, 128);
  b.probes = std::clamp<std::size_t>(std::min(threads, sockets) / 32, 2, 64);
  const std::size_t rest = b.peers + 2 * ResourceBudget::kOver + b.senders + b.probes;
  const std::size_t sockets_left = left_of(sockets, own_sockets(peers) + rest, 0);
  b.clients = std::min({sockets * 11 / 20, left_of(threads, b.own + rest, kMinClients), std::max(sockets_left * 4 / 5, kMinClients)});
  b.worker_connections = left_of(sockets_left, b.clients, kMinWorkerConnections);
  return b;
}

}  // namespace thistlefront
