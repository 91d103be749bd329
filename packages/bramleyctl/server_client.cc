#include "packages/bramleyctl/server_client.h"

#include <httplib.h>

#include <algorithm>
#include <cctype>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kConnectTimeout{1000};
// A server that went silent must leave time for the others. A change that waits
// for an election is answered sooner, and is safe to send again.
constexpr Milliseconds kLongestTry{5000};
// Pause after no server could answer; an election takes one to two seconds.
constexpr Milliseconds kPauseBetweenRounds{200};
constexpr int kHighestPort = 65535;
constexpr int kFirstServerError = 500;

Error ServersError(std::string_view text) {
  return MakeError(
      ErrorKind::kInvalidArgument,
      absl::StrCat("'", absl::string_view(text.data(), text.size()),
                   "' is not a list of servers"),
      "write --servers=HOST:PORT,HOST:PORT");
}

ErrorKind KindOfAnswer(const std::string& name) {
  for (int i = 0; i <= static_cast<int>(ErrorKind::kInternal); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    if (ErrorKindName(kind) == name) {
      return kind;
    }
  }
  return ErrorKind::kInternal;
}

std::string TextAt(const Json& object, const char* field) {
  const auto found = object.find(field);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::vector<FieldFault> FaultsOf(const Json& error) {
  std::vector<FieldFault> faults;
  const auto found = error.find("faults");
  if (found == error.end() || !found->is_array()) {
    return faults;
  }
  for (const Json& fault : *found) {
    if (fault.is_object()) {
      faults.push_back({TextAt(fault, "path"), TextAt(fault, "message")});
    }
  }
  return faults;
}

std::string CurrentResources(const Json& body) {
  std::string text;
  const auto current = body.find("current");
  if (current == body.end() || !current->is_array()) {
    return text;
  }
  for (const Json& resource : *current) {
    if (resource.is_object()) {
      absl::StrAppend(&text, text.empty() ? "; now: " : ", ",
                      TextAt(resource, "kind"), "/", TextAt(resource, "name"),
                      " uid ", TextAt(resource, "uid"), " revision ",
                      resource.value("revision", int64_t{0}));
    }
  }
  return text;
}

httplib::Result SendOnce(httplib::Client& client,
                         ServerClient::Method method,
                         const std::string& path,
                         const std::string& body) {
  switch (method) {
    case ServerClient::Method::kGet:
      return client.Get(path);
    case ServerClient::Method::kPost:
      return client.Post(path, body, "application/json");
    case ServerClient::Method::kDelete:
      return client.Delete(path);
  }
  BRAMLEYRAIL_ASSERT(false, "unknown method");
}

bool IsWorthAnotherServer(ErrorKind kind) {
  return kind == ErrorKind::kUnavailable ||
         kind == ErrorKind::kOutcomeUnknown ||
         kind == ErrorKind::kDeadlineExceeded;
}

}  // namespace

Result<std::vector<ServerAddress>> ParseServers(std::string_view text) {
  std::vector<ServerAddress> servers;
  for (const absl::string_view part :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
    const size_t colon = part.rfind(':');
    int port = 0;
    if (colon == absl::string_view::npos || colon == 0 ||
        !absl::SimpleAtoi(part.substr(colon + 1), &port) || port < 1 ||
        port > kHighestPort) {
      return ServersError(text);
    }
    std::string host(part.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
      host = host.substr(1, host.size() - 2);
    }
    servers.push_back({std::move(host), port});
  }
  return servers;
}

std::string ToString(const ServerAddress& server) {
  return absl::StrCat(server.host, ":", server.port);
}

std::string EncodeUrlPart(std::string_view text) {
  std::string encoded;
  for (const char character : text) {
    if (std::isalnum(static_cast<unsigned char>(character)) != 0 ||
        std::string_view("-._~").find(character) != std::string_view::npos) {
      encoded.push_back(character);
    } else {
      absl::StrAppendFormat(&encoded, "%%%02X",
                            static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

Error ErrorOfAnswer(int status, std::string_view body) {
  const Result<Json> json = ParseJson(body, JsonComments::kRefuse);
  if (json.has_error() || !json.value().is_object() ||
      !json.value().contains("error") || !json.value()["error"].is_object()) {
    // A proxy or a failing server says nothing about the outcome.
    return MakeError(status >= kFirstServerError ? ErrorKind::kOutcomeUnknown
                                                 : ErrorKind::kInternal,
                     absl::StrCat("the server answered status ", status,
                                  " without an error of bramleyrail"),
                     "check that --servers names operator ports");
  }
  const Json& error = json.value()["error"];
  return Error{KindOfAnswer(TextAt(error, "kind")),
               TextAt(error, "message") + CurrentResources(json.value()),
               TextAt(error, "remedy"), FaultsOf(error)};
}

ServerClient::ServerClient(std::vector<ServerAddress> servers,
                           Milliseconds time_limit)
    : servers_(std::move(servers)), time_limit_(time_limit) {}

Result<Json> ServerClient::Get(const std::string& path) {
  return Send(Method::kGet, path, "");
}

Result<Json> ServerClient::Send(Method method,
                                const std::string& path,
                                const std::string& body) {
  const MonotonicTime deadline = std::chrono::steady_clock::now() + time_limit_;
  const auto remaining = [deadline] {
    return std::chrono::ceil<Milliseconds>(deadline -
                                           std::chrono::steady_clock::now());
  };
  bool may_have_run = false;
  std::string problem;
  const size_t first = current_;
  for (size_t i = 0; i == 0 || remaining() > Milliseconds(0); ++i) {
    if (i > 0 && i % servers_.size() == 0) {
      std::this_thread::sleep_for(std::min(remaining(), kPauseBetweenRounds));
    }
    const size_t index = (first + i) % servers_.size();
    const Milliseconds limit =
        std::clamp(remaining() / 2, Milliseconds(1), kLongestTry);
    Attempt attempt = TryServer(servers_[index], method, path, body, limit);
    if (attempt.answer.has_value()) {
      current_ = index;
      return std::move(*attempt.answer);
    }
    may_have_run = may_have_run || attempt.may_have_run;
    problem = absl::StrCat(ToString(servers_[index]), ": ", attempt.problem);
  }
  if (may_have_run && method != Method::kGet) {
    return MakeError(ErrorKind::kOutcomeUnknown,
                     "the change may have been made; " + problem,
                     "run the command again with the same --change_id");
  }
  return MakeError(ErrorKind::kUnavailable, "no server answered; " + problem,
                   "check --servers and run the command again");
}

ServerClient::Attempt ServerClient::TryServer(const ServerAddress& server,
                                              Method method,
                                              const std::string& path,
                                              const std::string& body,
                                              Milliseconds limit) const {
  httplib::Client client(server.host, server.port);
  client.set_connection_timeout(std::min(limit, kConnectTimeout));
  client.set_read_timeout(limit);
  client.set_write_timeout(limit);
  const httplib::Result result = SendOnce(client, method, path, body);
  Attempt attempt;
  if (!result) {
    attempt.problem = httplib::to_string(result.error());
    attempt.may_have_run = result.error() != httplib::Error::Connection &&
                           result.error() != httplib::Error::ConnectionTimeout;
    return attempt;
  }
  if (result->status >= 200 && result->status < 300) {
    attempt.answer = ParseJson(result->body, JsonComments::kRefuse);
    return attempt;
  }
  Error error = ErrorOfAnswer(result->status, result->body);
  if (IsWorthAnotherServer(error.kind)) {
    attempt.problem = error.ToString();
    attempt.may_have_run = error.kind != ErrorKind::kUnavailable;
    return attempt;
  }
  attempt.answer = std::move(error);
  return attempt;
}

}  // namespace bramleyrail
