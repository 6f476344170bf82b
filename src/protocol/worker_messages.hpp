// What the agents of nodes send and are answered: heartbeats, commands, redirects. Called by the heartbeat handler and the
// command sender; it must never judge whether a heartbeat is current.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/command.hpp"
#include "model/heartbeat.hpp"
#include "protocol/protocol_error.hpp"

namespace thistlefront {

inline constexpr const char* kCommandsPath = "/commands";    ///< on the agent: commands are posted here
inline constexpr const char* kWorkerStatusPath = "/status";  ///< on the agent: asked for its state

/// Checks and reads a heartbeat; throws ProtocolError.
Heartbeat parse_heartbeat(std::string_view body);
/// Answer to a heartbeat: it renews the node's lease under that fencing token and carries commands.
std::string heartbeat_response_body(std::uint64_t fencing_token, const std::vector<Command>& commands);
/// Commands sent outside of a heartbeat, for one incarnation of the agent.
std::string commands_body(std::uint64_t fencing_token, std::uint64_t agent_incarnation, const std::vector<Command>& commands);
/// Sends an agent to another controller; an empty target leaves the choice to the agent.
std::string redirect_body(std::string_view redirect_target);

}  // namespace thistlefront
