#ifndef PACKAGES_PEER_PEER_LIMITS_H_
#define PACKAGES_PEER_PEER_LIMITS_H_

#include <cstddef>
#include <cstdint>

#include "packages/base/base.h"

namespace bramleyrail {

// Body of one frame.
inline constexpr uint32_t kMaximumFrameBytes = 8 * 1024 * 1024;
// Body of a frame before the hello was accepted; keeps a stranger from making
// an instance allocate a whole frame.
inline constexpr uint32_t kMaximumHelloBytes = 4 * 1024;
// Payload of a message, call or answer; leaves room for the envelope.
inline constexpr size_t kMaximumPayloadBytes = kMaximumFrameBytes - 1024;

// Limits of the queue of one connection. The bytes hold two answers of the
// largest size; the frames bound the overhead of small ones.
inline constexpr size_t kMaximumQueuedBytes = size_t{2} * kMaximumFrameBytes;
inline constexpr size_t kMaximumQueuedFrames = 8192;
// Calls of one peer that wait for an answer.
inline constexpr size_t kMaximumCallsInProgress = 16384;

inline constexpr Milliseconds kPeerHeartbeatInterval{500};
// A connection on which nothing was received for this long is closed. It also
// limits connecting and the exchange of hellos.
inline constexpr Milliseconds kPeerSilenceLimit{2000};

// Delay before a redial: random between half and all of a value that starts at
// the minimum and doubles up to the maximum. It starts over after a connection
// that was in use for at least kPeerSilenceLimit.
inline constexpr Milliseconds kMinimumRedialDelay{50};
inline constexpr Milliseconds kMaximumRedialDelay{2000};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_PEER_LIMITS_H_
