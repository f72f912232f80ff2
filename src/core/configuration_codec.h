#ifndef SRC_CORE_CONFIGURATION_CODEC_H_
#define SRC_CORE_CONFIGURATION_CODEC_H_

#include <string>

#include "src/common/field_error.h"
#include "src/common/result.h"
#include "src/core/configuration.h"
#include "src/core/instance_record.h"
#include "src/core/platform_call.h"

namespace jasminelug::core {

// Reads an object's value, JSON with comments, into the type of its kind.
// Every error is collected and names its field; unknown fields are errors, so
// that a misspelt limit is never taken for the default. Errors hold nothing of
// what was read.
//
// `name` is the object's name. The forms are in docs/design/configuration.md.
Result<Profile, FieldErrors> ParseProfile(const ProfileName& name,
                                          const std::string& value);
Result<Customer, FieldErrors> ParseCustomer(const CustomerName& name,
                                            const std::string& value);
Result<KeyGrant, FieldErrors> ParseKeyGrant(const KeyId& id,
                                            const std::string& value);
Result<Zone, FieldErrors> ParseZone(const ZoneName& name,
                                    const std::string& value);
Result<Database, FieldErrors> ParseDatabase(const DatabaseName& name,
                                            const std::string& value);
Result<InstanceRecord, FieldErrors> ParseInstanceRecord(
    const InstanceId& id,
    const std::string& value);

// Write the JSON text that the functions above read.
std::string Format(const Profile& profile);
std::string Format(const Customer& customer);
std::string Format(const KeyGrant& grant);
std::string Format(const Zone& zone);
std::string Format(const Database& database);
std::string Format(const InstanceRecord& record);

// Checks a value before it is written. Returns no errors if every instance
// will install it. Tables of shares and groups' states are not checked here.
FieldErrors ValidateObject(const ObjectKey& key, const std::string& value);

// Returns whether operators may write objects of this kind.
bool IsConfigurationKind(ObjectKind kind);

// Returns the kind as it stands in names and in the client, e.g. "profile".
const char* ToString(ObjectKind kind);

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONFIGURATION_CODEC_H_
