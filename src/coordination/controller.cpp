#include "coordination/controller.hpp"

#include <spdlog/spdlog.h>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistle {

namespace {
std::uint64_t random_word() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 31) ^ device();
}
constexpr std::size_t kMostCallsToAPeer = 12;
}  // namespace

Controller::Controller(Settings settings, Tuning tuning)
    : settings_(std::move(settings)), tuning_(tuning), incarnation_(random_word() >> 2), random_(random_word()) {
  follower_since_ = steady_now();
  for (const auto& o : settings_.objectives)
    if (o.kind == "wait") wait_aims_[o.job_class].push_back(o.within_s);
  for (const auto& p : settings_.peers) {
    links_.push_back({p, std::make_unique<FramePool>(p.address, kMostCallsToAPeer),
                      std::make_unique<FramePool>(p.address, 1), 0});
  }
}

Controller::~Controller() = default;

void Controller::run(std::stop_token stop) {
  const auto sockets = static_cast<std::size_t>(settings_.max_sockets);
  // Sockets are shared between clients, peers and what this process opens itself: a connection for each worker, and
  // those to the state service, without which it can't lead. What is accepted must leave room for them.
  frame_server_ = std::make_unique<FrameServer>(settings_.peer_listen, std::max<std::size_t>(sockets / 16, 8),
                                                [this](const Frame& f) { return on_frame(f); });
  http_server_ = std::make_unique<HttpServer>(settings_.client_listen, sockets * 11 / 20,
                                              [this](const HttpCall& c) { return on_http(c); });
  duties_.emplace_back([this](std::stop_token st) { ledger_duty(st); });
  duties_.emplace_back([this](std::stop_token st) { pass_duty(st); });
  duties_.emplace_back([this](std::stop_token st) { cloud_duty(st); });
  for (std::size_t i = 0; i < links_.size(); ++i)
    duties_.emplace_back([this, i](std::stop_token st) { peer_duty(st, i); });
  duties_.emplace_back([this](std::stop_token st) { leadership_duty(st); });
  spdlog::info("{} serves on {}, peers on {}", settings_.label, settings_.client_listen, settings_.peer_listen);
  while (pause_for(stop, 3600)) {
  }
  spdlog::info("stopping");
  for (auto& d : duties_) d.request_stop();
  // The leadership duty gives its hold back, so that another controller takes over at once.
  for (auto it = duties_.rbegin(); it != duties_.rend(); ++it) it->join();
  http_server_->stop();
  frame_server_->stop();
  {
    Lock lock(mutex_);
    step_down(lock, "stopping");
  }
  host_duties_.clear();
  ended_duties_.clear();
}

HttpReply error_reply(unsigned status, std::string_view reason, int retry_after_s) {
  return {status, error_body(reason), retry_after_s};
}

bool Controller::decisive() const {
  return role_ == Role::leading && !term_->hand_over && steady_now() < term_->valid_until;
}

void Controller::want_pass() {
  pass_due_ = true;
  pass_wanted_.notify_all();
}

}  // namespace thistle
