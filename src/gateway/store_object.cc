#include "src/gateway/store_object.h"

namespace jasminelug::gateway {

const char* NameOf(StoreKind kind) {
  switch (kind) {
    case StoreKind::kConfiguration:
      return "configuration";
    case StoreKind::kMembers:
      return "members";
    case StoreKind::kEvacuations:
      return "evacuations";
    case StoreKind::kInstances:
      return "instances";
    case StoreKind::kReplacements:
      return "replacements";
  }
  return "";
}

}  // namespace jasminelug::gateway
