#ifndef PACKAGES_BASE_JSON_TEXT_H_
#define PACKAGES_BASE_JSON_TEXT_H_

#include <string>
#include <string_view>

#include "packages/base/json.h"

namespace bramleyrail {

// A text in its encoding as a JSON string, which thousands of messages contain.
class JsonText {
 public:
  explicit JsonText(std::string_view text) { AppendJsonString(text, &json_); }

  // With its quotation marks.
  std::string_view json() const { return json_; }

 private:
  std::string json_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BASE_JSON_TEXT_H_
