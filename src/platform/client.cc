#include "src/platform/client.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string_view>
#include <utility>

#include "src/platform/internal/answer.h"
#include "src/platform/internal/call_sender.h"
#include "src/platform/object_json.h"
#include "src/platform/percent_coding.h"

namespace jasminelug::platform {
namespace {

using internal::Effect;
using std::chrono_literals::operator""ms;

constexpr std::string_view kObjects = "/v1/objects";

std::string PathOf(const ObjectKey& key) {
  return std::string(kObjects) + "/" + PercentEncode(key.m_kind) + "/" +
         PercentEncode(key.m_name);
}

http2::Request MakeRequest(const std::string& method, const std::string& path) {
  http2::Request request;
  request.m_method = method;
  request.m_path = path;
  return request;
}

http2::Request MakePut(const PutRequest& put) {
  http2::Request request = MakeRequest("PUT", PathOf(put.m_key));
  request.m_headers = {{"content-type", "application/json"}};
  request.m_body = FormatPutBody(put);
  return request;
}

http2::Request MakeDelete(const DeleteRequest& request) {
  const std::string version = std::to_string(request.m_expected_version);
  return MakeRequest("DELETE",
                     PathOf(request.m_key) + "?expected_version=" + version +
                         "&write_id=" + PercentEncode(request.m_write_id));
}

bool IsKey(const ObjectKey& key) {
  return IsName(key.m_kind) && IsName(key.m_name);
}

Error Refused(const std::string& message) {
  return Error{ErrorKind::kRefused, message, std::nullopt, ""};
}

// Returns the error if `request` is invalid and must not be sent.
std::optional<Error> CheckPut(const PutRequest& request) {
  if (!IsKey(request.m_key) || !IsWriteId(request.m_write_id)) {
    return Refused("bad kind, name or write id");
  }
  if (request.m_value.size() > kMaxValueBytes) {
    return Refused("value too large");
  }
  if (!nlohmann::json::accept(request.m_value)) {
    return Refused("value is not JSON");
  }
  return std::nullopt;
}

// Parses the body of a successful answer with `parse`.
template <typename T>
Result<T, Error> ParseAnswer(
    const http2::ClientResult& result,
    Effect effect,
    const std::function<std::optional<T>(std::string_view)>& parse) {
  const Result<std::string, Error> body =
      internal::InterpretAnswer(result, effect);
  if (!IsOk(body)) {
    return GetError(body);
  }
  std::optional<T> value = parse(GetValue(body));
  if (!value) {
    return internal::UnreadableAnswer(effect);
  }
  return *std::move(value);
}

// Returns the result of a Put. A conflict with an object that has the same
// write id is a success, because an earlier attempt of this change took effect.
Result<Object, Error> PutResult(const http2::ClientResult& answer,
                                const std::string& write_id) {
  Result<Object, Error> result =
      ParseAnswer<Object>(answer, Effect::kChange, ParseObject);
  if (IsOk(result)) {
    return result;
  }
  const std::optional<Object>& current = GetError(result).m_current;
  if (current && current->m_write_id == write_id) {
    return *current;
  }
  return result;
}

// Returns the result of a Delete. If the object was deleted with the same write
// id, this is a success, because an earlier attempt took effect.
Result<Done, Error> DeleteResult(const http2::ClientResult& answer,
                                 const std::string& write_id) {
  const Result<std::string, Error> result =
      internal::InterpretAnswer(answer, Effect::kChange);
  if (IsOk(result) || GetError(result).m_deleted_by == write_id) {
    return Done{};
  }
  return GetError(result);
}

bool IsRevisionTooOld(const http2::ClientResult& answer) {
  constexpr int kHttpGone = 410;
  return IsOk(answer) && GetValue(answer).m_status == kHttpGone;
}

Result<WatchAnswer, Error> WatchResult(const http2::ClientResult& answer) {
  if (IsRevisionTooOld(answer)) {
    return WatchAnswer(RevisionTooOld{});
  }
  const Result<ChangeList, Error> changes =
      ParseAnswer<ChangeList>(answer, Effect::kNone, ParseChangeList);
  if (!IsOk(changes)) {
    return GetError(changes);
  }
  return WatchAnswer(GetValue(changes));
}

}  // namespace

Client::Client(asio::io_context& io, const ClientOptions& options)
    : m_call_sender(std::make_unique<internal::CallSender>(io, options)) {}

Client::~Client() = default;

void Client::Get(const ObjectKey& key, ResultHook<Object> hook) {
  if (!IsKey(key)) {
    m_call_sender->Post([hook] { hook(Refused("bad kind or name")); });
    return;
  }
  m_call_sender->Call(
      &CallCounts::m_get, MakeRequest("GET", PathOf(key)), 0ms,
      [hook = std::move(hook)](const http2::ClientResult& answer) {
        hook(ParseAnswer<Object>(answer, Effect::kNone, ParseObject));
      });
}

void Client::List(const std::string& kind_prefix, ResultHook<ObjectList> hook) {
  if (!kind_prefix.empty() && !IsName(kind_prefix)) {
    m_call_sender->Post([hook] { hook(Refused("bad kind prefix")); });
    return;
  }
  m_call_sender->Call(
      &CallCounts::m_list,
      MakeRequest(
          "GET", std::string(kObjects) + "?kind=" + PercentEncode(kind_prefix)),
      0ms, [hook = std::move(hook)](const http2::ClientResult& answer) {
        hook(ParseAnswer<ObjectList>(answer, Effect::kNone, ParseObjectList));
      });
}

void Client::Put(const PutRequest& request, ResultHook<Object> hook) {
  if (const std::optional<Error> error = CheckPut(request)) {
    m_call_sender->Post([hook, error] { hook(*error); });
    return;
  }
  m_call_sender->Call(&CallCounts::m_put, MakePut(request), 0ms,
                      [hook = std::move(hook), write_id = request.m_write_id](
                          const http2::ClientResult& answer) {
                        hook(PutResult(answer, write_id));
                      });
}

void Client::Delete(const DeleteRequest& request, ResultHook<Done> hook) {
  if (!IsKey(request.m_key) || !IsWriteId(request.m_write_id)) {
    m_call_sender->Post(
        [hook] { hook(Refused("bad kind, name or write id")); });
    return;
  }
  m_call_sender->Call(&CallCounts::m_delete, MakeDelete(request), 0ms,
                      [hook = std::move(hook), write_id = request.m_write_id](
                          const http2::ClientResult& answer) {
                        hook(DeleteResult(answer, write_id));
                      });
}

void Client::Watch(std::int64_t since,
                   std::chrono::milliseconds wait,
                   ResultHook<WatchAnswer> hook) {
  const std::string path = "/v1/watch?since=" + std::to_string(since) +
                           "&wait_ms=" + std::to_string(wait.count());
  m_call_sender->Call(
      &CallCounts::m_watch, MakeRequest("GET", path), wait,
      [hook = std::move(hook)](const http2::ClientResult& answer) {
        hook(WatchResult(answer));
      });
}

void Client::Instances(ResultHook<InstanceList> hook) {
  m_call_sender->Call(
      &CallCounts::m_instances, MakeRequest("GET", "/v1/instances"), 0ms,
      [hook = std::move(hook)](const http2::ClientResult& answer) {
        hook(ParseAnswer<InstanceList>(answer, Effect::kNone,
                                       ParseInstanceList));
      });
}

CallCounts Client::Counts() const {
  return m_call_sender->Counts();
}

}  // namespace jasminelug::platform
