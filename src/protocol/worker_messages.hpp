// Messages between controllers and agents: heartbeats, commands and redirects. Called by the heartbeat handler and the command
// sender. Whether a heartbeat is current is decided only by the heartbeat handler.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "protocol/protocol_error.hpp"

namespace thistlefront {

inline constexpr const char* kCommandsPath = "/commands";    ///< of the agent; POST: send commands
inline constexpr const char* kWorkerStatusPath = "/status";  ///< of the agent; GET: its state

/// Parses and validates a heartbeat; throws ProtocolError.
Heartbeat parse_heartbeat(std::string_view body);
/// Reply to a heartbeat: renews the node's lease under this fencing token and carries commands.
std::string heartbeat_reply_body(std::uint64_t fencing_token, const std::vector<Command>& commands);
/// Body of a request that sends commands outside of heartbeats, to one incarnation of the agent.
std::string commands_body(std::uint64_t fencing_token, std::uint64_t agent_incarnation, const std::vector<Command>& commands);
/// Redirects an agent to another controller. If the target is empty, the agent chooses one.
std::string redirect_body(std::string_view redirect_target);

}  // namespace thistlefront
