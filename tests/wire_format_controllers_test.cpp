// Wire format of messages between controllers. The tests compare with literal strings or bytes, so that they fail if a change of the code
// alters what other programs read or write.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/command.hpp"
#include "model/task.hpp"
#include "protocol/peer_messages.hpp"
#include "protocol/relay_messages.hpp"
#include "protocol/version_messages.hpp"
#include "transport/frames.hpp"
#include "transport/socket.hpp"
#include "wire_format.hpp"

namespace thistlefront {
namespace {

TEST(WireFormatControllers, TargetsOfCallsAreUnchanged) {
  EXPECT_STREQ(kRelaySupportTarget, "/intake");
  EXPECT_STREQ(kSupportedVersionsTarget, "/levels");
  EXPECT_STREQ(kTeamQuotasTarget, "/teams");
}

TEST(WireFormatControllers, FramesBeginWithLengthVersionAndKind) {
  EXPECT_EQ(kFrameVersion, 2);
  EXPECT_EQ(kMaxFrameBytes, 524288u);
  int sockets[2] = {};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets), 0);
  Stream writer{Socket(sockets[0])};
  Stream reader{Socket(sockets[1])};
  Frame frame;
  frame.kind = 3;
  frame.payload = "abc";
  ErrorCode ec;
  ASSERT_TRUE(write_frame(writer, frame, ec));
  std::array<char, 9> bytes{};
  ASSERT_TRUE(reader.read_exact(bytes.data(), bytes.size(), ec));
  const std::string expected_bytes = "050000000203616263";
  EXPECT_EQ(hex_of(std::string_view(bytes.data(), bytes.size())), expected_bytes);
  const auto sent = bytes_of(expected_bytes);
  ASSERT_TRUE(writer.write_all(sent.data(), sent.size(), ec));
  Frame read;
  ASSERT_TRUE(read_frame(reader, read, ec));
  EXPECT_EQ(read.kind, 3);
  EXPECT_EQ(read.payload, "abc");
}

constexpr std::string_view kPeerHeartbeatBytes =
    "01 0900000000000000070000000000000006000000686f73742d310500000000000000d20400000000000006000000";

TEST(WireFormatControllers, PacksAndUnpacksPeerHeartbeat) {
  PeerHeartbeat peer_heartbeat;
  peer_heartbeat.label = "host-1";
  peer_heartbeat.fencing_token = 9;
  peer_heartbeat.takeover_token = 7;
  peer_heartbeat.echoed_process = 5;
  peer_heartbeat.echoed_clock_ms = 1234;
  peer_heartbeat.oldest_cancellation_age_ms = 6;
  EXPECT_EQ(hex_of(pack(peer_heartbeat)), kPeerHeartbeatBytes);
  const auto read = unpack_peer_heartbeat(frame_of(kPeerHeartbeatBytes));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->label, "host-1");
  EXPECT_EQ(read->fencing_token, 9u);
  EXPECT_EQ(read->takeover_token, 7u);
  EXPECT_EQ(read->echoed_process, 5u);
  EXPECT_EQ(read->echoed_clock_ms, 1234u);
  EXPECT_EQ(read->oldest_cancellation_age_ms, 6u);
}

constexpr std::string_view kPeerHeartbeatAckBytes = "02 090000000000000006000000686f73742d310500000000000000d20400000000000006000000";

TEST(WireFormatControllers, PacksAndUnpacksPeerHeartbeatAck) {
  PeerHeartbeatAck ack;
  ack.fencing_token = 9;
  ack.leader = "host-1";
  ack.process = 5;
  ack.clock_ms = 1234;
  ack.last_renewal_age_ms = 6;
  EXPECT_EQ(hex_of(pack(ack)), kPeerHeartbeatAckBytes);
  const auto read = unpack_peer_heartbeat_ack(frame_of(kPeerHeartbeatAckBytes));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->fencing_token, 9u);
  EXPECT_EQ(read->leader, "host-1");
  EXPECT_EQ(read->process, 5u);
  EXPECT_EQ(read->clock_ms, 1234u);
  EXPECT_EQ(read->last_renewal_age_ms, 6u);
}

constexpr std::string_view kCallBytes = "03 04000000504f5354080000002f76312f6a6f6273020000007b7d";

TEST(WireFormatControllers, PacksAndUnpacksForwardedRequest) {
  PeerCall call;
  call.method = "POST";
  call.target = "/v1/jobs";
  call.body = "{}";
  EXPECT_EQ(hex_of(pack(call)), kCallBytes);
  const auto read = unpack_call(frame_of(kCallBytes));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->method, "POST");
  EXPECT_EQ(read->target, "/v1/jobs");
  EXPECT_EQ(read->body, "{}");
}

constexpr std::string_view kReplyBytes = "04 f7010200c4090000020000007b7d";
constexpr std::string_view kUnlimitedReplyBytes = "04 c8000000ffffffff020000007b7d";
constexpr std::string_view kExpiredReplyBytes = "04 f701020000000000020000007b7d";

TEST(WireFormatControllers, PacksAndUnpacksReplyWithRemainingValidity) {
  HttpReply reply;
  reply.status = 503;
  reply.body = "{}";
  reply.retry_after_s = 2;
  reply.valid_until = 102.5;
  EXPECT_EQ(hex_of(pack(reply, 100)), kReplyBytes);
  EXPECT_EQ(hex_of(pack(reply, 200)), kExpiredReplyBytes);
  const auto read = unpack_reply(frame_of(kReplyBytes), 10);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->status, 503u);
  EXPECT_EQ(read->body, "{}");
  EXPECT_EQ(read->retry_after_s, 2);
  EXPECT_EQ(read->valid_until, 12.5);
}

TEST(WireFormatControllers, PacksAndUnpacksReplyWithUnlimitedValidity) {
  HttpReply reply;
  reply.body = "{}";
  EXPECT_EQ(hex_of(pack(reply, 100)), kUnlimitedReplyBytes);
  const auto read = unpack_reply(frame_of(kUnlimitedReplyBytes), 10);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->status, 200u);
  EXPECT_EQ(read->retry_after_s, 0);
  EXPECT_EQ(read->valid_until, std::numeric_limits<double>::infinity());
}

TaskReport task_report_of(const std::string& uid, std::uint32_t task, TaskPhase phase, ExitReason exit_reason, bool checkpointed) {
  TaskReport task_report;
  task_report.id = task_id(uid, task);
  task_report.attempt = 2;
  task_report.phase = phase;
  task_report.exit_reason = exit_reason;
  task_report.checkpointed = checkpointed;
  return task_report;
}

AttemptKey attempt_key(const std::string& uid, std::uint32_t task, std::uint64_t attempt) {
  AttemptKey key;
  key.id = task_id(uid, task);
  key.attempt = attempt;
  return key;
}

HeartbeatDelta delta_of(HeartbeatDelta::Kind kind) {
  HeartbeatDelta delta;
  delta.kind = kind;
  delta.node = "m-1";
  delta.agent_incarnation = 1;
  delta.serial = 88;
  delta.fencing_token = 41;
  return delta;
}

HeartbeatDelta full_delta() {
  auto delta = delta_of(HeartbeatDelta::Kind::full);
  delta.interruption_in_s = 61.5;
  delta.address = "10.1.0.2:9000";
  delta.machine_type = "g8";
  delta.zone = "a";
  delta.spot = true;
  delta.tasks = {task_report_of("j-1", 3, TaskPhase::running, ExitReason::none, false),
                 task_report_of("j-2", 0, TaskPhase::exited, ExitReason::stopped, true)};
  return delta;
}
HeartbeatDelta difference_delta() {
  auto delta = delta_of(HeartbeatDelta::Kind::difference);
  delta.base_serial = 87;
  delta.spot = true;
  delta.tasks = {task_report_of("j-1", 3, TaskPhase::checkpointing, ExitReason::none, false)};
  delta.removed = {attempt_key("j-2", 0, 1), attempt_key("j-3", 7, 4)};
  return delta;
}
HeartbeatDelta unchanged_delta() {
  auto delta = delta_of(HeartbeatDelta::Kind::unchanged);
  delta.base_serial = 86;
  delta.interruption_in_s = 0.25;
  return delta;
}

HeartbeatBatch batch_of(const std::vector<HeartbeatDelta>& heartbeats) {
  HeartbeatBatch batch;
  batch.sender = "host-2";
  batch.takeover_token = 7;
  batch.agent_count = 300;
  batch.heartbeats = heartbeats;
  return batch;
}

// Unpacks a batch that must contain exactly one heartbeat.
HeartbeatDelta unpack_only_heartbeat(std::string_view hex) {
  const auto batch = unpack_heartbeat_batch(frame_of(hex));
  EXPECT_TRUE(batch && batch->heartbeats.size() == 1);
  return batch ? batch->heartbeats.at(0) : HeartbeatDelta{};
}

void expect_task_report(const TaskReport& task_report, const std::string& uid, std::uint32_t task, TaskPhase phase, ExitReason exit_reason,
                        bool checkpointed) {
  EXPECT_EQ(task_report.id.uid, uid);
  EXPECT_EQ(task_report.id.task, task);
  EXPECT_EQ(task_report.attempt, 2u);
  EXPECT_EQ(task_report.phase, phase);
  EXPECT_EQ(task_report.exit_reason, exit_reason);
  EXPECT_EQ(task_report.checkpointed, checkpointed);
}

void expect_delta_header(const HeartbeatDelta& delta, HeartbeatDelta::Kind kind) {
  EXPECT_EQ(delta.kind, kind);
  EXPECT_EQ(delta.node, "m-1");
  EXPECT_EQ(delta.agent_incarnation, 1u);
  EXPECT_EQ(delta.serial, 88u);
  EXPECT_EQ(delta.fencing_token, 41u);
}

constexpr std::string_view kEmptyBatchBytes = "05 0106000000686f73742d3207000000000000002c01000000000000";

TEST(WireFormatControllers, PacksAndUnpacksEmptyBatch) {
  EXPECT_EQ(hex_of(pack(batch_of({}))), kEmptyBatchBytes);
  const auto batch = unpack_heartbeat_batch(frame_of(kEmptyBatchBytes));
  ASSERT_TRUE(batch);
  EXPECT_EQ(batch->sender, "host-2");
  EXPECT_EQ(batch->takeover_token, 7u);
  EXPECT_EQ(batch->agent_count, 300u);
  EXPECT_TRUE(batch->heartbeats.empty());
}

constexpr std::string_view kFullHeartbeatBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000100000001030000006d2d31010000000000000058000000000000002900000000000000033cf000000d0000"
    "0031302e312e302e323a39303030020000006738010000006102000000030000006a2d31030000000200000000000000020000030000006a2d32000000000200000000"
    "000000040201";

TEST(WireFormatControllers, PacksAndUnpacksFullHeartbeat) {
  EXPECT_EQ(hex_of(pack(batch_of({full_delta()}))), kFullHeartbeatBytes);
  const auto delta = unpack_only_heartbeat(kFullHeartbeatBytes);
  expect_delta_header(delta, HeartbeatDelta::Kind::full);
  EXPECT_EQ(delta.interruption_in_s, 61.5);
  EXPECT_EQ(delta.base_serial, 0u);
  EXPECT_EQ(delta.address, "10.1.0.2:9000");
  EXPECT_EQ(delta.machine_type, "g8");
  EXPECT_EQ(delta.zone, "a");
  EXPECT_TRUE(delta.spot);
  ASSERT_EQ(delta.tasks.size(), 2u);
  expect_task_report(delta.tasks[0], "j-1", 3, TaskPhase::running, ExitReason::none, false);
  expect_task_report(delta.tasks[1], "j-2", 0, TaskPhase::exited, ExitReason::stopped, true);
  EXPECT_TRUE(delta.removed.empty());
}

constexpr std::string_view kDifferenceBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000100000002030000006d2d310100000000000000580000000000000029000000000000000200000000570000"
    "000000000001000000030000006a2d3103000000020000000000000003000002000000030000006a2d32000000000100000000000000030000006a2d33070000000400"
    "000000000000";

TEST(WireFormatControllers, PacksAndUnpacksHeartbeatDifference) {
  EXPECT_EQ(hex_of(pack(batch_of({difference_delta()}))), kDifferenceBytes);
  const auto delta = unpack_only_heartbeat(kDifferenceBytes);
  expect_delta_header(delta, HeartbeatDelta::Kind::difference);
  EXPECT_EQ(delta.interruption_in_s, std::nullopt);
  EXPECT_EQ(delta.base_serial, 87u);
  EXPECT_EQ(delta.address, "");
  EXPECT_TRUE(delta.spot);
  ASSERT_EQ(delta.tasks.size(), 1u);
  expect_task_report(delta.tasks[0], "j-1", 3, TaskPhase::checkpointing, ExitReason::none, false);
  ASSERT_EQ(delta.removed.size(), 2u);
  EXPECT_EQ(delta.removed[0].id.uid, "j-2");
  EXPECT_EQ(delta.removed[0].id.task, 0u);
  EXPECT_EQ(delta.removed[0].attempt, 1u);
  EXPECT_EQ(delta.removed[1].id.uid, "j-3");
  EXPECT_EQ(delta.removed[1].id.task, 7u);
  EXPECT_EQ(delta.removed[1].attempt, 4u);
}

constexpr std::string_view kUnchangedBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000100000003030000006d2d3101000000000000005800000000000000290000000000000001fa000000560000"
    "0000000000";

TEST(WireFormatControllers, PacksAndUnpacksUnchangedHeartbeat) {
  EXPECT_EQ(hex_of(pack(batch_of({unchanged_delta()}))), kUnchangedBytes);
  const auto delta = unpack_only_heartbeat(kUnchangedBytes);
  expect_delta_header(delta, HeartbeatDelta::Kind::unchanged);
  EXPECT_EQ(delta.interruption_in_s, 0.25);
  EXPECT_EQ(delta.base_serial, 86u);
  EXPECT_FALSE(delta.spot);
  EXPECT_TRUE(delta.tasks.empty());
}

constexpr std::string_view kMixedBatchBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000300000001030000006d2d31010000000000000058000000000000002900000000000000033cf000000d0000"
    "0031302e312e302e323a39303030020000006738010000006102000000030000006a2d31030000000200000000000000020000030000006a2d32000000000200000000"
    "00000004020102030000006d2d310100000000000000580000000000000029000000000000000200000000570000000000000001000000030000006a2d310300000002"
    "0000000000000003000002000000030000006a2d32000000000100000000000000030000006a2d3307000000040000000000000003030000006d2d3101000000000000"
    "005800000000000000290000000000000001fa0000005600000000000000";

TEST(WireFormatControllers, PacksAndUnpacksBatchOfAllDeltaKinds) {
  EXPECT_EQ(hex_of(pack(batch_of({full_delta(), difference_delta(), unchanged_delta()}))), kMixedBatchBytes);
  const auto batch = unpack_heartbeat_batch(frame_of(kMixedBatchBytes));
  ASSERT_TRUE(batch);
  ASSERT_EQ(batch->heartbeats.size(), 3u);
  expect_delta_header(batch->heartbeats[0], HeartbeatDelta::Kind::full);
  expect_delta_header(batch->heartbeats[1], HeartbeatDelta::Kind::difference);
  expect_delta_header(batch->heartbeats[2], HeartbeatDelta::Kind::unchanged);
}

const std::vector<TaskPhase> kPhasesInOrder{TaskPhase::pulling_image, TaskPhase::waiting_for_gang, TaskPhase::running,
                                            TaskPhase::checkpointing, TaskPhase::exited};
const std::vector<ExitReason> kExitReasonsInOrder{ExitReason::none,
                                                  ExitReason::completed,
                                                  ExitReason::stopped,
                                                  ExitReason::gang_member_lost,
                                                  ExitReason::gang_incomplete,
                                                  ExitReason::failed,
                                                  ExitReason::insufficient_resources,
                                                  ExitReason::duplicate_attempt,
                                                  ExitReason::unknown_task,
                                                  ExitReason::node_lost};
constexpr std::string_view kPhasesAndExitReasonsBytes =
    "05 "
    "0106000000686f73742d3207000000000000002c0100000100000002030000006d2d310100000000000000580000000000000029000000000000000200000000570000"
    "00000000000f000000030000006a2d31000000000200000000000000000000030000006a2d31000000000200000000000000010000030000006a2d3100000000020000"
    "0000000000020000030000006a2d31000000000200000000000000030000030000006a2d31000000000200000000000000040000030000006a2d310000000002000000"
    "00000000040000030000006a2d31000000000200000000000000040100030000006a2d31000000000200000000000000040200030000006a2d31000000000200000000"
    "000000040300030000006a2d31000000000200000000000000040400030000006a2d31000000000200000000000000040500030000006a2d3100000000020000000000"
    "0000040600030000006a2d31000000000200000000000000040700030000006a2d31000000000200000000000000040800030000006a2d310000000002000000000000"
    "0004090000000000";

TEST(WireFormatControllers, NumbersOfPhasesAndExitReasonsAreUnchanged) {
  auto delta = difference_delta();
  delta.tasks.clear();
  delta.removed.clear();
  for (const auto phase : kPhasesInOrder) delta.tasks.push_back(task_report_of("j-1", 0, phase, ExitReason::none, false));
  for (const auto exit_reason : kExitReasonsInOrder) delta.tasks.push_back(task_report_of("j-1", 0, TaskPhase::exited, exit_reason, false));
  EXPECT_EQ(hex_of(pack(batch_of({delta}))), kPhasesAndExitReasonsBytes);
  const auto tasks = unpack_only_heartbeat(kPhasesAndExitReasonsBytes).tasks;
  ASSERT_EQ(tasks.size(), kPhasesInOrder.size() + kExitReasonsInOrder.size());
  for (std::size_t i = 0; i < kPhasesInOrder.size(); ++i) EXPECT_EQ(tasks[i].phase, kPhasesInOrder[i]) << i;
  for (std::size_t i = 0; i < kExitReasonsInOrder.size(); ++i)
    EXPECT_EQ(tasks[kPhasesInOrder.size() + i].exit_reason, kExitReasonsInOrder[i]) << i;
}

HeartbeatReply reply_of(HeartbeatReply::Outcome outcome) {
  HeartbeatReply reply;
  reply.outcome = outcome;
  return reply;
}

constexpr std::string_view kBatchReplyBytes =
    "06 "
    "01070000000000000009000000000000001400000006000000686f73742d3304000000010300000000030000006a2d3104000000020000000000000000000000010300"
    "00006a2d32010000000100000000000000c409000002030000006a2d3300000000010000000000000000000000020000000003000000000400000000";

TEST(WireFormatControllers, PacksAndUnpacksBatchReply) {
  HeartbeatBatchReply reply;
  reply.takeover_token = 7;
  reply.fencing_token = 9;
  reply.redirect_count = 20;
  reply.redirect_target = "host-3";
  reply.replies = {reply_of(HeartbeatReply::Outcome::renewed), reply_of(HeartbeatReply::Outcome::refused),
                   reply_of(HeartbeatReply::Outcome::full_required), reply_of(HeartbeatReply::Outcome::retry_later)};
  reply.replies[0].commands = {command(CommandType::run, "j-1", 4, 2), command(CommandType::kill, "j-2", 1, 1, 2.5),
                               command(CommandType::acknowledge_exit, "j-3", 0, 1)};
  EXPECT_EQ(hex_of(pack(reply)), kBatchReplyBytes);

  const auto read = unpack_heartbeat_batch_reply(frame_of(kBatchReplyBytes));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->takeover_token, 7u);
  EXPECT_EQ(read->fencing_token, 9u);
  EXPECT_EQ(read->redirect_count, 20u);
  EXPECT_EQ(read->redirect_target, "host-3");
  ASSERT_EQ(read->replies.size(), 4u);
  EXPECT_EQ(read->replies[0].outcome, HeartbeatReply::Outcome::renewed);
  EXPECT_EQ(read->replies[1].outcome, HeartbeatReply::Outcome::refused);
  EXPECT_EQ(read->replies[2].outcome, HeartbeatReply::Outcome::full_required);
  EXPECT_EQ(read->replies[3].outcome, HeartbeatReply::Outcome::retry_later);
  const auto& commands = read->replies[0].commands;
  ASSERT_EQ(commands.size(), 3u);
  EXPECT_EQ(commands[0].type, CommandType::run);
  EXPECT_EQ(commands[0].id.uid, "j-1");
  EXPECT_EQ(commands[0].id.task, 4u);
  EXPECT_EQ(commands[0].attempt, 2u);
  EXPECT_EQ(commands[1].type, CommandType::kill);
  EXPECT_EQ(commands[1].grace_period_s, 2.5);
  EXPECT_EQ(commands[2].type, CommandType::acknowledge_exit);
}

TEST(WireFormatControllers, RejectsFramesOfAnotherVersionOrKind) {
  auto batch = frame_of(kFullHeartbeatBytes);
  batch.payload[0] = 2;
  EXPECT_FALSE(unpack_heartbeat_batch(batch));
  EXPECT_FALSE(unpack_heartbeat_batch_reply(frame_of(kFullHeartbeatBytes)));
  EXPECT_FALSE(unpack_peer_heartbeat(frame_of(kPeerHeartbeatAckBytes)));
  EXPECT_FALSE(unpack_peer_heartbeat_ack(frame_of(kPeerHeartbeatBytes)));
  EXPECT_FALSE(unpack_call(frame_of(kReplyBytes)));
  EXPECT_FALSE(unpack_reply(frame_of(kCallBytes), 0));
}

constexpr std::string_view kSupportedVersionsBytes = "01000100000004000000030000002a0000000000000005000000302e332e30ab00000000000000";

TEST(WireFormatControllers, PacksAndUnpacksSupportedVersions) {
  EXPECT_EQ(hex_of(pack(supported_versions_of_host())), kSupportedVersionsBytes);
  EXPECT_EQ(unpack_supported_versions(bytes_of(kSupportedVersionsBytes)), supported_versions_of_host());
  EXPECT_EQ(unpack_supported_versions(bytes_of(kSupportedVersionsBytes) + "of a later version"), supported_versions_of_host());
  EXPECT_EQ(unpack_supported_versions(bytes_of(kSupportedVersionsBytes.substr(2))), std::nullopt);
}

constexpr std::string_view kTeamsBytes =
    "01000200000004000000626c75650000000000000000000000000000000000000000000000000000000000000000030000007265640000000000002040000000000000"
    "e03f00000000000030400000000000001140";

TEST(WireFormatControllers, PacksAndUnpacksTeamQuotas) {
  std::map<std::string, TeamQuota> teams;
  teams["red"] = quota(8, 0.5, 16, 4.25);
  teams["blue"] = quota(0, 0, 0, 0);
  EXPECT_EQ(hex_of(pack(teams)), kTeamsBytes);
  EXPECT_EQ(unpack_teams(bytes_of(kTeamsBytes)), teams);
  EXPECT_EQ(unpack_teams(bytes_of(kTeamsBytes) + "x"), std::nullopt);
}

}  // namespace
}  // namespace thistlefront
