#ifndef SRC_PLATFORM_CLIENT_H_
#define SRC_PLATFORM_CLIENT_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "jasminelug/common.h"
#include "src/platform/call_counts.h"
#include "src/platform/client_options.h"
#include "src/platform/error.h"
#include "src/platform/object.h"

namespace jasminelug::platform {

namespace internal {
class CallSender;
}  // namespace internal

// A function that is called once with the result of a call.
template <typename T>
using ResultHook = std::function<void(const Result<T, Error>&)>;

// A client of the platform's object API over HTTP/2 and JSON.
//
// The client does not retry calls. All methods must be called on the thread
// that runs the io_context. Hooks are called on this thread, never from within
// the method that takes them.
class Client {
 public:
  Client(asio::io_context& io, const ClientOptions& options);

  // Abandons the calls in progress; their hooks are not called.
  ~Client();

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Reads one object. Errors: kNotFound, kRefused, kUnavailable.
  void Get(const ObjectKey& key, ResultHook<Object> hook);

  // Reads all objects whose kind begins with `kind_prefix`.
  // Errors: kRefused, kUnavailable.
  void List(const std::string& kind_prefix, ResultHook<ObjectList> hook);

  // Creates or replaces one object if its version is the expected one, and
  // returns the object as it was stored. Errors: all kinds.
  //
  // After kOutcomeUnknown the user of this class should repeat the same
  // request with the same write id. If the retry conflicts with an object that
  // has this write id, the first attempt succeeded, and Put() returns success.
  // A conflict with another writer's object shows only that this attempt had no
  // effect: an earlier attempt may have succeeded and been overwritten since.
  // Reading the object back can show that the change took effect, but not that
  // it never will: a slow platform may still apply the change while the
  // expected version is current.
  void Put(const PutRequest& request, ResultHook<Object> hook);

  // Deletes one object if its version is the expected one. Errors: all kinds.
  // Retries work as described for Put().
  void Delete(const DeleteRequest& request, ResultHook<Done> hook);

  // Waits up to `wait` for changes after the revision `since`. The returned
  // list is empty if there were none. A long list may end before the newest
  // revision; the next watch must start at the revision of the list.
  // Errors: kRefused, kUnavailable.
  void Watch(std::int64_t since,
             std::chrono::milliseconds wait,
             ResultHook<WatchAnswer> hook);

  // Reads the platform's list of live and leaving instances, which lags behind
  // the actual state.
  // Errors: kRefused, kUnavailable.
  void Instances(ResultHook<InstanceList> hook);

  // Returns the numbers of calls so far, counted as the platform does.
  CallCounts Counts() const;

 private:
  std::unique_ptr<internal::CallSender> m_call_sender;
};

}  // namespace jasminelug::platform

#endif  // SRC_PLATFORM_CLIENT_H_
