#include "scheduling/scale_out.hpp"

#include <algorithm>
#include <cmath>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"

namespace thistlefront {

namespace {
constexpr double kUsualBootFactor = 1.6;        // times the type's boot time, within which nearly all machines are up
constexpr double kFirstHeartbeatSeconds = 2.0;  // from the end of the boot to the first heartbeat
constexpr double kFailedBootFactor = 4.0;       // times the type's boot time, after which a machine is taken for dead
constexpr unsigned kMaxLatePerWanted = 2;       // late machines that may stand beside each one wanted
constexpr double kMaxPriceFactor = 4.0;         // an offer without late machines is preferred up to this many times the price
}  // namespace

double instance_age(const Node& node, double steady) {
  double age_s = 0;
  if (node.instance.listed_at > 0) age_s = node.instance.age_s + (steady - node.instance.listed_at);
  if (node.instance.requested_at > 0) age_s = std::max(age_s, steady - node.instance.requested_at);
  return age_s;
}

BootProgress boot_progress(const Node& node, const MachineType* machine_type, double steady) {
  // A node that runs tasks has booted, whatever an outdated list says, though this leader has not heard of it yet. (A new
  // leader once took such nodes for dead and released them; new_machines_test.)
  if (!node.placed.empty()) return BootProgress::none;
  if (!node.instance.listed || node.terminated || node.agent.has_reported || node.release_requested || !machine_type)
    return BootProgress::none;
  if (node.instance.status == Instance::Status::failed) return BootProgress::none;
  // Listed as running it is up: its first heartbeat is on the way, or the machine is cut off.
  const double usual_s = kUsualBootFactor * machine_type->boot_s + kFirstHeartbeatSeconds;
  if (node.instance.status == Instance::Status::running)
    return steady - node.instance.running_since < usual_s ? BootProgress::on_time : BootProgress::none;
  return instance_age(node, steady) < usual_s ? BootProgress::on_time : BootProgress::late;
}

bool has_failed_to_boot(const Node& node, const MachineType* machine_type, double steady) {
  return boot_progress(node, machine_type, steady) == BootProgress::late &&
         instance_age(node, steady) > kFailedBootFactor * machine_type->boot_s;
}

namespace {

// An offer that serves a job.
struct Option {
  MachineOffer offer;
  double price = 0;  // for the room of one task
  unsigned tasks_per_machine = 1;
};

// Machine types that serve a job, whatever is offered now, and the offers of them.
struct Options {
  std::vector<MachineTypeIndex> machine_types;
  std::vector<Option> offers;
};

// Machines that are still to come up.
struct BootingMachines {
  std::map<MachineTypeIndex, unsigned> on_time, late;
  std::map<MachineOffer, unsigned> late_by_offer;
};

unsigned tasks_per_machine(const JobSpec& spec, const MachineType& machine_type) {
  constexpr double kLeastCores = 0.01, kSlack = 1e-6;
  const Resources& capacity = machine_type.capacity;
  double tasks = capacity.cores / std::max(spec.demand.cores, kLeastCores);
  if (spec.demand.ram_gb > 0) tasks = std::min(tasks, capacity.ram_gb / spec.demand.ram_gb);
  if (spec.demand.accelerators > 0) tasks = std::min(tasks, capacity.accelerators / spec.demand.accelerators);
  return std::max(1u, static_cast<unsigned>(tasks + kSlack));
}

BootingMachines count_booting(const ClusterState& cluster_state, double steady) {
  BootingMachines booting;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    const auto progress = boot_progress(node, cluster_state.machine_type(node.machine_type), steady);
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

void add_offers(std::vector<Option>& offers, const Job& job, MachineTypeIndex index, const MachineType& machine_type,
                const std::set<MachineOffer>& refused) {
  const unsigned tasks = tasks_per_machine(job.spec, machine_type);
  for (const auto& zone : machine_type.zones) {
    if (!job.spec.zone.empty() && job.spec.zone != zone) continue;
    for (const bool spot : {true, false}) {
      if (spot && !job.spec.allows_spot) continue;
      const MachineOffer offer{index, zone, spot};
      if (refused.contains(offer)) continue;
      offers.push_back({offer, (spot ? machine_type.spot_price : machine_type.price) / tasks, tasks});
    }
  }
}

Options options_for(const ScaleOutInput& in, const Job& job) {
  Options options;
  for (const auto& machine_type : in.cluster_state.machine_types()) {
    const MachineTypeIndex index = in.cluster_state.find_machine_type(machine_type.name);
    if (!may_use(job, index, machine_type)) continue;
    options.machine_types.push_back(index);
    add_offers(options.offers, job, index, machine_type, in.refused);
  }
  return options;
}

// Where machines are late now, the next one likely is as well: another zone, type or market is tried first, unless it is
// much dearer (machines with accelerators are, for work without). `offers` is not empty.
const Option& best_offer(const std::vector<Option>& offers, const BootingMachines& booting) {
  const auto cheaper = [](const Option& a, const Option& b) { return a.price < b.price; };
  const double cheapest = std::min_element(offers.begin(), offers.end(), cheaper)->price;
  const auto penalty = [&](const Option& option) {
    const bool late = booting.late_by_offer.contains(option.offer);
    const bool dear = option.price > kMaxPriceFactor * cheapest;
    return (late ? 1 : 0) + (dear ? 2 : 0);
  };
  return *std::min_element(offers.begin(), offers.end(), [&](const Option& a, const Option& b) {
    return penalty(a) != penalty(b) ? penalty(a) < penalty(b) : a.price < b.price;
  });
}

// Machines on their way that serve the job are taken off `booting`, so that they serve no other. Only those of the best type
// count: more work comes while the others boot (on a day of bad boots, counting them met 0.34 of the deadlines, not 0.70).
unsigned take_expected(BootingMachines& booting, MachineTypeIndex machine_type, unsigned needed) {
  unsigned& expected = booting.on_time[machine_type];
  const unsigned taken = std::min(expected, needed);
  expected -= taken;
  return taken;
}

}  // namespace

std::optional<ScaleOutRequest> choose_scale_out(const ScaleOutInput& in) {
  BootingMachines booting = count_booting(in.cluster_state, in.steady);
  std::optional<ScaleOutRequest> request;
  for (const auto& need : in.unmet) {
    const Job& job = in.cluster_state.job(need.job);
    if (job.ended() || job.tasks.empty() || need.units == 0) continue;
    const Options options = options_for(in, job);
    if (options.offers.empty()) continue;
    const Option& best = best_offer(options.offers, booting);
    const unsigned needed = (need.units + best.tasks_per_machine - 1) / best.tasks_per_machine;
    const unsigned expected = take_expected(booting, best.offer.machine_type, needed);
    unsigned late = 0;
    for (const MachineTypeIndex machine_type : options.machine_types) late += booting.late[machine_type];
    // Late machines may come yet: only so many are replaced.
    const unsigned most = needed * (1 + kMaxLatePerWanted);
    const unsigned wanted = std::min(needed - expected, most - std::min(most, late));
    if (wanted == 0) continue;
    // One request at a time, for all needs that are best served by the same offer as the first.
    if (!request) request = ScaleOutRequest{best.offer, 0, 0};
    if (request->offer != best.offer) continue;
    request->count = std::min(request->count + wanted, in.max_machines);
    request->late = std::max(request->late, late);
  }
  return request;
}

}  // namespace thistlefront
