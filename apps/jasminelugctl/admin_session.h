#ifndef APPS_JASMINELUGCTL_ADMIN_SESSION_H_
#define APPS_JASMINELUGCTL_ADMIN_SESSION_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "apps/jasminelugctl/options.h"
#include "jasminelug/common.h"
#include "jasminelug/http2.h"
#include "jasminelug/operators.h"

namespace jasminelug::ctl {

// Holds the answer of one instance, or the reason why there is none.
template <typename T>
struct AdminAnswer {
  Endpoint m_endpoint;
  Result<T, operators::AdminError> m_result;
};

namespace internal {

// Sends `request` to all endpoints in parallel and waits until each call has
// returned an answer or an error. The result has the order of `endpoints`.
std::vector<AdminAnswer<std::string>> CallEndpoints(
    const std::vector<Endpoint>& endpoints,
    const http2::Request& request);

}  // namespace internal

// Parses the body of an answer.
template <typename T>
using AnswerParser =
    std::function<Result<T, FieldErrors>(std::string_view text)>;

// Sends `request` to all endpoints in parallel and returns their parsed answers
// in the order of `endpoints`. An answer that can't be parsed becomes an error
// of kind kUnknown.
template <typename T>
std::vector<AdminAnswer<T>> CallAll(const std::vector<Endpoint>& endpoints,
                                    const http2::Request& request,
                                    const AnswerParser<T>& parse) {
  std::vector<AdminAnswer<T>> answers;
  for (const auto& raw : internal::CallEndpoints(endpoints, request)) {
    if (!IsOk(raw.m_result)) {
      answers.push_back({raw.m_endpoint, GetError(raw.m_result)});
      continue;
    }
    const Result<T, FieldErrors> parsed = parse(GetValue(raw.m_result));
    if (IsOk(parsed)) {
      answers.push_back({raw.m_endpoint, GetValue(parsed)});
    } else {
      answers.push_back(
          {raw.m_endpoint,
           operators::AdminError{operators::AdminError::Kind::kUnknown,
                                 FormatFieldErrors(GetError(parsed))}});
    }
  }
  return answers;
}

}  // namespace jasminelug::ctl

#endif  // APPS_JASMINELUGCTL_ADMIN_SESSION_H_
