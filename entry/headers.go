package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

const (
	// maxRequestKeyBytes bounds a request key, because claims store it.
	maxRequestKeyBytes = 200
	// maxTimeout bounds the timeout that a caller can set, even if the service allows more.
	maxTimeout = time.Hour
)

// requestHeaders holds the parsed headers of a request.
type requestHeaders struct {
	idempotent bool
	requestKey string
	// timeout is 0 if the caller sets none.
	timeout time.Duration
	urgency siskinv1.Urgency
}

func parseRequestHeaders(header http.Header) (requestHeaders, error) {
	var parsed requestHeaders
	var err error
	if parsed.idempotent, err = parseIdempotent(header); err != nil {
		return parsed, err
	}
	if parsed.requestKey, err = parseRequestKey(header); err != nil {
		return parsed, err
	}
	if parsed.timeout, err = parseTimeout(header); err != nil {
		return parsed, err
	}
	parsed.urgency, err = parseUrgency(header)
	return parsed, err
}

// singleValue returns the value of a header that may occur only once: with two it is ambiguous which one applies.
func singleValue(header http.Header, name string) (string, error) {
	values := header.Values(name)
	if len(values) > 1 {
		return "", refusal.New(refusal.BadRequest, "header %s occurs %d times", name, len(values))
	}
	return header.Get(name), nil
}

func parseIdempotent(header http.Header) (bool, error) {
	value, err := singleValue(header, HeaderIdempotent)
	if err != nil {
		return false, err
	}
	switch value {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, refusal.New(refusal.BadRequest, "header %s must be true or false", HeaderIdempotent)
}

// parseRequestKey accepts only printable ASCII without spaces, so that every hop and log keeps a key unchanged.
func parseRequestKey(header http.Header) (string, error) {
	value, err := singleValue(header, HeaderRequestKey)
	if err != nil {
		return "", err
	}
	if len(value) > maxRequestKeyBytes {
		return "", refusal.New(refusal.BadRequest, "header %s is longer than %d bytes", HeaderRequestKey, maxRequestKeyBytes)
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return "", refusal.New(refusal.BadRequest, "header %s must be printable ASCII without spaces", HeaderRequestKey)
		}
	}
	return value, nil
}

func parseTimeout(header http.Header) (time.Duration, error) {
	value, err := singleValue(header, HeaderTimeout)
	if err != nil || value == "" {
		return 0, err
	}
	ms, parseErr := strconv.ParseInt(value, 10, 64)
	if parseErr != nil || ms <= 0 {
		return 0, refusal.New(refusal.BadRequest, "header %s must be a number of milliseconds above 0", HeaderTimeout)
	}
	return time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond, nil
}

func parseUrgency(header http.Header) (siskinv1.Urgency, error) {
	value, err := singleValue(header, HeaderUrgency)
	if err != nil {
		return 0, err
	}
	switch value {
	case "", "normal":
		return siskinv1.Urgency_URGENCY_NORMAL, nil
	case "urgent":
		return siskinv1.Urgency_URGENCY_URGENT, nil
	case "can_wait":
		return siskinv1.Urgency_URGENCY_CAN_WAIT, nil
	}
	return 0, refusal.New(refusal.BadRequest, "header %s must be urgent, normal or can_wait", HeaderUrgency)
}

// bearerPrefix starts the value of the Authorization header.
const bearerPrefix = "Bearer "

// parseBearer returns the token of the Authorization header, or "" if there is no such header.
func parseBearer(header http.Header) (string, error) {
	value, err := singleValue(header, "Authorization")
	if err != nil || value == "" {
		return "", err
	}
	token, ok := strings.CutPrefix(value, bearerPrefix)
	if !ok || token == "" {
		return "", refusal.New(refusal.KeyMissing, "header Authorization must be \"Bearer\" followed by a key")
	}
	return token, nil
}
