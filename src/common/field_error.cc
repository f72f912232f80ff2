#include "src/common/field_error.h"

namespace jasminelug {

std::string FormatFieldErrors(const FieldErrors& errors) {
  std::string text;
  for (const FieldError& error : errors) {
    if (!text.empty()) {
      text += "; ";
    }
    if (!error.m_field.empty()) {
      text += error.m_field + ": ";
    }
    text += error.m_message;
  }
  return text;
}

}  // namespace jasminelug
