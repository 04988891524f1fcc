import {
    type Context,
    ROOT_CONTEXT,
    type Span,
    SpanKind,
    SpanStatusCode,
    type Tracer,
    defaultTextMapGetter,
    defaultTextMapSetter,
    trace,
} from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import { BatchSpanProcessor, NodeTracerProvider } from "@opentelemetry/sdk-trace-node";

/** Traces of a process: a span for each hop, joined by W3C trace context. */
export interface Tracing {
    /**
     * Starts a span.
     * @param name - Name of the hop.
     * @param kind - Side of the hop.
     * @param parent - Context that holds the parent.
     * @param attributes - Facts of the span.
     */
    startSpan(name: string, kind: SpanKind, parent: Context, attributes?: Record<string, string | number>): Span;
    /** Reads the trace context of incoming headers. */
    readContext(headers: Record<string, unknown>): Context;
    /** Writes the trace context of a span into outgoing headers. */
    writeContext(span: Span, headers: Record<string, string>): void;
    /** Sends the spans that wait, and stops. */
    stop(): Promise<void>;
}

/** Options of the traces of a process. */
export interface TracingOptions {
    program: string;
    host: string;
    zone: string;
    /** OTLP address; without it the trace context is still passed on. */
    collector: string | undefined;
}

const EXPORT_DELAY_MS = 500;
const EXPORT_TIMEOUT_MS = 2_000;

/**
 * Creates the traces of a process. Contexts are passed by hand: a global context manager
 * would add its hooks to each asynchronous step of every stream.
 * @param options - Identity of the process and address of the collector.
 */
export function createTracing(options: TracingOptions): Tracing {
    const provider = createProvider(options);
    const propagator = new W3CTraceContextPropagator();
    const tracer: Tracer = provider.getTracer("auburnpass");
    return { startSpan, readContext, writeContext, stop };

    function startSpan(
        name: string,
        kind: SpanKind,
        parent: Context,
        attributes: Record<string, string | number> = {},
    ): Span {
        return tracer.startSpan(name, { kind, attributes }, parent);
    }

    function readContext(headers: Record<string, unknown>): Context {
        return propagator.extract(ROOT_CONTEXT, headers, defaultTextMapGetter);
    }

    function writeContext(span: Span, headers: Record<string, string>): void {
        propagator.inject(trace.setSpan(ROOT_CONTEXT, span), headers, defaultTextMapSetter);
    }

    async function stop(): Promise<void> {
        await provider.shutdown().catch(() => undefined);
    }
}

function createProvider(options: TracingOptions): NodeTracerProvider {
    const resource = resourceFromAttributes({
        "service.name": options.program,
        "host.name": options.host,
        "cloud.availability_zone": options.zone,
    });
    if (options.collector === undefined) {
        return new NodeTracerProvider({ resource });
    }
    const exporter = new OTLPTraceExporter({ url: options.collector, timeoutMillis: EXPORT_TIMEOUT_MS });
    const processor = new BatchSpanProcessor(exporter, { scheduledDelayMillis: EXPORT_DELAY_MS });
    return new NodeTracerProvider({ resource, spanProcessors: [processor] });
}

/**
 * Ends a span with the outcome of its hop.
 * @param span - Span to end.
 * @param failure - Reason of a failure; undefined for success.
 */
export function endSpan(span: Span, failure?: string): void {
    if (failure !== undefined) {
        span.setStatus({ code: SpanStatusCode.ERROR, message: failure });
    }
    span.end();
}
