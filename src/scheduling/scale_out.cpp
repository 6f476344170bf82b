#include "scheduling/scale_out.hpp"

#include <algorithm>
#include <cmath>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"

namespace thistlefront {

namespace {
constexpr double kUsualBootFactor = 1.6;        // nearly all instances are up within this multiple of the type's boot time
constexpr double kFirstHeartbeatSeconds = 2.0;  // from the end of the boot to the first heartbeat
constexpr double kFailedBootFactor = 4.0;       // past this multiple of the type's boot time, an instance counts as dead
constexpr unsigned kMaxLatePerNeeded = 2;       // late instances that may be replaced, for each instance needed
constexpr double kMaxPriceFactor = 4.0;         // offers above this multiple of the lowest price are used last
}  // namespace

double instance_age(const Node& node, double steady_now) {
  double age_s = 0;
  if (node.instance.listed_at > 0) age_s = node.instance.age_s + (steady_now - node.instance.listed_at);
  if (node.instance.requested_at > 0) age_s = std::max(age_s, steady_now - node.instance.requested_at);
  return age_s;
}

BootProgress boot_progress(const Node& node, const MachineType* machine_type, double steady_now) {
  // A node with placed tasks has booted, even if the instance list is outdated and this leader has received no heartbeat from it yet.
  // Without this check, a new leader took such nodes for dead and released them (see new_instances_test).
  if (!node.placed.empty()) return BootProgress::none;
  if (!node.instance.listed || node.terminated || node.agent.has_reported || node.release_requested || !machine_type)
    return BootProgress::none;
  if (node.instance.status == Instance::Status::failed) return BootProgress::none;
  // An instance listed as running is up: its first heartbeat is still due, or it is partitioned from the controllers.
  const double usual_s = kUsualBootFactor * machine_type->boot_s + kFirstHeartbeatSeconds;
  if (node.instance.status == Instance::Status::running)
    return steady_now - node.instance.running_since < usual_s ? BootProgress::on_time : BootProgress::none;
  return instance_age(node, steady_now) < usual_s ? BootProgress::on_time : BootProgress::late;
}

bool has_failed_to_boot(const Node& node, const MachineType* machine_type, double steady_now) {
  return boot_progress(node, machine_type, steady_now) == BootProgress::late &&
         instance_age(node, steady_now) > kFailedBootFactor * machine_type->boot_s;
}

namespace {

// An offer that serves a job.
struct PricedOffer {
  InstanceOffer offer;
  double price_per_task = 0;
  unsigned tasks_per_instance = 1;
};

// Machine types that can run a job, whether offered now or not, and their current offers.
struct JobOffers {
  std::vector<MachineTypeIndex> machine_types;
  std::vector<PricedOffer> offers;
};

// Number of instances that are still booting.
struct BootingInstances {
  std::map<MachineTypeIndex, unsigned> on_time, late;
  std::map<InstanceOffer, unsigned> late_by_offer;
};

unsigned tasks_per_instance(const JobSpec& spec, const MachineType& machine_type) {
  constexpr double kMinCores = 0.01, kRoundingSlack = 1e-6;
  const Resources& capacity = machine_type.capacity;
  double tasks = capacity.cores / std::max(spec.demand.cores, kMinCores);
  if (spec.demand.ram_gb > 0) tasks = std::min(tasks, capacity.ram_gb / spec.demand.ram_gb);
  if (spec.demand.accelerators > 0) tasks = std::min(tasks, capacity.accelerators / spec.demand.accelerators);
  return std::max(1u, static_cast<unsigned>(tasks + kRoundingSlack));
}

BootingInstances count_booting(const ClusterState& cluster_state, double steady_now) {
  BootingInstances booting;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    const auto progress = boot_progress(node, cluster_state.machine_type(node.machine_type), steady_now);
    if (progress == BootProgress::on_time) ++booting.on_time[node.machine_type];
    if (progress != BootProgress::late) continue;
    ++booting.late[node.machine_type];
    if (node.zone.valid()) ++booting.late_by_offer[{node.machine_type, cluster_state.zone_name(node.zone), node.spot}];
  }
  return booting;
}

bool may_use(const Job& job, MachineTypeIndex index, const MachineType& machine_type) {
  const auto& allowed = job.machine_types;
  if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), index) == allowed.end()) return false;
  return job.spec.demand.fits(machine_type.capacity);
}

void add_offers(std::vector<PricedOffer>& offers, const Job& job, MachineTypeIndex index, const MachineType& machine_type,
                const std::set<InstanceOffer>& refused_offers) {
  const unsigned tasks = tasks_per_instance(job.spec, machine_type);
  for (const auto& zone : machine_type.zones) {
    if (!job.spec.zone.empty() && job.spec.zone != zone) continue;
    for (const bool spot : {true, false}) {
      if (spot && !job.spec.allows_spot) continue;
      const InstanceOffer offer{index, zone, spot};
      if (refused_offers.contains(offer)) continue;
      offers.push_back({offer, (spot ? machine_type.spot_price : machine_type.price) / tasks, tasks});
    }
  }
}

JobOffers offers_for(const ScaleOutInput& in, const Job& job) {
  JobOffers job_offers;
  for (const auto& machine_type : in.cluster_state.machine_types()) {
    const MachineTypeIndex index = in.cluster_state.find_machine_type(machine_type.name);
    if (!may_use(job, index, machine_type)) continue;
    job_offers.machine_types.push_back(index);
    add_offers(job_offers.offers, job, index, machine_type, in.refused_offers);
  }
  return job_offers;
}

// If instances of an offer are late now, further ones are likely to be late too. Another zone, type or market is preferred then,
// unless it is much more expensive, as types with accelerators are for work without. `offers` must not be empty.
const PricedOffer& best_offer(const std::vector<PricedOffer>& offers, const BootingInstances& booting) {
  const auto cheaper = [](const PricedOffer& a, const PricedOffer& b) { return a.price_per_task < b.price_per_task; };
  const double min_price = std::min_element(offers.begin(), offers.end(), cheaper)->price_per_task;
  const auto penalty = [&](const PricedOffer& candidate) {
    const bool late = booting.late_by_offer.contains(candidate.offer);
    const bool expensive = candidate.price_per_task > kMaxPriceFactor * min_price;
    return (late ? 1 : 0) + (expensive ? 2 : 0);
  };
  return *std::min_element(offers.begin(), offers.end(), [&](const PricedOffer& a, const PricedOffer& b) {
    return penalty(a) != penalty(b) ? penalty(a) < penalty(b) : a.price_per_task < b.price_per_task;
  });
}

// Removes up to `needed` booting instances from `booting`, so that they count for no other job, and returns their number. Only
// instances of the best type count, because more work arrives while the others boot. With many failing boots, counting all types
// met 0.34 of the deadlines instead of 0.70.
unsigned claim_expected(BootingInstances& booting, MachineTypeIndex machine_type, unsigned needed) {
  unsigned& expected = booting.on_time[machine_type];
  const unsigned taken = std::min(expected, needed);
  expected -= taken;
  return taken;
}

}  // namespace

std::optional<ScaleOutRequest> choose_scale_out(const ScaleOutInput& in) {
  BootingInstances booting = count_booting(in.cluster_state, in.steady_now);
  std::optional<ScaleOutRequest> request;
  for (const auto& demand : in.unmet_demands) {
    const Job& job = in.cluster_state.job(demand.job);
    if (job.ended() || job.tasks.empty() || demand.units == 0) continue;
    const JobOffers job_offers = offers_for(in, job);
    if (job_offers.offers.empty()) continue;
    const PricedOffer& best = best_offer(job_offers.offers, booting);
    const unsigned needed = (demand.units + best.tasks_per_instance - 1) / best.tasks_per_instance;
    const unsigned expected = claim_expected(booting, best.offer.machine_type, needed);
    unsigned late = 0;
    for (const MachineTypeIndex machine_type : job_offers.machine_types) late += booting.late[machine_type];
    // Late instances may still come up, so only a bounded number of them is replaced.
    const unsigned max_outstanding = needed * (1 + kMaxLatePerNeeded);
    const unsigned wanted = std::min(needed - expected, max_outstanding - std::min(max_outstanding, late));
    if (wanted == 0) continue;
    // One request at a time, for all demands with the same best offer as the first.
    if (!request) request = ScaleOutRequest{best.offer, 0, 0};
    if (request->offer != best.offer) continue;
    request->count = std::min(request->count + wanted, in.max_instances);
    request->late_instances = std::max(request->late_instances, late);
  }
  return request;
}

}  // namespace thistlefront
