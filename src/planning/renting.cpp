#include "planning/renting.hpp"

#include <algorithm>
#include <cmath>

namespace thistle {

namespace {
constexpr double kUsualBoot = 1.6;    // times bootS within which nearly all machines are up
constexpr double kBootSlack = 2.0;    // until the first report
constexpr double kDeadBoot = 4.0;     // times bootS after which a machine is taken for dead
constexpr unsigned kLateForEach = 2;  // late machines that may stand beside each one wanted
constexpr double kDearer = 4.0;       // an offer without late machines is preferred up to this many times the price
}  // namespace

double held_for(const Host& host, double steady) {
  double held = 0;
  if (host.instance.listed_at > 0) held = host.instance.age_s + (steady - host.instance.listed_at);
  if (host.instance.requested_at > 0) held = std::max(held, steady - host.instance.requested_at);
  return held;
}

Coming coming(const Host& host, const Flavor* flavor, double steady) {
  // One that has work came, whatever a list that lags says, though this leader has not heard of it (found by new_machines_test: up within
  // a second and at work, they stood still as the next leader began, which took them for dead and released them).
  if (!host.placed.empty()) return Coming::no;
  if (!host.instance.listed || host.terminated || host.agent.has_reported || host.releasing || !flavor) return Coming::no;
  if (host.instance.status == Machine::Status::failed) return Coming::no;
  // Listed as running it is up; its report is on the way, or the machine is cut off.
  const double usual = kUsualBoot * flavor->boot_s + kBootSlack;
  if (host.instance.status == Machine::Status::running) return steady - host.instance.running_since < usual ? Coming::likely : Coming::no;
  return held_for(host, steady) < usual ? Coming::likely : Coming::late;
}

bool never_came(const Host& host, const Flavor* flavor, double steady) {
  return coming(host, flavor, steady) == Coming::late && held_for(host, steady) > kDeadBoot * flavor->boot_s;
}

namespace {

struct Option {
  Offer offer;
  double price = 0;  // for the room of one task
  unsigned units = 1;
};

unsigned units_on(const Submission& s, const Flavor& f) {
  double n = f.capacity.cores / std::max(s.demand.cores, 0.01);
  if (s.demand.ram_gb > 0) n = std::min(n, f.capacity.ram_gb / s.demand.ram_gb);
  if (s.demand.accelerators > 0) n = std::min(n, f.capacity.accelerators / s.demand.accelerators);
  return std::max(1u, static_cast<unsigned>(n + 1e-6));
}

}  // namespace

std::optional<Rental> choose_rental(const RentingInput& in) {
  const Book& book = in.book;
  std::map<KindIdx, unsigned> likely, late;
  std::map<Offer, unsigned> late_of;
  for (std::uint32_t i = 0; i < book.host_count(); ++i) {
    const Host& host = book.host(HostIdx{i});
    const auto state = coming(host, book.flavor(host.machine_type), in.steady);
    if (state == Coming::likely) ++likely[host.machine_type];
    if (state != Coming::late) continue;
    ++late[host.machine_type];
    if (host.zone.valid()) ++late_of[{host.machine_type, book.zone_name(host.zone), host.loaner}];
  }
  std::optional<Rental> out;
  for (const auto& need : in.unmet) {
    const Job& job = book.job(need.job);
    if (job.ended() || job.tasks.empty() || need.units == 0) continue;
    std::vector<Option> options;
    std::map<KindIdx, unsigned> kinds;  // that would serve it, and how many of its tasks fit on one
    for (const auto& f : book.flavors()) {
      const KindIdx k = book.kind_of(f.name);
      if (!job.machine_types.empty() && std::find(job.machine_types.begin(), job.machine_types.end(), k) == job.machine_types.end())
        continue;
      if (!job.spec.demand.fits(f.capacity)) continue;
      kinds[k] = units_on(job.spec, f);
      for (const auto& y : f.yards) {
        if (!job.spec.yard.empty() && job.spec.yard != y) continue;
        for (const bool loaner : {true, false}) {
          if (loaner && !job.spec.loaners) continue;
          const Offer offer{k, y, loaner};
          if (in.refused.contains(offer)) continue;
          options.push_back({offer, (loaner ? f.market_price : f.price) / kinds[k], kinds[k]});
        }
      }
    }
    if (options.empty()) continue;
    const auto cheaper = [](const Option& a, const Option& b) { return a.price < b.price; };
    const double cheapest = std::min_element(options.begin(), options.end(), cheaper)->price;
    // Where machines are late now, the next one likely is as well: another zone, kind or market is tried first, if it is
    // not so much dearer (machines with accelerators are, for work without).
    const auto& best = *std::min_element(options.begin(), options.end(), [&](const Option& a, const Option& b) {
      const auto rank = [&](const Option& o) {
        const auto it = late_of.find(o.offer);
        return (it != late_of.end() && it->second > 0 ? 1 : 0) + (o.price > kDearer * cheapest ? 2 : 0);
      };
      return rank(a) != rank(b) ? rank(a) < rank(b) : a.price < b.price;
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
    if (!out) out = Rental{best.offer, 0, 0};
    if (out->offer != best.offer) continue;
    out->count = std::min(out->count + wanted, in.max_machines);
    out->late = std::max(out->late, late_here);
  }
  return out;
}

}  // namespace thistle
