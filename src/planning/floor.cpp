#include "planning/floor.hpp"

#include <algorithm>

namespace thistle {

namespace {
constexpr double kShare = 0.05;    // of the cores that come free
constexpr double kSavings = 20.0;  // seconds' worth of it at most
}  // namespace

void Floor::earn(double rate, double now) {
  const double since = at_ < 0 ? 0 : std::min(now - at_, kSavings);
  at_ = now;
  earned_ = std::min(earned_ + kShare * rate * since, std::max(kShare * rate * kSavings, earned_));
}

std::vector<Floor::Raised> Floor::raise(std::vector<Starving> starving) const {
  std::stable_sort(starving.begin(), starving.end(), [](const Starving& a, const Starving& b) { return a.waited_s > b.waited_s; });
  std::vector<Raised> out;
  double left = earned_;
  for (const auto& s : starving) {
    if (left <= 0) break;
    const double cores = std::max(s.unit_cores, 1e-3);
    const auto whole = static_cast<std::uint32_t>(std::min(left / cores, static_cast<double>(s.units)));
    const auto units = std::max<std::uint32_t>(whole, 1);
    out.push_back({s.at, units});
    left -= units * cores;
  }
  return out;
}

void Floor::started(JobIdx job, double cores) {
  earned_ -= cores;
  spared_.insert(job);
}

void Floor::keep_spared(const Book& book) {
  std::erase_if(spared_, [&](JobIdx j) { return book.job(j).ended() || book.job(j).placed.empty(); });
}

}  // namespace thistle
