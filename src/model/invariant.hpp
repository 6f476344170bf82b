// Checks of invariants where state changes. They are on in builds with tests (THISTLEFRONT_TESTS); the deployed program does not
// end for a broken one.
#pragma once

#ifdef THISTLEFRONT_CHECK_INVARIANTS
#include <cassert>
#define THISTLEFRONT_INVARIANT(condition) assert(condition)
#else
#define THISTLEFRONT_INVARIANT(condition) static_cast<void>(sizeof(condition))
#endif
