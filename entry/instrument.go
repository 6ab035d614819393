package entry

import (
	"context"
	"crypto/rand"
	"encoding/base32"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/telemetry"
)

type metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	inFlight *prometheus.GaugeVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "entry", Name: "requests_total",
			Help: "Answered requests of callers by route and status.",
		}, []string{"route", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: telemetry.Namespace, Subsystem: "entry", Name: "refusals_total",
			Help: "Refused requests of callers by reason.",
		}, []string{"reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: telemetry.Namespace, Subsystem: "entry", Name: "request_seconds",
			Help:    "Time from the headers of a request to the end of its answer, by route.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"route"}),
		inFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: telemetry.Namespace, Subsystem: "entry", Name: "in_flight",
			Help: "Requests of callers in flight by route.",
		}, []string{"route"}),
	}
	if registry != nil {
		registry.MustRegister(m.requests, m.refusals, m.seconds, m.inFlight)
	}
	return m
}

// statusWriter records the response status for the counters.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the underlying writer.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

type requestIDKey struct{}

// RequestID returns the identifier of the request that ctx belongs to.
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// instrument wraps a route with a request identifier, a span, counters and deadlines for the body.
func (s *Server) instrument(route Route) http.Handler {
	inFlight := s.metrics.inFlight.WithLabelValues(route.Pattern)
	seconds := s.metrics.seconds.WithLabelValues(route.Pattern)
	return http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		start := time.Now()
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		inFlight.Inc()
		defer inFlight.Dec()
		w := &statusWriter{ResponseWriter: writer}
		id := newID()
		ctx := telemetry.Propagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := s.tracer.Start(ctx, route.Pattern, trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("siskin.request_id", id)))
		defer span.End()
		w.Header().Set(HeaderRequestID, id)
		if s.shuttingDown.Load() {
			// Makes the caller open its next connection to another VM.
			w.Header().Set("Connection", "close")
		}
		s.callHandler(w, r.WithContext(context.WithValue(ctx, requestIDKey{}, id)), route.Handler)
		if w.status >= http.StatusInternalServerError {
			span.SetStatus(codes.Error, http.StatusText(w.status))
		}
		s.metrics.requests.WithLabelValues(route.Pattern, strconv.Itoa(w.status)).Inc()
		seconds.Observe(time.Since(start).Seconds())
	})
}

// callHandler calls a handler and converts its panic to a refusal that does not report "not run".
func (s *Server) callHandler(w *statusWriter, r *http.Request, handler http.HandlerFunc) {
	defer func() {
		if cause := recover(); cause != nil {
			s.refuse(w, r, refusal.New(refusal.InternalError, "panic: %v", cause))
		}
	}()
	if r.Body != http.NoBody {
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(s.options.Timeouts.Read))
		// The write deadline of the connection's previous response may expire before "100 Continue" is written.
		_ = controller.SetWriteDeadline(time.Now().Add(s.options.Timeouts.Read))
	}
	handler(w, r)
}

// newID returns 100 random bits in lower-case base32.
func newID() string {
	var bits [20]byte
	_, _ = rand.Read(bits[:])
	return encodeID(bits[:])
}

// idLength is the length of an identifier in base32 digits of 5 bits each.
const idLength = 20

func encodeID(bits []byte) string {
	return strings.ToLower(base32.StdEncoding.EncodeToString(bits))[:idLength]
}
