#include "src/http2/responder.h"

#include <utility>

#include "src/common/assert.h"

namespace jasminelug::http2 {

Responder::Responder(SendHook send)
    : m_state(std::make_shared<State>(State{std::move(send)})) {}

void Responder::Respond(const Response& response) const {
  JASMINELUG_ASSERT(!m_state->m_answered, REQUEST_IS_ANSWERED_ONCE);
  m_state->m_answered = true;
  m_state->m_send(response);
}

}  // namespace jasminelug::http2
