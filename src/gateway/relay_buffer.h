// Bounded buffer between a backend server's stream and its caller.
#ifndef GATEWAY_RELAY_BUFFER_H_
#define GATEWAY_RELAY_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "gateway/one_way_streambuf.h"

namespace kumquatcart {

// Body of a streamed reply: the gateway pushes bytes, the HTTP library reads
// them as fast as the caller takes them. All methods are thread safe; the
// mutex is a leaf in the lock order and callbacks run without it.
class RelayBuffer : public OneWayStreambuf {
 public:
  // Holds up to `capacity` bytes before Push reports that it is full.
  explicit RelayBuffer(std::size_t capacity);

  // Appends `bytes`. Returns false when the buffer is now full: the pusher
  // then stops until `when_room` is called, once. Bytes pushed after End are
  // dropped.
  bool Push(std::string_view bytes, std::function<void()> when_room);

  // Ends the body after the bytes already pushed.
  void End();

  // Breaks the body off: the caller's connection closes without a proper end.
  void Abort();

  // Bytes that wait for the caller.
  std::size_t BufferedBytes() const;

  // Bytes that the HTTP library has taken so far.
  std::uint64_t TakenBytes() const;

 protected:
  pplx::task<std::size_t> _getn(std::uint8_t* bytes,
                                std::size_t count) override;

 private:
  // A read that waits for bytes.
  struct PendingRead {
    std::uint8_t* bytes = nullptr;
    std::size_t count = 0;
    pplx::task_completion_event<std::size_t> done;
  };

  std::size_t TakeLocked(std::uint8_t* bytes, std::size_t count);
  std::function<void()> TakeRoomCallbackLocked();

  const std::size_t capacity;
  mutable std::mutex buffer_mutex;
  std::string buffered;
  std::size_t read_position = 0;
  bool has_pending_read = false;
  PendingRead pending_read;
  std::function<void()> room_callback;
  std::uint64_t taken_bytes = 0;
  bool ended = false;
  bool aborted = false;
};

}  // namespace kumquatcart

#endif  // GATEWAY_RELAY_BUFFER_H_
