#include "controller/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
std::uint64_t random_word() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 31) ^ device();
}

std::set<std::string> named_classes(const Settings& settings) {
  std::set<std::string> out;
  for (const auto& o : settings.objectives)
    if (!o.job_class.empty()) out.insert(o.job_class);
  return out;
}

TeamQuotas team_quotas(const Settings& settings) {
  TeamQuotas out;
  for (const auto& t : settings.teams) out[t.name] = {t.guarantee, t.limit};
  return out;
}
}  // namespace

Controller::Controller(Settings settings, Options options)
    : settings_(std::move(settings)),
      options_(options),
      budget_(split_resource_budget(options.threads, settings_.max_sockets, settings_.peers.size())),
      incarnation_(random_word() >> 2),
      team_quotas_(team_quotas(settings_)),
      supported_versions_{rollout::kMinFormatVersion,
                          options.max_readable_format_version,
                          std::min(options.max_format_version, options.max_readable_format_version),
                          incarnation_,
                          rollout::kBuild,
                          digest_of(team_quotas_)},
      write_limiter_(settings_.state_write_rps),
      random_(random_word()),
      command_queue_(std::max<std::size_t>(budget_.senders / 4, 1)),
      worker_connections_(budget_.worker_connections),
      began_(steady_now()),
      partition_lease_(max_partition_lease_s(settings_.cancel_s, settings_.lease_s), began_),
      service_levels_(named_classes(settings_)),
      relay_store_(settings_.store_address),
      heartbeat_relay_(
          settings_.label,
          [this]() -> std::optional<HeartbeatRelay::Lead> {
            Lock lock(mutex_);
            FramePool* pool = role_ == Role::follower ? leader_pool() : nullptr;
            if (!pool) return std::nullopt;
            return HeartbeatRelay::Lead{pool, leads_known_, known_takeover_token_};
          },
          [this] {
            Rows rows;
            return relay_store_.list(kLeadershipPrefix, rows) == StoreStatus::ok;
          }) {
  follower_since_ = began_;
  for (const auto& o : settings_.objectives)
    if (o.kind == "wait") wait_aims_[o.job_class].push_back(o.within_s);
  for (const auto& p : settings_.peers) {
    links_.push_back(
        {p, std::make_unique<FramePool>(p.address, ResourceBudget::kCallsToAPeer), std::make_unique<FramePool>(p.address, 1), {}, 0, 0, 0});
  }
}

Controller::~Controller() = default;

void Controller::run(std::stop_token stop) {
  if (max_partition_lease_s(settings_.cancel_s, settings_.lease_s) <= 0)
    spdlog::info("cancel_s, {} s, leaves no time beyond lease_s, {} s: no lease is renewed in a cut or in doubt", settings_.cancel_s,
                 settings_.lease_s);
  frame_server_ = std::make_unique<FrameServer>(settings_.peer_listen, budget_.peers, [this](const Frame& f) { return on_frame(f); });
  http_server_ = std::make_unique<HttpServer>(settings_.client_listen, budget_.clients, [this](const HttpCall& c) { return on_http(c); });
  duties_.emplace_back([this](std::stop_token st) { ledger_duty(st); });
  duties_.emplace_back([this](std::stop_token st) { pass_duty(st); });
  duties_.emplace_back([this](std::stop_token st) { cloud_duty(st); });
  duties_.emplace_back([this](std::stop_token st) { rollout_duty(st); });
  if (options_.relay_mode != RelayMode::off) duties_.emplace_back([this](std::stop_token st) { heartbeat_relay_.run(st); });
  for (std::size_t i = 0; i < links_.size(); ++i) duties_.emplace_back([this, i](std::stop_token st) { peer_duty(st, i); });
  duties_.emplace_back([this](std::stop_token st) { leadership_duty(st); });
  spdlog::info("{} serves on {}, peers on {}", settings_.label, settings_.client_listen, settings_.peer_listen);
  spdlog::info(
      "at most {} of {} threads and {} of {} sockets: {} connections of users and workers, {} of controllers, "
      "{} senders, {} connections to workers",
      budget_.most_threads(), budget_.threads, budget_.most_sockets(), budget_.sockets, budget_.clients, budget_.peers, budget_.senders,
      budget_.worker_connections);
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
  for (auto& sender : senders_) sender.request_stop();
  senders_.clear();
}

HttpReply error_reply(unsigned status, std::string_view reason, int retry_after_s) {
  return {status, error_body(reason), retry_after_s};
}

bool Controller::may_decide() const {
  return role_ == Role::leading && !term_->hand_over && steady_now() < term_->valid_until;
}

void Controller::request_pass() {
  pass_due_ = true;
  pass_wanted_.notify_all();
}

}  // namespace thistlefront
