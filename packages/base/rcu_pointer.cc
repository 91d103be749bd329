#include "packages/base/rcu_pointer.h"

#include <urcu/urcu-memb.h>

namespace bramleyrail {

namespace {

struct ThreadRegistration {
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

}  // namespace

RcuReadSection::RcuReadSection() {
  thread_local ThreadRegistration registration;
  urcu_memb_read_lock();
}

RcuReadSection::~RcuReadSection() {
  urcu_memb_read_unlock();
}

void WaitForRcuReaders() {
  urcu_memb_synchronize_rcu();
}

}  // namespace bramleyrail
