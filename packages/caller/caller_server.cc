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
    SetErrorResponse(response, caller_request.error(),
                     RequestExecution::kNotRun, "");
    return;
  }
  const std::string& id = caller_request.value().request_id;
  response->set_header(kRequestIdHeader, id);
  CallerResponse result = options_.dispatcher->Run(caller_request.value());
  if (!result.target.empty()) {
    response->set_header(kTargetHeader, result.target);
  }
  if (result.error.has_value()) {
    SetErrorResponse(response, *result.error, result.execution, id);
    return;
  }
  if (result.replayed) {
    response->set_header("Bramleyrail-Replayed", "true");
  }
  response->status = result.status;
  response->body = std::move(result.body);
  if (!result.content_type.empty()) {
    response->set_header("Content-Type", result.content_type);
  }
}

void CallerServer::HandleState(const httplib::Request& request,
                               httplib::Response* response) {
  const std::string id = request.matches[1];
  const Result<Json> state = options_.request_state(id);
  if (!state.has_value()) {
    SetErrorResponse(response, state.error(), RequestExecution::kMayHaveRun,
                     id);
    return;
  }
  SetJsonResponse(response, 200, state.value());
}

}  // namespace bramleyrail
