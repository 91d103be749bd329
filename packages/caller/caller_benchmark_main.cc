// Measures the overhead that an instance adds to a request: the latency of
// requests through an instance in relation to direct requests to the same
// target in the same run, and the processor time of one routing decision.

#include <benchmark/benchmark.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/caller/caller.h"
#include "packages/caller/fakes/test_cluster.h"

DEFINE_int32(requests, 20000, "Requests for each number of connections");
DEFINE_string(decision_log, "/dev/null", "File of the decision log");

namespace bramleyrail {
namespace {

using Nanoseconds = std::vector<int64_t>;

constexpr int kRounds = 4;
constexpr int kSlots = 256;

struct Destination {
  int port = 0;
  httplib::Headers headers;
};

// Sends `count` requests over each of `connections` connections. Returns the
// latency of each request.
Nanoseconds Measure(const Destination& destination,
                    int connections,
                    int count) {
  std::mutex mutex;
  Nanoseconds times;
  std::vector<std::thread> threads;
  for (int i = 0; i < connections; ++i) {
    threads.emplace_back([&] {
      httplib::Client client("127.0.0.1", destination.port);
      client.set_keep_alive(true);
      client.set_tcp_nodelay(true);
      client.set_read_timeout(60);
      Nanoseconds thread_times;
      for (int request = 0; request < count; ++request) {
        const MonotonicTime start = std::chrono::steady_clock::now();
        const httplib::Result result =
            client.Post("/v1/services/echo/requests", destination.headers,
                        R"({"x":1})", kJsonContentType);
        BRAMLEYRAIL_ASSERT(result && result->status == 200,
                           "a measured request did not return status 200");
        thread_times.push_back(ToNanoseconds(std::chrono::steady_clock::now()) -
                               ToNanoseconds(start));
      }
      const std::lock_guard lock(mutex);
      times.insert(times.end(), thread_times.begin(), thread_times.end());
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return times;
}

double QuantileMicroseconds(Nanoseconds* times, double quantile) {
  const auto position =
      times->begin() +
      static_cast<long>(quantile * static_cast<double>(times->size() - 1));
  std::nth_element(times->begin(), position, times->end());
  return static_cast<double>(*position) / 1000.0;
}

void MeasureHop() {
  StartLogging({.file = FLAGS_decision_log}).value();
  TestCluster cluster(1);
  const StandInTarget* target =
      cluster.AddTarget({.slots = kSlots, .connections = kSlots}, {0});
  const Destination direct{
      target->port(), {{kSessionHeader, std::to_string(target->session())}}};
  const Destination hop{cluster.request_service(0).caller_port(),
                        {{kIdempotentHeader, "true"}}};
  std::printf("connections quantile direct_us hop_us ratio\n");
  for (const int connections : {1, 16, 64}) {
    const int count = FLAGS_requests / connections / kRounds;
    Nanoseconds direct_times;
    Nanoseconds hop_times;
    // Direct requests and requests through the instance alternate, so that both
    // run under the same load of the machine.
    for (int round = 0; round < kRounds; ++round) {
      const Nanoseconds direct_round = Measure(direct, connections, count);
      direct_times.insert(direct_times.end(), direct_round.begin(),
                          direct_round.end());
      const Nanoseconds hop_round = Measure(hop, connections, count);
      hop_times.insert(hop_times.end(), hop_round.begin(), hop_round.end());
    }
    for (const double quantile : {0.5, 0.99, 0.999}) {
      const double direct_us = QuantileMicroseconds(&direct_times, quantile);
      const double hop_us = QuantileMicroseconds(&hop_times, quantile);
      std::printf("%d p%g %.0f %.0f %.2f\n", connections, quantile * 100,
                  direct_us, hop_us, hop_us / direct_us);
    }
  }
  StopLogging();
}

// Measures one decision: choosing the owner, then choosing a target, acquiring
// its capacity and releasing it.
void RoutingDecision(benchmark::State& state) {
  RoutingTable table({.instance = "i0",
                      .failure_domain = "fd1",
                      .region = "south",
                      .clock = [] { return MonotonicTime(); }});
  for (int64_t i = 0; i < state.range(0); ++i) {
    table
        .Announce(
            {absl::StrCat("t", i), "echo", "127.0.0.1", 1, 1, 1, 8, 64, {}})
        .value();
  }
  for (auto _ : state) {
    const auto owner =
        table.ChooseOwner("echo", WorkKind::kRequest, Milliseconds(1'000), {});
    benchmark::DoNotOptimize(owner);
    const auto charge = table.AcquireTarget("echo", WorkKind::kRequest, "r1");
    benchmark::DoNotOptimize(charge);
  }
}
BENCHMARK(RoutingDecision)->Arg(65)->Arg(500)->Arg(2'100);

}  // namespace
}  // namespace bramleyrail

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bramleyrail::MeasureHop();
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
