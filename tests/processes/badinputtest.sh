#!/usr/bin/env bash
# Sends malformed HTTP, jobs, headers and frames to two running entry hosts. Guards against daemons that crash, hang or
# give other callers wrong answers after malformed input, and against errors without a stable code.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib/deployment.sh
deployment_begin "$1"
caller_settings='request_timeout_ms = 1000' # a truncated request is answered after this time
deployment_start 2 4
begin_work --checks 40 --holds 10 --batch 8 --watchers 2 --batch_duration_ms 3000

entry=${entries[1]}
url=http://$entry

# check_raw EXPECTED WHAT ADDRESS:PORT: like check_error, but sends the bytes from standard input.
check_raw() {
    local answer found
    answer=$(raw_exchange "$3" | tr -d '\0\r')
    found="$(sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p' <<<"$answer") $(sed -n 's/.*"code":"\([a-z_]*\)".*/\1/p' <<<"$answer" | head -n 1)"
    [ "$found" = "$1" ] || fail "$2: answered '$found', expected '$1'"
    passed "$2: $1"
}

request=POST\ /v1/services/check/requests\ HTTP/1.1$'\r\n'Host:\ x$'\r\n'Burdockspur-Caller:\ bad$'\r\n'
check_raw '400 bad_request' 'a line that is not HTTP' "$entry" <<<'this is no request'
check_raw '400 bad_request' 'an unknown HTTP version' "$entry" < <(printf 'GET /v1/status HTTP/9.9\r\n\r\n')
check_raw '400 bad_request' 'a negative Content-Length' "$entry" < <(printf '%sContent-Length: -5\r\n\r\n' "$request")
check_raw '400 bad_request' 'a Content-Length that is not a number' "$entry" < <(printf '%sContent-Length: ten\r\n\r\n' "$request")
check_raw '400 bad_request' 'an unknown transfer encoding' "$entry" < <(printf '%sTransfer-Encoding: gzip\r\n\r\n' "$request")
check_raw '400 bad_request' 'a broken chunk size' "$entry" < <(printf '%sTransfer-Encoding: chunked\r\n\r\nZZ\r\n' "$request")
check_raw '413 body_too_large' 'a Content-Length beyond the limit' "$entry" < <(printf '%sContent-Length: 99999999999\r\n\r\n' "$request")
check_raw '408 timeout' 'a truncated body' "$entry" < <(printf '%sContent-Length: 100\r\n\r\nshort' "$request")
check_raw '431 header_too_large' 'a header beyond the limit' "$entry" \
    < <(printf '%sX-Long: %s\r\n\r\n' "$request" "$(head -c 40000 /dev/zero | tr '\0' x)")
head -c 2000000 /dev/zero >"$work/large"
check_error '413 body_too_large' 'a body beyond the limit' -X POST -H 'Burdockspur-Caller: bad' -H 'Expect:' \
    --data-binary "@$work/large" "$url/v1/services/check/requests"

check_error '404 unknown_route' 'an unknown path' "$url/v1/nothing"
check_error '405 method_not_allowed' 'a wrong method' -X PATCH "$url/v1/jobs"
check_error '404 unknown_service' 'an unknown service' -X POST -H 'Burdockspur-Caller: bad' -d x "$url/v1/services/nothing/requests"
check_error '404 unknown_job' 'an unknown job' "$url/v1/jobs/0123456789abcdef"
check_error '400 bad_header' 'no caller' -X POST -d x "$url/v1/services/check/requests"
check_error '400 bad_header' 'a deadline that is not a number' -X POST -H 'Burdockspur-Caller: bad' \
    -H 'Burdockspur-Deadline-Ms: soon' -d x "$url/v1/services/check/requests"
check_error '400 bad_header' 'a wrong idempotent flag' -X POST -H 'Burdockspur-Caller: bad' \
    -H 'Burdockspur-Idempotent: perhaps' -d x "$url/v1/services/check/requests"

# job WHAT EXPECTED BODY: submits a job and compares the status and code of the answer.
job() {
    check_error "$2" "job: $1" -X POST -H 'Burdockspur-Caller: bad' -H "Idempotency-Key: bad-$1" -d "$3" "$url/v1/jobs"
}
complete='"class":"c","team":"dispatch","cpu_millis":1000,"memory_mb":1,"duration_ms":1'
job 'truncated JSON' '400 bad_request' '{"kind":"batch",'
job 'no JSON' '400 bad_request' 'kind=batch'
job 'an array' '400 bad_request' '[]'
job 'empty' '400 bad_request' ''
job 'unknown field' '400 bad_request' "{\"kind\":\"batch\",$complete,\"colour\":\"red\"}"
job 'unknown kind' '400 bad_request' "{\"kind\":\"dream\",$complete}"
job 'missing fields' '400 bad_request' '{"kind":"batch"}'
job 'wrong type' '400 bad_request' '{"kind":"batch","class":1,"team":"dispatch","cpu_millis":"many","memory_mb":1}'
job 'negative size' '400 bad_request' '{"kind":"batch","class":"c","team":"dispatch","cpu_millis":-1,"memory_mb":1}'
job 'deep nesting' '400 bad_request' "$(head -c 20000 /dev/zero | tr '\0' '[')"
check_error '400 missing_idempotency_key' 'job: no key' -X POST -H 'Burdockspur-Caller: bad' \
    -d "{\"kind\":\"batch\",$complete}" "$url/v1/jobs"
check_error '400 bad_request' 'preset: no JSON' -X PUT -d 'peak' "$url/v1/config/preset"
check_error '404 unknown_preset' 'preset: unknown' -X PUT -d '{"preset":"nothing","expected_version":1}' "$url/v1/config/preset"

# check_frame WHAT: sends standard input to the frame port; the scheduler must close the connection and log the reason.
check_frame() {
    local before after
    before=$(grep -c 'event=frame_rejected' "$work/scheduler-1.log" || true)
    raw_exchange "${schedulers[1]}" >/dev/null
    after=$(grep -c 'event=frame_rejected' "$work/scheduler-1.log" || true)
    [ "$after" -gt "$before" ] || fail "frame port: $1 is not logged"
    passed "frame port: $1 closes the connection with a log line"
}
check_frame 'a frame of length 0' < <(printf '\0\0\0\0')
check_frame 'a frame beyond the limit' < <(printf '\377\377\377\177')
check_frame 'a frame that fails the verifier' < <(printf '\020\0\0\0AAAAAAAAAAAAAAAA')
check_frame 'HTTP' < <(printf 'GET / HTTP/1.1\r\n\r\n')
check_frame 'random bytes' < <(head -c 100000 "$build/bench/burdockspur-demo")

for admin in "${entry_admins[1]}" "${scheduler_admins[1]}"; do
    check_raw '400 bad_request' "admin port $admin: random bytes" "$admin" < <(head -c 5000 "$build/bench/burdockspur-demo")
    check_error '404 unknown_route' "admin port: unknown path" "http://$admin/nothing"
    check_error '405 method_not_allowed' "admin port: wrong method" -X DELETE "http://$admin/metrics"
done

check_running
end_work
