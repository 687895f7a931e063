#include "gateway/one_way_streambuf.h"

namespace kumquatcart {

OneWayStreambuf::OneWayStreambuf(std::ios_base::openmode mode)
    : streambuf_state_manager(mode) {}

bool OneWayStreambuf::can_seek() const {
  return false;
}

bool OneWayStreambuf::has_size() const {
  return false;
}

std::size_t OneWayStreambuf::buffer_size(std::ios_base::openmode) const {
  return 0;
}

void OneWayStreambuf::set_buffer_size(std::size_t, std::ios_base::openmode) {}

std::size_t OneWayStreambuf::in_avail() const {
  return 0;
}

OneWayStreambuf::pos_type OneWayStreambuf::getpos(
    std::ios_base::openmode) const {
  return static_cast<pos_type>(traits::eof());
}

OneWayStreambuf::pos_type OneWayStreambuf::seekpos(pos_type,
                                                   std::ios_base::openmode) {
  return static_cast<pos_type>(traits::eof());
}

OneWayStreambuf::pos_type OneWayStreambuf::seekoff(off_type,
                                                   std::ios_base::seekdir,
                                                   std::ios_base::openmode) {
  return static_cast<pos_type>(traits::eof());
}

bool OneWayStreambuf::acquire(std::uint8_t*& pointer, std::size_t& count) {
  pointer = nullptr;
  count = 0;
  return false;
}

void OneWayStreambuf::release(std::uint8_t*, std::size_t) {}

pplx::task<OneWayStreambuf::int_type> OneWayStreambuf::_putc(
    std::uint8_t byte) {
  return this->_putn(&byte, 1).then(
      [byte](std::size_t) { return static_cast<int_type>(byte); });
}

pplx::task<std::size_t> OneWayStreambuf::_putn(const std::uint8_t*,
                                               std::size_t) {
  return pplx::task_from_result<std::size_t>(0);
}

pplx::task<OneWayStreambuf::int_type> OneWayStreambuf::_bumpc() {
  return pplx::task_from_result<int_type>(traits::eof());
}

OneWayStreambuf::int_type OneWayStreambuf::_sbumpc() {
  return traits::requires_async();
}

pplx::task<OneWayStreambuf::int_type> OneWayStreambuf::_getc() {
  return pplx::task_from_result<int_type>(traits::eof());
}

OneWayStreambuf::int_type OneWayStreambuf::_sgetc() {
  return traits::requires_async();
}

pplx::task<OneWayStreambuf::int_type> OneWayStreambuf::_nextc() {
  return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<OneWayStreambuf::int_type> OneWayStreambuf::_ungetc() {
  return pplx::task_from_result<int_type>(traits::eof());
}

pplx::task<std::size_t> OneWayStreambuf::_getn(std::uint8_t*, std::size_t) {
  return pplx::task_from_result<std::size_t>(0);
}

std::size_t OneWayStreambuf::_scopy(std::uint8_t*, std::size_t) {
  return 0;
}

pplx::task<bool> OneWayStreambuf::_sync() {
  return pplx::task_from_result(true);
}

std::uint8_t* OneWayStreambuf::_alloc(std::size_t) {
  return nullptr;
}

void OneWayStreambuf::_commit(std::size_t) {}

}  // namespace kumquatcart
