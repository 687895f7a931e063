#include "gateway/relay_buffer.h"

#include <algorithm>
#include <cstring>
#include <exception>
#include <stdexcept>
#include <utility>

namespace kumquatcart {

namespace {

std::exception_ptr MakeAbortError() {
  return std::make_exception_ptr(std::runtime_error("stream broken off"));
}

}  // namespace

RelayBuffer::RelayBuffer(std::size_t capacity)
    : OneWayStreambuf(std::ios_base::in), capacity(capacity) {}

bool RelayBuffer::Push(std::string_view bytes,
                       std::function<void()> when_room) {
  PendingRead read;
  std::size_t given = 0;
  bool has_room = true;
  {
    const std::lock_guard<std::mutex> lock(this->buffer_mutex);
    if (this->ended || this->aborted) {
      return true;
    }
    this->buffered.append(bytes);
    if (this->has_pending_read && !this->buffered.empty()) {
      read = this->pending_read;
      this->has_pending_read = false;
      given = this->TakeLocked(read.bytes, read.count);
    }
    has_room = this->buffered.size() - this->read_position < this->capacity;
    if (!has_room) {
      this->room_callback = std::move(when_room);
    }
  }
  if (given > 0) {
    read.done.set(given);
  }
  return has_room;
}

void RelayBuffer::End() {
  PendingRead read;
  {
    const std::lock_guard<std::mutex> lock(this->buffer_mutex);
    if (this->ended || this->aborted) {
      return;
    }
    this->ended = true;
    if (!this->has_pending_read) {
      return;
    }
    read = this->pending_read;
    this->has_pending_read = false;
  }
  read.done.set(0);
}

void RelayBuffer::Abort() {
  PendingRead read;
  std::function<void()> on_room;
  bool had_read = false;
  {
    const std::lock_guard<std::mutex> lock(this->buffer_mutex);
    this->aborted = true;
    this->buffered.clear();
    this->read_position = 0;
    had_read = std::exchange(this->has_pending_read, false);
    read = this->pending_read;
    on_room = std::move(this->room_callback);
    this->room_callback = nullptr;
  }
  if (had_read) {
    read.done.set_exception(MakeAbortError());
  }
  if (on_room) {
    on_room();
  }
}

std::size_t RelayBuffer::BufferedBytes() const {
  const std::lock_guard<std::mutex> lock(this->buffer_mutex);
  return this->buffered.size() - this->read_position;
}

std::uint64_t RelayBuffer::TakenBytes() const {
  const std::lock_guard<std::mutex> lock(this->buffer_mutex);
  return this->taken_bytes;
}

pplx::task<std::size_t> RelayBuffer::_getn(std::uint8_t* bytes,
                                           std::size_t count) {
  std::function<void()> on_room;
  std::size_t taken = 0;
  {
    const std::lock_guard<std::mutex> lock(this->buffer_mutex);
    if (this->aborted) {
      return pplx::task_from_exception<std::size_t>(MakeAbortError());
    }
    if (this->buffered.empty()) {
      if (this->ended) {
        return pplx::task_from_result<std::size_t>(0);
      }
      this->pending_read = PendingRead{bytes, count, {}};
      this->has_pending_read = true;
      return pplx::create_task(this->pending_read.done);
    }
    taken = this->TakeLocked(bytes, count);
    on_room = this->TakeRoomCallbackLocked();
  }
  if (on_room) {
    on_room();
  }
  return pplx::task_from_result(taken);
}

std::size_t RelayBuffer::TakeLocked(std::uint8_t* bytes, std::size_t count) {
  const std::size_t available = this->buffered.size() - this->read_position;
  const std::size_t taken = std::min(count, available);
  std::memcpy(bytes, this->buffered.data() + this->read_position, taken);
  this->read_position += taken;
  this->taken_bytes += taken;
  // Bytes already read stay at the front until enough of them have gathered.
  if (this->read_position == this->buffered.size() ||
      this->read_position >= this->capacity) {
    this->buffered.erase(0, this->read_position);
    this->read_position = 0;
  }
  return taken;
}

std::function<void()> RelayBuffer::TakeRoomCallbackLocked() {
  const std::size_t waiting = this->buffered.size() - this->read_position;
  if (waiting >= this->capacity || !this->room_callback) {
    return nullptr;
  }
  return std::exchange(this->room_callback, nullptr);
}

}  // namespace kumquatcart
