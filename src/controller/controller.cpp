#include "controller/controller.hpp"

#include <spdlog/spdlog.h>

#include <any>
#include <optional>
#include <utility>

#include "protocol/messages.hpp"
#include "protocol/peer_messages.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront {

namespace {
constexpr double kSleepS = 3600;  // between wake-ups of the thread that waits for the stop request

HeartbeatCache& heartbeat_cache_of(std::any& session) {
  if (!session.has_value()) session.emplace<HeartbeatCache>();
  return std::any_cast<HeartbeatCache&>(session);
}

// The leader that heartbeats are relayed to, if it is another controller.
std::optional<HeartbeatRelay::Leader> relay_target(SharedState& shared) {
  Lock lock(shared.mutex);
  FrameConnectionPool* pool = shared.role == Role::follower ? shared.leader_pool() : nullptr;
  if (!pool) return std::nullopt;
  return HeartbeatRelay::Leader{pool, shared.known_leader.change_count, shared.known_leader.takeover_token};
}

bool reaches_store(StoreClient& store) {
  Rows rows;
  return store.list(kLeadershipPrefix, rows) == StoreStatus::ok;
}
}  // namespace

Controller::Controller(Settings settings, const Options& options)
    : config_(make_controller_config(std::move(settings), options)),
      shared_(config_),
      metrics_(config_.settings),
      commit_queue_(shared_, config_.settings.store_write_rps),
      relay_store_(config_.settings.store_address),
      relay_(
          config_.settings.label, [this] { return relay_target(shared_); }, [this] { return reaches_store(relay_store_); }),
      agent_messages_(shared_, commit_queue_, metrics_),
      commands_(shared_, agent_messages_),
      recovery_(shared_, commit_queue_),
      rollout_(shared_, commit_queue_, metrics_),
      committer_(shared_, commit_queue_, recovery_, rollout_, metrics_),
      scheduling_(shared_, commit_queue_, commands_, metrics_),
      scale_out_(shared_),
      releaser_(shared_, commit_queue_, agent_messages_),
      service_monitor_(shared_, commit_queue_, metrics_),
      cloud_(shared_, commit_queue_, commands_, scale_out_, releaser_, service_monitor_),
      peer_monitor_(shared_),
      election_(shared_, commit_queue_, recovery_, relay_, metrics_),
      requests_(shared_, commit_queue_, commands_, metrics_),
      heartbeats_(shared_, commit_queue_, agent_messages_, relay_, metrics_),
      reporter_(shared_, commit_queue_, commands_, relay_, rollout_, metrics_) {}

Controller::~Controller() = default;

void Controller::run(std::stop_token stop) {
  const auto& settings = config_.settings;
  frame_server_ =
      std::make_unique<FrameServer>(settings.peer_listen, config_.budget.peer_connections, [this](const Frame& f) { return on_frame(f); });
  http_server_ = std::make_unique<HttpServer>(settings.client_listen, config_.budget.client_connections,
                                              [this](const HttpCall& c) { return on_http(c); });
  start_duties();
  log_configuration();
  while (pause_for(stop, kSleepS)) {
  }
  spdlog::info("controller: stopping");
  stop_duties();
  http_server_->stop();
  frame_server_->stop();
  {
    Lock lock(shared_.mutex);
    shared_.step_down(lock, "stopping");
  }
  commands_.stop();
}

void Controller::start_duties() {
  duties_.emplace_back([this](std::stop_token stop) { committer_.run(stop); });
  duties_.emplace_back([this](std::stop_token stop) { scheduling_.run(stop); });
  duties_.emplace_back([this](std::stop_token stop) { cloud_.run(stop); });
  duties_.emplace_back([this](std::stop_token stop) { rollout_.run(stop); });
  if (config_.options.relay_mode != RelayMode::off) duties_.emplace_back([this](std::stop_token stop) { relay_.run(stop); });
  for (std::size_t peer = 0; peer < shared_.peers.size(); ++peer)
    duties_.emplace_back([this, peer](std::stop_token stop) { peer_monitor_.run(stop, peer); });
  duties_.emplace_back([this](std::stop_token stop) { election_.run(stop); });
}

// Joins the election first (it is the last duty): it releases the lease, so that another controller takes over at once.
void Controller::stop_duties() {
  for (auto& duty : duties_) duty.request_stop();
  for (auto it = duties_.rbegin(); it != duties_.rend(); ++it) it->join();
}

void Controller::log_configuration() const {
  const auto& settings = config_.settings;
  const auto& budget = config_.budget;
  if (max_partition_lease_s(settings.cancel_s, settings.lease_s) <= 0)
    spdlog::info(
        "settings: cancel_s ({} s) does not exceed lease_s ({} s), no lease is renewed in a partition or while leadership is uncertain",
        settings.cancel_s, settings.lease_s);
  spdlog::info("controller {}: serving clients on {}, peers on {}", settings.label, settings.client_listen, settings.peer_listen);
  spdlog::info(
      "resource budget: at most {} of {} threads and {} of {} sockets: {} connections of users and workers, {} of controllers, "
      "{} senders, {} connections to workers",
      budget.max_threads(), budget.threads, budget.max_sockets(), budget.sockets, budget.client_connections, budget.peer_connections,
      budget.sender_threads, budget.worker_connections);
}

HttpReply Controller::on_http(const HttpCall& call) {
  const UserRoute route = route_of(call.method, call.target);
  using Kind = UserRoute::Kind;
  switch (route.kind) {
    case Kind::unknown: return error_reply(404, "no such path");
    case Kind::wrong_method: return error_reply(405, "wrong method");
    case Kind::health: return requests_.health();
    case Kind::metrics: return reporter_.report({http_server_->count_open_connections(), frame_server_->count_open_connections()});
    case Kind::heartbeat: return heartbeats_.handle(call.body, heartbeat_cache_of(call.session));
    default: return requests_.handle(route, call);
  }
}

Frame Controller::on_frame(const Frame& frame) {
  if (const auto heartbeat = unpack_peer_heartbeat(frame)) return pack(peer_monitor_.receive_heartbeat(*heartbeat));
  if (frame.kind == static_cast<std::uint8_t>(PeerFrameKind::heartbeat_batch)) return heartbeats_.handle_batch(frame);
  if (const auto call = unpack_call(frame)) return on_peer_call(*call);
  spdlog::error("peer: malformed frame, kind {}", frame.kind);
  return pack(error_reply(400, "malformed frame"), steady_now());
}

Frame Controller::on_peer_call(const PeerCall& call) {
  // The remaining validity of the reply is sent relative to this time, and the calling controller adds it to the time at which it sent
  // the call. That was earlier, so the reply never becomes valid for longer, and the time spent on a commit does not shorten it.
  const double received_at = steady_now();
  if (call.target == kSupportedVersionsTarget) return pack(HttpReply{200, pack(config_.supported_versions)}, received_at);
  if (call.target == kRelaySupportTarget) return pack(heartbeats_.reply_to_batch_support_query(), received_at);
  if (call.target == kTeamQuotasTarget) return pack(HttpReply{200, pack(config_.team_quotas)}, received_at);
  const UserRoute route = route_of(call.method, call.target);
  const bool is_heartbeat = route.kind == UserRoute::Kind::heartbeat;
  return pack(is_heartbeat ? heartbeats_.handle_forwarded(call.body) : requests_.reply_locally(route, call.body), received_at);
}

}  // namespace thistlefront
