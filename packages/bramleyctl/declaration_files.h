#ifndef PACKAGES_BRAMLEYCTL_DECLARATION_FILES_H_
#define PACKAGES_BRAMLEYCTL_DECLARATION_FILES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "packages/base/base.h"

namespace bramleyrail {

// Declarations read from a file, or from all files *.json and *.jsonc below a
// folder, in order of path. A file holds one declaration, an array of them, or
// an object with the array "declarations"; comments are allowed.
class DeclarationFiles {
 public:
  // kInvalidArgument with every fault of every file, as "FILE: FIELD PATH".
  static Result<DeclarationFiles> Read(const std::string& path);

  // An array, as in the body of an apply.
  const Json& declarations() const { return declarations_; }

  // Turns the paths of the faults that a server found ("declarations[3].name")
  // into files and the paths in them.
  Error LocateFaults(Error error) const;

 private:
  DeclarationFiles() = default;

  void ReadFile(const std::string& file, std::vector<FieldFault>* faults);
  void AddDeclaration(const std::string& file,
                      const std::string& path,
                      const Json& declaration,
                      std::vector<FieldFault>* faults);

  struct Place {
    std::string file;
    std::string path;  // In the file; empty when the file is the declaration.
  };

  Json declarations_ = Json::array();
  std::vector<Place> places_;  // Of each declaration.
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_DECLARATION_FILES_H_
