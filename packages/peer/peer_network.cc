#include "packages/peer/peer_network.h"

#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/peer/peer_loop.h"
#include "packages/peer/socket.h"

namespace bramleyrail {

namespace {

// Keeps a hello below kMaximumHelloBytes.
constexpr size_t kMaximumClusterIdBytes = 128;

void AddFault(std::string path,
              const Result<void>& check,
              std::vector<FieldFault>* faults) {
  if (check.has_error()) {
    faults->push_back({std::move(path), check.error().ToString()});
  }
}

Result<void> ValidateOptions(const PeerNetwork::Options& options) {
  std::vector<FieldFault> faults;
  if (options.cluster_id.empty() ||
      options.cluster_id.size() > kMaximumClusterIdBytes) {
    faults.push_back(
        {"cluster_id",
         absl::StrCat("must be 1 to ", kMaximumClusterIdBytes, " bytes long")});
  }
  AddFault("self.name", ValidateName(options.self.name), &faults);
  AddFault("self.failure_domain", ValidateName(options.self.failure_domain),
           &faults);
  AddFault("self.region", ValidateName(options.self.region), &faults);
  AddFault("listen_address", ValidateSocketAddress(options.listen_address),
           &faults);
  std::set<std::string> names = {options.self.name};
  for (size_t i = 0; i < options.peers.size(); ++i) {
    const PeerAddress& peer = options.peers[i];
    const std::string path = absl::StrCat("peers[", i, "]");
    AddFault(path + ".name", ValidateName(peer.name), &faults);
    AddFault(path + ".address", ValidateSocketAddress(peer.address), &faults);
    if (peer.address.port == 0) {
      faults.push_back({path + ".address", "must have a port other than 0"});
    }
    if (!names.insert(peer.name).second) {
      faults.push_back({path + ".name", "must differ from all other names"});
    }
  }
  if (!faults.empty()) {
    return MakeInvalidArgument("the settings of the peer network are wrong",
                               std::move(faults));
  }
  return Success();
}

}  // namespace

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::Create(Options options) {
  TRY(ValidateOptions(options));
  TRY(loop, PeerLoop::Create(std::move(options)));
  return std::unique_ptr<PeerNetwork>(new PeerNetwork(std::move(loop)));
}

PeerNetwork::PeerNetwork(std::unique_ptr<PeerLoop> loop)
    : loop_(std::move(loop)) {}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::SetMessageHandler(PeerChannel channel,
                                    PeerMessageHandler handler) {
  BRAMLEYRAIL_ASSERT(!loop_->is_started(), "handlers are set before Start()");
  loop_->handlers().message[static_cast<size_t>(channel)] = std::move(handler);
}

void PeerNetwork::SetCallHandler(PeerChannel channel, PeerCallHandler handler) {
  BRAMLEYRAIL_ASSERT(!loop_->is_started(), "handlers are set before Start()");
  loop_->handlers().call[static_cast<size_t>(channel)] = std::move(handler);
}

void PeerNetwork::SetConnectionHandler(PeerConnectionHandler handler) {
  BRAMLEYRAIL_ASSERT(!loop_->is_started(), "handlers are set before Start()");
  loop_->handlers().connection = std::move(handler);
}

Result<void> PeerNetwork::Start() {
  return loop_->Start();
}

void PeerNetwork::Stop() {
  loop_->Stop();
}

bool PeerNetwork::Send(std::string_view peer,
                       PeerChannel channel,
                       std::span<const std::byte> payload) {
  return loop_->Send(peer, channel, payload);
}

void PeerNetwork::Call(std::string_view peer,
                       PeerChannel channel,
                       std::span<const std::byte> payload,
                       Milliseconds timeout,
                       PeerCallCallback callback) {
  loop_->Call(peer, channel, payload, timeout, std::move(callback));
}

void PeerNetwork::AddPeer(PeerAddress peer) {
  loop_->AddPeer(std::move(peer));
}

void PeerNetwork::RemovePeer(std::string_view name) {
  loop_->RemovePeer(name);
}

std::vector<PeerStatus> PeerNetwork::Statuses() const {
  return loop_->Statuses();
}

uint64_t PeerNetwork::ReclaimedConnections() const {
  return loop_->reclaimed_connections();
}

uint16_t PeerNetwork::ListenPort() const {
  return loop_->listen_port();
}

}  // namespace bramleyrail
