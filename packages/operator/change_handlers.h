#ifndef PACKAGES_OPERATOR_CHANGE_HANDLERS_H_
#define PACKAGES_OPERATOR_CHANGE_HANDLERS_H_

#include <httplib.h>
#include <memory>
#include <string>

#include "packages/operator/operator_server.h"

namespace bramleyrail {

// Answers everything that proposes a change, and dry runs.
class ChangeHandlers {
 public:
  explicit ChangeHandlers(std::shared_ptr<const OperatorServerOptions> options);

  void Apply(const httplib::Request& request, httplib::Response& response);
  void Delete(const httplib::Request& request, httplib::Response& response);
  void Drain(const httplib::Request& request, httplib::Response& response);
  void Undrain(const httplib::Request& request, httplib::Response& response);
  void CancelJob(const httplib::Request& request, httplib::Response& response);

 private:
  void SetDrained(bool drained,
                  const httplib::Request& request,
                  httplib::Response& response);
  void Preview(const ApplyResources& apply, httplib::Response& response);
  // Proposes the change and answers with its outcome.
  void Propose(std::string_view what,
               const std::string& change_id,
               CommandBody body,
               httplib::Response& response);
  void AnswerRefusal(const CommandOutcome& outcome,
                     httplib::Response& response);
  Json OutcomeToJson(const CommandOutcome& outcome) const;

  const std::shared_ptr<const OperatorServerOptions> options_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_CHANGE_HANDLERS_H_
