#include "packages/bramleyctl/fakes/fake_operator_server.h"

#include <utility>

namespace bramleyrail {

FakeOperatorServer::FakeOperatorServer(std::vector<Answer> script)
    : script_(script.begin(), script.end()) {
  const auto handler = [this](const httplib::Request& request,
                              httplib::Response& response) {
    Handle(request, response);
  };
  server_.Get(".*", handler);
  server_.Post(".*", handler);
  server_.Delete(".*", handler);
  port_ = server_.bind_to_any_port("127.0.0.1");
  thread_ = std::thread([this] { server_.listen_after_bind(); });
  while (!server_.is_running()) {
    std::this_thread::yield();
  }
}

FakeOperatorServer::~FakeOperatorServer() {
  server_.stop();
  thread_.join();
}

std::string FakeOperatorServer::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

std::vector<std::string> FakeOperatorServer::requests() const {
  absl::MutexLock lock(&mutex_);
  return requests_;
}

void FakeOperatorServer::Handle(const httplib::Request& request,
                                httplib::Response& response) {
  Answer answer{500, "the script has ended", false};
  {
    absl::MutexLock lock(&mutex_);
    requests_.push_back(request.method + " " + request.target + " " +
                        request.body);
    if (!script_.empty()) {
      answer = std::move(script_.front());
      script_.pop_front();
    }
  }
  response.status = answer.status;
  if (!answer.cut) {
    response.set_content(answer.body, "application/json");
    return;
  }
  response.set_chunked_content_provider(
      "application/x-ndjson",
      [body = answer.body](size_t offset, httplib::DataSink& sink) {
        return offset == 0 && !body.empty() &&
               sink.write(body.data(), body.size());
      });
}

FakeOperatorServer::Answer ErrorAnswer(int status,
                                       ErrorKind kind,
                                       std::vector<FieldFault> faults) {
  Json fault_list = Json::array();
  for (const FieldFault& fault : faults) {
    fault_list.push_back({{"path", fault.path}, {"message", fault.message}});
  }
  const Json body = {{"error",
                      {{"kind", ErrorKindName(kind)},
                       {"message", "scripted"},
                       {"remedy", "none"},
                       {"faults", fault_list}}}};
  return {status, body.dump(), false};
}

}  // namespace bramleyrail
