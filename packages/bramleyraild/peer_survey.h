#ifndef PACKAGES_BRAMLEYRAILD_PEER_SURVEY_H_
#define PACKAGES_BRAMLEYRAILD_PEER_SURVEY_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "packages/bramleyraild/settings.h"
#include "packages/peer/peer.h"

namespace bramleyrail {

// What a call on the status channel asks for; its payload is this one byte.
enum class SurveyQuestion : unsigned char {
  kStatus = 0,
  kLiveTargets = 1,
};

using SurveyAnswers =
    std::map<std::string, std::vector<std::byte>, std::less<>>;

// Asks all peers at once and waits for up to 500 ms. Peers that do not answer
// in time are missing in the result.
SurveyAnswers AskPeers(PeerNetwork* network,
                       const std::vector<PeerSettings>& peers,
                       SurveyQuestion question);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYRAILD_PEER_SURVEY_H_
