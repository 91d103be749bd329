#ifndef PACKAGES_BRAMLEYCTL_FAKES_FAKE_OPERATOR_SERVER_H_
#define PACKAGES_BRAMLEYCTL_FAKES_FAKE_OPERATOR_SERVER_H_

#include <httplib.h>

#include <deque>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

// An instance as bramleyctl sees it: gives the answers of a script, one for
// each request, and keeps the requests.
class FakeOperatorServer {
 public:
  struct Answer {
    int status = 200;
    std::string body;
    bool cut = false;  // Ends a 200 without its end, as a lost connection.
  };

  explicit FakeOperatorServer(std::vector<Answer> script);
  ~FakeOperatorServer();
  FakeOperatorServer(const FakeOperatorServer&) = delete;
  FakeOperatorServer& operator=(const FakeOperatorServer&) = delete;

  std::string address() const;
  // "METHOD target body" of each request so far.
  std::vector<std::string> requests() const;

 private:
  void Handle(const httplib::Request& request, httplib::Response& response);

  mutable absl::Mutex mutex_;
  std::deque<Answer> script_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::string> requests_ ABSL_GUARDED_BY(mutex_);
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

// An answer with an error of the operator interface.
FakeOperatorServer::Answer ErrorAnswer(int status,
                                       ErrorKind kind,
                                       std::vector<FieldFault> faults);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_FAKES_FAKE_OPERATOR_SERVER_H_
