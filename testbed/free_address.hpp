// Loopback addresses for the servers that tests and the testbed start.
#pragma once
#include <string>

namespace thistlefront::test_support {

// Returns an address ("IP:port") on which no process listens, and retries until it finds one. The loopback IP is derived from the process
// id: processes that share an IP can take each other's ports while a controller restarts, so that users get replies from the wrong cluster.
// The port lies below the range of ephemeral ports of outgoing connections.
std::string free_address();

}  // namespace thistlefront::test_support
