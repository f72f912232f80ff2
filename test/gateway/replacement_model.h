#ifndef TEST_GATEWAY_REPLACEMENT_MODEL_H_
#define TEST_GATEWAY_REPLACEMENT_MODEL_H_

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "jasminelug/gateway.h"
#include "test/gateway/model_store.h"

namespace jasminelug::gateway {

// How an instance and the store reach each other.
enum class StorePath { kOpen, kRefused, kCut };

// Fleet of a ReplacementModel.
struct ReplacementModelOptions {
  std::size_t m_size = 3;
  std::size_t m_zones = 1;
  Regions m_regions{};
  int m_sync_replicas = 0;
  unsigned m_seed = 1;
  // Prints the events of the run.
  bool m_trace = false;
};

// A fleet of instances on a virtual clock, with one database group, the store
// and the platform's promotion call, all of which can fail.
//
// The instances decide with the gateway's own code: ReplacementCoordinator,
// PeerView, DecidePrimary(), PeerReadRevisions, InstanceRegistrar,
// StoreFollower, StateRelay, FollowerElection, CopyLag, StoreContact. The model
// only carries out what they decide, as FleetDuty and StateDuty do. The
// configuration is left out: the replacement record is the kind that is
// verified.
//
// What breaks a rule is recorded in violations():
//
// - two instances send promotions within
//   ReplacementCoordinator::kCoordinatorChangePause;
// - a fencing token is lower than an earlier one, or two instances send the
//   same;
// - an instance uses another member than the one that is being promoted, or
//   than the one that leads after a promotion.
class ReplacementModel {
 public:
  explicit ReplacementModel(const ReplacementModelOptions& options)
      : m_options(options), m_random(options.m_seed) {
    const std::size_t size = options.m_size;
    m_instances.resize(size);
    m_incarnations.resize(size, 0);
    m_store_paths.resize(size, StorePath::kOpen);
    m_deaf.resize(size, std::vector<bool>(size, false));
    m_members_cut.resize(size, false);
    ReplacementRecord record;
    record.m_epoch = m_store.epoch();
    record.m_lists_all_groups = true;
    record.m_primaries = {{m_group, m_leader}};
    m_store.Write(StoreKind::kReplacements, ReplacementCoordinator::kRecordName,
                  record, std::nullopt);
    for (std::size_t at = 0; at < size; ++at) {
      Start(at);
    }
  }

  void Run(Duration duration) {
    const Time end = m_now + duration;
    while (m_now < end) {
      const Time next = m_now + kStep;
      RunEvents(next);
      m_now = next;
      m_step += 1;
      for (std::size_t at = 0; at < m_instances.size(); ++at) {
        if (m_instances[at] && (at + m_step) % 2 == 0) {
          Tick(at);
        }
      }
      CheckUse("uses");
    }
  }

  // Starts an instance with nothing in memory.
  void Start(std::size_t at) {
    if (m_instances[at]) {
      return;
    }
    m_instances[at] = std::make_shared<Instance>();
    Instance& self = *m_instances[at];
    self.m_at = at;
    m_incarnations[at] += 1;
    self.m_entry.m_id = IdOf(at);
    self.m_entry.m_incarnation = Incarnation(m_incarnations[at]);
    self.m_entry.m_zone =
        ZoneName("zone" + std::to_string(at % m_options.m_zones));
    self.m_entry.m_peer_address = Address("host" + std::to_string(at) + ":1");
    self.m_contact.CountFrom(std::nullopt);
    self.m_registrar = std::make_unique<InstanceRegistrar>(
        self.m_entry, RegistrarHooks(&self));
    self.m_peers =
        std::make_unique<PeerView>(self.m_entry, m_options.m_regions);
    self.m_coordinator = std::make_unique<ReplacementCoordinator>(
        ReplacementOptions{self.m_entry.m_id}, CoordinatorHooks(&self));
    ConnectCopies(&self);
    Trace(self, "starts");
    for (auto& [kind, copy] : self.m_copies) {
      copy.m_follower->Refresh(m_now);
    }
  }

  // Ends an instance at once.
  void Kill(std::size_t at) {
    if (m_instances[at]) {
      Trace(*m_instances[at], "is killed");
      m_instances[at].reset();
    }
  }

  // Stops an instance in an orderly way, which takes a while.
  void Stop(std::size_t at) {
    if (!m_instances[at] || m_instances[at]->m_stopping) {
      return;
    }
    Instance& self = *m_instances[at];
    Trace(self, "stops");
    self.m_stopping = true;
    self.m_coordinator->Stop();
    self.m_registrar->AnnounceStop(m_now);
    const std::weak_ptr<Instance> weak = m_instances[at];
    After(Duration(1500ms), [this, weak] {
      if (const auto live = weak.lock()) {
        live->m_registrar->Stop(m_now);
        UpdateRegistration(live.get());
      }
    });
    After(Duration(2300ms), [this, weak, at] {
      if (weak.lock()) {
        Kill(at);
      }
    });
  }

  void After(Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }

  // The member that leads the group's newest term.
  const MemberId& leader() const { return m_leader; }
  bool is_leader_up() const { return m_members.at(m_leader).m_up; }
  void SetUp(const MemberId& member, bool up) {
    if (m_members[member].m_up != up) {
      m_members[member].m_up = up;
      Trace("member " + member.str() + (up ? " is up" : " is down"));
    }
  }
  std::vector<MemberId> members() const {
    std::vector<MemberId> ids;
    for (const auto& [id, member] : m_members) {
      ids.push_back(id);
    }
    return ids;
  }

  bool is_live(std::size_t at) const { return m_instances[at] != nullptr; }
  bool is_stopping(std::size_t at) const {
    return m_instances[at] && m_instances[at]->m_stopping;
  }
  std::size_t size() const { return m_instances.size(); }

  // The record in the store.
  ReplacementRecord Record() const {
    const StoreObjects objects = m_store.Objects(StoreKind::kReplacements);
    const auto found = objects.find(ReplacementCoordinator::kRecordName);
    return found == objects.end()
               ? ReplacementRecord()
               : std::get<ReplacementRecord>(found->second.m_value);
  }

  // Returns whether the record is valid and names the leader.
  bool IsLeaderRecorded() const {
    const ReplacementRecord record = Record();
    return record.m_epoch == m_store.epoch() &&
           record.m_primaries.size() == 1 &&
           record.m_primaries.front().m_primary == m_leader;
  }

  // Returns whether no replacement is in progress or needed.
  bool HasEnded() const {
    return !Record().m_intent && IsLeaderRecorded() && is_leader_up();
  }

  // Returns whether all instances use the leader.
  bool AllUseLeader() const {
    for (const auto& instance : m_instances) {
      if (instance && Uses(*instance) != m_leader) {
        return false;
      }
    }
    return true;
  }

  // Returns a pair of instances, the first of which takes the second one for
  // lost although both run.
  std::optional<std::string> FindWrongJudgement() const {
    for (const auto& judge : m_instances) {
      for (const auto& other : m_instances) {
        if (judge && other && judge != other &&
            judge->m_peers->IsUnresponsive(other->m_entry.m_id, m_now)) {
          return judge->m_entry.m_id.str() + " takes " +
                 other->m_entry.m_id.str() + " for lost" +
                 (judge->m_peers->is_head() ? ", as a head" : "");
        }
      }
    }
    return std::nullopt;
  }

  void Trace(const std::string& event) const {
    if (m_options.m_trace) {
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
          m_now.time_since_epoch());
      std::cerr << ms.count() - 100000 << " " << event << "\n";
    }
  }

  const std::vector<std::string>& violations() const { return m_violations; }
  int promotions() const { return m_promotions; }
  Time now() const { return m_now; }
  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

  // Faults. They last until they are changed.
  ModelStore m_store;
  std::vector<StorePath> m_store_paths;
  // m_deaf[a][b]: reports and copies of b do not reach a.
  std::vector<std::vector<bool>> m_deaf;
  // Instances that reach no member of the group.
  std::vector<bool> m_members_cut;
  // Part of the reports, and of the answers of the store and the platform, that
  // are lost, and the longest delay of those and of their calls.
  double m_report_loss = 0;
  Duration m_report_delay = 5ms;
  double m_answer_loss = 0;
  Duration m_call_delay = 10ms;
  // Whether the present leader is being drained.
  bool m_is_leader_leaving = false;

 private:
  static constexpr Duration kStep = 10ms;
  static constexpr Duration kReportInterval = 200ms;
  static constexpr Duration kDigestInterval = 380ms;
  static constexpr Duration kCoordinatorContactLimit =
      ReplacementCoordinator::kActingContactLimit;
  static constexpr Duration kContactLimit = 4200ms;
  static constexpr Duration kLongestTransaction = 1500ms;
  static constexpr Duration kPromotionTime = 900ms;
  static constexpr Duration kListInterval = 700ms;
  static constexpr std::size_t kDigestReceivers = 2;

  struct Watch {
    Revision m_since;
    Time m_ends;
    std::function<void(const Result<StoreChanges, StoreError>&)> m_answer;
  };

  struct Copy {
    std::unique_ptr<StoreFollower> m_follower;
    std::optional<Watch> m_watch;
    Time m_refreshed;
  };

  struct Member {
    bool m_up = true;
    MemberRole m_role = MemberRole::kReplica;
    Term m_term{1};
    LogPosition m_received{Term(1), 7};
  };

  struct Instance {
    std::size_t m_at = 0;
    InstanceEntry m_entry;
    std::unique_ptr<InstanceRegistrar> m_registrar;
    std::unique_ptr<PeerView> m_peers;
    std::unique_ptr<ReplacementCoordinator> m_coordinator;
    PeerReadRevisions m_peer_record;
    StoreContact m_contact;
    std::map<StoreKind, Copy> m_copies;
    std::unique_ptr<StateRelay> m_relay;
    std::unique_ptr<FollowerElection> m_election;
    CopyLag m_entries_lag;
    std::map<std::pair<InstanceId, StoreKind>, Time> m_requested;
    // The call of each client that is in progress, and whether it was
    // abandoned.
    std::map<std::string, std::shared_ptr<bool>> m_calls;
    StoreObjects m_objects;
    std::optional<Time> m_instances_as_of;
    std::optional<Time> m_registered_since;
    Time m_last_report;
    Time m_last_digest;
    Revision m_reported;
    // The primary, and whether statements are in flight to it.
    PrimaryView m_primary;
    bool m_busy = false;
    Time m_busy_until;
    std::optional<Time> m_failing_since;
    bool m_stopping = false;
  };

  static InstanceId IdOf(std::size_t at) {
    return InstanceId("i" + std::string(at < 10 ? "0" : "") +
                      std::to_string(at));
  }
  static std::size_t IndexOf(const InstanceId& id) {
    return std::stoul(id.str().substr(1));
  }

  void Trace(const Instance& self, const std::string& event) const {
    Trace(self.m_entry.m_id.str() + " " + event);
  }

  void Violate(const std::string& rule) {
    Trace("VIOLATION " + rule);
    m_violations.push_back(rule);
  }

  Duration UpTo(Duration longest) {
    return Duration(1ms) +
           std::chrono::duration_cast<Duration>(longest * Random());
  }

  void RunEvents(Time until) {
    while (!m_events.empty() && m_events.begin()->first <= until) {
      const auto event = m_events.begin();
      m_now = std::max(m_now, event->first);
      const std::function<void()> action = std::move(event->second);
      m_events.erase(event);
      action();
    }
  }

  // Sends a call of a client of `self`, which has one call at a time. `serve`
  // runs when the call arrives; it gets whether the callee refuses, and returns
  // what happens when the answer arrives. A call whose client was abandoned
  // still arrives if `arrives_late`.
  using Serve = std::function<std::function<void()>(bool refused)>;
  void Call(Instance* self,
            const std::string& client,
            bool arrives_late,
            const Serve& serve) {
    Abandon(self, client);
    const auto abandoned = std::make_shared<bool>(false);
    self->m_calls[client] = abandoned;
    if (m_store_paths[self->m_at] == StorePath::kCut) {
      return;
    }
    const std::weak_ptr<Instance> weak = m_instances[self->m_at];
    const std::size_t at = self->m_at;
    After(UpTo(m_call_delay), [this, weak, at, abandoned, arrives_late, serve] {
      if (*abandoned && !arrives_late) {
        return;
      }
      const std::function<void()> answer =
          serve(m_store_paths[at] != StorePath::kOpen);
      if (Random() < m_answer_loss || m_store_paths[at] == StorePath::kCut) {
        return;
      }
      After(UpTo(m_call_delay), [weak, abandoned, answer] {
        if (weak.lock() && !*abandoned) {
          answer();
        }
      });
    });
  }

  void Abandon(Instance* self, const std::string& client) {
    const auto call = self->m_calls.find(client);
    if (call != self->m_calls.end()) {
      *call->second = true;
    }
  }

  static StoreError Refusal() { return {StoreErrorKind::kRefused, "refused"}; }

  InstanceRegistrar::Hooks RegistrarHooks(Instance* self) {
    InstanceRegistrar::Hooks hooks;
    hooks.m_write = [this, self](const std::string& name,
                                 const InstanceEntry& entry,
                                 std::optional<Revision> expected) {
      Call(self, "entry", true, [=, this](bool refused) {
        const Result<StoreObject, StoreError> result =
            refused
                ? Refusal()
                : m_store.Write(StoreKind::kInstances, name, entry, expected);
        return [=, this] {
          self->m_registrar->OnWritten(result, m_now);
          UpdateRegistration(self);
        };
      });
    };
    hooks.m_delete = [this, self](const std::string& name) {
      Call(self, "entry", true, [=, this](bool refused) {
        if (!refused) {
          m_store.Delete(StoreKind::kInstances, name, std::nullopt);
        }
        return [] {};
      });
    };
    hooks.m_abandon = [this, self] { Abandon(self, "entry"); };
    return hooks;
  }

  ReplacementCoordinator::Hooks CoordinatorHooks(Instance* self) {
    ReplacementCoordinator::Hooks hooks;
    hooks.m_write = [this, self](const ReplacementRecord& record,
                                 std::optional<Revision> expected) {
      Call(self, "record", true, [=, this](bool refused) {
        const Result<StoreObject, StoreError> result =
            refused ? Refusal()
                    : m_store.Write(StoreKind::kReplacements,
                                    ReplacementCoordinator::kRecordName, record,
                                    expected);
        return [=, this] { OnRecordWritten(self, result); };
      });
    };
    hooks.m_promote = [this, self](const PromotionOrder& order) {
      SendPromotion(self, order);
    };
    hooks.m_abandon_write = [this, self] { Abandon(self, "record"); };
    hooks.m_abandon_promotion = [this, self] { Abandon(self, "promotion"); };
    hooks.m_read_instances = [this, self] {
      self->m_copies[StoreKind::kInstances].m_follower->Refresh(m_now);
    };
    hooks.m_request_status = [this, self](const MemberId& member) {
      RequestStatus(self, member);
    };
    hooks.m_report = [this, self](const std::string& event,
                                  const ReplacementIntent& intent) {
      Trace(*self, event + " of " + intent.m_old_primary.str() + " by " +
                       intent.m_candidate.str());
    };
    return hooks;
  }

  void OnRecordWritten(Instance* self,
                       const Result<StoreObject, StoreError>& result) {
    self->m_coordinator->OnWritten(result, m_now);
    UpdatePrimary(self);
    if (IsOk(result)) {
      StoreObject object = GetValue(result);
      Trace(*self,
            "wrote the record " + std::to_string(object.m_revision.number()));
      self->m_copies[StoreKind::kReplacements].m_follower->Adopt(
          {{object.m_name, object}}, object.m_revision);
    }
  }

  void RequestStatus(Instance* self, const MemberId& id) {
    if (m_members_cut[self->m_at] || !m_members[id].m_up) {
      return;
    }
    const std::weak_ptr<Instance> weak = m_instances[self->m_at];
    After(UpTo(m_report_delay), [this, weak, id] {
      const auto live = weak.lock();
      const Member& member = m_members[id];
      if (live && member.m_up) {
        live->m_coordinator->OnStatus(
            id, {member.m_role, member.m_term, member.m_received}, m_now);
      }
    });
  }

  void SendPromotion(Instance* self, const PromotionOrder& order) {
    m_promotions += 1;
    const bool other =
        m_last_order && m_last_order->m_coordinator != order.m_coordinator;
    if (other && m_now - m_last_sent < kChangePause) {
      Violate("two instances promote within the pause");
    }
    if (other && m_last_order->m_fencing_token >= order.m_fencing_token) {
      Violate("a fencing token does not grow");
    }
    m_last_order = order;
    m_last_sent = m_now;
    CheckPromotionUse(order.m_candidate);
    Call(self, "promotion", false, [=, this](bool refused) {
      const PromotionResult result =
          refused ? PromotionResult::kUnavailable : Promote(order);
      return [=, this] { self->m_coordinator->OnPromoted(result, m_now); };
    });
  }

  // Carries out an order at the platform.
  PromotionResult Promote(const PromotionOrder& order) {
    if (order.m_fencing_token < m_highest_token) {
      Violate("the platform sees a lower fencing token");
      return PromotionResult::kRefused;
    }
    m_highest_token = order.m_fencing_token;
    const MemberId id = order.m_candidate;
    if (!m_members[id].m_up) {
      return PromotionResult::kRefused;
    }
    if (id == m_designated) {
      return PromotionResult::kDone;
    }
    m_designated = id;
    After(UpTo(kPromotionTime), [this, id] {
      if (m_designated != id) {
        return;
      }
      if (!m_members[id].m_up) {
        m_designated = m_leader;
        return;
      }
      m_members[m_leader].m_role = MemberRole::kReplica;
      m_term += 1;
      m_members[id].m_role = MemberRole::kPrimary;
      m_leader = id;
      m_is_leader_leaving = false;
      for (auto& [other, member] : m_members) {
        member.m_term = Term(m_term);
      }
      Trace("member " + id.str() + " leads");
    });
    return PromotionResult::kDone;
  }

  // --- Copies of the store's objects, as in StateDuty. ---

  void ConnectCopies(Instance* self) {
    for (const StoreKind kind :
         {StoreKind::kInstances, StoreKind::kReplacements}) {
      StoreFollowerOptions options;
      const bool verified = kind == StoreKind::kReplacements;
      options.m_watch_wait = verified ? Duration(500ms) : Duration(28s);
      options.m_max_retry_delay = verified ? Duration(800ms) : Duration(10s);
      Copy& copy = self->m_copies[kind];
      copy.m_follower =
          std::make_unique<StoreFollower>(options, FollowerHooks(self, kind));
      copy.m_follower->SetPauseAfterChange(100ms);
      copy.m_follower->SetFollowing(false, m_now);
    }
    self->m_relay = std::make_unique<StateRelay>(
        StateRelay::Hooks{[this, self](const InstanceId& peer, StoreKind kind) {
                            RequestCopy(self, peer, kind);
                          },
                          [this] { return Random(); }});
    self->m_election =
        std::make_unique<FollowerElection>(FollowerElection::Hooks{
            [this, self] { Refresh(self, StoreKind::kReplacements); },
            [this] { return Random(); }});
  }

  StoreFollower::Hooks FollowerHooks(Instance* self, StoreKind kind) {
    const std::string client = NameOf(kind);
    StoreFollower::Hooks hooks;
    hooks.m_list = [=, this](const std::string&) {
      Call(self, client, true, [=, this](bool refused) {
        const Result<StorePage, StoreError> page =
            refused ? Result<StorePage, StoreError>(Refusal())
                    : m_store.List(kind);
        return
            [=, this] { self->m_copies[kind].m_follower->OnPage(page, m_now); };
      });
    };
    hooks.m_watch = [=, this](Revision since, Duration wait) {
      SendWatch(self, kind, since, wait);
    };
    hooks.m_abandon = [=, this] {
      Abandon(self, client);
      self->m_copies[kind].m_watch.reset();
    };
    hooks.m_changed = [=, this](const StoreObjects& objects) {
      OnChanged(self, kind, objects);
    };
    hooks.m_verified = [=, this](Time sent) { OnVerified(self, kind, sent); };
    hooks.m_lost = [](const std::string&) {};
    hooks.m_regained = [=, this] {
      if (kind == StoreKind::kReplacements &&
          self->m_copies[StoreKind::kInstances].m_follower->is_retrying()) {
        self->m_copies[StoreKind::kInstances].m_follower->Refresh(m_now);
      }
    };
    hooks.m_random = [this] { return Random(); };
    return hooks;
  }

  void SendWatch(Instance* self,
                 StoreKind kind,
                 Revision since,
                 Duration wait) {
    self->m_copies[kind].m_watch.reset();
    Call(self, NameOf(kind), true, [=, this](bool refused) {
      if (refused) {
        return std::function<void()>([=, this] {
          self->m_copies[kind].m_follower->OnChanges(Refusal(), m_now);
        });
      }
      return std::function<void()>([=, this] {
        // The store holds the call until something changes.
        Watch watch{since, m_now + wait, {}};
        watch.m_answer = [=, this](const auto& result) {
          self->m_copies[kind].m_follower->OnChanges(result, m_now);
        };
        self->m_copies[kind].m_watch = watch;
        AnswerWatch(self, kind);
      });
    });
  }

  void AnswerWatch(Instance* self, StoreKind kind) {
    std::optional<Watch>& held = self->m_copies[kind].m_watch;
    const StorePath path = m_store_paths[self->m_at];
    if (!held || path == StorePath::kCut) {
      return;
    }
    const StoreChanges changes = m_store.ChangesSince(kind, held->m_since);
    const bool due = !changes.m_changes.empty() || m_now >= held->m_ends ||
                     changes.m_revision.epoch() != held->m_since.epoch();
    if (path == StorePath::kOpen && !due) {
      return;
    }
    const Watch watch = *held;
    held.reset();
    if (path == StorePath::kRefused) {
      watch.m_answer(Refusal());
    } else {
      watch.m_answer(changes);
    }
  }

  void Refresh(Instance* self, StoreKind kind) {
    StoreFollower& follower = *self->m_copies[kind].m_follower;
    if (!follower.is_retrying()) {
      follower.Refresh(m_now);
    }
  }

  void OnVerified(Instance* self, StoreKind kind, Time sent) {
    if (kind == StoreKind::kInstances) {
      self->m_instances_as_of = sent;
      return;
    }
    self->m_contact.RecordContact(sent);
    self->m_election->OnVerified(m_now);
  }

  void OnChanged(Instance* self, StoreKind kind, const StoreObjects& objects) {
    const Revision complete = self->m_copies[kind].m_follower->complete();
    if (kind == StoreKind::kInstances) {
      OnInstances(self, objects, complete);
      return;
    }
    self->m_coordinator->OnEntries(objects, complete, m_now);
    UpdateRegistration(self);
    UpdatePrimary(self);
    SendReports(self);
  }

  void OnInstances(Instance* self,
                   const StoreObjects& objects,
                   Revision complete) {
    self->m_relay->SetFleetSize(static_cast<int>(objects.size()));
    self->m_objects = objects;
    std::vector<InstanceEntry> entries;
    for (const auto& [name, object] : objects) {
      entries.push_back(std::get<InstanceEntry>(object.m_value));
      entries.back().m_revision = object.m_revision;
    }
    self->m_peers->SetInstances(entries, m_now);
    self->m_registrar->OnEntries(objects, complete, m_now);
    UpdateRegistration(self);
  }

  // Runs `handle` at the instance `to` when a message of `from` arrives there.
  void Send(const Instance& from,
            std::size_t to,
            std::function<void(Instance*)> handle) {
    if (m_deaf[to][from.m_at] || Random() < m_report_loss) {
      return;
    }
    After(UpTo(m_report_delay), [this, to, handle = std::move(handle)] {
      if (m_instances[to]) {
        handle(m_instances[to].get());
      }
    });
  }

  void RequestCopy(Instance* self, const InstanceId& peer, StoreKind kind) {
    const StoreFollower& own = *self->m_copies[kind].m_follower;
    self->m_requested.try_emplace({peer, kind}, m_now);
    const StateRequest request =
        MakeStateRequest(kind, own.objects(), own.changed());
    const InstanceId sender = self->m_entry.m_id;
    Send(*self, IndexOf(peer), [=, this](Instance* receiver) {
      const StoreFollower& copy = *receiver->m_copies[kind].m_follower;
      if (!copy.is_listed()) {
        return;
      }
      const std::optional<Duration> age = kind == StoreKind::kReplacements
                                              ? receiver->m_contact.Age(m_now)
                                              : std::nullopt;
      const StateUpdate update =
          MakeStateUpdate(request, copy.objects(), copy.changed(), age);
      Send(*receiver, IndexOf(sender), [=, this](Instance* requester) {
        OnUpdate(requester, peer, update);
      });
    });
  }

  void OnUpdate(Instance* self,
                const InstanceId& sender,
                const StateUpdate& update) {
    const auto requested = self->m_requested.find({sender, update.m_kind});
    if (requested == self->m_requested.end()) {
      return;
    }
    StoreFollower& copy = *self->m_copies[update.m_kind].m_follower;
    if (!copy.is_listed() && update.m_base != Revision()) {
      return;  // It answers a request of an earlier run of this instance.
    }
    const Time sent = requested->second;
    self->m_requested.erase(requested);
    self->m_relay->TakeRequest(sender, update.m_kind);
    if (copy.is_listed() && copy.changed() != update.m_base) {
      return;
    }
    const auto objects = ApplyStateUpdate(
        copy.objects(), update,
        [this](StoreKind, const std::string& encoded, StoreEpoch epoch) {
          return m_store.Decode(encoded, epoch);
        });
    if (!objects) {
      return;
    }
    const bool covers_own_copy = !copy.is_listed() ||
                                 update.m_changed >= copy.complete() ||
                                 update.m_changed == copy.changed();
    if (update.m_age && covers_own_copy) {
      self->m_contact.RecordContact(sent - *update.m_age);
    }
    copy.Adopt(*objects, update.m_changed);
    self->m_relay->Update(update.m_kind, copy.complete(), m_now);
  }

  // --- Duties of an instance, as in FleetDuty. ---

  void UpdateRegistration(Instance* self) {
    const bool same_epoch =
        self->m_registrar->epoch() == self->m_coordinator->epoch();
    const std::optional<Time> since =
        same_epoch ? self->m_registrar->registered_since() : std::nullopt;
    if (since == self->m_registered_since) {
      return;
    }
    self->m_registered_since = since;
    self->m_contact.CountFrom(since);
    UpdatePrimary(self);
    if (since) {
      Refresh(self, StoreKind::kReplacements);
    }
  }

  void UpdatePrimary(Instance* self) {
    self->m_peer_record.Update(self->m_coordinator->revision(), m_now);
    const PrimaryDecision decision = DecidePrimary(
        m_group, *self->m_coordinator, std::nullopt, self->m_primary.m_member,
        self->m_peer_record.unread().has_value(), m_now);
    const bool replaced = self->m_primary.m_member != decision.m_view.m_member;
    self->m_primary = decision.m_view;
    const bool fresh = self->m_contact.IsFresh(m_now, kContactLimit);
    if (replaced) {
      self->m_failing_since.reset();
    }
    if (replaced || !fresh ||
        (!self->m_primary.m_usable && decision.m_abandon)) {
      self->m_busy = false;
    }
    if (self->m_primary.m_usable && fresh) {
      self->m_busy = true;
      self->m_busy_until = m_now + UpTo(kLongestTransaction);
    } else if (m_now >= self->m_busy_until) {
      self->m_busy = false;
    }
  }

  std::optional<MemberId> Uses(const Instance& self) const {
    const bool fresh = self.m_contact.IsFresh(m_now, kContactLimit);
    return fresh && (self.m_primary.m_usable || self.m_busy)
               ? self.m_primary.m_member
               : std::nullopt;
  }

  // Checks that every instance that uses a primary uses the leader, once a
  // promotion has taken effect.
  void CheckUse(const std::string& what) {
    if (m_leader == m_first_leader && m_term == 1) {
      return;
    }
    for (const auto& instance : m_instances) {
      const auto used = instance ? Uses(*instance) : std::nullopt;
      if (used && *used != m_leader) {
        Violate(instance->m_entry.m_id.str() + " " + what + " " + used->str() +
                " while " + m_leader.str() + " leads");
      }
    }
  }

  // Checks that no instance uses another member than `candidate`, for which a
  // promotion is being sent.
  void CheckPromotionUse(const MemberId& candidate) {
    for (const auto& instance : m_instances) {
      const auto used = instance ? Uses(*instance) : std::nullopt;
      if (used && *used != candidate) {
        Violate(instance->m_entry.m_id.str() + " uses " + used->str() +
                " while " + candidate.str() + " is promoted");
      }
    }
  }

  Revision AcknowledgedRevision(const Instance& self) const {
    if (const auto unread = self.m_peer_record.unread()) {
      return !self.m_primary.m_usable && !self.m_busy ? *unread : Revision();
    }
    if (self.m_coordinator->record().m_intent && self.m_busy) {
      return {};
    }
    return self.m_coordinator->revision();
  }

  bool Reaches(const Instance& self, const MemberId& member) const {
    return !m_members_cut[self.m_at] && m_members.at(member).m_up;
  }

  GroupCondition ConditionOf(const Instance& self) const {
    GroupCondition condition;
    condition.m_group = m_group;
    condition.m_primary = self.m_primary.m_member;
    condition.m_sync_replicas = m_options.m_sync_replicas;
    for (const auto& [id, member] : m_members) {
      condition.m_members.push_back(id);
      if (id != self.m_primary.m_member) {
        condition.m_candidates.push_back(id);
      }
    }
    condition.m_primary_leaving =
        m_is_leader_leaving && self.m_primary.m_member == m_leader;
    condition.m_primary_gone = !self.m_primary.m_member;
    condition.m_failing_since = self.m_failing_since;
    condition.m_no_statements_in_flight = !self.m_busy;
    const auto counts = self.m_peers->CountReachability(m_group, m_now);
    condition.m_others_unreachable = counts.m_unreachable;
    condition.m_others_reachable = counts.m_reachable;
    return condition;
  }

  PeerReport MakeReport(Instance* self) {
    PeerReport report;
    for (const auto& [kind, copy] : self->m_copies) {
      if (copy.m_follower->is_listed()) {
        report.m_copies.push_back(
            {kind, copy.m_follower->changed(), copy.m_follower->complete()});
      }
    }
    report.m_acknowledged = AcknowledgedRevision(*self);
    if (const auto age = self->m_contact.Age(m_now)) {
      report.m_replacements = {self->m_coordinator->revision(), *age};
    }
    if (self->m_failing_since) {
      report.m_unreachable.push_back(m_group);
    } else if (self->m_primary.m_member) {
      report.m_reachable.push_back(m_group);
    }
    return report;
  }

  void SendReports(Instance* self) {
    PeerView& peers = *self->m_peers;
    self->m_last_report = m_now;
    peers.UpdateRole(self->m_coordinator->IsOwnIntent(), m_now);
    PeerReport report = MakeReport(self);
    const bool acknowledges = report.m_acknowledged != self->m_reported;
    self->m_reported = report.m_acknowledged;
    peers.FillHeader(&report, m_now);
    const CustomerHolders holders;
    const FleetShares shares = peers.AllShares(report.m_demand, holders, m_now);
    for (const InstanceEntry& peer : peers.ReportReceivers(m_now)) {
      SendReport(*self, peer, peers.ReportFor(peer, report, shares, m_now));
    }
    if (!peers.has_other_cells() || !peers.is_head()) {
      return;
    }
    DigestRound round;
    round.m_has_digest =
        acknowledges || m_now - self->m_last_digest >= kDigestInterval;
    round.m_is_replacing = self->m_coordinator->record().m_intent.has_value();
    if (round.m_has_digest) {
      self->m_last_digest = m_now;
      report.m_cells = {peers.Digest(report, m_now)};
    }
    for (const InstanceEntry& peer :
         peers.DigestReceivers(kDigestReceivers, round, m_now)) {
      SendReport(*self, peer, peers.ReportFor(peer, report, shares, m_now));
    }
  }

  void SendReport(const Instance& self,
                  const InstanceEntry& receiver,
                  const PeerReport& report) {
    Send(self, IndexOf(receiver.m_id),
         [this, report](Instance* at) { OnReport(at, report); });
  }

  void OnReport(Instance* self, const PeerReport& report) {
    if (!self->m_peers->OnReport(report, m_now)) {
      const bool known =
          self->m_peers->IsRegistered(report.m_sender, report.m_incarnation);
      if (!known && m_now - self->m_copies[StoreKind::kInstances].m_refreshed >
                        kListInterval) {
        self->m_copies[StoreKind::kInstances].m_refreshed = m_now;
        RequestCopy(self, report.m_sender, StoreKind::kInstances);
      }
      return;
    }
    self->m_relay->OnReport(report.m_sender, report.m_copies, m_now);
    for (const CopyRevision& copy : report.m_copies) {
      self->m_copies[copy.m_kind].m_follower->Confirm(copy.m_changed,
                                                      copy.m_complete);
    }
    if (report.m_replacements) {
      const VerifiedRevision& verified = *report.m_replacements;
      self->m_peer_record.RecordPeerRevision(verified.m_revision, m_now);
      const auto time = self->m_peers->VerifiedTime(report.m_sender, verified);
      if (time && verified.m_revision == self->m_coordinator->revision()) {
        self->m_contact.RecordContact(*time);
      }
    }
  }

  void UpdateFollowing(Instance* self) {
    FollowerCandidate candidate;
    candidate.m_rank = self->m_peers->FollowerRank(m_now);
    candidate.m_live_count =
        self->m_peers->CountLive(m_now) > 0 ? self->m_peers->cell_size() : 1;
    candidate.m_contact_age = self->m_contact.Age(m_now);
    self->m_election->OnTick(candidate, m_now);
    const bool follows = self->m_election->follows(m_now);
    StoreFollower& record =
        *self->m_copies[StoreKind::kReplacements].m_follower;
    const bool changed = follows != record.is_following();
    for (auto& [kind, copy] : self->m_copies) {
      copy.m_follower->SetFollowing(follows, m_now);
    }
    if (changed && follows && candidate.m_contact_age &&
        *candidate.m_contact_age > 500ms) {
      Refresh(self, StoreKind::kReplacements);
    }
  }

  void UpdateCopies(Instance* self) {
    bool listed = true;
    for (auto& [kind, copy] : self->m_copies) {
      copy.m_follower->OnTick(m_now);
      AnswerWatch(self, kind);
      if (!copy.m_follower->is_listed()) {
        listed = false;
        if (m_now - copy.m_refreshed > kListInterval) {
          copy.m_refreshed = m_now;
          Refresh(self, kind);
        }
      }
    }
    if (!listed) {
      return;
    }
    UpdateFollowing(self);
    for (auto& [kind, copy] : self->m_copies) {
      self->m_relay->Update(kind, copy.m_follower->complete(), m_now);
      if (self->m_relay->TakeOverdue(kind, m_now)) {
        Refresh(self, kind);
      }
    }
    VerifyEntries(self);
  }

  void VerifyEntries(Instance* self) {
    const StoreFollower& entries =
        *self->m_copies[StoreKind::kInstances].m_follower;
    const StoreFollower& record =
        *self->m_copies[StoreKind::kReplacements].m_follower;
    const bool overdue = self->m_entries_lag.TakeOverdue(
        entries.complete(), record.complete(), m_now);
    if (overdue && entries.is_following()) {
      Refresh(self, StoreKind::kInstances);
    }
  }

  void Tick(std::size_t at) {
    const std::shared_ptr<Instance> kept = m_instances[at];
    Instance* self = kept.get();
    UpdateCopies(self);
    const bool reaches =
        self->m_primary.m_member && Reaches(*self, *self->m_primary.m_member);
    if (reaches || !self->m_primary.m_member) {
      self->m_failing_since.reset();
    } else if (!self->m_failing_since) {
      self->m_failing_since = m_now;
    }
    self->m_registrar->OnTick(m_now);
    UpdateRegistration(self);
    UpdatePrimary(self);
    const InstanceId coordinator = self->m_coordinator->record().m_coordinator;
    FleetCondition fleet;
    fleet.m_all_acknowledged =
        self->m_peers->AllAcknowledged(self->m_coordinator->revision(), m_now);
    fleet.m_instances_as_of = self->m_instances_as_of.value_or(Time());
    fleet.m_rank = self->m_peers->Rank(m_now);
    fleet.m_contact_recent =
        self->m_registrar->is_registered() &&
        self->m_contact.IsFresh(m_now, kCoordinatorContactLimit);
    fleet.m_coordinator_live =
        !self->m_peers->IsUnresponsive(coordinator, m_now);
    fleet.m_has_unread_record = self->m_peer_record.unread().has_value();
    self->m_coordinator->OnTick({ConditionOf(*self)}, fleet, m_now);
    if (self->m_coordinator->record().m_intent && !fleet.m_coordinator_live &&
        coordinator != self->m_entry.m_id) {
      self->m_registrar->Acknowledge(AcknowledgedRevision(*self), m_now);
    }
    const bool acknowledges = AcknowledgedRevision(*self) != self->m_reported;
    if (acknowledges || m_now - self->m_last_report >= kReportInterval) {
      SendReports(self);
      RemoveExpired(self);
    }
  }

  void RemoveExpired(Instance* self) {
    if (self->m_peers->Rank(m_now) != 0) {
      return;
    }
    for (const InstanceId& id : self->m_peers->ExpiredPeers(m_now)) {
      const std::string name = InstanceRegistrar::NameOf(id);
      const auto object = self->m_objects.find(name);
      if (object == self->m_objects.end()) {
        continue;
      }
      const Revision revision = object->second.m_revision;
      self->m_objects.erase(object);
      Call(self, "removal", true, [=, this](bool refused) {
        if (!refused) {
          m_store.Delete(StoreKind::kInstances, name, revision);
        }
        return [] {};
      });
      return;
    }
  }

  static constexpr Duration kChangePause =
      ReplacementCoordinator::kCoordinatorChangePause;

  const ReplacementModelOptions m_options;
  std::mt19937 m_random;
  const GroupName m_group{"g"};
  const MemberId m_first_leader{"p"};
  MemberId m_leader{"p"};
  // The member that the platform was told to promote last.
  MemberId m_designated{"p"};
  std::uint64_t m_term = 1;
  std::map<MemberId, Member> m_members = {
      {MemberId("p"), {true, MemberRole::kPrimary}},
      {MemberId("r1"), {}},
      {MemberId("r2"), {}}};
  Time m_now = Time(100s);
  std::size_t m_step = 0;
  std::vector<std::shared_ptr<Instance>> m_instances;
  std::vector<std::uint64_t> m_incarnations;
  std::multimap<Time, std::function<void()>> m_events;
  std::optional<PromotionOrder> m_last_order;
  Time m_last_sent;
  Revision m_highest_token;
  int m_promotions = 0;
  std::vector<std::string> m_violations;
};

}  // namespace jasminelug::gateway

#endif  // TEST_GATEWAY_REPLACEMENT_MODEL_H_
