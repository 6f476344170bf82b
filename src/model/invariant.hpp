// Checks of invariants where state changes. Enabled only in builds with tests (THISTLEFRONT_TESTS), so that a violated invariant
// does not abort the deployed program.
#pragma once

#ifdef THISTLEFRONT_CHECK_INVARIANTS
#include <cassert>
#define THISTLEFRONT_INVARIANT(condition) assert(condition)
#else
#define THISTLEFRONT_INVARIANT(condition) static_cast<void>(sizeof(condition))
#endif
