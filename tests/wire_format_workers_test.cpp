// Wire format of heartbeats and commands. The tests compare with literal strings or bytes, so that they fail if a change of the code alters
// what other programs read or write.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>

#include "model/command.hpp"
#include "model/task.hpp"
#include "protocol/worker_messages.hpp"
#include "wire_format.hpp"

namespace thistlefront {
namespace {

const std::string kFullHeartbeat = R"({"host":"m-000231","address":"10.1.0.232:9000","hostKind":"g8","yard":"a","loaners":true,)"
                                   R"("tenure":1,"serial":88,"epoch":41,"recallS":61.5,)"
                                   R"("pieces":[{"piece":"j-000412/3","try":2,"status":"running"},)"
                                   R"({"piece":"j-000398/0","try":1,"status":"exited","cause":"halted","kept":true}]})";

std::string heartbeat_error(const std::string& body) {
  return error_message_of([&] { parse_heartbeat(body); });
}

TEST(WireFormatWorkers, ParsesEachFieldOfAHeartbeat) {
  const auto heartbeat = parse_heartbeat(kFullHeartbeat);
  EXPECT_EQ(heartbeat.node, "m-000231");
  EXPECT_EQ(heartbeat.address, "10.1.0.232:9000");
  EXPECT_EQ(heartbeat.machine_type, "g8");
  EXPECT_EQ(heartbeat.zone, "a");
  EXPECT_TRUE(heartbeat.spot);
  EXPECT_EQ(heartbeat.agent_incarnation, 1u);
  EXPECT_EQ(heartbeat.serial, 88u);
  EXPECT_EQ(heartbeat.fencing_token, 41u);
  EXPECT_EQ(heartbeat.interruption_in_s, 61.5);
  EXPECT_EQ(heartbeat.repeated_serial, std::nullopt);
  ASSERT_EQ(heartbeat.tasks.size(), 2u);
  EXPECT_EQ(heartbeat.tasks[0].id.uid, "j-000412");
  EXPECT_EQ(heartbeat.tasks[0].id.task, 3u);
  EXPECT_EQ(heartbeat.tasks[0].attempt, 2u);
  EXPECT_EQ(heartbeat.tasks[0].phase, TaskPhase::running);
  EXPECT_EQ(heartbeat.tasks[0].exit_reason, ExitReason::none);
  EXPECT_FALSE(heartbeat.tasks[0].checkpointed);
  EXPECT_EQ(heartbeat.tasks[1].id.uid, "j-000398");
  EXPECT_EQ(heartbeat.tasks[1].id.task, 0u);
  EXPECT_EQ(heartbeat.tasks[1].attempt, 1u);
  EXPECT_EQ(heartbeat.tasks[1].phase, TaskPhase::exited);
  EXPECT_EQ(heartbeat.tasks[1].exit_reason, ExitReason::stopped);
  EXPECT_TRUE(heartbeat.tasks[1].checkpointed);
}

TEST(WireFormatWorkers, DefaultsOmittedFieldsOfAHeartbeat) {
  const auto heartbeat = parse_heartbeat(
      R"({"host":"m","address":"a","hostKind":"k","yard":"z","loaners":false,"tenure":1,"serial":2,"epoch":0,"pieces":[]})");
  EXPECT_FALSE(heartbeat.spot);
  EXPECT_EQ(heartbeat.interruption_in_s, std::nullopt);
  EXPECT_EQ(heartbeat.fencing_token, 0u);
  EXPECT_TRUE(heartbeat.tasks.empty());
}

TEST(WireFormatWorkers, ParsesSecondsUntilInterruptionAsNullOrNumber) {
  const auto parsed_interruption = [](std::string_view value) {
    return parse_heartbeat(replaced(kFullHeartbeat, R"("recallS":61.5)", R"("recallS":)" + std::string(value))).interruption_in_s;
  };
  EXPECT_EQ(parsed_interruption("null"), std::nullopt);
  EXPECT_EQ(parsed_interruption("0"), 0);
  EXPECT_EQ(parsed_interruption("12"), 12);
  EXPECT_EQ(parsed_interruption("-3"), 0);
  EXPECT_EQ(parse_heartbeat(without(kFullHeartbeat, R"("recallS":61.5,)")).interruption_in_s, std::nullopt);
}

TEST(WireFormatWorkers, ParsesNamesOfTaskPhases) {
  const auto parsed_phase = [](const std::string& name) {
    return parse_heartbeat(replaced(kFullHeartbeat, R"("status":"running")", R"("status":")" + name + "\"")).tasks.at(0).phase;
  };
  EXPECT_EQ(parsed_phase("pulling"), TaskPhase::pulling_image);
  EXPECT_EQ(parsed_phase("gathering"), TaskPhase::waiting_for_gang);
  EXPECT_EQ(parsed_phase("running"), TaskPhase::running);
  EXPECT_EQ(parsed_phase("saving"), TaskPhase::checkpointing);
  EXPECT_EQ(parsed_phase("exited"), TaskPhase::exited);
}

TEST(WireFormatWorkers, ParsesNamesOfExitReasons) {
  const auto parsed_exit_reason = [](const std::string& name) {
    return parse_heartbeat(replaced(kFullHeartbeat, R"("cause":"halted")", R"("cause":")" + name + "\"")).tasks.at(1).exit_reason;
  };
  EXPECT_EQ(parsed_exit_reason("done"), ExitReason::completed);
  EXPECT_EQ(parsed_exit_reason("halted"), ExitReason::stopped);
  EXPECT_EQ(parsed_exit_reason("peers"), ExitReason::gang_member_lost);
  EXPECT_EQ(parsed_exit_reason("alone"), ExitReason::gang_incomplete);
  EXPECT_EQ(parsed_exit_reason("error"), ExitReason::failed);
  EXPECT_EQ(parsed_exit_reason("no_room"), ExitReason::insufficient_resources);
  EXPECT_EQ(parsed_exit_reason("busy"), ExitReason::duplicate_attempt);
  EXPECT_EQ(parsed_exit_reason("unknown"), ExitReason::unknown_task);
  EXPECT_EQ(parsed_exit_reason("of a later version"), ExitReason::failed);
}

// Guards against a failing task that is restarted without end: an exit without a reason counted neither as completed nor as failed.
TEST(WireFormatWorkers, TreatsAnExitWithoutAReasonAsAFailure) {
  const auto exit_reason_with = [](std::string_view cause) {
    return parse_heartbeat(replaced(kFullHeartbeat, R"(,"cause":"halted")", cause)).tasks.at(1).exit_reason;
  };
  EXPECT_EQ(exit_reason_with(""), ExitReason::failed);
  EXPECT_EQ(exit_reason_with(R"(,"cause":null)"), ExitReason::failed);
  EXPECT_EQ(exit_reason_with(R"(,"cause":7)"), ExitReason::failed);
}

TEST(WireFormatWorkers, ErrorNamesTheFieldMissingInAHeartbeat) {
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("host":"m-000231",)")), "host: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("address":"10.1.0.232:9000",)")), "address: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("hostKind":"g8",)")), "hostKind: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("yard":"a",)")), "yard: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("loaners":true,)")), "loaners: missing");
  EXPECT_EQ(heartbeat_error(replaced(kFullHeartbeat, R"("loaners":true)", R"("loaners":null)")), "loaners: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("tenure":1,)")), "tenure: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("serial":88,)")), "serial: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("epoch":41,)")), "epoch: missing");
  EXPECT_EQ(heartbeat_error(replaced(kFullHeartbeat, R"("pieces":)", R"("others":)")), "pieces: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("piece":"j-000412/3",)")), "piece: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"("try":2,)")), "try: missing");
  EXPECT_EQ(heartbeat_error(without(kFullHeartbeat, R"(,"status":"running")")), "status: missing");
}

TEST(WireFormatWorkers, ErrorNamesTheInvalidFieldOfAHeartbeatAndTheReason) {
  const auto with = [](std::string_view part, std::string_view other) { return heartbeat_error(replaced(kFullHeartbeat, part, other)); };
  EXPECT_EQ(heartbeat_error("{"), "body: not JSON");
  EXPECT_EQ(heartbeat_error("[]"), "body: not an object");
  EXPECT_EQ(with(R"("host":"m-000231")", R"("host":7)"), "host: not a string");
  EXPECT_EQ(with(R"("host":"m-000231")", R"("host":"")"), "host: empty");
  EXPECT_EQ(with(R"("yard":"a")", R"("yard":")" + std::string(201, 'x') + "\""), "yard: too long");
  EXPECT_EQ(with(R"("loaners":true)", R"("loaners":1)"), "loaners: not true or false");
  EXPECT_EQ(with(R"("tenure":1)", R"("tenure":-1)"), "tenure: not a count");
  EXPECT_EQ(with(R"("serial":88)", R"("serial":"88")"), "serial: not a count");
  EXPECT_EQ(with(R"("epoch":41)", R"("epoch":1.5)"), "epoch: not a count");
  EXPECT_EQ(with(R"("recallS":61.5)", R"("recallS":"x")"), "recallS: not a number");
  EXPECT_EQ(with(R"("piece":"j-000412/3")", R"("piece":"j-000412")"), "piece: not a task");
  EXPECT_EQ(with(R"("piece":"j-000412/3")", R"("piece":3)"), "piece: not a string");
  EXPECT_EQ(with(R"("try":2)", R"("try":-2)"), "try: not a count");
  EXPECT_EQ(with(R"("status":"running")", R"("status":"odd")"), "status: not a known value");
  EXPECT_EQ(with(R"("kept":true)", R"("kept":"yes")"), "kept: not true or false");
  const std::string head = R"({"host":"m","address":"a","hostKind":"k","yard":"z","loaners":false,"tenure":1,"serial":2,"epoch":0,)";
  EXPECT_EQ(heartbeat_error(head + R"("pieces":3})"), "pieces: not a list");
  EXPECT_EQ(heartbeat_error(head + R"("pieces":[3]})"), "pieces: not objects");
}

TEST(WireFormatWorkers, EncodesHeartbeatReplyWithFencingTokenAndCommands) {
  EXPECT_EQ(heartbeat_reply_body(41, {}), R"({"epoch":41,"orders":[]})");
  EXPECT_EQ(heartbeat_reply_body(41, command_of_each_type()),
            R"({"epoch":41,"orders":[{"verb":"run","piece":"j-000412/4","try":2},{"verb":"kill","piece":"j-000377/1",)"
            R"("try":1,"windDownS":10},{"verb":"kill","piece":"j-000377/2","try":1,"windDownS":2.5},{"verb":"reap",)"
            R"("piece":"j-000398/0","try":1}]})");
}

TEST(WireFormatWorkers, EncodesCommandsWithAgentIncarnation) {
  EXPECT_EQ(commands_body(41, 1, {}), R"({"epoch":41,"tenure":1,"orders":[]})");
  EXPECT_EQ(commands_body(18446744073709551615u, 2, command_of_each_type()),
            R"({"epoch":18446744073709551615,"tenure":2,"orders":[{"verb":"run","piece":"j-000412/4","try":2},{"verb":"kill",)"
            R"("piece":"j-000377/1","try":1,"windDownS":10},{"verb":"kill","piece":"j-000377/2","try":1,"windDownS":2.5},)"
            R"({"verb":"reap","piece":"j-000398/0","try":1}]})");
}

TEST(WireFormatWorkers, EncodesRedirectTarget) {
  EXPECT_EQ(redirect_body("host-2"), R"({"steward":"host-2"})");
  EXPECT_EQ(redirect_body(""), R"({})");
}

TEST(WireFormatWorkers, PathsAreUnchanged) {
  EXPECT_STREQ(kCommandsPath, "/commands");
  EXPECT_STREQ(kWorkerStatusPath, "/status");
}

}  // namespace
}  // namespace thistlefront
