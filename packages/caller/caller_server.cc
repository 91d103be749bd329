#include "packages/caller/caller_server.h"

#include <utility>

#include "packages/caller/caller_headers.h"

namespace bramleyrail {

namespace {

HttpServer::Options ServerOptions(const CallerServer::Options& options) {
  HttpServer::Options server;
  server.name = "callers";
  server.address = options.address;
  server.port = options.port;
  server.maximum_threads = options.maximum_threads;
  server.maximum_queue = options.maximum_queue;
  return server;
}

}  // namespace

CallerServer::CallerServer(Options options)
    : options_(std::move(options)), server_(ServerOptions(options_)) {
  server_.Post(
      "/v1/services/([^/]+)/requests",
      [this](const httplib::Request& request, httplib::Response& response) {
        HandleRequest(request, &response);
      });
  server_.Get("/v1/requests/([^/]+)", [this](const httplib::Request& request,
                                             httplib::Response& response) {
    HandleState(request, &response);
  });
}

void CallerServer::HandleRequest(const httplib::Request& request,
                                 httplib::Response* response) {
  response->set_header(kInstanceHeader, options_.instance);
  const Result<CallerRequest> caller_request = ReadCallerRequest(request);
  if (!caller_request.has_value()) {
    AnswerError(response, caller_request.error(), RunClaim::kNotRun, "");
    return;
  }
  const std::string& id = caller_request.value().request_id;
  response->set_header(kRequestIdHeader, id);
  CallerAnswer answer = options_.dispatcher->Run(caller_request.value());
  if (!answer.target.empty()) {
    response->set_header(kTargetHeader, answer.target);
  }
  if (answer.error.has_value()) {
    AnswerError(response, *answer.error, answer.run_claim, id);
    return;
  }
  if (answer.replayed) {
    response->set_header("Bramleyrail-Replayed", "true");
  }
  response->status = answer.status;
  response->body = std::move(answer.body);
  if (!answer.content_type.empty()) {
    response->set_header("Content-Type", answer.content_type);
  }
}

void CallerServer::HandleState(const httplib::Request& request,
                               httplib::Response* response) {
  const std::string id = request.matches[1];
  const Result<Json> state = options_.request_state(id);
  if (!state.has_value()) {
    AnswerError(response, state.error(), RunClaim::kMayHaveRun, id);
    return;
  }
  AnswerJson(response, 200, state.value());
}

}  // namespace bramleyrail
