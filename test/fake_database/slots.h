#ifndef TEST_FAKE_DATABASE_SLOTS_H_
#define TEST_FAKE_DATABASE_SLOTS_H_

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace jasminelug::fake_database {

// Lets no more than a set number of statements run at once; each holds its
// slot for the service time and is then executed. The rest wait in turn.
class Slots : public std::enable_shared_from_this<Slots> {
 public:
  using Work = std::function<void()>;

  Slots(asio::io_context& io,
        std::uint32_t count,
        std::chrono::microseconds service_time);

  // Runs `work` once a slot has been held for the service time.
  void Run(Work work);

 private:
  void Start(const Work& work);
  void Finish();

  asio::io_context& m_io;
  std::uint32_t m_free;
  std::chrono::microseconds m_service_time;
  std::deque<Work> m_waiting;
};

}  // namespace jasminelug::fake_database

#endif  // TEST_FAKE_DATABASE_SLOTS_H_
