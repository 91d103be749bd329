#include "packages/peer/outbox.h"

#include <array>
#include <string>
#include <vector>

#include "packages/peer/peer_limits.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr size_t kFrameBytes = 10;

TEST_GROUP(Outbox) {
  Outbox outbox{[] {}};
  const MonotonicTime start{};

  Outbox::PushOutcome PushCall(uint64_t number, Milliseconds timeout) {
    PeerCallCallback callback = [](const Result<std::vector<std::byte>>&) {};
    return outbox.PushCall(number, std::vector<std::byte>(kFrameBytes),
                           start + timeout, &callback);
  }
  size_t GatheredBytes() {
    std::array<iovec, 16> buffers{};
    const size_t count = outbox.Gather(buffers);
    size_t bytes = 0;
    for (size_t i = 0; i < count; ++i) {
      bytes += buffers[i].iov_len;
    }
    return bytes;
  }
};

// Guards against a call that is reported as not sent although the peer may
// have received it, and the reverse.
TEST(Outbox, CloseTellsWhichCallsHadABytesWritten) {
  outbox.Open();
  PushCall(1, Milliseconds(100));
  PushCall(2, Milliseconds(100));
  PushCall(3, Milliseconds(100));
  outbox.MarkWritten(kFrameBytes + 1);
  size_t sent = 0;
  const std::vector<Outbox::FailedCall> failed = outbox.Close();
  for (const Outbox::FailedCall& call : failed) {
    sent += call.sent ? 1 : 0;
  }
  LONGS_EQUAL(3, failed.size());
  LONGS_EQUAL(2, sent);
  CHECK(outbox.empty());
  CHECK(PushCall(4, Milliseconds(100)) == Outbox::PushOutcome::kClosed);
}

// Guards against a call that failed as not sent and is written afterwards.
TEST(Outbox, ExpiredCallThatWasNotSentIsNeverWritten) {
  outbox.Open();
  PushCall(1, Milliseconds(50));
  PushCall(2, Milliseconds(50));
  PushCall(3, Milliseconds(100));
  outbox.MarkWritten(1);
  CHECK(outbox.NextDeadline() == start + Milliseconds(50));
  const std::vector<Outbox::FailedCall> expired =
      outbox.TakeExpired(start + Milliseconds(50));
  LONGS_EQUAL(2, expired.size());
  CHECK(expired[0].sent);
  CHECK(!expired[1].sent);
  // The rest of the first call and the whole third call.
  LONGS_EQUAL(kFrameBytes - 1 + kFrameBytes, GatheredBytes());
  CHECK(!outbox.TakeAnswered(1).has_value());
  CHECK(outbox.TakeAnswered(3).has_value());
}

// Guards against a queue without limits, by bytes and by frames.
TEST(Outbox, RefusesWhatExceedsItsLimits) {
  outbox.Open();
  CHECK(outbox.Push(std::vector<std::byte>(kMaximumQueuedBytes)) ==
        Outbox::PushOutcome::kQueued);
  CHECK(outbox.Push(std::vector<std::byte>(1)) == Outbox::PushOutcome::kFull);
  CHECK(PushCall(1, Milliseconds(100)) == Outbox::PushOutcome::kFull);
  outbox.MarkWritten(kMaximumQueuedBytes);
  for (size_t i = 0; i < kMaximumQueuedFrames; ++i) {
    CHECK(outbox.Push(std::vector<std::byte>(1)) ==
          Outbox::PushOutcome::kQueued);
  }
  CHECK(outbox.Push(std::vector<std::byte>(1)) == Outbox::PushOutcome::kFull);
}

// Guards against an answer that is lost while the caller waits for it.
TEST(Outbox, AnswerThatDoesNotFitIsReported) {
  outbox.Open();
  outbox.PushAnswer(std::vector<std::byte>(kMaximumQueuedBytes));
  CHECK(!outbox.overflowed());
  outbox.PushAnswer(std::vector<std::byte>(1));
  CHECK(outbox.overflowed());
}

}  // namespace
}  // namespace bramleyrail
