#include "testbed/worker.hpp"

#include <algorithm>
#include <utility>

#include "testbed/controller_settings.hpp"
#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

using nlohmann::json;

namespace {
constexpr double kPollIntervalS = 0.1;
constexpr double kReplyTimeoutS = 4;            // replies that arrive later are dropped
constexpr double kMinHeartbeatIntervalS = 0.5;  // between heartbeats that are sent early because of a change
constexpr double kRetryPauseS = 1;
constexpr int kServerConnections = 20;
// Longer than a controller waits for the reply to a command.
constexpr std::chrono::milliseconds kLostCommandDelay{1600};
constexpr std::size_t kMaxExecutedCalls = 1000;                      // kept to be delivered once more
constexpr double kMinDuplicateDelayS = 1, kMaxDuplicateDelayS = 60;  // of a call to `/commands`
}  // namespace

Worker::Worker(std::string name, std::string zone, const std::vector<std::string>& controllers, Checker& checker, ProtocolTimes times,
               unsigned seed)
    : name_(std::move(name)), zone_(std::move(zone)), controllers_(controllers), checker_(checker), times_(times), random_(seed) {
  lease_expires_at_ = steady_now() + times_.lease_s;
  server_ = std::make_unique<HttpServer>(address_, kServerConnections, [this](const HttpCall& call) { return handle_call(call); });
  heartbeat_thread_ = std::jthread([this](const std::stop_token& stop) { send_heartbeats(stop); });
  lease_thread_ = std::jthread([this](const std::stop_token& stop) { watch_lease(stop); });
  heartbeat_duplicates_thread_ = std::jthread([this](const std::stop_token& stop) { send_delayed_heartbeats(stop); });
  command_duplicates_thread_ = std::jthread([this](const std::stop_token& stop) { deliver_delayed_commands(stop); });
}

// ---- threads

// Runs in a thread of its own so that the lease expires on time also while the agent waits for a reply. Otherwise tasks run for up to 4 s
// too long, and the checker reports violations that the testbed itself caused.
void Worker::watch_lease(const std::stop_token& stop) {
  while (pause_for(stop, kPollIntervalS)) {
    std::lock_guard lock(mutex_);
    if (const double now = steady_now(); !terminated_ && (now >= hangs_until_ || now > lease_expires_at_)) advance_to(now);
  }
}

void Worker::send_delayed_heartbeats(const std::stop_token& stop) {
  std::mt19937 random;
  {
    std::lock_guard lock(mutex_);
    random.seed(random_());
  }
  while (pause_for(stop, kPollIntervalS)) {
    std::string body;
    {
      std::lock_guard lock(mutex_);
      body = heartbeat_duplicates_.take_due(steady_now());
    }
    if (body.empty()) continue;
    HttpClient(controllers_[random() % controllers_.size()]).post("/v1/report", body, 1);
  }
}

void Worker::deliver_delayed_commands(const std::stop_token& stop) {
  while (pause_for(stop, kPollIntervalS)) {
    // A hanging agent executes them when it resumes.
    if (steady_now() < hangs_until_) continue;
    std::lock_guard lock(mutex_);
    advance_to(steady_now());
    for (auto body = command_duplicates_.take_due(steady_now()); !body.empty(); body = command_duplicates_.take_due(steady_now()))
      execute_call(json::parse(body));
  }
}

void Worker::duplicate_commands(bool duplicates) {
  std::lock_guard lock(mutex_);
  duplicates_commands_ = duplicates;
  if (!duplicates) command_duplicates_.clear();
}

void Worker::repeat_executed_commands() {
  std::lock_guard lock(mutex_);
  advance_to(steady_now());
  for (const auto& body : std::deque<std::string>(executed_calls_)) execute_call(json::parse(body));
  advance_to(steady_now());
}

void Worker::send_heartbeats(const std::stop_token& stop) {
  {
    std::lock_guard lock(mutex_);
    controller_ = random_() % controllers_.size();
  }
  auto client = std::make_unique<HttpClient>(controllers_[controller_]);
  while (pause_for(stop, kPollIntervalS)) {
    const double now = steady_now();
    const auto heartbeat = next_heartbeat(now);
    if (heartbeat.body.empty()) continue;
    auto reply = client->post("/v1/report", heartbeat.body, kReplyTimeoutS);
    if (now < loses_replies_until_) {
      // The reply is lost: the agent waits for the full timeout and then tries the next controller.
      if (!pause_for(stop, kReplyTimeoutS)) return;
      reply = {};
    }
    if (reply.is(200)) {
      apply_reply(reply, heartbeat.agent_incarnation, now);
      continue;
    }
    change_controller(reply, now);
    client = std::make_unique<HttpClient>(controllers_[controller_]);
  }
}

// ---- heartbeats

Worker::Heartbeat Worker::next_heartbeat(double now) {
  std::lock_guard lock(mutex_);
  if (terminated_) return {};
  // A hanging agent does nothing, but its lease still expires.
  const bool hangs = now < hangs_until_;
  if (!hangs || now > lease_expires_at_) advance_to(now);
  if (hangs || (now < next_heartbeat_at_ && (!changed_ || now < last_heartbeat_at_ + kMinHeartbeatIntervalS))) return {};
  changed_ = false;
  Heartbeat out{heartbeat_body(), agent_incarnation_};
  last_heartbeat_at_ = now;
  next_heartbeat_at_ = now + times_.heartbeat_interval_s * std::uniform_real_distribution<double>(0.75, 1.25)(random_);
  if (duplicates_heartbeats_ && random_() % 8 == 0) schedule_duplicate(out.body, now);
  return out;
}

void Worker::schedule_duplicate(const std::string& body, double now) {
  heartbeat_duplicates_.add(now + std::uniform_real_distribution<double>(1, 3 * times_.lease_s)(random_), body);
}

void Worker::apply_reply(const HttpResult& reply, std::uint64_t agent_incarnation, double sent_at) {
  std::lock_guard lock(mutex_);
  advance_to(steady_now());
  const auto body = json::parse(reply.body, nullptr, false);
  const auto fencing_token = body.is_object() ? body.value("epoch", std::uint64_t{0}) : 0;
  // Drops a reply with a lower token, a reply to an earlier incarnation, and a reply that is late because the agent hung.
  if (fencing_token < fencing_token_ || agent_incarnation != agent_incarnation_ || steady_now() > sent_at + kReplyTimeoutS || terminated_)
    return;
  changed_ |= fencing_token > fencing_token_;
  fencing_token_ = fencing_token;
  lease_expires_at_ = std::max(lease_expires_at_, sent_at + times_.lease_s);
  execute(body.at("orders"));
}

void Worker::change_controller(const HttpResult& reply, double now) {
  {
    std::lock_guard lock(mutex_);
    advance_to(steady_now());
  }
  controller_ = (controller_ + 1) % controllers_.size();
  next_heartbeat_at_ = now + kRetryPauseS;
  if (!reply.is(421)) return;
  const auto body = json::parse(reply.body, nullptr, false);
  const auto redirect_target = body.is_object() ? body.value("steward", std::string()) : "";
  const auto redirected = find_controller(redirect_target, controllers_.size());
  if (redirected == controllers_.size()) return;
  controller_ = redirected;
  next_heartbeat_at_ = now;
}

std::string Worker::heartbeat_body() {
  json tasks = json::array();
  for (const auto& [key, task] : tasks_) {
    const char* status = task.exited ? "exited" : task.running ? "running" : "pulling";
    json described{{"piece", key.first}, {"try", task.attempt}, {"status", status}};
    if (task.exited) described["cause"] = task.exit_reason;
    tasks.push_back(std::move(described));
  }
  const json interruption_in_s = interruption_at_ > 0 ? json(std::max(0.0, interruption_at_ - steady_now())) : json(nullptr);
  return json{{"host", name_},
              {"address", address_},
              {"hostKind", "big"},
              {"yard", zone_},
              {"loaners", false},
              {"tenure", agent_incarnation_},
              {"serial", ++serial_},
              {"epoch", fencing_token_},
              {"recallS", interruption_in_s},
              {"pieces", std::move(tasks)}}
      .dump();
}

// ---- commands

HttpReply Worker::handle_call(const HttpCall& call) {
  // A hanging agent replies when it resumes.
  while (steady_now() < hangs_until_) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  // A command that does not reach the agent: its sender times out.
  if (steady_now() < loses_replies_until_ || drops_commands_) {
    std::this_thread::sleep_for(kLostCommandDelay);
    return {503, "{}", 0, true};
  }
  std::lock_guard lock(mutex_);
  advance_to(steady_now());
  return call.target == "/commands" ? handle_commands(call) : HttpReply{200, heartbeat_body()};
}

HttpReply Worker::handle_commands(const HttpCall& call) {
  const auto body = json::parse(call.body, nullptr, false);
  if (!body.is_object() || !body.contains("epoch") || !body.contains("tenure")) return {400, "{}"};
  if (!execute_call(body)) return {409, heartbeat_body()};
  executed_calls_.emplace_back(call.body);
  if (executed_calls_.size() > kMaxExecutedCalls) executed_calls_.pop_front();
  if (duplicates_commands_ && random_() % 2 == 0) schedule_command_duplicates(executed_calls_.back());
  return {200, heartbeat_body()};
}

bool Worker::execute_call(const json& body) {
  const auto fencing_token = body.at("epoch").get<std::uint64_t>();
  if (terminated_ || fencing_token < fencing_token_ || body.at("tenure") != agent_incarnation_) return false;
  changed_ |= fencing_token > fencing_token_;
  fencing_token_ = fencing_token;
  execute(body.at("orders"));
  return true;
}

void Worker::schedule_command_duplicates(const std::string& body) {
  std::uniform_real_distribution<double> delay_s(kMinDuplicateDelayS, kMaxDuplicateDelayS);
  for (auto copies = 1 + random_() % 2; copies > 0; --copies) command_duplicates_.add(steady_now() + delay_s(random_), body);
}

void Worker::execute(const json& commands) {
  const double now = steady_now();
  for (const auto& command : commands) {
    const auto name = command.at("piece").get<std::string>();
    const auto attempt = command.at("try").get<std::uint64_t>();
    const auto verb = command.at("verb").get<std::string>();
    const auto it = tasks_.find({name, attempt});
    if (verb == "run") {
      if (it == tasks_.end()) run_task({name, attempt}, now);
    } else if (it != tasks_.end()) {
      if (verb == "reap" && it->second.exited) {
        tasks_.erase(it);
      } else if (verb == "kill" && !it->second.exited) {
        kill_task(it->second, now);
      }
      changed_ = true;
    }
  }
}

void Worker::run_task(const TaskKey& key, double now) {
  const auto& [name, attempt] = key;
  const auto slash = name.find('/');
  Task task;
  task.uid = name.substr(0, slash);
  task.task = static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)));
  task.attempt = attempt;
  task.commanded_at = now;
  const auto spec = checker_.find_submission(task.uid);
  task.exit_reason = refusal_of(key, spec);
  task.exited = !task.exit_reason.empty();
  if (spec) {
    task.run_s = spec->run_s;
    task.service = spec->job_type == "service";
    checker_.record_attempt(task.uid, task.task, attempt, name_, now);
  }
  tasks_.emplace(key, std::move(task));
  changed_ = true;
}

std::string Worker::refusal_of(const TaskKey& key, const std::optional<SubmittedJob>& spec) const {
  if (!spec) return "unknown";
  const auto held = tasks_.lower_bound({key.first, 0});
  if (held != tasks_.end() && held->first.first == key.first) return "busy";
  return used_cores() + spec->cores > kNodeCores ? "no_room" : "";
}

void Worker::kill_task(Task& task, double now) {
  if (task.running) checker_.record_task_end(task.uid, task.task, name_, false, now);
  task.exited = true;
  task.running = false;
  task.exit_reason = "halted";
}

double Worker::used_cores() const {
  double used = 0;
  for (const auto& [key, task] : tasks_) {
    const auto spec = checker_.find_submission(task.uid);
    if (spec && !task.exited) used += spec->cores;
  }
  return used;
}

// ---- time

void Worker::advance_to(double now) {
  if (terminated_) return;
  if (now > lease_expires_at_) begin_incarnation(now);
  for (auto& [key, task] : tasks_) {
    if (task.exited) continue;
    const double starts_at = task.commanded_at + times_.image_pull_s;
    if (!task.running && now >= starts_at) {
      task.running = changed_ = true;
      checker_.record_task_start(task.uid, task.task, name_, zone_, now);
    }
    const bool fails = task.running && fails_tasks_;
    if (fails || (task.running && !task.service && now >= starts_at + task.run_s)) {
      task.running = false;
      task.exited = changed_ = true;
      task.exit_reason = fails ? "error" : "done";
      checker_.record_task_end(task.uid, task.task, name_, !fails, now);
    }
  }
}

void Worker::remove_all_tasks(double now) {
  for (const auto& [key, task] : tasks_)
    if (task.running) checker_.record_task_end(task.uid, task.task, name_, false, now);
  tasks_.clear();
  changed_ = true;
}

void Worker::begin_incarnation(double now) {
  remove_all_tasks(now);
  ++agent_incarnation_;
  lease_expires_at_ = now + times_.lease_s;
}

void Worker::restart() {
  std::lock_guard lock(mutex_);
  begin_incarnation(steady_now());
}

void Worker::terminate() {
  std::lock_guard lock(mutex_);
  remove_all_tasks(steady_now());
  terminated_ = true;
}

}  // namespace thistlefront::testbed
