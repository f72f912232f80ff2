#ifndef TEST_FAKE_PLATFORM_RESPONSES_H_
#define TEST_FAKE_PLATFORM_RESPONSES_H_

#include <nlohmann/json.hpp>

#include <string>

#include "jasminelug/http2.h"
#include "jasminelug/platform.h"

namespace jasminelug::fake_platform {

// A 200 response with a JSON body.
http2::Response OkResponse(const nlohmann::json& body);

// The response from which the client makes `error` again.
http2::Response ErrorResponse(const platform::Error& error);

// A 400 response.
http2::Response BadRequest(const std::string& message);

// A 503 response that says that the call had no effect.
http2::Response Unavailable();

// The changes, or a 410 response where they are not kept any more.
http2::Response WatchResponse(const platform::WatchAnswer& answer);

}  // namespace jasminelug::fake_platform

#endif  // TEST_FAKE_PLATFORM_RESPONSES_H_
