#include "controller/scale_out_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

#include "controller/cloud_timeout.hpp"
#include "protocol/messages.hpp"
#include "transport/clock.hpp"

namespace thistlefront {

namespace {
constexpr double kRefusedPauseS = 20.0;  // an offer refused with "no capacity" is not requested again for this long
constexpr unsigned kMaxInstancesPerRequest = 50;
constexpr double kCloudCallsFraction = 0.5;     // of the calls that the cloud accepts in a second
constexpr std::size_t kUnreportedDivisor = 50;  // one running node in 50 may not have sent a heartbeat yet
constexpr double kListLags = 2.0;               // list lags after which earlier requests appear in the instance list
// Instances for idle-priority work are requested this many times (estimated run time + boot time) before the work is due.
constexpr double kIdlePriorityLeadFactor = 2.0;
}  // namespace

// Sends several requests a round: with one a round, requesting 25 offers took 17 s at the first start and after a loss of nodes.
void ScaleOutManager::run(HttpClient& cloud) {
  if (!shared_.config.options.scale_out) return;
  const double max_requests = std::max(1.0, shared_.config.settings.cloud_rps * kCloudCallsFraction);
  for (int requests = 0; requests < max_requests; ++requests)
    if (!request_instances(cloud)) return;
}

bool ScaleOutManager::request_instances(HttpClient& cloud) {
  const auto sent = next_request();
  if (!sent) return false;
  const auto& offer = sent->request.offer;
  const auto body = rent_body(sent->name, sent->machine_type, offer.zone, offer.spot, sent->request.count);
  const auto reply = cloud.post(kRentPath, body, kCloudTimeoutS);
  // A request without a reply is repeated under the same name; under another name the cloud could grant it twice.
  if (reply.delivery == Delivery::outcome_unknown || reply.is(429)) return false;
  Lock lock(shared_.mutex);
  unacknowledged_.reset();
  return shared_.is_term(sent->term) && apply_reply(*sent, reply);
}

std::optional<ScaleOutManager::NamedRequest> ScaleOutManager::next_request() {
  Lock lock(shared_.mutex);
  if (!shared_.may_decide()) return std::nullopt;
  const double now = steady_now();
  if (!is_fleet_known(now)) return std::nullopt;
  if (unacknowledged_ && shared_.is_term(unacknowledged_->term)) return unacknowledged_;
  const auto request = choose_request(now);
  if (!request) return std::nullopt;
  // The takeover token is unique to this term, so no other controller or process uses the same name.
  const Term& term = *shared_.term;
  const auto name = "r-" + std::to_string(term.takeover_token) + "-" + std::to_string(++request_count_);
  unacknowledged_ = {shared_.term_number, name, term.cluster_state->machine_type_name(request->offer.machine_type), *request};
  return unacknowledged_;
}

std::optional<ScaleOutRequest> ScaleOutManager::choose_request(double now) {
  Term& term = *shared_.term;
  const ClusterState& cluster_state = *term.cluster_state;
  std::erase_if(term.refused_offers, [&](const auto& refused) { return refused.second <= now; });
  std::set<InstanceOffer> refused;
  for (const auto& [offer, until] : term.refused_offers) refused.insert(offer);
  ScaleOutInput input{cluster_state, {}, refused, now, kMaxInstancesPerRequest};
  // Instances are requested only for units without a slot before a new instance would have booted.
  for (const auto& unserved : term.unserved)
    if (unserved.after_horizon > 0 && needs_scale_out(cluster_state.job(unserved.job), wall_now()))
      input.unmet_demands.push_back({unserved.job, unserved.after_horizon});
  // Accelerator jobs first: no other instances serve them, and instances with accelerators take the longest to boot.
  std::stable_partition(input.unmet_demands.begin(), input.unmet_demands.end(),
                        [&](const auto& demand) { return cluster_state.job(demand.job).spec.demand.accelerators > 0; });
  return choose_scale_out(input);
}

bool ScaleOutManager::apply_reply(const NamedRequest& sent, const HttpResult& reply) {
  if (reply.ok()) {
    try {
      apply_granted(sent, reply.body);
    } catch (const ProtocolError& e) {
      spdlog::error("cloud: malformed scale-out answer: {}", e.what());
    }
    return true;
  }
  if (!reply.is(503) || !reports_no_capacity(reply.body)) return false;
  suspend_offer(sent);
  return true;
}

void ScaleOutManager::suspend_offer(const NamedRequest& sent) {
  shared_.term->refused_offers[sent.request.offer] = steady_now() + kRefusedPauseS;
}

void ScaleOutManager::apply_granted(const NamedRequest& sent, const std::string& body) {
  const auto names = parse_rented_names(body);
  const auto& request = sent.request;
  const auto& offer = request.offer;
  spdlog::info("scale-out: {} of {} {} in {}{}{}", names.size(), request.count, sent.machine_type, offer.zone, offer.spot ? ", spot" : "",
               request.late_instances > 0 ? ", " + std::to_string(request.late_instances) + " requested earlier are late" : "");
  ClusterState& cluster_state = *shared_.term->cluster_state;
  const double now = steady_now();
  for (const auto& name : names) {
    const NodeIndex index = cluster_state.find_or_add_node(name);
    Node& node = cluster_state.node(index);
    node.instance.requested_at = now;
    // The instance may have booted and sent a heartbeat before this reply arrived.
    if (node.agent.has_reported || node.instance.listed) continue;
    cluster_state.set_node_attributes(index, "", sent.machine_type, offer.zone, offer.spot);
    node.instance.listed = true;
    node.instance.status = Instance::Status::booting;
  }
  if (names.size() < request.count) suspend_offer(sent);
}

// Idle-priority work runs on free capacity; instances are requested for it only when it would otherwise miss its deadline or objective.
bool ScaleOutManager::needs_scale_out(const Job& job, double wall_now_s) const {
  if (job.urgency.priority != Priority::idle) return true;
  double min_boot_s = 0;
  for (const auto& type : shared_.term->cluster_state->machine_types())
    min_boot_s = min_boot_s == 0 ? type.boot_s : std::min(min_boot_s, type.boot_s);
  double needed_by = job.urgency.deadline_at;
  for (const auto& objective : shared_.config.settings.objectives) {
    if (objective.job_class != job.spec.job_class || objective.within_s <= 0) continue;
    if (objective.kind == "finished" || objective.kind == "wait") needed_by = std::min(needed_by, job.eligible_since + objective.within_s);
  }
  return wall_now_s + kIdlePriorityLeadFactor * (job.spec.estimated_run_s + min_boot_s) > needed_by;
}

bool ScaleOutManager::is_fleet_known(double now) const {
  const Term& term = *shared_.term;
  // Right after a takeover, instances requested by an earlier leader may be in no list yet, and running nodes may not have sent a
  // heartbeat to this leader.
  if (now - term.taken_over_at >= kListLags * shared_.config.settings.list_lag_s) return true;
  if (!term.first_term_ever) return false;
  std::size_t running = 0, reported = 0;
  for (std::uint32_t i = 0; i < term.cluster_state->node_count(); ++i) {
    const Node& node = term.cluster_state->node(NodeIndex{i});
    if (!node.instance.listed || node.instance.status != Instance::Status::running) continue;
    ++running;
    reported += node.agent.has_reported ? 1 : 0;
  }
  return running > 0 && reported >= running - running / kUnreportedDivisor;
}

}  // namespace thistlefront
