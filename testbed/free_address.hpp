// Loopback addresses for the servers that tests and the testbed start.
#pragma once
#include <string>

namespace thistlefront::test_support {

// An address ("IP:port") that nothing listens on now. Its IP is a loopback address of this process alone: processes that shared one
// took each other's ports in the moment between two runs of a controller, and users were answered by the wrong cluster. The port lies
// below the range that outgoing connections take. Tries on until an address is free.
std::string free_address();

}  // namespace thistlefront::test_support
