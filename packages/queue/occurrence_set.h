#ifndef PACKAGES_QUEUE_OCCURRENCE_SET_H_
#define PACKAGES_QUEUE_OCCURRENCE_SET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bramleyrail {

// A set of numbers of occurrences of one job. It takes one bit for each number
// up to the highest one.
struct OccurrenceSet {
  static constexpr int64_t kBitsPerWord = 64;

  std::vector<uint64_t> words;

  bool Contains(int64_t number) const {
    const auto word = static_cast<size_t>(number / kBitsPerWord);
    return word < words.size() && (words[word] & BitOf(number)) != 0;
  }
  void Insert(int64_t number) {
    const auto word = static_cast<size_t>(number / kBitsPerWord);
    if (word >= words.size()) {
      words.resize(word + 1);
    }
    words[word] |= BitOf(number);
  }

 private:
  static uint64_t BitOf(int64_t number) {
    return uint64_t{1} << (number % kBitsPerWord);
  }
};

}  // namespace bramleyrail

#endif  // PACKAGES_QUEUE_OCCURRENCE_SET_H_
