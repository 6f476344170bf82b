#include "testbed/worker.hpp"

#include <algorithm>
#include <utility>

#include "testbed/controller_settings.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

using nlohmann::json;

namespace {
constexpr double kTick = 0.1;                   // seconds
constexpr double kAnswerTimeoutS = 4;           // also how old an answer may be
constexpr double kMinHeartbeatIntervalS = 0.5;  // on change
constexpr double kRetryPauseS = 1;
constexpr int kServerConnections = 20;
// Longer than a controller waits for the answer to a command.
constexpr std::chrono::milliseconds kLostCommandDelay{1600};
}  // namespace

Worker::Worker(std::string name, std::string zone, const std::vector<std::string>& controllers, Checker& checker, Times times,
               unsigned seed)
    : name_(std::move(name)), zone_(std::move(zone)), controllers_(controllers), checker_(checker), times_(times), random_(seed) {
  lease_until_ = steady_now() + times_.lease;
  server_ = std::make_unique<HttpServer>(address_, kServerConnections, [this](const HttpCall& call) { return on_call(call); });
  heartbeat_thread_ = std::jthread([this](const std::stop_token& stop) { send_heartbeats(stop); });
  lease_thread_ = std::jthread([this](const std::stop_token& stop) { watch_lease(stop); });
  copy_thread_ = std::jthread([this](const std::stop_token& stop) { send_delayed_heartbeats(stop); });
}

// ---- threads

// A thread of its own: the lease must expire on time also while the worker waits for an answer. Without it tasks were kept for up to 4 s
// too long, and the checker told of rules that the testbed itself had broken.
void Worker::watch_lease(const std::stop_token& stop) {
  while (pause_for(stop, kTick)) {
    std::lock_guard lock(mutex_);
    if (const double now = steady_now(); !dead_ && (now >= hangs_until_ || now > lease_until_)) progress(now);
  }
}

void Worker::send_delayed_heartbeats(const std::stop_token& stop) {
  std::mt19937 random;
  {
    std::lock_guard lock(mutex_);
    random.seed(random_());
  }
  while (pause_for(stop, kTick)) {
    std::string body;
    {
      std::lock_guard lock(mutex_);
      const auto it = std::find_if(delayed_.begin(), delayed_.end(), [](const auto& copy) { return copy.due <= steady_now(); });
      if (it == delayed_.end()) continue;
      body = std::move(it->body);
      delayed_.erase(it);
    }
    HttpClient(controllers_[random() % controllers_.size()]).post("/v1/report", body, 1);
  }
}

void Worker::send_heartbeats(const std::stop_token& stop) {
  {
    std::lock_guard lock(mutex_);
    controller_ = random_() % controllers_.size();
  }
  auto client = std::make_unique<HttpClient>(controllers_[controller_]);
  while (pause_for(stop, kTick)) {
    const double now = steady_now();
    const auto heartbeat = next_heartbeat(now);
    if (heartbeat.body.empty()) continue;
    auto answer = client->post("/v1/report", heartbeat.body, kAnswerTimeoutS);
    if (now < deaf_until_) {
      // The answer is lost: the worker waits for it as long as for any, and tries the next controller.
      if (!pause_for(stop, kAnswerTimeoutS)) return;
      answer = {};
    }
    if (answer.is(200)) {
      take_answer(answer, heartbeat.agent_incarnation, now);
      continue;
    }
    change_controller(answer, now);
    client = std::make_unique<HttpClient>(controllers_[controller_]);
  }
}

// ---- heartbeats

Worker::Heartbeat Worker::next_heartbeat(double now) {
  std::lock_guard lock(mutex_);
  if (dead_) return {};
  // What hangs does nothing, but for its lease that expires.
  const bool hangs = now < hangs_until_;
  if (!hangs || now > lease_until_) progress(now);
  if (hangs || (now < next_heartbeat_at_ && (!changed_ || now < last_heartbeat_at_ + kMinHeartbeatIntervalS))) return {};
  changed_ = false;
  Heartbeat out{heartbeat_body(), agent_incarnation_};
  last_heartbeat_at_ = now;
  next_heartbeat_at_ = now + times_.heartbeat * std::uniform_real_distribution<double>(0.75, 1.25)(random_);
  if (copies_ && random_() % 8 == 0) delay_a_copy(out.body, now);
  return out;
}

void Worker::delay_a_copy(const std::string& body, double now) {
  delayed_.push_back({now + std::uniform_real_distribution<double>(1, 3 * times_.lease)(random_), body});
}

void Worker::take_answer(const HttpResult& answer, std::uint64_t agent_incarnation, double sent_at) {
  std::lock_guard lock(mutex_);
  progress(steady_now());
  const auto body = json::parse(answer.body, nullptr, false);
  const auto fencing_token = body.is_object() ? body.value("epoch", std::uint64_t{0}) : 0;
  // Dropped: an answer with a lower token, one to an earlier incarnation, and one that came while the worker hung.
  if (fencing_token < fencing_token_ || agent_incarnation != agent_incarnation_ || steady_now() > sent_at + kAnswerTimeoutS || dead_)
    return;
  changed_ |= fencing_token > fencing_token_;
  fencing_token_ = fencing_token;
  lease_until_ = std::max(lease_until_, sent_at + times_.lease);
  execute(body.at("orders"));
}

void Worker::change_controller(const HttpResult& answer, double now) {
  {
    std::lock_guard lock(mutex_);
    progress(steady_now());
  }
  controller_ = (controller_ + 1) % controllers_.size();
  next_heartbeat_at_ = now + kRetryPauseS;
  if (!answer.is(421)) return;
  const auto body = json::parse(answer.body, nullptr, false);
  const auto redirect_target = body.is_object() ? body.value("steward", std::string()) : "";
  const auto redirected = controller_of_label(redirect_target, controllers_.size());
  if (redirected == controllers_.size()) return;
  controller_ = redirected;
  next_heartbeat_at_ = now;
}

std::string Worker::heartbeat_body() {
  json tasks = json::array();
  for (const auto& [name, task] : tasks_) {
    const char* status = task.exited ? "exited" : task.on ? "running" : "pulling";
    json described{{"piece", name}, {"try", task.attempt}, {"status", status}};
    if (task.exited) described["cause"] = task.exit_reason;
    tasks.push_back(std::move(described));
  }
  return json{{"host", name_},      {"address", address_},          {"hostKind", "big"},   {"yard", zone_},
              {"loaners", false},   {"tenure", agent_incarnation_}, {"serial", ++serial_}, {"epoch", fencing_token_},
              {"recallS", nullptr}, {"pieces", std::move(tasks)}}
      .dump();
}

// ---- commands

HttpReply Worker::on_call(const HttpCall& call) {
  // One that hangs answers later, when it resumes.
  while (steady_now() < hangs_until_) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  // What does not reach it is given up by its sender.
  if (steady_now() < deaf_until_ || commands_cut_) {
    std::this_thread::sleep_for(kLostCommandDelay);
    return {503, "{}", 0, true};
  }
  std::lock_guard lock(mutex_);
  progress(steady_now());
  return call.target == "/commands" ? take_commands(call) : HttpReply{200, heartbeat_body()};
}

HttpReply Worker::take_commands(const HttpCall& call) {
  const auto body = json::parse(call.body, nullptr, false);
  if (!body.is_object() || !body.contains("epoch") || !body.contains("tenure")) return {400, "{}"};
  const auto fencing_token = body.at("epoch").get<std::uint64_t>();
  if (dead_ || fencing_token < fencing_token_ || body.at("tenure") != agent_incarnation_) return {409, heartbeat_body()};
  changed_ |= fencing_token > fencing_token_;
  fencing_token_ = fencing_token;
  execute(body.at("orders"));
  return {200, heartbeat_body()};
}

void Worker::execute(const json& commands) {
  const double now = steady_now();
  for (const auto& command : commands) {
    const auto name = command.at("piece").get<std::string>();
    const auto attempt = command.at("try").get<std::uint64_t>();
    const auto verb = command.at("verb").get<std::string>();
    const auto it = tasks_.find(name);
    if (verb == "run") {
      if (it == tasks_.end()) run_task(name, attempt, now);
    } else if (it != tasks_.end() && it->second.attempt == attempt) {
      if (verb == "reap" && it->second.exited) {
        tasks_.erase(it);
      } else if (verb == "kill" && !it->second.exited) {
        kill_task(it->second, now);
      }
      changed_ = true;
    }
  }
}

void Worker::run_task(const std::string& name, std::uint64_t attempt, double now) {
  const auto slash = name.find('/');
  HeldTask task;
  task.uid = name.substr(0, slash);
  task.task = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
  task.attempt = attempt;
  task.commanded_at = now;
  if (const auto spec = checker_.spec_of(task.uid)) {
    task.run_s = spec->run_s;
    task.service = spec->job_type == "service";
    task.exited = used_cores() + spec->cores > kMachineCores;
    if (task.exited) task.exit_reason = "no_room";
  } else {
    task.exited = true;
    task.exit_reason = "unknown";
  }
  tasks_.emplace(name, std::move(task));
  changed_ = true;
}

void Worker::kill_task(HeldTask& task, double now) {
  if (task.on) checker_.off(task.uid, task.task, name_, false, now);
  task.exited = true;
  task.on = false;
  task.exit_reason = "halted";
}

double Worker::used_cores() const {
  double used = 0;
  for (const auto& [name, task] : tasks_) {
    const auto spec = checker_.spec_of(task.uid);
    if (spec && !task.exited) used += spec->cores;
  }
  return used;
}

// ---- time

void Worker::progress(double now) {
  if (dead_) return;
  if (now > lease_until_) {
    clear(now);
    ++agent_incarnation_;
    lease_until_ = now + times_.lease;
  }
  for (auto& [name, task] : tasks_) {
    if (task.exited) continue;
    const double starts_at = task.commanded_at + times_.pull;
    if (!task.on && now >= starts_at) {
      task.on = changed_ = true;
      checker_.on(task.uid, task.task, name_, zone_, now);
    }
    if (task.on && !task.service && now >= starts_at + task.run_s) {
      task.on = false;
      task.exited = changed_ = true;
      task.exit_reason = "done";
      checker_.off(task.uid, task.task, name_, true, now);
    }
  }
}

void Worker::clear(double now) {
  for (const auto& [name, task] : tasks_)
    if (task.on) checker_.off(task.uid, task.task, name_, false, now);
  tasks_.clear();
  changed_ = true;
}

void Worker::die() {
  std::lock_guard lock(mutex_);
  clear(steady_now());
  dead_ = true;
}

}  // namespace thistlefront::testbed
