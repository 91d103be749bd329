#ifndef PACKAGES_OPERATOR_HTTP_ANSWER_H_
#define PACKAGES_OPERATOR_HTTP_ANSWER_H_

#include <httplib.h>

#include "packages/state/state.h"

namespace bramleyrail {

int OperatorHttpStatusOf(ErrorKind kind);

// {"kind", "message", "remedy", "faults"}
Json ErrorToJson(const Error& error);

// Sets status and body {"error": ...}; `extra` fields stand beside "error".
void AnswerError(const Error& error,
                 httplib::Response& response,
                 const Json& extra = Json::object());

void AnswerJson(const Json& body, httplib::Response& response);

// Sets Bramleyrail-State-Age-Ms.
void AddStateAge(const StateAccess& state, httplib::Response& response);

}  // namespace bramleyrail

#endif  // PACKAGES_OPERATOR_HTTP_ANSWER_H_
