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
constexpr double kRefusedPauseS = 20.0;  // after "no capacity"
constexpr unsigned kMaxMachinesPerRequest = 50;
constexpr double kShareOfCalls = 0.5;      // of the calls that the cloud takes in a second
constexpr std::size_t kUnheardShare = 50;  // one node in so many may be up and not heard of
constexpr double kListLags = 2.0;          // list lags until what was requested before is in a list
// Work of the lowest priority is scaled out for so many times its run and a boot ahead of its objective.
constexpr double kIdlePriorityLead = 2.0;
}  // namespace

// Several at a time: with one a round, 25 offers took 17 s on the first day and after a loss of machines.
void ScaleOutManager::run(HttpClient& cloud) {
  if (!shared_.config.options.scale_out) return;
  const double most = std::max(1.0, shared_.config.settings.cloud_rps * kShareOfCalls);
  for (int requests = 0; requests < most; ++requests)
    if (!request_machines(cloud)) return;
}

bool ScaleOutManager::request_machines(HttpClient& cloud) {
  const auto sent = next_request();
  if (!sent) return false;
  const auto& offer = sent->request.offer;
  const auto body = rent_body(sent->name, sent->machine_type, offer.zone, offer.spot, sent->request.count);
  const auto response = cloud.post(kRentPath, body, kCloudTimeoutS);
  // Without an answer the same request is made again: under another name it would rent twice.
  if (response.delivery == Delivery::outcome_unknown || response.is(429)) return false;
  Lock lock(shared_.mutex);
  pending_.reset();
  return shared_.is_term(sent->term) && apply_response(*sent, response);
}

std::optional<ScaleOutManager::NamedRequest> ScaleOutManager::next_request() {
  Lock lock(shared_.mutex);
  if (!shared_.may_decide()) return std::nullopt;
  const double now = steady_now();
  if (!is_fleet_known(now)) return std::nullopt;
  if (pending_ && shared_.is_term(pending_->term)) return pending_;
  const auto request = choose(now);
  if (!request) return std::nullopt;
  // The token is of this term alone, so no other controller or process ever uses the name again.
  const Term& term = *shared_.term;
  const auto name = "r-" + std::to_string(term.takeover_token) + "-" + std::to_string(++request_count_);
  pending_ = {shared_.term_number, name, term.cluster_state->machine_type_name(request->offer.machine_type), *request};
  return pending_;
}

std::optional<ScaleOutRequest> ScaleOutManager::choose(double now) {
  Term& term = *shared_.term;
  const ClusterState& cluster_state = *term.cluster_state;
  std::erase_if(term.refused_offers, [&](const auto& refused) { return refused.second <= now; });
  std::set<InstanceOffer> refused;
  for (const auto& [offer, until] : term.refused_offers) refused.insert(offer);
  ScaleOutInput input{cluster_state, {}, refused, now, kMaxMachinesPerRequest};
  // Worth it is only what has no slot before a machine is up.
  for (const auto& unserved : term.unserved)
    if (unserved.after_horizon > 0 && is_worth_it(cluster_state.job(unserved.job), wall_now()))
      input.unmet_demands.push_back({unserved.job, unserved.after_horizon});
  // Machines with accelerators first: nothing else serves the work that needs them, and they take the longest to boot.
  std::stable_partition(input.unmet_demands.begin(), input.unmet_demands.end(),
                        [&](const auto& demand) { return cluster_state.job(demand.job).spec.demand.accelerators > 0; });
  return choose_scale_out(input);
}

bool ScaleOutManager::apply_response(const NamedRequest& sent, const HttpResult& response) {
  if (response.ok()) {
    try {
      apply_granted(sent, response.body);
    } catch (const ProtocolError& e) {
      spdlog::error("cloud: malformed scale-out answer: {}", e.what());
    }
    return true;
  }
  if (!response.is(503) || !is_no_capacity(response.body)) return false;
  refuse_offer_for_now(sent);
  return true;
}

void ScaleOutManager::refuse_offer_for_now(const NamedRequest& sent) {
  shared_.term->refused_offers[sent.request.offer] = steady_now() + kRefusedPauseS;
}

void ScaleOutManager::apply_granted(const NamedRequest& sent, const std::string& body) {
  const auto names = parse_rented(body);
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
    // It may be up, and have reported, before this answer came.
    if (node.agent.has_reported || node.instance.listed) continue;
    cluster_state.set_node_attributes(index, "", sent.machine_type, offer.zone, offer.spot);
    node.instance.listed = true;
    node.instance.status = Instance::Status::booting;
  }
  if (names.size() < request.count) refuse_offer_for_now(sent);
}

// Work of the lowest priority is done with what is free; machines are requested for it when an objective for its end needs them.
bool ScaleOutManager::is_worth_it(const Job& job, double wall) const {
  if (job.urgency.priority != Priority::idle) return true;
  double boot_s = 0;
  for (const auto& type : shared_.term->cluster_state->machine_types()) boot_s = boot_s == 0 ? type.boot_s : std::min(boot_s, type.boot_s);
  double needed_by = job.urgency.deadline_at;
  for (const auto& objective : shared_.config.settings.objectives) {
    if (objective.job_class != job.spec.job_class || objective.within_s <= 0) continue;
    if (objective.kind == "finished" || objective.kind == "wait") needed_by = std::min(needed_by, job.eligible_since + objective.within_s);
  }
  return wall + kIdlePriorityLead * (job.spec.estimated_run_s + boot_s) > needed_by;
}

bool ScaleOutManager::is_fleet_known(double now) const {
  const Term& term = *shared_.term;
  // What an earlier leader requested is in no list yet, and what is up has not reported to this one.
  if (now - term.taken_over_at >= kListLags * shared_.config.settings.list_lag_s) return true;
  if (!term.first_term_ever) return false;
  std::size_t running = 0, heard = 0;
  for (std::uint32_t i = 0; i < term.cluster_state->node_count(); ++i) {
    const Node& node = term.cluster_state->node(NodeIndex{i});
    if (!node.instance.listed || node.instance.status != Instance::Status::running) continue;
    ++running;
    heard += node.agent.has_reported ? 1 : 0;
  }
  return running > 0 && heard >= running - running / kUnheardShare;
}

}  // namespace thistlefront
