#include "packages/peer/frame_reader.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "packages/peer/envelope.h"
#include "packages/peer/peer_limits.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(FrameReader) {
  FrameReader reader{kMaximumFrameBytes};
  std::vector<std::string> bodies;

  Result<void> Feed(std::span<const std::byte> data) {
    return reader.Feed(data,
                       [this](std::span<const std::byte> body) -> Result<void> {
                         bodies.emplace_back(AsText(body));
                         return Success();
                       });
  }
};

// Guards against frames that depend on how the stream is cut into reads.
TEST(FrameReader, FramesComeOutWhateverTheCuts) {
  CHECK(rc::check([this](const std::vector<std::string>& texts) {
    std::vector<std::byte> stream;
    std::vector<std::string> expected;
    for (const std::string& text : texts) {
      expected.push_back(text + "!");
      const auto frame = EncodeFrame(AsBytes(expected.back()));
      stream.insert(stream.end(), frame.begin(), frame.end());
    }
    bodies.clear();
    std::span<const std::byte> rest = stream;
    while (!rest.empty()) {
      const auto count = *rc::gen::inRange<size_t>(1, rest.size() + 1);
      RC_ASSERT(Feed(rest.first(count)).has_value());
      rest = rest.subspan(count);
    }
    RC_ASSERT(bodies == expected);
  }));
}

// Guards against a damaged bit anywhere in a frame that goes unnoticed.
TEST(FrameReader, EveryDamagedBitOfTheBodyIsFound) {
  const std::vector<std::byte> frame = EncodeFrame(AsBytes("a small body"));
  for (size_t bit = 32; bit < frame.size() * 8; ++bit) {
    std::vector<std::byte> damaged = frame;
    damaged[bit / 8] ^= std::byte{1} << (bit % 8);
    reader = FrameReader(kMaximumFrameBytes);
    const Result<void> outcome = Feed(damaged);
    CHECK(outcome.has_error());
    CHECK(outcome.error().kind == ErrorKind::kDataLoss);
  }
  CHECK(bodies.empty());
}

// Guards against a length that makes the reader wait or allocate.
TEST(FrameReader, LengthBeyondTheLimitIsRefusedWithoutItsBody) {
  const std::vector<std::byte> largest(kMaximumFrameBytes);
  const std::vector<std::byte> too_large(kMaximumFrameBytes + 1);
  CHECK(Feed(EncodeFrame(largest)).has_value());
  const std::vector<std::byte> frame = EncodeFrame(too_large);
  CHECK(Feed(std::span(frame).first(kFrameHeaderBytes)).has_error());
  reader = FrameReader(kMaximumFrameBytes);
  CHECK(Feed(EncodeFrame({})).has_error());
}

// Guards against envelopes that are read without being verified. Only the
// padding behind the payload may be missing.
TEST(FrameReader, TornEnvelopeIsRefused) {
  const std::vector<std::byte> frame = EncodePayload(
      peer_wire::Flag::kOneWay, PeerChannel::kStatus, 0, AsBytes("payload"));
  const std::vector<std::byte> whole(frame.begin() + kFrameHeaderBytes,
                                     frame.end());
  const std::span<const std::byte> payload =
      PayloadOf(*ReadEnvelope(whole).value());
  CHECK(AsText(payload) == "payload");
  const auto end = payload.data() + payload.size() - whole.data();
  for (std::ptrdiff_t length = 1; length < end; ++length) {
    const std::vector<std::byte> torn(whole.begin(), whole.begin() + length);
    CHECK(ReadEnvelope(torn).has_error());
  }
}

}  // namespace
}  // namespace bramleyrail
