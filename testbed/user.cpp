#include "testbed/user.hpp"

#include "testbed/protocol_json.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

namespace {
constexpr double kPauseS = 0.15, kRetryPauseS = 1;
constexpr int kSubmissionTries = 20;
constexpr std::size_t kManyJobs = 40, kMostJobs = 60;  // from the first on it follows fewer, and at the second it lets the oldest go

bool accepted(const HttpResult& answer) {
  return answer.is(200) || answer.is(201);
}
bool refused(const HttpResult& answer) {
  return answer.is(400) || answer.is(422);
}
}  // namespace

void User::run(const std::stop_token& stop) {
  while (pause_for(stop, kPauseS)) {
    const auto action = random_() % 10;
    if (jobs_.empty() || action < 3) {
      submit_job(stop);
    } else if ((action == 3 && random_() % 3 == 0) || jobs_.size() > kManyJobs) {
      drop_job();
    } else if (action == 4) {
      ask_for_unknown_job();
    } else {
      poll_job();
    }
    if (jobs_.size() > kMostJobs) jobs_.erase(jobs_.begin());
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
  // Dependencies are shared with other users and teams, and in any state.
  if (cluster_.dependent_jobs && random_() % 3 != 0) {
    const auto most = 1 + random_() % 3;
    job.depends_on = cluster_.checker.some_accepted(most, random_());
  }
  return job;
}

void User::submit_job(const std::stop_token& stop) {
  const auto job = draw_job();
  cluster_.checker.submitted(job, steady_now());
  const auto body = submission(job, job.job_type, job.job_type == "service" ? 0 : job.run_s).dump();
  HttpResult answer;
  for (int tries = 0; tries < kSubmissionTries && !stop.stop_requested(); ++tries) {
    answer = cluster_.ask("POST", "/v1/jobs", body, address_random_);
    if (accepted(answer) || refused(answer)) break;
    if (!pause_for(stop, kRetryPauseS)) return;
  }
  if (accepted(answer)) jobs_.push_back(job.uid);
  cluster_.note_answer(job.uid, answer);
  if (accepted(answer) && random_() % 4 == 0) cluster_.ask_everywhere(job.uid, body);
}

void User::drop_job() {
  const auto at = random_() % jobs_.size();
  const auto& uid = jobs_[at];
  const auto spec = cluster_.checker.spec_of(uid);
  if (jobs_.size() > kManyJobs && spec && spec->job_type != "service") {
    jobs_.erase(jobs_.begin() + static_cast<std::ptrdiff_t>(at));
    return;
  }
  cluster_.checker.wants_withdrawn(uid);
  const auto answer = cluster_.ask("POST", "/v1/jobs/" + uid + "/withdraw", "", address_random_);
  cluster_.note_answer(uid, answer);
  if (answer.is(200) && random_() % 2 == 0) cluster_.ask_everywhere(uid, "");
}

void User::ask_for_unknown_job() {
  const auto uid = "j-9" + std::to_string(random_());
  const auto answer = cluster_.ask("GET", "/v1/jobs/" + uid, "", address_random_);
  if (answer.is(200)) cluster_.checker.told(uid, "known", steady_now());
}

void User::poll_job() {
  const auto& uid = jobs_[random_() % jobs_.size()];
  const auto answer = cluster_.ask("GET", "/v1/jobs/" + uid, "", address_random_);
  cluster_.note_answer(uid, answer);
  const bool done = answer.is(200) && answer.body.find(R"("status":"done")") != std::string::npos;
  if (done && random_() % 8 == 0) cluster_.ask_everywhere(uid, "");
}

}  // namespace thistlefront::testbed
