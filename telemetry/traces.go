// Package telemetry sets up the traces, metrics and logs of a process.
package telemetry

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// traceFileMode makes the trace file readable only by the user of the daemon.
const traceFileMode = 0o600

// Propagator returns the propagator that carries the W3C trace context and baggage between processes.
func Propagator() propagation.TextMapPropagator {
	return propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{})
}

// traceParent is the header of the W3C trace context.
const traceParent = "traceparent"

// TraceParent returns the W3C traceparent of a context, or an empty string if its span is not sampled.
func TraceParent(ctx context.Context) string {
	if !oteltrace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParent]
}

// WithTraceParent returns a context whose spans belong to the trace of a traceparent. An invalid traceparent has no effect.
func WithTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParent: parent})
}

// Traces is the tracer provider of a process.
type Traces struct {
	*trace.TracerProvider
	file *os.File
}

// NewTraces returns a provider that exports to the trace file and OTLP address of the settings, each of which is optional.
func NewTraces(ctx context.Context, settings *siskinv1.Telemetry, vm, zone string) (*Traces, error) {
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(settings.GetSampleRatio()))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "siskind"),
			attribute.String("siskin.vm", vm),
			attribute.String("siskin.zone", zone),
		)),
	}
	traces := &Traces{}
	if path := settings.GetTraceFile(); path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, traceFileMode)
		if err != nil {
			return nil, eris.Wrap(err, "open trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return nil, eris.Wrap(err, "create trace file exporter")
		}
		traces.file = file
		options = append(options, trace.WithBatcher(exporter))
	}
	if address := settings.GetOtlpAddress(); address != "" {
		exporter, err := otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(address), otlptracegrpc.WithInsecure())
		if err != nil {
			return nil, eris.Wrap(err, "create OTLP exporter")
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	traces.TracerProvider = trace.NewTracerProvider(options...)
	return traces, nil
}

// Close exports the pending spans and closes the trace file.
func (t *Traces) Close(ctx context.Context) error {
	err := t.Shutdown(ctx)
	if t.file != nil {
		if closeErr := t.file.Close(); err == nil {
			err = closeErr
		}
	}
	return eris.Wrap(err, "close traces")
}
