// Heartbeats sent as differences: whatever is lost, late, repeated or reordered on the way, the leader sees the heartbeat that the agent
// sent, or asks for the whole of it.
#include "heartbeat_relay/heartbeat_delta.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "model/task.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/relay_messages.hpp"

namespace thistlefront {
namespace {

std::string text_of(const TaskReport& p) {
  return p.id.uid + "/" + std::to_string(p.id.task) + "." + std::to_string(p.attempt) + "=" + std::to_string(static_cast<int>(p.phase)) +
         "," + std::to_string(static_cast<int>(p.exit_reason)) + (p.checkpointed ? "k" : "");
}
// All that a heartbeat says, its tasks in a fixed order.
std::string text_of(const Heartbeat& r) {
  std::vector<std::string> tasks;
  for (const auto& p : r.tasks) tasks.push_back(text_of(p));
  std::sort(tasks.begin(), tasks.end());
  std::string out = r.node + " " + r.address + " " + r.machine_type + " " + r.zone + (r.spot ? " spot " : " ") +
                    std::to_string(r.agent_incarnation) + "." + std::to_string(r.serial) + " " + std::to_string(r.fencing_token) + " " +
                    (r.interruption_in_s ? std::to_string(*r.interruption_in_s) : "-");
  for (const auto& p : tasks) out += " " + p;
  return out;
}

// An agent whose tasks change at random.
class RandomAgent {
 public:
  RandomAgent(std::string name, std::mt19937& random) : random_(random) {
    heartbeat_.node = std::move(name);
    heartbeat_.address = "127.0.0.1:" + std::to_string(random() % 60000);
    heartbeat_.machine_type = "big";
    heartbeat_.zone = "a";
    heartbeat_.agent_incarnation = 1;
  }
  const Heartbeat& next() {
    const auto before = heartbeat_.serial;
    ++heartbeat_.serial;
    heartbeat_.repeated_serial.reset();
    const auto what = random_() % 10;
    if (what < 4) {
      // As the reader of its connection would tell if it had read the heartbeat before.
      if (random_() % 2 == 0) heartbeat_.repeated_serial = before;
    } else if (what == 4 && random_() % 4 == 0) {
      ++heartbeat_.agent_incarnation;
      heartbeat_.tasks.clear();
    } else if (what == 5) {
      heartbeat_.fencing_token += random_() % 2;
    } else if (what == 6) {
      heartbeat_.interruption_in_s = random_() % 2 ? std::optional<double>(static_cast<double>(random_() % 100) / 4) : std::nullopt;
    } else if (what == 7 && !heartbeat_.tasks.empty()) {
      heartbeat_.tasks.erase(heartbeat_.tasks.begin() + static_cast<long>(random_() % heartbeat_.tasks.size()));
    } else if (what == 8 && !heartbeat_.tasks.empty()) {
      auto& task_report = heartbeat_.tasks[random_() % heartbeat_.tasks.size()];
      task_report.phase = static_cast<TaskPhase>(random_() % 5);
      task_report.exit_reason = task_report.phase == TaskPhase::exited ? static_cast<ExitReason>(1 + random_() % 8) : ExitReason::none;
      task_report.checkpointed = task_report.phase == TaskPhase::exited && random_() % 2;
    } else {
      heartbeat_.tasks.push_back({{"j-" + std::to_string(random_() % 3), static_cast<std::uint32_t>(random_() % 4)},
                                  ++attempts_,
                                  TaskPhase::pulling_image,
                                  ExitReason::none,
                                  false});
      std::shuffle(heartbeat_.tasks.begin(), heartbeat_.tasks.end(), random_);
      if (random_() % 40 == 0) heartbeat_.tasks.push_back(heartbeat_.tasks.front());  // no agent does that: it is sent whole
    }
    return heartbeat_;
  }
  // Its serial grew with the answer to a command.
  void skip() { ++heartbeat_.serial; }

 private:
  std::mt19937& random_;
  Heartbeat heartbeat_;
  std::uint64_t attempts_ = 0;
};

struct Tally {
  std::size_t whole = 0, difference = 0, unchanged = 0, asked = 0;
};

// Two relays, agents that move between them, a leader that changes. Deltas arrive late, twice, reordered, or not at all.
void simulate(unsigned seed, Tally& tally) {
  std::mt19937 random(seed);
  std::vector<RandomAgent> workers;
  for (int i = 0; i < 3; ++i) workers.emplace_back("m-" + std::to_string(i), random);
  struct InFlight {
    std::size_t relay;
    Heartbeat heartbeat;
    Frame frame;
  };
  HeartbeatDeltaEncoder encoders[2];
  HeartbeatDeltaDecoder decoder;
  std::deque<InFlight> in_flight;
  for (int step = 0; step < 400; ++step) {
    const auto what = random() % 12;
    if (what < 5) {
      auto& worker = workers[random() % workers.size()];
      if (random() % 6 == 0) worker.skip();
      const Heartbeat& heartbeat = worker.next();
      const auto relay = random() % 8 == 0 ? random() % 2 : std::size_t{0};
      const auto delta = encoders[relay].encode(heartbeat);
      tally.whole += delta.kind == HeartbeatDelta::Kind::full;
      tally.difference += delta.kind == HeartbeatDelta::Kind::difference;
      tally.unchanged += delta.kind == HeartbeatDelta::Kind::unchanged;
      in_flight.push_back({relay, heartbeat, pack(HeartbeatBatch{"host-0", 1, 0, {delta}})});
    } else if (what == 5 && random() % 10 == 0) {
      decoder = {};  // another leader; its relays learn of it sooner or later
      if (random() % 2) encoders[random() % 2].clear();
    } else if (what == 6 && random() % 20 == 0) {
      encoders[random() % 2].clear();  // a relay that restarted
    } else if (!in_flight.empty()) {
      const std::size_t at = random() % 5 == 0 ? random() % in_flight.size() : 0;
      const InFlight message = in_flight[at];
      if (random() % 6 != 0) in_flight.erase(in_flight.begin() + static_cast<long>(at));  // else it arrives once more
      if (random() % 8 == 0) continue;                                                    // or never, or its answer does not
      const auto batch = unpack_heartbeat_batch(message.frame);
      ASSERT_TRUE(batch && batch->heartbeats.size() == 1);
      const Heartbeat* got = decoder.decode(batch->heartbeats[0]);
      if (!got) {
        ++tally.asked;
        encoders[message.relay].forget(message.heartbeat.node);
        continue;
      }
      ASSERT_EQ(text_of(*got), text_of(message.heartbeat)) << "seed " << seed << ", step " << step;
      if (random() % 8 != 0) encoders[message.relay].record_acknowledged(message.heartbeat);
    }
  }
}

TEST(HeartbeatDelta, TheLeaderSeesWhatTheAgentSentOrAsksForTheWhole) {
  Tally tally;
  for (unsigned seed = 1; seed <= 1500; ++seed) {
    simulate(seed, tally);
    if (testing::Test::HasFatalFailure()) return;
  }
  // Every case really occurred.
  EXPECT_GT(tally.whole, 10000u);
  EXPECT_GT(tally.difference, 10000u);
  EXPECT_GT(tally.unchanged, 10000u);
  EXPECT_GT(tally.asked, 1000u);
}

TEST(HeartbeatDelta, ADifferenceToAnotherHeartbeatIsRefused) {
  std::mt19937 random(5);
  RandomAgent worker("m-1", random);
  HeartbeatDeltaEncoder encoder;
  HeartbeatDeltaDecoder decoder;
  const Heartbeat first = worker.next();
  ASSERT_TRUE(decoder.decode(encoder.encode(first)));
  encoder.record_acknowledged(first);
  Heartbeat second = first;
  second.serial += 2;
  second.tasks.push_back({{"j-9", 0}, 1, TaskPhase::running, ExitReason::none, false});
  const auto delta = encoder.encode(second);
  ASSERT_NE(delta.kind, HeartbeatDelta::Kind::full);
  HeartbeatDeltaDecoder fresh;
  EXPECT_EQ(fresh.decode(delta), nullptr) << "a new leader";
  auto of_another_incarnation = delta;
  ++of_another_incarnation.agent_incarnation;
  EXPECT_EQ(decoder.decode(of_another_incarnation), nullptr);
  auto to_another_base = delta;
  ++to_another_base.base_serial;
  EXPECT_EQ(decoder.decode(to_another_base), nullptr);
  ASSERT_TRUE(decoder.decode(delta));
  EXPECT_EQ(decoder.decode(delta), nullptr) << "a second copy: the heartbeat it is based on is no longer the newest";
}

TEST(HeartbeatDelta, ABatchAnswerIsUnpackedAsItWasPacked) {
  HeartbeatBatchAnswer answer;
  answer.takeover_token = 7;
  answer.fencing_token = 9;
  answer.redirect_count = 3;
  answer.redirect_target = "host-2";
  answer.answers = {{HeartbeatAnswer::Outcome::renewed, {{CommandType::run, {"j-1", 4}, 2, 0}, {CommandType::kill, {"j-2", 0}, 1, 4.5}}},
                    {HeartbeatAnswer::Outcome::full_required, {}},
                    {HeartbeatAnswer::Outcome::refused, {}},
                    {HeartbeatAnswer::Outcome::retry_later, {}}};
  const auto got = unpack_heartbeat_batch_answer(pack(answer));
  ASSERT_TRUE(got);
  EXPECT_EQ(got->takeover_token, 7u);
  EXPECT_EQ(got->fencing_token, 9u);
  EXPECT_EQ(got->redirect_count, 3u);
  EXPECT_EQ(got->redirect_target, "host-2");
  ASSERT_EQ(got->answers.size(), 4u);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(got->answers[i].outcome, answer.answers[i].outcome);
  ASSERT_EQ(got->answers[0].commands.size(), 2u);
  EXPECT_EQ(got->answers[0].commands[0].type, CommandType::run);
  EXPECT_EQ(got->answers[0].commands[1].id.uid, "j-2");
  EXPECT_DOUBLE_EQ(got->answers[0].commands[1].grace_period_s, 4.5);
}

TEST(HeartbeatDelta, AMalformedBatchIsRefusedAsAWhole) {
  std::mt19937 random(11);
  RandomAgent worker("m-1", random);
  HeartbeatBatch batch{"host-1", 5, 2, {}};
  HeartbeatDeltaEncoder encoder;
  for (int i = 0; i < 30; ++i) {
    const Heartbeat heartbeat = worker.next();
    batch.heartbeats.push_back(encoder.encode(heartbeat));
    encoder.record_acknowledged(heartbeat);
  }
  const Frame whole = pack(batch);
  ASSERT_TRUE(unpack_heartbeat_batch(whole));
  for (std::size_t size = 0; size < whole.payload.size(); ++size)
    ASSERT_FALSE(unpack_heartbeat_batch({whole.kind, whole.payload.substr(0, size)})) << size << " bytes of it";
  EXPECT_FALSE(unpack_heartbeat_batch({whole.kind, whole.payload + "x"}));
  EXPECT_FALSE(unpack_heartbeat_batch({static_cast<std::uint8_t>(PeerFrameKind::call), whole.payload}));
  auto of_a_later_version = whole;
  of_a_later_version.payload[0] = 2;
  EXPECT_FALSE(unpack_heartbeat_batch(of_a_later_version));
  // Altered bytes are refused or read as something else of the right form; nothing is read past the end.
  for (int i = 0; i < 20000; ++i) {
    Frame altered = whole;
    for (auto changes = 1 + random() % 4; changes > 0; --changes)
      altered.payload[random() % altered.payload.size()] = static_cast<char>(random());
    const auto got = unpack_heartbeat_batch(altered);
    if (!got) continue;
    HeartbeatDeltaDecoder decoder;
    for (const auto& delta : got->heartbeats) {
      EXPECT_FALSE(delta.node.empty());
      decoder.decode(delta);
    }
  }
}

}  // namespace
}  // namespace thistlefront
