// The heartbeat cache must return the same as the parser for any heartbeat, including those that it recognises by their bytes.
#include "protocol/heartbeat_cache.hpp"

#include <gtest/gtest.h>

#include <random>

#include "model/heartbeat.hpp"
#include "model/task.hpp"
#include "protocol/worker_messages.hpp"

namespace thistlefront {
namespace {

std::string body(std::string_view serial, std::string_view tasks = "", std::string_view more_fields = "") {
  return R"({"host":"m-1","address":"10.0.0.1:9000","hostKind":"big","yard":"a","loaners":false,"tenure":1,"serial":)" +
         std::string(serial) + R"(,"epoch":4,"recallS":null,"pieces":[)" + std::string(tasks) + "]" + std::string(more_fields) + "}";
}
constexpr std::string_view kRunning = R"({"piece":"j-1/0","try":1,"status":"running"})";
constexpr std::string_view kExited = R"({"piece":"j-1/0","try":1,"status":"exited","cause":"done"})";

bool is_equal(const Heartbeat& a, const Heartbeat& b) {
  if (a.tasks.size() != b.tasks.size()) return false;
  for (std::size_t i = 0; i < a.tasks.size(); ++i) {
    const auto &task_a = a.tasks[i], &task_b = b.tasks[i];
    if (task_a.id.uid != task_b.id.uid || task_a.id.task != task_b.id.task || task_a.attempt != task_b.attempt ||
        task_a.phase != task_b.phase || task_a.exit_reason != task_b.exit_reason)
      return false;
  }
  return a.node == b.node && a.agent_incarnation == b.agent_incarnation && a.serial == b.serial && a.fencing_token == b.fencing_token &&
         a.interruption_in_s == b.interruption_in_s;
}

TEST(HeartbeatCache, DetectsHeartbeatsThatDifferOnlyInTheirSerial) {
  HeartbeatCache heartbeat_cache;
  EXPECT_FALSE(heartbeat_cache.read(body("7", kRunning)).repeated_serial);
  const Heartbeat& second = heartbeat_cache.read(body("8", kRunning));
  EXPECT_EQ(second.serial, 8u);
  EXPECT_EQ(second.repeated_serial, 7u);
  EXPECT_EQ(heartbeat_cache.read(body("12", kRunning)).repeated_serial, 8u) << "a serial with more digits is detected as well";
  EXPECT_FALSE(heartbeat_cache.read(body("13", kExited)).repeated_serial);
  EXPECT_EQ(heartbeat_cache.read(body("14", kExited)).tasks.at(0).exit_reason, ExitReason::completed);
}

TEST(HeartbeatCache, MalformedHeartbeatIsRejectedAndClearsTheCache) {
  HeartbeatCache heartbeat_cache;
  heartbeat_cache.read(body("7", kRunning));
  EXPECT_THROW(heartbeat_cache.read(body("-8", kRunning)), ProtocolError);
  EXPECT_FALSE(heartbeat_cache.read(body("9", kRunning)).repeated_serial);
  EXPECT_THROW(heartbeat_cache.read(body("x", kRunning)), ProtocolError);
}

// Text that looks like the serial but is not, and serials that are not written as plain integers.
TEST(HeartbeatCache, OnlyTheDigitsOfTheSerialMayDiffer) {
  const std::vector<std::string> unusual_bodies = {
      body("7", kRunning, R"(,"extra":{"serial":7})"),
      body("7", kRunning, R"(,"extra":{"serial":8})"),
      body("7", kRunning, R"(,"note":"a\"serial\":7")"),
      body("7.0", kRunning),
      body("7e0", kRunning),
      body("07", kRunning),
      body(" 7 ", kRunning),
      body("18446744073709551615", kRunning),
      body("18446744073709551616", kRunning),
      body("", kRunning),
      body("7", kRunning, R"(,"serial":9)"),
  };
  for (const auto& before : unusual_bodies) {
    for (const auto& after : unusual_bodies) {
      HeartbeatCache heartbeat_cache;
      const auto read = [&](const std::string& text) -> std::optional<Heartbeat> {
        try {
          return heartbeat_cache.read(text);
        } catch (const ProtocolError&) {
          return std::nullopt;
        }
      };
      const auto parsed = [](const std::string& text) -> std::optional<Heartbeat> {
        try {
          return parse_heartbeat(text);
        } catch (const ProtocolError&) {
          return std::nullopt;
        }
      };
      read(before);
      const auto cached = read(after), expected = parsed(after);
      ASSERT_EQ(cached.has_value(), expected.has_value()) << before << "\n" << after;
      if (!cached) continue;
      EXPECT_TRUE(is_equal(*cached, *expected)) << before << "\n" << after;
    }
  }
}

TEST(HeartbeatCache, ReadsRandomlyModifiedHeartbeatsLikeTheParser) {
  std::mt19937 random(7);
  const std::string valid_body = body("41", std::string(kRunning) + "," + R"({"piece":"j-2/31","try":12,"status":"pulling"})");
  constexpr std::string_view kReplacementBytes = "0123456789,:{}[]\"\\ eE.-ax";
  HeartbeatCache heartbeat_cache;
  std::size_t repeated = 0, malformed = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string text = valid_body;
    for (auto changes = random() % 3; changes > 0; --changes)
      text[random() % text.size()] = kReplacementBytes[random() % kReplacementBytes.size()];
    std::optional<Heartbeat> cached, expected;
    try {
      cached = heartbeat_cache.read(text);
    } catch (const ProtocolError&) {
    }
    try {
      expected = parse_heartbeat(text);
    } catch (const ProtocolError&) {
      ++malformed;
    }
    ASSERT_EQ(cached.has_value(), expected.has_value()) << text;
    if (!cached) continue;
    ASSERT_TRUE(is_equal(*cached, *expected)) << text;
    repeated += cached->repeated_serial.has_value();
  }
  EXPECT_GT(repeated, 1000u);
  EXPECT_GT(malformed, 1000u);
}

}  // namespace
}  // namespace thistlefront
