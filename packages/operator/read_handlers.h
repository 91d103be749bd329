#ifndef PACKAGES_OPERATOR_READ_HANDLERS_H_
#define PACKAGES_OPERATOR_READ_HANDLERS_H_

#include <httplib.h>
#include <memory>
#include <string>

#include "packages/operator/operator_server.h"

namespace bramleyrail {

// Answers everything that only reads: resources, tasks, requests, instances.
class ReadHandlers {
 public:
  explicit ReadHandlers(std::shared_ptr<const OperatorServerOptions> options);

  // The first capture of the path is the kind, name or id; the second the
  // name or index.
  void List(const httplib::Request& request, httplib::Response& response);
  void Show(const httplib::Request& request, httplib::Response& response);
  void ShowJob(const httplib::Request& request, httplib::Response& response);
  void ShowService(const httplib::Request& request,
                   httplib::Response& response);
  void ShowTask(const httplib::Request& request, httplib::Response& response);
  void ExplainTask(const httplib::Request& request,
                   httplib::Response& response);
  void ShowRequest(const httplib::Request& request,
                   httplib::Response& response);
  void ExplainRequest(const httplib::Request& request,
                      httplib::Response& response);
  void ShowInstances(const httplib::Request& request,
                     httplib::Response& response);

 private:
  using RequestHook = std::function<Result<Json>(std::string_view)>;

  void ShowOwner(ResourceKind kind,
                 const httplib::Request& request,
                 httplib::Response& response);
  void AnswerHook(const RequestHook& hook,
                  const httplib::Request& request,
                  httplib::Response& response);
  void AnswerTask(const httplib::Request& request,
                  httplib::Response& response,
                  Json (*answer)(const ClusterState&, const Task&));
  // Adds the live sessions of the target or service to `json`.
  void AddLiveTargets(ResourceKind kind,
                      const std::string& name,
                      const char* field,
                      Json& json) const;
  template <typename Function>
  Result<Json> Read(Function function) const;
  void Answer(const Result<Json>& result, httplib::Response& response) const;

  const std::shared_ptr<const OperatorServerOptions> options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_READ_HANDLERS_H_
