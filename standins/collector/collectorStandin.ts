import { sendJson } from "../../src/utils/http.js";
import { type Standin, startStandin } from "../Standin.js";

/** A span as the collector keeps it. */
export interface CollectedSpan {
    traceId: string;
    spanId: string;
    parentSpanId?: string;
    name: string;
    host: string;
    startMs: number;
    durationMs: number;
}

/** The collector with its spans. */
export interface CollectorStandin extends Standin {
    spans: CollectedSpan[];
}

interface WireSpan {
    traceId: string;
    spanId: string;
    parentSpanId?: string;
    name: string;
    startTimeUnixNano: string;
    endTimeUnixNano: string;
}

interface WireExport {
    resourceSpans?: {
        resource?: { attributes?: { key: string; value: { stringValue?: string } }[] };
        scopeSpans?: { spans?: WireSpan[] }[];
    }[];
}

const STATUS_OK = 200;
const NANOS_PER_MS = 1e6;
const MAX_SPANS = 50_000;

/**
 * Starts the collector stand-in: takes OTLP in JSON, and lists spans under `/spans`.
 * @param port - Port; 0 lets the system choose one.
 */
export async function startCollectorStandin(port = 0): Promise<CollectorStandin> {
    const spans: CollectedSpan[] = [];
    const standin = await startStandin(port, (request, response, body) => {
        if (request.url === "/v1/traces") {
            spans.push(...readSpans(body as WireExport));
            spans.splice(0, Math.max(0, spans.length - MAX_SPANS));
        }
        const trace = new URL(request.url ?? "/", "http://collector").searchParams.get("trace");
        sendJson(response, STATUS_OK, request.method === "GET" ? spans.filter(span => span.traceId === trace) : {});
    });
    return { ...standin, spans };
}

function readSpans(message: WireExport): CollectedSpan[] {
    return (message.resourceSpans ?? []).flatMap(resource => {
        const attributes = resource.resource?.attributes ?? [];
        const host = attributes.find(attribute => attribute.key === "host.name")?.value.stringValue ?? "";
        const wireSpans = (resource.scopeSpans ?? []).flatMap(scope => scope.spans ?? []);
        return wireSpans.map(span => readSpan(span, host));
    });
}

function readSpan(span: WireSpan, host: string): CollectedSpan {
    const startMs = Number(span.startTimeUnixNano) / NANOS_PER_MS;
    const durationMs = Number(span.endTimeUnixNano) / NANOS_PER_MS - startMs;
    const { traceId, spanId, parentSpanId, name } = span;
    return { traceId, spanId, parentSpanId, name, host, startMs, durationMs };
}
