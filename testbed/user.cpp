#include "testbed/user.hpp"

#include "testbed/protocol_json.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

namespace {
constexpr double kPauseS = 0.15, kRetryPauseS = 1;
constexpr int kMaxSubmissionTries = 20;
constexpr std::size_t kManyJobs = 40;  // above it, the user stops tracking jobs at random
constexpr std::size_t kMaxJobs = 60;   // above it, the user stops tracking its oldest job

bool is_accepted(const HttpResult& reply) {
  return reply.is(200) || reply.is(201);
}
bool is_refused(const HttpResult& reply) {
  return reply.is(400) || reply.is(422);
}
}  // namespace

void User::run(const std::stop_token& stop) {
  while (pause_for(stop, kPauseS)) {
    const auto action = random_() % 10;
    if (jobs_.empty() || action < 3) {
      submit_job(stop);
    } else if ((action == 3 && random_() % 3 == 0) || jobs_.size() > kManyJobs) {
      cancel_job();
    } else if (action == 4) {
      poll_unknown_job();
    } else {
      poll_job();
    }
    if (jobs_.size() > kMaxJobs) jobs_.erase(jobs_.begin());
  }
}

SubmittedJob User::draw_job() {
  SubmittedJob job;
  job.uid = "j-" + std::to_string(seed_ * 100000ull + ++submitted_);
  job.owner = random_() % 3 == 0 ? "blue" : "red";
  job.job_type = random_() % 12 == 0 ? "service" : "batch";
  job.task_count = static_cast<std::uint32_t>(1 + random_() % (job.job_type == "service" ? 3 : 6));
  job.run_s = 0.5 + static_cast<double>(random_() % 3);
  if (random_() % 4 == 0) job.zone = kZones[random_() % kZones.size()];
  // Dependencies may belong to other users and teams, and may be in any state.
  if (cluster_.dependent_jobs && random_() % 3 != 0) {
    const auto max_dependencies = 1 + random_() % 3;
    job.depends_on = cluster_.checker.choose_dependencies(max_dependencies, random_());
  }
  return job;
}

void User::submit_job(const std::stop_token& stop) {
  const auto job = draw_job();
  cluster_.checker.record_submission(job, steady_now());
  const auto body = submission_body(job, job.job_type, job.job_type == "service" ? 0 : job.run_s).dump();
  HttpResult reply;
  for (int tries = 0; tries < kMaxSubmissionTries && !stop.stop_requested(); ++tries) {
    reply = cluster_.call("POST", "/v1/jobs", body, address_random_);
    if (is_accepted(reply) || is_refused(reply)) break;
    if (!pause_for(stop, kRetryPauseS)) return;
  }
  if (is_accepted(reply)) jobs_.push_back(job.uid);
  cluster_.record_reply(job.uid, reply);
  if (is_accepted(reply) && random_() % 4 == 0) cluster_.poll_all_controllers(job.uid, body);
}

void User::cancel_job() {
  const auto index = random_() % jobs_.size();
  const auto& uid = jobs_[index];
  const auto spec = cluster_.checker.find_submission(uid);
  if (jobs_.size() > kManyJobs && spec && spec->job_type != "service") {
    jobs_.erase(jobs_.begin() + static_cast<std::ptrdiff_t>(index));
    return;
  }
  cluster_.checker.record_withdrawal(uid);
  const auto reply = cluster_.call("POST", "/v1/jobs/" + uid + "/withdraw", "", address_random_);
  cluster_.record_reply(uid, reply);
  if (reply.is(200) && random_() % 2 == 0) cluster_.poll_all_controllers(uid, "");
}

void User::poll_unknown_job() {
  const auto uid = "j-9" + std::to_string(random_());
  const auto reply = cluster_.call("GET", "/v1/jobs/" + uid, "", address_random_);
  if (reply.is(200)) cluster_.checker.record_reply(uid, "known", steady_now());
}

void User::poll_job() {
  const auto& uid = jobs_[random_() % jobs_.size()];
  const auto reply = cluster_.call("GET", "/v1/jobs/" + uid, "", address_random_);
  cluster_.record_reply(uid, reply);
  const bool done = reply.is(200) && reply.body.find(R"("status":"done")") != std::string::npos;
  if (done && random_() % 8 == 0) cluster_.poll_all_controllers(uid, "");
}

}  // namespace thistlefront::testbed
