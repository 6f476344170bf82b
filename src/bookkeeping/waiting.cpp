#include "bookkeeping/waiting.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace thistle {

const char* name_of(Waiting::Reason what) {
  switch (what) {
    case Waiting::Reason::capacity: return "room";
    case Waiting::Reason::team_limit: return "limit";
    case Waiting::Reason::missing_quota: return "terms";
    case Waiting::Reason::suspected: return "evidence";
    case Waiting::Reason::stopping_gang: return "stopped";
  }
  return "";
}

namespace {
Waiting::Reason reason(const Book& book, JobIdx j) {
  const Job& job = book.job(j);
  const Accounts& accounts = book.accounts();
  if (accounts.team(job.team).lacks_quota) return Waiting::Reason::missing_quota;
  if (book.blame().is_suspect(j)) return Waiting::Reason::suspected;
  const bool gang = job.spec.shape == Shape::group;
  if (gang && !job.placed.empty()) return Waiting::Reason::stopping_gang;
  const Resources unit = job.spec.demand * (gang ? static_cast<double>(job.tasks.size()) : 1.0);
  const bool fits = unit.fits(accounts.headroom(job.team, std::numeric_limits<double>::max()));
  return fits ? Waiting::Reason::capacity : Waiting::Reason::team_limit;
}
}  // namespace

std::vector<Waiting> what_waits(const Book& book, double wall) {
  std::map<std::tuple<std::string, std::string, Waiting::Reason>, Waiting> out;
  for (JobIdx j : book.live()) {
    const Job& job = book.job(j);
    if (job.ended() || job.pending == 0) continue;
    const auto what = reason(book, j);
    auto& w = out[{job.spec.owner, job.spec.job_class, what}];
    w.team = job.spec.owner;
    w.job_class = job.spec.job_class;
    w.reason = what;
    w.tasks += job.pending;
    if (job.attempts == 0) w.unstarted_s = std::max(w.unstarted_s, wall - job.eligible_since);
  }
  std::vector<Waiting> list;
  for (auto& [key, w] : out) list.push_back(std::move(w));
  return list;
}

}  // namespace thistle
