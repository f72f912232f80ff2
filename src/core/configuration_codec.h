#ifndef SRC_CORE_CONFIGURATION_CODEC_H_
#define SRC_CORE_CONFIGURATION_CODEC_H_

#include <string>

#include "src/common/field_error.h"
#include "src/common/result.h"
#include "src/core/configuration.h"
#include "src/core/instance_record.h"
#include "src/core/platform_call.h"

namespace jasminelug::core {

// Parse an object's value, which is JSON with comments, into the type of the
// object's kind. All errors are collected, and each names its field. An unknown
// field is an error: otherwise a misspelt limit would silently get its default
// value. The error texts contain nothing of the value.
//
// `name` or `id` is the object's name. The formats are described in
// docs/design/configuration.md.
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

// Return the JSON text that the functions above parse.
std::string Format(const Profile& profile);
std::string Format(const Customer& customer);
std::string Format(const KeyGrant& grant);
std::string Format(const Zone& zone);
std::string Format(const Database& database);
std::string Format(const InstanceRecord& record);

// Checks a value before it is written to the platform. Returns no errors if
// every instance will accept the value. Share tables and the states of database
// groups are not checked here.
FieldErrors ValidateObject(const ObjectKey& key, const std::string& value);

// Returns whether objects of this kind are part of the configuration, which
// operators may write.
bool IsConfigurationKind(ObjectKind kind);

// Returns the kind's name as used in object names and in the operators' client,
// for example "profile".
const char* ToString(ObjectKind kind);

}  // namespace jasminelug::core

#endif  // SRC_CORE_CONFIGURATION_CODEC_H_
