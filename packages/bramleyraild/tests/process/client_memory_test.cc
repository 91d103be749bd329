// Clients that do not keep the published limits, against real processes. Each
// test guards against a process that runs out of memory or descriptors, or that
// serves nobody else, because of one part of what such clients send or leave.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/bramleyraild/tests/process/test_process.h"
#include "packages/control/control.h"
#include "packages/http/fakes/raw_client.h"
#include "packages/peer/peer.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr uint16_t kControlPort = 8166;
constexpr uint16_t kCallerPort = 8161;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kPeerPort = 7720;
constexpr uint16_t kMetricsPort = 9464;
constexpr size_t kMebibyte = size_t{1024} * 1024;

// The machine of each process, as its settings state it.
constexpr size_t kMachineMebibytes = 128;
constexpr size_t kMachineDescriptors = 512;

// The crowds: their size times what each client sends or leaves is well above
// the memory or the descriptors of the machine.
constexpr int kCrowd = 12;
constexpr size_t kEndlessBytes = 16 * kMebibyte;
constexpr int kBodyCrowd = 40;
constexpr size_t kBodyBytes = 4 * kMebibyte;
constexpr size_t kSentBodyBytes = kBodyBytes - 1'024;
constexpr int kIdleCrowd = 700;
constexpr int kPeerCrowd = 20;
constexpr size_t kFrameBytes = 8 * kMebibyte;
constexpr int kReaderCrowd = 200;
constexpr size_t kResponseBytes = kMebibyte;

constexpr Milliseconds kWaitStep{50};
// A process that reads or answers no more has a steady peak for this many
// steps.
constexpr int kSteadySteps = 30;
constexpr int kWaitSteps = 1'200;

constexpr char kChunkedPost[] =
    "POST /jobs/00000000000000aa HTTP/1.1\r\nHost: a.example\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

// Addresses of this process, so that test programs may run at the same time.
std::string Ip(int number) {
  return absl::StrCat("127.", 64 + getpid() % 128, ".", getpid() / 128 % 250,
                      ".", number);
}
const std::string& ControlIp() {
  static const std::string ip = Ip(10);
  return ip;
}
const std::string& GatewayIp() {
  static const std::string ip = Ip(11);
  return ip;
}

std::string Settings(std::string_view role, const std::string& ip) {
  const bool control = role == "control";
  const auto address = [&ip](bool used, uint16_t port) {
    return used ? absl::StrCat(ip, ":", port) : std::string();
  };
  Json settings = {
      {"role", role},
      {"instance", role},
      {"address", ip},
      {"failure_domain", "zone-a"},
      {"region", "region-a"},
      {"regions", {{"zone-a", "region-a"}}},
      {"control_address", address(control, kControlPort)},
      {"caller_address", address(!control, kCallerPort)},
      {"ready_address", address(!control, kReadyPort)},
      {"peer_port", kPeerPort},
      {"metrics_port", kMetricsPort},
      {"control_instances", {absl::StrCat(ControlIp(), ":", kControlPort)}},
      {"data_folder", control ? "DATA_FOLDER" : ""},
      {"first_start", true},
      {"tolerated_losses", 0},
      {"maximum_descriptors", kMachineDescriptors},
      {"maximum_memory_mb", kMachineMebibytes}};
  return settings.dump();
}

// A configuration with a queue, of about `size` bytes.
std::string Configuration(int version, size_t size) {
  const std::string padding(size / 2, 'x');
  return absl::StrCat(
      R"({"version":)", version,
      R"(,"routes":[{"name":"r","host":"a.example","path_prefix":"/jobs/",)"
      R"("kind":"unsafe","timeout_ms":3000,"target_latency_ms":600,)"
      R"("priority":0,"service":"s","max_attempts":4,"stretch_factor":1.5,)"
      R"("allowed_regions":[]}],"services":[{"name":"s","health_path":"/)",
      padding, R"(","max_conns":64,"protocol":"h1"},{"name":"t)", padding,
      R"(","health_path":"/h","max_conns":64,"protocol":"h1"}],"limits":{}})");
}

int CallOnce(const std::string& ip,
             uint16_t port,
             std::string_view method,
             std::string_view target,
             std::string_view body = "") {
  RawClient client(ip, port);
  const std::string request = absl::StrCat(
      absl::string_view(method.data(), method.size()), " ",
      absl::string_view(target.data(), target.size()),
      " HTTP/1.1\r\nHost: a.example\r\nContent-Length: ", body.size(),
      "\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n",
      absl::string_view(body.data(), body.size()));
  return client.Send(request) ? client.ReadStatus() : 0;
}

// Repeats a call as callers do that are told to come back, until it is served.
bool IsServed(const std::string& ip,
              uint16_t port,
              std::string_view method,
              std::string_view target,
              std::string_view body = "") {
  for (int step = 0; step < kWaitSteps; ++step) {
    if (CallOnce(ip, port, method, target, body) == 200) {
      return true;
    }
    std::this_thread::sleep_for(kWaitStep);
  }
  return false;
}

using Crowd = std::vector<std::unique_ptr<RawClient>>;

// Clients that stay connected for as long as the result lives. Each sends on a
// thread of its own.
Crowd SendFromCrowd(int count,
                    const std::string& ip,
                    uint16_t port,
                    const std::function<void(RawClient*)>& send) {
  Crowd crowd;
  std::vector<std::thread> threads;
  for (int client = 0; client < count; ++client) {
    crowd.push_back(std::make_unique<RawClient>(ip, port));
    threads.emplace_back([&send, raw = crowd.back().get()] { send(raw); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return crowd;
}

void SendEndlessTrailers(RawClient* client) {
  (void)(client->Send(absl::StrCat(kChunkedPost, "2\r\n{}\r\n0\r\n")) &&
         client->SendRepeated("X-Trailer: 0123456789abcdef\r\n",
                              kEndlessBytes));
}

void SendEndlessChunkExtension(RawClient* client) {
  (void)(client->Send(absl::StrCat(kChunkedPost, "2")) &&
         client->SendRepeated(";name=0123456789abcdef", kEndlessBytes));
}

void SendEndlessHeaders(RawClient* client) {
  (void)(client->Send("GET /jobs/ HTTP/1.1\r\nHost: a.example\r\n") &&
         client->SendRepeated("X-Header: 0123456789abcdef\r\n", kEndlessBytes));
}

// The start line and fields of a message whose body never ends.
void SendUnfinishedBody(RawClient* client) {
  (void)(client->Send(
             absl::StrCat("PUT /instances/w-1 HTTP/1.1\r\nHost: a.example\r\n"
                          "Content-Length: ",
                          kBodyBytes, "\r\n\r\n")) &&
         client->SendRepeated("0123456789abcdef", kSentBodyBytes));
}

void SendWholeBody(RawClient* client) {
  (void)(client->Send(absl::StrCat(
             "POST /jobs/00000000000000aa HTTP/1.1\r\nHost: a.example\r\n"
             "Content-Length: ",
             kBodyBytes, "\r\n\r\n")) &&
         client->SendRepeated("0123456789abcdef", kBodyBytes));
}

void SendNothing(RawClient*) {}

// What a gateway sends when it dials a control instance.
std::string HelloOf(const std::string& gateway_ip) {
  const FileDescriptor listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  LONGS_EQUAL(
      0, bind(listener.number(), reinterpret_cast<const sockaddr*>(&address),
              sizeof address));
  listen(listener.number(), 1);
  socklen_t size = sizeof address;
  getsockname(listener.number(), reinterpret_cast<sockaddr*>(&address), &size);
  PeerNetwork::Options options;
  options.cluster_id = "bramleyrail";
  options.self = {GatewayInstanceName(gateway_ip), "zone-a", "region-a"};
  options.listen_address = {"127.0.0.1", 0};
  options.peers = {{"control", {"127.0.0.1", ntohs(address.sin_port)}}};
  const auto network = PeerNetwork::Create(std::move(options)).value();
  CHECK(network->Start().has_value());
  const FileDescriptor accepted(accept(listener.number(), nullptr, nullptr));
  std::string hello(4'096, '\0');
  const ssize_t count = recv(accepted.number(), hello.data(), hello.size(), 0);
  network->Stop();
  hello.resize(static_cast<size_t>(std::max<ssize_t>(count, 0)));
  return hello;
}

// The header of a frame of the largest size, and most of its body.
void SendUnfinishedFrame(RawClient* client) {
  std::string header(8, '\0');
  header[2] = static_cast<char>(kFrameBytes >> 16);
  (void)(client->Send(header) &&
         client->SendRepeated("0123456789abcdef", kFrameBytes - 65'536));
}

TEST_GROUP(ClientMemory) {
  void setup() override {
    CHECK(IsServed(ControlIp(), kControlPort, "PUT", "/config",
                   Configuration(1, 0)));
    CHECK(IsServed(GatewayIp(), kCallerPort, "GET", "/jobs/"));
  }

  // Bounds that do not depend on the speed of the machine. The crowd is still
  // connected.
  void CheckProcesses() {
    WaitUntilSteady();
    CheckProcess("control", &control_);
    CheckProcess("gateway", &gateway_);
    CHECK(IsServed(GatewayIp(), kCallerPort, "GET", "/jobs/"));
    CHECK(IsServed(ControlIp(), kControlPort, "GET", "/config"));
    CHECK(gateway_.IsAlive());
    CHECK(control_.IsAlive());
  }

  // What the crowd has sent may still be in the buffers of the kernel.
  void WaitUntilSteady() const {
    size_t peak = 0;
    for (int steps = 0; steps < kSteadySteps; ++steps) {
      const size_t now = control_.PeakMebibytes() + gateway_.PeakMebibytes();
      if (now != peak) {
        peak = now;
        steps = 0;
      }
      std::this_thread::sleep_for(kWaitStep);
    }
  }

  static void CheckProcess(const char* name, TestProcess* process) {
    CHECK(process->IsAlive());
    const size_t mebibytes = process->PeakMebibytes();
    const size_t descriptors = process->OpenDescriptors();
    std::printf("%s: peak %zu MiB, %zu descriptors\n", name, mebibytes,
                descriptors);
    CHECK(mebibytes < kMachineMebibytes);
    CHECK(descriptors < kMachineDescriptors);
  }

  TestProcess control_{Settings("control", ControlIp())};
  TestProcess gateway_{Settings("gateway", GatewayIp())};
};

TEST(ClientMemory, EndlessTrailersToAGateway) {
  const Crowd crowd =
      SendFromCrowd(kCrowd, GatewayIp(), kCallerPort, SendEndlessTrailers);
  CheckProcesses();
}

TEST(ClientMemory, EndlessTrailersToAControlInstance) {
  const Crowd crowd =
      SendFromCrowd(kCrowd, ControlIp(), kControlPort, SendEndlessTrailers);
  CheckProcesses();
}

TEST(ClientMemory, EndlessTrailersToTheReadinessProbe) {
  const Crowd crowd =
      SendFromCrowd(kCrowd, GatewayIp(), kReadyPort, SendEndlessTrailers);
  CheckProcesses();
}

TEST(ClientMemory, EndlessTrailersToTheMetrics) {
  const Crowd crowd =
      SendFromCrowd(kCrowd, ControlIp(), kMetricsPort, SendEndlessTrailers);
  CheckProcesses();
}

TEST(ClientMemory, EndlessChunkExtensionToAGateway) {
  const Crowd crowd = SendFromCrowd(kCrowd, GatewayIp(), kCallerPort,
                                    SendEndlessChunkExtension);
  CheckProcesses();
}

TEST(ClientMemory, EndlessChunkExtensionToAControlInstance) {
  const Crowd crowd = SendFromCrowd(kCrowd, ControlIp(), kControlPort,
                                    SendEndlessChunkExtension);
  CheckProcesses();
}

TEST(ClientMemory, EndlessHeadersToAGateway) {
  const Crowd crowd =
      SendFromCrowd(kCrowd, GatewayIp(), kCallerPort, SendEndlessHeaders);
  CheckProcesses();
}

TEST(ClientMemory, UnfinishedBodiesToAGateway) {
  const Crowd crowd =
      SendFromCrowd(kBodyCrowd, GatewayIp(), kCallerPort, SendUnfinishedBody);
  CheckProcesses();
}

TEST(ClientMemory, UnfinishedBodiesToAControlInstance) {
  const Crowd crowd =
      SendFromCrowd(kBodyCrowd, ControlIp(), kControlPort, SendUnfinishedBody);
  CheckProcesses();
}

// The gateway holds requests while no control instance answers.
TEST(ClientMemory, RequestsThatAGatewayHolds) {
  control_.Signal(SIGSTOP);
  const Crowd crowd =
      SendFromCrowd(kBodyCrowd, GatewayIp(), kCallerPort, SendWholeBody);
  control_.Signal(SIGCONT);
  CheckProcesses();
}

TEST(ClientMemory, IdleConnectionsToAGateway) {
  const Crowd crowd =
      SendFromCrowd(kIdleCrowd, GatewayIp(), kCallerPort, SendNothing);
  CheckProcesses();
}

TEST(ClientMemory, IdleConnectionsToTheReadinessProbe) {
  const Crowd crowd =
      SendFromCrowd(kIdleCrowd, GatewayIp(), kReadyPort, SendNothing);
  CheckProcesses();
}

TEST(ClientMemory, ResponsesThatNobodyReads) {
  CHECK(IsServed(ControlIp(), kControlPort, "PUT", "/config",
                 Configuration(2, kResponseBytes)));
  Crowd crowd;
  for (int client = 0; client < kReaderCrowd; ++client) {
    crowd.push_back(
        std::make_unique<RawClient>(ControlIp(), kControlPort, 4'096));
    (void)crowd.back()->Send("GET /config HTTP/1.1\r\nHost: a.example\r\n\r\n");
  }
  CheckProcesses();
}

// Strangers that take the names of gateways.
TEST(ClientMemory, UnfinishedFramesToAControlInstance) {
  constexpr int kFirstNumber = 100;
  std::vector<std::string> hellos;
  for (int peer = 0; peer < kPeerCrowd; ++peer) {
    hellos.push_back(HelloOf(Ip(kFirstNumber + peer)));
  }
  std::atomic<size_t> next = 0;
  const Crowd crowd =
      SendFromCrowd(kPeerCrowd, ControlIp(), kPeerPort, [&](RawClient* client) {
        (void)client->Send(hellos[next++]);
        // The first bytes of the answer: the hello was accepted.
        (void)client->Read(1);
        SendUnfinishedFrame(client);
      });
  CheckProcesses();
}

}  // namespace
}  // namespace bramleyrail
