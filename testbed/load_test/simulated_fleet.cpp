#include "testbed/load_test/simulated_fleet.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "testbed/free_address.hpp"
#include "testbed/load_test/simulated_worker.hpp"

namespace thistlefront::testbed {

namespace asio = boost::asio;

void SimulatedJobRegistry::add(const std::string& uid, const SimulatedJob& job) {
  std::lock_guard lock(mutex_);
  jobs_[uid] = job;
}

std::optional<SimulatedJob> SimulatedJobRegistry::find(const std::string& uid) const {
  std::lock_guard lock(mutex_);
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? std::nullopt : std::optional(it->second);
}

// One thread and the workers that it alone serves.
struct SimulatedFleet::Shard {
  asio::io_context context{1};
  std::vector<std::unique_ptr<SimulatedWorker>> workers;
  std::jthread thread;
};

SimulatedFleet::SimulatedFleet(const Options& options, const SimulatedJobRegistry& jobs, Checker& checker)
    : state_(options, jobs, checker) {
  constexpr std::size_t kFirstNodeNumber = 100000;
  for (std::size_t i = 0; i < std::max<std::size_t>(options.threads, 1); ++i) shards_.push_back(std::make_unique<Shard>());
  for (std::size_t i = 0; i < options.workers; ++i) {
    nodes_.push_back({"m-" + std::to_string(kFirstNodeNumber + i), test_support::free_address(), options.zones[i % options.zones.size()]});
    Shard& shard = *shards_[i % shards_.size()];
    auto& worker = *shard.workers.emplace_back(
        std::make_unique<SimulatedWorker>(state_, shard.context, nodes_.back(), options.seed + static_cast<unsigned>(i)));
    asio::co_spawn(shard.context, worker.send_heartbeats(), asio::detached);
    asio::co_spawn(shard.context, worker.accept_commands(), asio::detached);
  }
  for (auto& shard : shards_) shard->thread = std::jthread([&context = shard->context] { context.run(); });
}

SimulatedFleet::~SimulatedFleet() {
  for (auto& shard : shards_) shard->context.stop();
  for (auto& shard : shards_) shard->thread.join();
}

std::vector<double> SimulatedFleet::take_start_waits() {
  std::lock_guard lock(state_.start_waits_mutex);
  return std::exchange(state_.start_waits_s, {});
}

void SimulatedFleet::silence(double fraction, double until) {
  for (auto& shard : shards_)
    asio::post(shard->context, [&workers = shard->workers, fraction, until] {
      const auto count = static_cast<std::size_t>(fraction * static_cast<double>(workers.size()));
      for (std::size_t i = 0; i < count; ++i) workers[i]->silence(until);
    });
}

void SimulatedFleet::reconnect_all() {
  for (auto& shard : shards_)
    asio::post(shard->context, [&workers = shard->workers] {
      for (auto& worker : workers) worker->reconnect();
    });
}

}  // namespace thistlefront::testbed
