#include "bookkeeping/waiting.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace thistle {

const char* name_of(Waiting::For what) {
  switch (what) {
    case Waiting::For::room: return "room";
    case Waiting::For::limit: return "limit";
    case Waiting::For::terms: return "terms";
    case Waiting::For::evidence: return "evidence";
    case Waiting::For::stopped: return "stopped";
  }
  return "";
}

namespace {
Waiting::For reason(const Book& book, JobIdx j) {
  const Job& job = book.job(j);
  const Accounts& accounts = book.accounts();
  if (accounts.team(job.team).unknown) return Waiting::For::terms;
  if (book.blame().suspect(j)) return Waiting::For::evidence;
  const bool gang = job.spec.shape == Shape::group;
  if (gang && !job.placed.empty()) return Waiting::For::stopped;
  const Resources unit = job.spec.need * (gang ? static_cast<double>(job.tasks.size()) : 1.0);
  const bool fits = unit.fits(accounts.left(job.team, std::numeric_limits<double>::max()));
  return fits ? Waiting::For::room : Waiting::For::limit;
}
}  // namespace

std::vector<Waiting> what_waits(const Book& book, double wall) {
  std::map<std::tuple<std::string, std::string, Waiting::For>, Waiting> out;
  for (JobIdx j : book.live()) {
    const Job& job = book.job(j);
    if (job.ended() || job.waiting == 0) continue;
    const auto what = reason(book, j);
    auto& w = out[{job.spec.owner, job.spec.job_class, what}];
    w.team = job.spec.owner;
    w.job_class = job.spec.job_class;
    w.what = what;
    w.tasks += job.waiting;
    if (job.attempts == 0) w.unstarted_s = std::max(w.unstarted_s, wall - job.since);
  }
  std::vector<Waiting> list;
  for (auto& [key, w] : out) list.push_back(std::move(w));
  return list;
}

}  // namespace thistle
