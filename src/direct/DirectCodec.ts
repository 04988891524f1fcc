import type { IncomingHttpHeaders } from "node:http";
import type { KeyValueEntry } from "../platform/index.js";
import type { EndpointRecord } from "./EndpointRecord.js";
import type { RoutingDocument } from "./RoutingDocument.js";

/** A decoded value, or a description of why decoding failed. */
export type DecodeResult<T> = { value: T } | { problem: string };

/** Numbers of tokens that a request names. */
export interface TokenCounts {
    prompt: number;
    /** Maximum length of the answer. */
    answer: number;
}

/** Decodes the entries of the platform's key-value service, and headers whose values have a format of the platform. */
export abstract class DirectCodec {
    /** Key prefix of the routing document and of the evacuated availability zones. */
    abstract readonly documentPrefix: string;
    /** Key prefix of the endpoint registrations. */
    abstract readonly endpointPrefix: string;
    /** Returns whether a key is the one of the routing document; the prefix may match other keys too. */
    abstract isDocumentKey(key: string): boolean;
    abstract decodeDocument(text: string): DecodeResult<RoutingDocument>;
    /** Extracts the availability zone from the key that evacuates it; undefined for other keys. */
    abstract getEvacuatedZone(key: string): string | undefined;
    abstract decodeEndpoint(entry: KeyValueEntry): DecodeResult<EndpointRecord>;
    /** Extracts an endpoint's identifier from its key. */
    abstract getEndpointId(key: string): string;
    /** Extracts the identifiers of the parts of a request's prompt that other requests may share, in order. */
    abstract decodeSharedParts(headers: IncomingHttpHeaders): string[];
    /** Reads the token counts of a request; undefined if it tells none that can be read. */
    abstract decodeTokenCounts(headers: IncomingHttpHeaders): TokenCounts | undefined;
}
