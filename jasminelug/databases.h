#ifndef JASMINELUG_DATABASES_H_
#define JASMINELUG_DATABASES_H_

// Connections to the members of database groups, and the administration of
// these members.

#include "src/databases/connection.h"
#include "src/databases/endpoint.h"
#include "src/databases/error.h"
#include "src/databases/group_report.h"
#include "src/databases/member.h"
#include "src/databases/result.h"
#include "src/databases/statement.h"

#endif  // JASMINELUG_DATABASES_H_
