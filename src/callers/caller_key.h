#ifndef SRC_CALLERS_CALLER_KEY_H_
#define SRC_CALLERS_CALLER_KEY_H_

#include <string>
#include <utility>

namespace jasminelug::callers {

// Holds the secret key with which a caller authenticates. The class has neither
// conversions nor an output operator, so that the secret can't get into a log
// line or an error message by accident. See Reveal.
class CallerKey {
 public:
  CallerKey() = default;
  explicit CallerKey(std::string secret) : m_secret(std::move(secret)) {}

  bool operator==(const CallerKey&) const = default;

  // Returns the secret. To be used only to compute its digest.
  const std::string& Reveal() const { return m_secret; }

 private:
  std::string m_secret;
};

}  // namespace jasminelug::callers

#endif  // SRC_CALLERS_CALLER_KEY_H_
