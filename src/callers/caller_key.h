#ifndef SRC_CALLERS_CALLER_KEY_H_
#define SRC_CALLERS_CALLER_KEY_H_

#include <string>
#include <utility>

namespace jasminelug::callers {

// The secret that a caller presents. It has no conversion and no output
// operator, so that it gets into a log or an error only by intent; see Reveal.
class CallerKey {
 public:
  CallerKey() = default;
  explicit CallerKey(std::string secret) : m_secret(std::move(secret)) {}

  bool operator==(const CallerKey&) const = default;

  // Returns the secret, to make its digest and for nothing else.
  const std::string& Reveal() const { return m_secret; }

 private:
  std::string m_secret;
};

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_KEY_H_
