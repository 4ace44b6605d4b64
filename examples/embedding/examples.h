#ifndef MEDLARCROFT_EXAMPLES_EMBEDDING_EXAMPLES_H_
#define MEDLARCROFT_EXAMPLES_EMBEDDING_EXAMPLES_H_

// Each example prints its result and returns whether it is as expected.

/// @brief Two processes share a limit of three, also when one of them borrows
/// from the other and then stops.
bool ShowShares();

/// @brief A request with an idempotency key runs once, however often it is
/// sent.
bool ShowKeys();

/// @brief A slow target receives fewer requests, but some.
bool ShowPlacement();

#endif  // MEDLARCROFT_EXAMPLES_EMBEDDING_EXAMPLES_H_
