// Heartbeats sent as differences. Whether messages are lost, delayed, repeated or reordered, the decoder restores the heartbeat that
// the agent sent or requests the full one.
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

std::string describe(const TaskReport& task) {
  return task.id.uid + "/" + std::to_string(task.id.task) + "." + std::to_string(task.attempt) + "=" +
         std::to_string(static_cast<int>(task.phase)) + "," + std::to_string(static_cast<int>(task.exit_reason)) +
         (task.checkpointed ? "k" : "");
}
// All fields of a heartbeat, with the tasks sorted.
std::string describe(const Heartbeat& heartbeat) {
  std::vector<std::string> tasks;
  for (const auto& task : heartbeat.tasks) tasks.push_back(describe(task));
  std::sort(tasks.begin(), tasks.end());
  std::string out = heartbeat.node + " " + heartbeat.address + " " + heartbeat.machine_type + " " + heartbeat.zone +
                    (heartbeat.spot ? " spot " : " ") + std::to_string(heartbeat.agent_incarnation) + "." +
                    std::to_string(heartbeat.serial) + " " + std::to_string(heartbeat.fencing_token) + " " +
                    (heartbeat.interruption_in_s ? std::to_string(*heartbeat.interruption_in_s) : "-");
  for (const auto& task : tasks) out += " " + task;
  return out;
}

// An agent whose heartbeats change at random.
class RandomAgent {
 public:
  RandomAgent(std::string name, std::mt19937& random) : random_(random) {
    heartbeat_.node = std::move(name);
    heartbeat_.address = "127.0.0.1:" + std::to_string(random() % 60000);
    heartbeat_.machine_type = "big";
    heartbeat_.zone = "a";
    heartbeat_.agent_incarnation = 1;
  }
  const Heartbeat& next_heartbeat() {
    const auto previous_serial = heartbeat_.serial;
    ++heartbeat_.serial;
    heartbeat_.repeated_serial.reset();
    const auto change = random_() % 10;
    if (change < 4) {
      // Set by a HeartbeatCache that has read the previous heartbeat.
      if (random_() % 2 == 0) heartbeat_.repeated_serial = previous_serial;
    } else if (change == 4 && random_() % 4 == 0) {
      ++heartbeat_.agent_incarnation;
      heartbeat_.tasks.clear();
    } else if (change == 5) {
      heartbeat_.fencing_token += random_() % 2;
    } else if (change == 6) {
      heartbeat_.interruption_in_s = random_() % 2 ? std::optional<double>(static_cast<double>(random_() % 100) / 4) : std::nullopt;
    } else if (change == 7 && !heartbeat_.tasks.empty()) {
      heartbeat_.tasks.erase(heartbeat_.tasks.begin() + static_cast<long>(random_() % heartbeat_.tasks.size()));
    } else if (change == 8 && !heartbeat_.tasks.empty()) {
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
      if (random_() % 40 == 0)
        heartbeat_.tasks.push_back(heartbeat_.tasks.front());  // not sent by real agents; makes a full delta necessary
    }
    return heartbeat_;
  }
  // A reply to a command used one serial.
  void skip_serial() { ++heartbeat_.serial; }

 private:
  std::mt19937& random_;
  Heartbeat heartbeat_;
  std::uint64_t attempts_ = 0;
};

struct DeltaCounts {
  std::size_t full = 0, difference = 0, unchanged = 0, rejected = 0;
};

// Simulates two relays, agents that move between them and leader changes. Deltas are delayed, repeated, reordered or lost.
void simulate(unsigned seed, DeltaCounts& counts) {
  std::mt19937 random(seed);
  std::vector<RandomAgent> agents;
  for (int i = 0; i < 3; ++i) agents.emplace_back("m-" + std::to_string(i), random);
  struct InFlight {
    std::size_t relay;
    Heartbeat heartbeat;
    Frame frame;
  };
  HeartbeatDeltaEncoder encoders[2];
  HeartbeatDeltaDecoder decoder;
  std::deque<InFlight> in_flight;
  for (int step = 0; step < 400; ++step) {
    const auto event = random() % 12;
    if (event < 5) {
      auto& agent = agents[random() % agents.size()];
      if (random() % 6 == 0) agent.skip_serial();
      const Heartbeat& heartbeat = agent.next_heartbeat();
      const auto relay = random() % 8 == 0 ? random() % 2 : std::size_t{0};
      const auto delta = encoders[relay].encode(heartbeat);
      counts.full += delta.kind == HeartbeatDelta::Kind::full;
      counts.difference += delta.kind == HeartbeatDelta::Kind::difference;
      counts.unchanged += delta.kind == HeartbeatDelta::Kind::unchanged;
      in_flight.push_back({relay, heartbeat, pack(HeartbeatBatch{"host-0", 1, 0, {delta}})});
    } else if (event == 5 && random() % 10 == 0) {
      decoder = {};  // leader change; relays may notice it later
      if (random() % 2) encoders[random() % 2].clear();
    } else if (event == 6 && random() % 20 == 0) {
      encoders[random() % 2].clear();  // restart of a relay
    } else if (!in_flight.empty()) {
      const std::size_t index = random() % 5 == 0 ? random() % in_flight.size() : 0;
      const InFlight message = in_flight[index];
      if (random() % 6 != 0) in_flight.erase(in_flight.begin() + static_cast<long>(index));  // otherwise it arrives again
      if (random() % 8 == 0) continue;                                                       // the message or its reply is lost
      const auto batch = unpack_heartbeat_batch(message.frame);
      ASSERT_TRUE(batch && batch->heartbeats.size() == 1);
      const Heartbeat* restored = decoder.decode(batch->heartbeats[0]);
      if (!restored) {
        ++counts.rejected;
        encoders[message.relay].forget_node(message.heartbeat.node);
        continue;
      }
      ASSERT_EQ(describe(*restored), describe(message.heartbeat)) << "seed " << seed << ", step " << step;
      if (random() % 8 != 0) encoders[message.relay].record_acknowledged(message.heartbeat);
    }
  }
}

TEST(HeartbeatDelta, DecoderRestoresTheSentHeartbeatOrRequestsTheFullOne) {
  DeltaCounts counts;
  for (unsigned seed = 1; seed <= 1500; ++seed) {
    simulate(seed, counts);
    if (testing::Test::HasFatalFailure()) return;
  }
  // All cases occurred.
  EXPECT_GT(counts.full, 10000u);
  EXPECT_GT(counts.difference, 10000u);
  EXPECT_GT(counts.unchanged, 10000u);
  EXPECT_GT(counts.rejected, 1000u);
}

TEST(HeartbeatDelta, DecoderRejectsADifferenceFromAnotherHeartbeat) {
  std::mt19937 random(5);
  RandomAgent agent("m-1", random);
  HeartbeatDeltaEncoder encoder;
  HeartbeatDeltaDecoder decoder;
  const Heartbeat first = agent.next_heartbeat();
  ASSERT_TRUE(decoder.decode(encoder.encode(first)));
  encoder.record_acknowledged(first);
  Heartbeat second = first;
  second.serial += 2;
  second.tasks.push_back({{"j-9", 0}, 1, TaskPhase::running, ExitReason::none, false});
  const auto delta = encoder.encode(second);
  ASSERT_NE(delta.kind, HeartbeatDelta::Kind::full);
  HeartbeatDeltaDecoder new_decoder;
  EXPECT_EQ(new_decoder.decode(delta), nullptr) << "a new leader";
  auto another_incarnation = delta;
  ++another_incarnation.agent_incarnation;
  EXPECT_EQ(decoder.decode(another_incarnation), nullptr);
  auto another_base = delta;
  ++another_base.base_serial;
  EXPECT_EQ(decoder.decode(another_base), nullptr);
  ASSERT_TRUE(decoder.decode(delta));
  EXPECT_EQ(decoder.decode(delta), nullptr) << "repeated delta: its base is no longer the newest heartbeat";
}

TEST(HeartbeatDelta, BatchReplyIsUnchangedByPackingAndUnpacking) {
  HeartbeatBatchReply reply;
  reply.takeover_token = 7;
  reply.fencing_token = 9;
  reply.redirect_count = 3;
  reply.redirect_target = "host-2";
  reply.replies = {{HeartbeatReply::Outcome::renewed, {{CommandType::run, {"j-1", 4}, 2, 0}, {CommandType::kill, {"j-2", 0}, 1, 4.5}}},
                   {HeartbeatReply::Outcome::full_required, {}},
                   {HeartbeatReply::Outcome::refused, {}},
                   {HeartbeatReply::Outcome::retry_later, {}}};
  const auto got = unpack_heartbeat_batch_reply(pack(reply));
  ASSERT_TRUE(got);
  EXPECT_EQ(got->takeover_token, 7u);
  EXPECT_EQ(got->fencing_token, 9u);
  EXPECT_EQ(got->redirect_count, 3u);
  EXPECT_EQ(got->redirect_target, "host-2");
  ASSERT_EQ(got->replies.size(), 4u);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(got->replies[i].outcome, reply.replies[i].outcome);
  ASSERT_EQ(got->replies[0].commands.size(), 2u);
  EXPECT_EQ(got->replies[0].commands[0].type, CommandType::run);
  EXPECT_EQ(got->replies[0].commands[1].id.uid, "j-2");
  EXPECT_DOUBLE_EQ(got->replies[0].commands[1].grace_period_s, 4.5);
}

TEST(HeartbeatDelta, MalformedBatchIsRejectedCompletely) {
  std::mt19937 random(11);
  RandomAgent agent("m-1", random);
  HeartbeatBatch batch{"host-1", 5, 2, {}};
  HeartbeatDeltaEncoder encoder;
  for (int i = 0; i < 30; ++i) {
    const Heartbeat heartbeat = agent.next_heartbeat();
    batch.heartbeats.push_back(encoder.encode(heartbeat));
    encoder.record_acknowledged(heartbeat);
  }
  const Frame frame = pack(batch);
  ASSERT_TRUE(unpack_heartbeat_batch(frame));
  for (std::size_t size = 0; size < frame.payload.size(); ++size)
    ASSERT_FALSE(unpack_heartbeat_batch({frame.kind, frame.payload.substr(0, size)})) << size << " bytes";
  EXPECT_FALSE(unpack_heartbeat_batch({frame.kind, frame.payload + "x"}));
  EXPECT_FALSE(unpack_heartbeat_batch({static_cast<std::uint8_t>(PeerFrameKind::call), frame.payload}));
  auto later_version = frame;
  later_version.payload[0] = 2;
  EXPECT_FALSE(unpack_heartbeat_batch(later_version));
  // Batches with altered bytes are rejected or unpacked as another valid batch; nothing is read past the end.
  for (int i = 0; i < 20000; ++i) {
    Frame altered = frame;
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
