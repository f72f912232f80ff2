#ifndef JASMINELUG_HTTP2_H_
#define JASMINELUG_HTTP2_H_

// HTTP/2 server and client. The server may answer streams asynchronously and in
// any order. The client reports which requests were not sent.

#include "src/http2/client.h"
#include "src/http2/client_error.h"
#include "src/http2/client_options.h"
#include "src/http2/header.h"
#include "src/http2/request.h"
#include "src/http2/responder.h"
#include "src/http2/response.h"
#include "src/http2/server.h"
#include "src/http2/server_options.h"
#include "src/http2/stream_id.h"
#include "src/http2/tls.h"

#endif  // JASMINELUG_HTTP2_H_
