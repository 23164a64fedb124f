/* HTTP status codes that this program sends or checks. */
#ifndef FF_HTTP_STATUS_H
#define FF_HTTP_STATUS_H

enum http_status {
    HTTP_OK = 200,
    HTTP_CREATED = 201,
    HTTP_BAD_REQUEST = 400,
    HTTP_NOT_FOUND = 404,
    HTTP_METHOD_NOT_ALLOWED = 405,
    HTTP_CONFLICT = 409,
    HTTP_GONE = 410,
    HTTP_MISDIRECTED_REQUEST = 421,
    HTTP_UNPROCESSABLE = 422,
    HTTP_TOO_MANY_REQUESTS = 429,
    HTTP_SERVICE_UNAVAILABLE = 503,
};
#endif
