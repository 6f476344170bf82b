#include "testbed/worker.hpp"

#include <algorithm>

#include "transport/clock.hpp"
#include "transport/threads.hpp"

namespace thistlefront::testbed {

using nlohmann::json;

namespace {
constexpr double kTick = 0.1;
}  // namespace

Worker::Worker(std::string name, std::string zone, const std::vector<std::string>& controllers, Checker& checker, Times times,
               unsigned seed)
    : name_(std::move(name)), zone_(std::move(zone)), controllers_(controllers), checker_(checker), times_(times), random_(seed) {
  lease_until_ = steady_now() + times_.lease;
  server_ = std::make_unique<HttpServer>(address_, 20, [this](const HttpCall& c) { return on_call(c); });
  thread_ = std::jthread([this](std::stop_token stop) { live(stop); });
  // Its lease ends on time also while it waits for an answer: a rig whose worker did not look meanwhile kept tasks for up to
  // 4 s too long, and told of ran_twice and quota that were its own; one that looked between sending copies, for up to 1 s.
  expiry_ = std::jthread([this](std::stop_token stop) {
    while (pause_for(stop, kTick)) {
      std::lock_guard lock(mutex_);
      if (const double now = steady_now(); !dead_ && (now >= hangs_until_ || now > lease_until_)) progress(now);
    }
  });
  copier_ = std::jthread([this](std::stop_token stop) {
    std::mt19937 random(random_());
    while (pause_for(stop, kTick)) {
      std::string body;
      {
        std::lock_guard lock(mutex_);
        for (auto it = copies_due_.begin(); it != copies_due_.end() && body.empty();) {
          if (it->at > steady_now()) {
            ++it;
          } else {
            body = it->body;
            it = copies_due_.erase(it);
          }
        }
      }
      if (!body.empty()) HttpClient(controllers_[random() % controllers_.size()]).post("/v1/report", body, 1);
    }
  });
}

HttpReply Worker::on_call(const HttpCall& call) {
  // A machine that hangs answers later, when it resumes.
  while (steady_now() < hangs_until_) std::this_thread::sleep_for(std::chrono::milliseconds(20));
  // What does not reach it is given up on by its sender.
  if (steady_now() < deaf_until_ || commands_cut_) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1600));
    return {503, "{}", 0, true};
  }
  std::lock_guard lock(mutex_);
  progress(steady_now());
  if (call.target == "/commands") {
    const auto body = json::parse(call.body, nullptr, false);
    if (!body.is_object() || !body.contains("epoch") || !body.contains("tenure")) return {400, "{}"};
    const auto fencing_token = body.at("epoch").get<std::uint64_t>();
    if (dead_ || fencing_token < fencing_token_ || body.at("tenure") != agent_incarnation_) return {409, heartbeat()};
    changed_ |= fencing_token > fencing_token_;
    fencing_token_ = fencing_token;
    execute(body.at("orders"));
  }
  return {200, heartbeat()};
}

void Worker::execute(const json& commands) {
  const double now = steady_now();
  for (const auto& o : commands) {
    const auto name = o.at("piece").get<std::string>();
    const auto attempt = o.at("try").get<std::uint64_t>();
    const auto verb = o.at("verb").get<std::string>();
    const auto it = tasks_.find(name);
    if (verb == "run") {
      if (it != tasks_.end()) continue;
      const auto slash = name.find('/');
      const auto uid = name.substr(0, slash);
      const auto spec = checker_.spec_of(uid);
      HeldTask task{uid, static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1))), attempt, now, 0, false, false, false, ""};
      double used = 0;
      for (const auto& [n, p] : tasks_)
        if (const auto other = checker_.spec_of(p.uid); other && !p.exited) used += other->cores;
      if (spec) {
        task.run_s = spec->run_s;
        task.service = spec->job_type == "service";
      }
      if (!spec || used + spec->cores > kMachineCores) task.exited = true, task.exit_reason = spec ? "no_room" : "unknown";
      tasks_.emplace(name, task);
      changed_ = true;
    } else if (it != tasks_.end() && it->second.attempt == attempt) {
      if (verb == "reap" && it->second.exited) {
        tasks_.erase(it);
      } else if (verb == "kill" && !it->second.exited) {
        if (it->second.on) checker_.off(it->second.uid, it->second.task, name_, false, now);
        it->second.exited = true;
        it->second.on = false;
        it->second.exit_reason = "halted";
      }
      changed_ = true;
    }
  }
}

void Worker::progress(double now) {
  if (dead_) return;
  if (now > lease_until_) {
    clear(now);
    ++agent_incarnation_;
    lease_until_ = now + times_.lease;
  }
  for (auto& [name, p] : tasks_) {
    if (p.exited) continue;
    if (!p.on && now >= p.at + times_.pull) {
      p.on = changed_ = true;
      checker_.on(p.uid, p.task, name_, zone_, now);
    }
    if (p.on && !p.service && now >= p.at + times_.pull + p.run_s) {
      p.on = false;
      p.exited = changed_ = true;
      p.exit_reason = "done";
      checker_.off(p.uid, p.task, name_, true, now);
    }
  }
}

void Worker::clear(double now) {
  for (const auto& [name, p] : tasks_)
    if (p.on) checker_.off(p.uid, p.task, name_, false, now);
  tasks_.clear();
  changed_ = true;
}

void Worker::die() {
  std::lock_guard lock(mutex_);
  clear(steady_now());
  dead_ = true;
}

std::string Worker::heartbeat() {
  json tasks = json::array();
  for (const auto& [name, p] : tasks_) {
    json j{{"piece", name}, {"try", p.attempt}, {"status", p.exited ? "exited" : p.on ? "running" : "pulling"}};
    if (p.exited) j["cause"] = p.exit_reason;
    tasks.push_back(std::move(j));
  }
  return json{{"host", name_},      {"address", address_},          {"hostKind", "big"},   {"yard", zone_},
              {"loaners", false},   {"tenure", agent_incarnation_}, {"serial", ++serial_}, {"epoch", fencing_token_},
              {"recallS", nullptr}, {"pieces", std::move(tasks)}}
      .dump();
}

void Worker::live(std::stop_token stop) {
  std::size_t at = random_() % controllers_.size();
  auto client = std::make_unique<HttpClient>(controllers_[at]);
  double next = 0, last = 0;
  while (pause_for(stop, kTick)) {
    const double now = steady_now();
    if (now < hangs_until_) {
      // What hangs does nothing, but for ending with its lease.
      std::lock_guard lock(mutex_);
      if (now > lease_until_) progress(now);
      continue;
    }
    std::string body;
    std::uint64_t agent_incarnation = 0;
    {
      std::lock_guard lock(mutex_);
      if (dead_) return;
      progress(now);
      if (now < next && (!changed_ || now < last + 0.5)) continue;
      changed_ = false;
      body = heartbeat();
      agent_incarnation = agent_incarnation_;
    }
    last = now;
    next = now + times_.heartbeat * std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    if (copies_ && random_() % 8 == 0) {
      std::lock_guard lock(mutex_);
      copies_due_.push_back({now + std::uniform_real_distribution<double>(1, 3 * times_.lease)(random_), body});
    }
    auto answer = client->post("/v1/report", body, 4);
    if (now < deaf_until_) {
      // Lost: it waits as long as it does for any, and tries the next one.
      if (!pause_for(stop, 4)) return;
      answer = {};
    }
    std::lock_guard lock(mutex_);
    progress(steady_now());
    if (answer.is(200)) {
      const auto j = json::parse(answer.body, nullptr, false);
      const auto fencing_token = j.is_object() ? j.value("epoch", std::uint64_t{0}) : 0;
      // One answered while it stood still, of an earlier session, or with a lower token is dropped.
      if (fencing_token < fencing_token_ || agent_incarnation != agent_incarnation_ || steady_now() > now + 4 || dead_) continue;
      changed_ |= fencing_token > fencing_token_;
      fencing_token_ = fencing_token;
      lease_until_ = std::max(lease_until_, now + times_.lease);
      execute(j.at("orders"));
      continue;
    }
    at = (at + 1) % controllers_.size();
    next = now + 1;
    if (answer.is(421)) {
      const auto j = json::parse(answer.body, nullptr, false);
      const auto redirect_target = j.is_object() ? j.value("steward", std::string()) : "";
      if (redirect_target.starts_with("host-") && std::stoul(redirect_target.substr(5)) < controllers_.size()) {
        at = std::stoul(redirect_target.substr(5));
        next = now;
      }
    }
    client = std::make_unique<HttpClient>(controllers_[at]);
  }
}

}  // namespace thistlefront::testbed
