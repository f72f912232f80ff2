// The part of RequestRouter that admits requests: checks of the key, profile,
// database and session token, and the customer's credit.

#include <algorithm>
#include <utility>

#include "src/common/assert.h"
#include "src/core/request_router.h"

namespace jasminelug::core {
namespace {

// Time that a request may wait if neither the request nor its profile sets it.
constexpr Duration kDefaultQueueWait = 5s;

// Maximum deadline of a request; longer ones are reduced to it.
constexpr Duration kMaxDeadline = 60s;

Refusal NotRun(RefusalCode code, std::string message, std::string field = {}) {
  Refusal refusal;
  refusal.m_code = code;
  refusal.m_effect = Effect::kNotRun;
  refusal.m_message = std::move(message);
  refusal.m_field = std::move(field);
  return refusal;
}

const char* MessageOf(RefusalCode code) {
  switch (code) {
    case RefusalCode::kKeyMissing:
      return "the request carries no key";
    case RefusalCode::kKeyUnknown:
      return "the key is not known";
    case RefusalCode::kKeyWithdrawn:
      return "the key was withdrawn";
    case RefusalCode::kKeyUnconfirmed:
      return "whether the key is still valid cannot be confirmed now";
    case RefusalCode::kZoneOut:
      return "the availability zone of this instance is out of service";
    case RefusalCode::kShuttingDown:
      return "this instance is shutting down";
    default:
      return "the instance cannot serve requests now";
  }
}

template <typename T>
bool Contains(const std::vector<T>& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

void RequestRouter::OnRequest(const RequestReceived& event, Context& context) {
  auto owned = std::make_unique<ActiveRequest>();
  ActiveRequest* request = owned.get();
  request->m_handle = event.m_request;
  request->m_body = event.m_body;
  request->m_received = context.Now();
  request->m_deadline = context.Now() + kDefaultQueueWait;
  const bool is_new =
      m_requests.emplace(event.m_request, std::move(owned)).second;
  JASMINELUG_ASSERT(is_new, A_REQUEST_IS_RECEIVED_ONCE);
  m_retries.OnRequest();
  const bool is_in_transaction =
      request->IsInTransaction() ||
      request->m_body.m_operation == Operation::kCommit ||
      request->m_body.m_operation == Operation::kRollback;
  const std::optional<Refusal> refusal =
      is_in_transaction ? AdmitToTransaction(request, context)
                        : Admit(request, context);
  m_deadlines.emplace(request->m_deadline, request->m_handle);
  if (refusal) {
    RefuseWith(request, *refusal, context);
    return;
  }
  const bool is_charged =
      request->m_body.m_operation == Operation::kStatement ||
      request->m_body.m_operation == Operation::kBegin;
  if (is_charged) {
    TakeCredit(request, context);
  } else {
    RunInTransaction(request, context);
  }
}

std::optional<Refusal> RequestRouter::Admit(ActiveRequest* request,
                                            Context& context) {
  if (const auto code = m_hooks.m_check_service(context)) {
    return NotRun(*code, MessageOf(*code));
  }
  if (auto refusal = Authenticate(request, context)) {
    return refusal;
  }
  const ConfigurationPtr configuration = m_hooks.m_configuration();
  const CallerRequest& body = request->m_body;
  const auto customer =
      configuration->m_customers.find(request->m_allowance.m_customer);
  if (customer == configuration->m_customers.end()) {
    return NotRun(RefusalCode::kNotAllowed, "the customer is not configured");
  }
  if (!Contains(customer->second.m_profiles, body.m_profile)) {
    return NotRun(RefusalCode::kNotAllowed,
                  "the customer may not use this profile", "profile");
  }
  if (!Contains(customer->second.m_databases, body.m_database)) {
    return NotRun(RefusalCode::kNotAllowed,
                  "the customer may not use this database", "database");
  }
  if (auto refusal = CheckDatabase(*request, *configuration)) {
    return refusal;
  }
  const auto token = SessionToken::Parse(body.m_session);
  if (!token) {
    return NotRun(RefusalCode::kInvalidRequest, "the session token is damaged",
                  "session");
  }
  request->m_token = *token;
  Duration wait = request->m_profile.m_queue_wait;
  if (wait == Duration::zero()) {
    wait = kDefaultQueueWait;
  }
  request->m_deadline =
      context.Now() + std::min(body.m_deadline.value_or(wait), kMaxDeadline);
  return std::nullopt;
}

// Checks the key, if the profile requires one, and sets the request's customer
// and profile.
std::optional<Refusal> RequestRouter::Authenticate(ActiveRequest* request,
                                                   Context& context) {
  const ConfigurationPtr configuration = m_hooks.m_configuration();
  if (configuration == nullptr) {
    return NotRun(RefusalCode::kUnavailable,
                  "this instance has no configuration yet");
  }
  const CallerRequest& body = request->m_body;
  const auto profile = configuration->m_profiles.find(body.m_profile);
  const bool is_known = profile != configuration->m_profiles.end();
  const bool is_open = is_known && profile->second.m_open_to_all;
  if (is_open && body.m_key.empty()) {
    if (!request->IsSingleRead()) {
      return NotRun(RefusalCode::kNotAllowed,
                    "a profile that is open to all may only read", "read_only");
    }
    request->m_allowance.m_customer = CustomerName(kOpenCustomer);
  } else {
    const KeyAuthorizer::Decision decision =
        m_hooks.m_authorize(body.m_key, context);
    if (const auto* code = std::get_if<RefusalCode>(&decision)) {
      return NotRun(*code, MessageOf(*code));
    }
    request->m_allowance.m_customer = std::get<Authorized>(decision).m_customer;
  }
  // The key is not needed any more, so it is not kept in memory.
  request->m_body.m_key = Secret();
  if (!is_known && !request->IsInTransaction()) {
    return NotRun(RefusalCode::kUnknownProfile, "no such profile", "profile");
  }
  if (is_known) {
    request->m_profile = profile->second;
    request->m_allowance.m_profile = body.m_profile;
  }
  return std::nullopt;
}

std::optional<Refusal> RequestRouter::CheckDatabase(
    const ActiveRequest& request,
    const Configuration& configuration) {
  const auto database =
      configuration.m_databases.find(request.m_body.m_database);
  if (database == configuration.m_databases.end()) {
    return NotRun(RefusalCode::kUnknownDatabase, "no such database",
                  "database");
  }
  if (database->second.m_leaving) {
    return NotRun(RefusalCode::kDatabaseLeaving, "the database is leaving",
                  "database");
  }
  return std::nullopt;
}

// Admits a statement, commit or rollback in an explicit transaction. It runs
// under the profile that the transaction began with, and only for the customer
// that began the transaction.
std::optional<Refusal> RequestRouter::AdmitToTransaction(ActiveRequest* request,
                                                         Context& context) {
  const auto token = SessionToken::Parse(request->m_body.m_session);
  if (!token) {
    return NotRun(RefusalCode::kInvalidRequest, "the session token is damaged",
                  "session");
  }
  request->m_token = *token;
  Transaction* transaction = m_transactions.Find(request->m_body.m_transaction);
  if (transaction == nullptr) {
    return NotRun(RefusalCode::kUnknownTransaction,
                  "this instance has no such transaction", "transaction");
  }
  request->m_body.m_profile = transaction->m_allowance.m_profile;
  if (auto refusal = Authenticate(request, context)) {
    return refusal;
  }
  if (request->m_allowance.m_customer != transaction->m_allowance.m_customer) {
    // The message is the same as for a transaction that does not exist, so that
    // a caller cannot find out which ids of other customers are in use.
    return NotRun(RefusalCode::kUnknownTransaction,
                  "this instance has no such transaction", "transaction");
  }
  request->m_allowance = transaction->m_allowance;
  request->m_profile = transaction->m_profile;
  request->m_body.m_database = transaction->m_database;
  request->m_body.m_read_only = transaction->m_read_only;
  request->m_deadline =
      context.Now() +
      std::min(request->m_body.m_deadline.value_or(kDefaultQueueWait),
               kMaxDeadline);
  return std::nullopt;
}

void RequestRouter::TakeCredit(ActiveRequest* request, Context& context) {
  std::deque<RequestHandle>& waiters = m_credit_waiters[request->m_allowance];
  if (!waiters.empty()) {
    // Requests of one allowance get credit in the order of their arrival.
    waiters.push_back(request->m_handle);
    return;
  }
  const Duration time_left = request->m_deadline - context.Now();
  switch (m_shares->TryTake(request->m_allowance, time_left, context)) {
    case ShareManager::Admission::kAdmitted:
      OnCreditTaken(request, context);
      return;
    case ShareManager::Admission::kWait:
      waiters.push_back(request->m_handle);
      return;
    case ShareManager::Admission::kRefused:
      Refuse(request, RefusalCode::kRateExceeded,
             "the customer's rate under this profile is used up", context);
      return;
  }
}

void RequestRouter::ServeCreditWaiters(Context& context) {
  for (auto& [allowance, waiters] : m_credit_waiters) {
    while (!waiters.empty()) {
      ActiveRequest* request = Find(waiters.front());
      if (request == nullptr ||
          request->m_stage != RequestStage::kWaitingForCredit) {
        waiters.pop_front();
        continue;
      }
      const Duration time_left = request->m_deadline - context.Now();
      const ShareManager::Admission admission =
          m_shares->TryTake(allowance, time_left, context);
      if (admission == ShareManager::Admission::kWait) {
        break;
      }
      waiters.pop_front();
      if (admission == ShareManager::Admission::kRefused) {
        Refuse(request, RefusalCode::kRateExceeded,
               "the customer's rate under this profile is used up", context);
      } else {
        OnCreditTaken(request, context);
      }
    }
  }
}

void RequestRouter::OnCreditTaken(ActiveRequest* request, Context& context) {
  if (m_hooks.m_on_admitted) {
    m_hooks.m_on_admitted(request->m_handle, request->m_allowance);
  }
  if (request->IsInTransaction()) {
    RunInTransaction(request, context);
  } else {
    Route(request, context);
  }
}

}  // namespace jasminelug::core
