#include "bookkeeping/served.hpp"

namespace thistle {

namespace {
// The job that a record is about; not valid for records of other kinds, and for a job that is not in the book.
template <class Kind>
JobIdx job_of(const Record& record, const Book& book) {
  const auto* r = std::get_if<Kind>(&record);
  return r ? book.find(r->uid) : JobIdx{};
}
}  // namespace

void Served::before_apply(const Record& record, const Book& book) {
  if (const auto* accept = std::get_if<AcceptRecord>(&record)) {
    if (!book.find(accept->job.uid).valid()) ++counts_of(accept->job).accepted;
    return;
  }
  if (const JobIdx j = job_of<StartRecord>(record, book); j.valid()) {
    const Job& job = book.job(j);
    if (job.attempts == 0 && !job.ended()) {
      auto& f = counts_of(job.spec);
      ++f.started;
      if (book.is_large(job)) {
        ++f.largest;
        f.largest_in_time += std::get<StartRecord>(record).at - job.eligible_since <= kLargestBegins;
      }
    }
  }
  if (const JobIdx j = job_of<CancelRecord>(record, book); j.valid()) {
    const Job& job = book.job(j);
    if (job.attempts == 0 && !job.ended()) ++counts_of(job.spec).withdrawn_unstarted;
  }
  ending_.reset();
  if (const JobIdx j = job_of<DoneRecord>(record, book); j.valid() && !book.job(j).ended()) {
    const Job& job = book.job(j);
    ending_ = Ending{key_of(job.spec), {}};
    if (job.spec.due_s) ending_->due_at = job.accepted_at + *job.spec.due_s;
  }
}

void Served::after_apply(const Record& record, const Book& book, double wall) {
  const JobIdx j = job_of<DoneRecord>(record, book);
  if (!j.valid() || !ending_ || book.job(j).status != JobStatus::done) return;
  auto& f = counts_[ending_->key];
  ++f.done;
  if (!ending_->due_at) return;
  ++f.due;
  f.in_time += wall <= *ending_->due_at;
}

void Served::add_replica_time(const Book& book, double seconds) {
  for (JobIdx j : book.live()) {
    const Job& job = book.job(j);
    if (job.ended() || job.spec.shape != Shape::service) continue;
    auto& f = counts_of(job.spec);
    f.replica_s += seconds * static_cast<double>(job.tasks.size());
    f.replica_up_s += seconds * job.running();
  }
}

}  // namespace thistle
