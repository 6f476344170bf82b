#include "scheduling/scale_out.hpp"

#include <algorithm>
#include <cmath>

#include "model/identifiers.hpp"
#include "model/job.hpp"
#include "model/machine.hpp"

namespace thistlefront {

namespace {
constexpr double kUsualBoot = 1.6;    // times bootS within which nearly all machines are up
constexpr double kBootSlack = 2.0;    // until the first report
constexpr double kDeadBoot = 4.0;     // times bootS after which a machine is taken for dead
constexpr unsigned kLateForEach = 2;  // late machines that may stand beside each one wanted
constexpr double kDearer = 4.0;       // an offer without late machines is preferred up to this many times the price
}  // namespace

double instance_age(const Node& node, double steady) {
  double held = 0;
  if (node.instance.listed_at > 0) held = node.instance.age_s + (steady - node.instance.listed_at);
  if (node.instance.requested_at > 0) held = std::max(held, steady - node.instance.requested_at);
  return held;
}

BootProgress boot_progress(const Node& node, const MachineType* machine_type, double steady) {
  // One that has work came, whatever a list that lags says, though this leader has not heard of it (found by new_machines_test: up within
  // a second and at work, they stood still as the next leader began, which took them for dead and released them).
  if (!node.placed.empty()) return BootProgress::none;
  if (!node.instance.listed || node.terminated || node.agent.has_reported || node.releasing || !machine_type) return BootProgress::none;
  if (node.instance.status == Instance::Status::failed) return BootProgress::none;
  // Listed as running it is up; its report is on the way, or the machine is cut off.
  const double usual = kUsualBoot * machine_type->boot_s + kBootSlack;
  if (node.instance.status == Instance::Status::running)
    return steady - node.instance.running_since < usual ? BootProgress::on_time : BootProgress::none;
  return instance_age(node, steady) < usual ? BootProgress::on_time : BootProgress::late;
}

bool has_failed_to_boot(const Node& node, const MachineType* machine_type, double steady) {
  return boot_progress(node, machine_type, steady) == BootProgress::late && instance_age(node, steady) > kDeadBoot * machine_type->boot_s;
}

namespace {

struct Option {
  MachineOffer offer;
  double price = 0;  // for the room of one task
  unsigned units = 1;
};

unsigned units_on(const JobSpec& s, const MachineType& f) {
  double n = f.capacity.cores / std::max(s.demand.cores, 0.01);
  if (s.demand.ram_gb > 0) n = std::min(n, f.capacity.ram_gb / s.demand.ram_gb);
  if (s.demand.accelerators > 0) n = std::min(n, f.capacity.accelerators / s.demand.accelerators);
  return std::max(1u, static_cast<unsigned>(n + 1e-6));
}

}  // namespace

std::optional<ScaleOutRequest> choose_scale_out(const ScaleOutInput& in) {
  const ClusterState& cluster_state = in.cluster_state;
  std::map<MachineTypeIndex, unsigned> likely, late;
  std::map<MachineOffer, unsigned> late_of;
  for (std::uint32_t i = 0; i < cluster_state.node_count(); ++i) {
    const Node& node = cluster_state.node(NodeIndex{i});
    const auto state = boot_progress(node, cluster_state.machine_type(node.machine_type), in.steady);
    if (state == BootProgress::on_time) ++likely[node.machine_type];
    if (state != BootProgress::late) continue;
    ++late[node.machine_type];
    if (node.zone.valid()) ++late_of[{node.machine_type, cluster_state.zone_name(node.zone), node.spot}];
  }
  std::optional<ScaleOutRequest> out;
  for (const auto& need : in.unmet) {
    const Job& job = cluster_state.job(need.job);
    if (job.ended() || job.tasks.empty() || need.units == 0) continue;
    std::vector<Option> options;
    std::map<MachineTypeIndex, unsigned> kinds;  // that would serve it, and how many of its tasks fit on one
    for (const auto& f : cluster_state.machine_types()) {
      const MachineTypeIndex k = cluster_state.find_machine_type(f.name);
      if (!job.machine_types.empty() && std::find(job.machine_types.begin(), job.machine_types.end(), k) == job.machine_types.end())
        continue;
      if (!job.spec.demand.fits(f.capacity)) continue;
      kinds[k] = units_on(job.spec, f);
      for (const auto& y : f.zones) {
        if (!job.spec.zone.empty() && job.spec.zone != y) continue;
        for (const bool spot : {true, false}) {
          if (spot && !job.spec.allows_spot) continue;
          const MachineOffer offer{k, y, spot};
          if (in.refused.contains(offer)) continue;
          options.push_back({offer, (spot ? f.spot_price : f.price) / kinds[k], kinds[k]});
        }
      }
    }
    if (options.empty()) continue;
    const auto cheaper = [](const Option& a, const Option& b) { return a.price < b.price; };
    const double cheapest = std::min_element(options.begin(), options.end(), cheaper)->price;
    // Where machines are late now, the next one likely is as well: another zone, kind or market is tried first, if it is
    // not so much dearer (machines with accelerators are, for work without).
    const auto& best = *std::min_element(options.begin(), options.end(), [&](const Option& a, const Option& b) {
      const auto priority = [&](const Option& o) {
        const auto it = late_of.find(o.offer);
        return (it != late_of.end() && it->second > 0 ? 1 : 0) + (o.price > kDearer * cheapest ? 2 : 0);
      };
      return priority(a) != priority(b) ? priority(a) < priority(b) : a.price < b.price;
    });
    // Machines of this kind on their way serve the first of what waits. Those of other kinds are not counted: more work
    // comes while they boot (kaubaalus ops, own day of bad boots: with them arveldus by deadline 0.34, without 0.70).
    const unsigned all = (need.units + best.units - 1) / best.units;
    auto& on_the_way = likely[best.offer.machine_type];
    const unsigned served = std::min(on_the_way, all);
    on_the_way -= served;
    // Late ones may come yet: only so many are replaced.
    unsigned late_here = 0;
    for (const auto& [k, per] : kinds) late_here += late[k];
    const unsigned most = all * (1 + kLateForEach);
    const unsigned wanted = std::min(all - served, most - std::min(most, late_here));
    if (wanted == 0) continue;
    // One request at a time, for all needs that are best served by the same offer as the first.
    if (!out) out = ScaleOutRequest{best.offer, 0, 0};
    if (out->offer != best.offer) continue;
    out->count = std::min(out->count + wanted, in.max_machines);
    out->late = std::max(out->late, late_here);
  }
  return out;
}

}  // namespace thistlefront
