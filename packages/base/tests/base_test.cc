#include "packages/base/base.h"
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(Base){};

// Guards against a checksum of another polynomial, which would make stored
// logs unreadable for other versions.
TEST(Base, Crc32cMatchesThePublishedCheckValue) {
  UNSIGNED_LONGS_EQUAL(0xE3069283u, Crc32c(AsBytes("123456789")));
}

TEST(Base, NameRulesRefuseWhatCannotStandInAUrl) {
  CHECK(ValidateName("price-list.v2").has_value());
  CHECK(!ValidateName("").has_value());
  CHECK(!ValidateName("Quote").has_value());
  CHECK(!ValidateName("-quote").has_value());
  CHECK(!ValidateName("a/b").has_value());
  CHECK(!ValidateName(std::string(64, 'a')).has_value());
}

// Guards against values whose levels take more stack to copy than a thread has,
// and against an exception for a number that a double cannot hold.
TEST(Base, JsonThatWouldEndTheProcessIsRefused) {
  const auto nested = [](int levels) {
    return std::string(levels, '[') + std::string(levels, ']');
  };
  CHECK(ParseJson(nested(kMaximumNestingDepth), JsonComments::kRefuse)
            .has_value());
  for (const int levels : {kMaximumNestingDepth + 1, 200'000}) {
    const auto refused = ParseJson(nested(levels), JsonComments::kRefuse);
    CHECK(!refused);
    CHECK(refused.error().kind == ErrorKind::kInvalidArgument);
  }
  CHECK(!ParseJson(R"({"seq":1e999})", JsonComments::kRefuse));
  CHECK(ParseJson("// [[[[\n" + nested(kMaximumNestingDepth),
                  JsonComments::kAllow)
            .has_value());
}

// Guards against a message of a peer that ends the process: the decoder takes
// stack for each level.
TEST(Base, DeeplyNestedCborIsRefused) {
  constexpr std::byte kArrayOfOne{0x81};
  std::vector<std::byte> data(1'000'000, kArrayOfOne);
  CHECK(!codec::FromCbor(data));
  data.back() = std::byte{0x00};
  CHECK(!codec::FromCbor(data));
  CHECK(
      codec::FromCbor(std::span(data).last(kMaximumNestingDepth)).has_value());
}

// Guards against bytes of a damaged snapshot or of a peer that make the process
// read beyond them, or allocate what they announce.
TEST(Base, CborArraysAreSplitIntoTheirElements) {
  const Json values = Json::array(
      {1, -70'000, 3.5, "text", Json::array({Json::array(), true}), nullptr});
  const std::vector<std::byte> encoded = codec::ToCbor(values);
  const auto elements = codec::ElementsOf(encoded);
  CHECK(elements.has_value());
  std::vector<std::byte> joined;
  codec::AppendArrayHead(elements.value().size(), &joined);
  for (size_t index = 0; index < elements.value().size(); ++index) {
    const std::span<const std::byte> element = elements.value()[index];
    CHECK(codec::FromCbor(element).value() == values[index]);
    joined.insert(joined.end(), element.begin(), element.end());
  }
  CHECK(joined == encoded);
  for (size_t length = 0; length < encoded.size(); ++length) {
    CHECK(codec::ElementsOf(std::span(encoded).first(length)).has_error());
  }
  joined.push_back(std::byte{0});
  CHECK(codec::ElementsOf(joined).has_error());
  for (const auto& damaged : std::vector<std::vector<uint8_t>>{
           {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x00},
           {0x81, 0x7b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
           {0x81, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
           {0x9f, 0x00, 0xff},
           {0x81, 0x1f},
           {0x01}}) {
    CHECK(codec::ElementsOf(std::as_bytes(std::span(damaged))).has_error());
  }
}

TEST(Base, LongCborArraysAreReadByTheDecoder) {
  for (const size_t size : {size_t{23}, size_t{24}, size_t{300}}) {
    std::vector<std::byte> encoded;
    codec::AppendArrayHead(size, &encoded);
    encoded.resize(encoded.size() + size);
    CHECK(codec::FromCbor(encoded).value().size() == size);
    CHECK(codec::ElementsOf(encoded).value().size() == size);
  }
}

TEST(Base, JsonStringsAreEscapedAsTheyAreRead) {
  for (const std::string text :
       {"", "plain", "\"quoted\" \\ back", "\n\t\x01\x7f", "\u00e4\u2028"}) {
    std::string output = "x";
    AppendJsonString(text, &output);
    CHECK(ParseJson(output.substr(1), JsonComments::kRefuse).value() == text);
  }
  std::string output;
  AppendJsonString("\xff", &output);
  CHECK(ParseJson(output, JsonComments::kRefuse).has_value());
}

// Guards against a reader that stops at the first fault.
TEST(Base, JsonReaderCollectsEveryFaultWithItsPath) {
  const Json object =
      ParseJson(R"({"replicas": "two", "colour": 1})", JsonComments::kRefuse)
          .value();
  std::vector<FieldFault> faults;
  JsonReader reader(object, "spec", &faults);
  reader.Integer("replicas", JsonReader::Presence::kRequired, {});
  reader.String("team", JsonReader::Presence::kRequired);
  reader.RefuseUnknownFields();
  LONGS_EQUAL(3, faults.size());
  STRCMP_EQUAL("spec.replicas", faults[0].path.c_str());
  STRCMP_EQUAL("spec.team", faults[1].path.c_str());
  STRCMP_EQUAL("spec.colour", faults[2].path.c_str());
}

// Guards against quantiles that lag one bucket behind or miss the underflow
// bucket.
TEST(Base, LatencyHistogramQuantilesBoundTheRecordedValues) {
  LatencyHistogram histogram;
  DOUBLES_EQUAL(0, histogram.Quantile(0.5), 0);
  for (int i = 1; i <= 100; ++i) {
    histogram.Record(i);
  }
  CHECK(histogram.Quantile(0.5) >= 50 && histogram.Quantile(0.5) < 50 * 1.27);
  CHECK(histogram.Quantile(0.99) >= 99 && histogram.Quantile(0.99) < 99 * 1.27);
  std::vector<MetricSample> samples;
  histogram.AppendSamples("latency_ms", &samples);
  DOUBLES_EQUAL(100, samples.back().value, 0);
}

TEST(Base, MetricsRenderInThePrometheusFormat) {
  STRCMP_EQUAL("bramleyrail_up{instance=\"a\"} 1\n",
               RenderMetrics({{"up", {{"instance", "a"}}, 1}}).c_str());
}

}  // namespace
}  // namespace bramleyrail
